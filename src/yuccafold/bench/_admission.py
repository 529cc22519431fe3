"""Benchmark of admission: fairness of the queue and limits of client accounts."""

from __future__ import annotations

import random
from collections.abc import Iterator

from yuccafold.bench._fairness import FairnessSettings
from yuccafold.bench._fairness import measure_other_accounts
from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._limit_fleet import run_surge
from yuccafold.bench._summaries import Popularity
from yuccafold.bench._summaries import compare

SURGE_FACTOR = 20.0
FLEET_SIZES = (8, 380)
ACCOUNT_COUNTS = (10, 4_200)


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of admission."""
    yield from _fairness(options)
    yield from _surges(options)
    yield from _summaries(options)


def _fairness(options: BenchOptions) -> Iterator[Figure]:
    settings = FairnessSettings(seconds=60 if options.quick else 300)
    steady = measure_other_accounts(settings, options.seed, surge=1.0, fair=True)
    for fair in (True, False):
        result = measure_other_accounts(settings, options.seed, SURGE_FACTOR, fair)
        name = "fair" if fair else "one line for all accounts"
        prefix = f"surge of 20 times, {name}, others"
        yield Figure(f"{prefix}_first_token_p95", result.p95_ms, "ms", steady.p95_ms)
        yield Figure(
            f"{prefix}_refused", result.refused_percent, "%", steady.refused_percent
        )


def _surges(options: BenchOptions) -> Iterator[Figure]:
    for vms in FLEET_SIZES[:1] if options.quick else FLEET_SIZES:
        for loss in (0.0, 0.2):
            result = run_surge(vms, loss, options.seed)
            prefix = f"surge of 20 times on {vms} VMs, {loss:.0%} lost"
            yield Figure(f"{prefix}_held_after", result.seconds_over_limit, "s")
            yield Figure(f"{prefix}_worst_second", result.worst_second, "x limit", 1.0)
            yield Figure(f"{prefix}_then", result.settled_rate, "x limit", 1.0)
            yield Figure(
                f"{prefix}_bytes_of_the_busiest_VM",
                result.busiest_vm_bytes_per_s,
                "B/s",
            )


def _summaries(options: BenchOptions) -> Iterator[Figure]:
    for vms in FLEET_SIZES[:1] if options.quick else FLEET_SIZES:
        for accounts in ACCOUNT_COUNTS:
            for popularity in Popularity:
                rng = random.Random(options.seed)
                for result in compare(vms, accounts, popularity, rng):
                    prefix = (
                        f"{result.kind.value}, {vms} VMs, {accounts} accounts, "
                        f"{popularity.value}"
                    )
                    yield Figure(f"{prefix}_error_of_the_top_10", result.top_error, "%")
                    yield Figure(
                        f"{prefix}_error_of_the_others", result.others_error, "%"
                    )
                    yield Figure(f"{prefix}_bytes", result.bytes_per_second, "B/VM/s")
