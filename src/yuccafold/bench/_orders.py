"""Figures of orders: promises kept in faulted runs, and the time of a roll-out."""

from __future__ import annotations

from collections.abc import Iterator

from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._orders_world import OrdersWorld
from yuccafold.bench._orders_world import run_with_faults
from yuccafold.bench._orders_world import settle
from yuccafold.orders import OrderOptions

VMS = 8
ENGINES = 10
LOADS_PER_MINUTE = 6
RUN_MS = 3_600_000
SETTLE_LIMIT_MS = 900_000
ROLL_LIMIT_MS = 3_600_000
LONGEST_LOAD_MS = 30_000


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Measure every figure of orders."""
    yield from _faulted(options)
    for rate in (2, LOADS_PER_MINUTE):
        yield _roll(options, rate)


def _faulted(options: BenchOptions) -> Iterator[Figure]:
    """Count what went wrong in seeded runs; half of the engines ignore numbers."""
    seeds = range(options.seed, options.seed + (2 if options.quick else 10))
    worlds = [OrdersWorld(seed, VMS, ENGINES, LOADS_PER_MINUTE) for seed in seeds]
    for world in worlds:
        run_with_faults(world, RUN_MS)
    settled = sum(settle(world, SETTLE_LIMIT_MS) < SETTLE_LIMIT_MS for world in worlds)
    counts = [world.counts for world in worlds]
    hours = len(worlds) * RUN_MS / 3_600_000
    yield Figure("orders_faulted_hours", hours, "h")
    yield Figure("orders_sent", sum(it.orders for it in counts), "orders")
    loads = sum(len(world.store.loads) for world in worlds)
    yield Figure("orders_loads", loads, "loads")
    violations = {
        "orders_older_after_newer": sum(it.older_after_newer for it in counts),
        "orders_store_rate_exceeded": sum(it.rate_exceeded for it in counts),
        "orders_serving_share_broken": sum(it.share_violated for it in counts),
        "orders_runs_not_settled": len(worlds) - settled,
    }
    for name, value in violations.items():
        yield Figure(name, value, "count", 0)


def _roll(options: BenchOptions, rate: int) -> Figure:
    """Measure a new version over every engine, without faults.

    The baseline is what the store's rate alone would need: a model and an
    adapter for each engine.
    """
    world = OrdersWorld(
        options.seed, VMS, ENGINES, rate, OrderOptions(), LONGEST_LOAD_MS
    )
    settle(world, ROLL_LIMIT_MS)
    world.publish(longest_lag_ms=1_000)
    seconds = settle(world, ROLL_LIMIT_MS) / 1_000
    name = f"orders_roll_{ENGINES}_engines_at_{rate}_loads_per_minute_s"
    return Figure(name, seconds, "s", 2 * ENGINES * 60 / rate)
