"""Benchmark of orders: invariants in runs with faults, and the time of a rollout."""

from __future__ import annotations

from collections.abc import Iterator

from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._orders_world import OrdersWorld
from yuccafold.bench._orders_world import run_with_faults
from yuccafold.bench._orders_world import settle
from yuccafold.orders import OrderOptions

VM_COUNT = 8
ENGINE_COUNT = 10
LOADS_PER_MINUTE = 6
RUN_MS = 3_600_000
SETTLE_LIMIT_MS = 900_000
ROLLOUT_LIMIT_MS = 3_600_000
MAX_LOAD_MS = 30_000


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of orders."""
    yield from _faulted(options)
    for rate in (2, LOADS_PER_MINUTE):
        yield _rollout(options, rate)


def _faulted(options: BenchOptions) -> Iterator[Figure]:
    """Count violations in seeded runs with faults.

    Half of the engines don't check fences, so they also accept older orders.
    """
    seeds = range(options.seed, options.seed + (2 if options.quick else 10))
    worlds = [
        OrdersWorld(seed, VM_COUNT, ENGINE_COUNT, LOADS_PER_MINUTE) for seed in seeds
    ]
    for world in worlds:
        run_with_faults(world, RUN_MS)
    settled = sum(settle(world, SETTLE_LIMIT_MS) < SETTLE_LIMIT_MS for world in worlds)
    counts = [world.counts for world in worlds]
    hours = len(worlds) * RUN_MS / 3_600_000
    yield Figure("orders_faulted_hours", hours, "h")
    yield Figure(
        "orders_sent", sum(run_counts.orders for run_counts in counts), "orders"
    )
    loads = sum(len(world.store.loads) for world in worlds)
    yield Figure("orders_loads", loads, "loads")
    violations = {
        "orders_older_after_newer": sum(
            run_counts.older_after_newer for run_counts in counts
        ),
        "orders_store_rate_exceeded": sum(
            run_counts.rate_exceeded for run_counts in counts
        ),
        "orders_serving_share_broken": sum(
            run_counts.share_violated for run_counts in counts
        ),
        "orders_runs_not_settled": len(worlds) - settled,
    }
    for name, value in violations.items():
        yield Figure(name, value, "count", 0)


def _rollout(options: BenchOptions, rate: int) -> Figure:
    """Measure the time of rolling a new version out to every engine, without faults.

    The baseline is the time that the weight store's rate alone requires for
    loading a model and an adapter on each engine.
    """
    world = OrdersWorld(
        options.seed, VM_COUNT, ENGINE_COUNT, rate, OrderOptions(), MAX_LOAD_MS
    )
    settle(world, ROLLOUT_LIMIT_MS)
    world.publish(max_lag_ms=1_000)
    seconds = settle(world, ROLLOUT_LIMIT_MS) / 1_000
    name = f"orders_roll_{ENGINE_COUNT}_engines_at_{rate}_loads_per_minute_s"
    return Figure(name, seconds, "s", 2 * ENGINE_COUNT * 60 / rate)
