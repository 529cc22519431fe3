"""Benchmark of calls whose pooled connection became silent."""

from __future__ import annotations

import hashlib
import statistics
import time
from collections.abc import Iterator
from itertools import count

import trio
import yaml

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import NS_PER_MS
from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.load import CallerSettings
from yuccafold.load import LoadReport
from yuccafold.load import LoadSettings
from yuccafold.load import PlainCallerSettings
from yuccafold.load import run_load
from yuccafold.router import Router
from yuccafold.settings import ClaimSettings
from yuccafold.settings import Policy
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SlotSettings
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import Relay

KEY = "silence-key"
PATH = "/desk"
IDLE_SECONDS = 1.2
"""Longer than the policy's default ``doubt_after_idle_ms``."""

TRIES = 5
SEEDS = count(1)
ANY_LOOPBACK_PORT = "127.0.0.1:0"


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the times of a lookup and of a non-idempotent call without a key.

    The baseline is the policy's default ``continue_timeout_ms``.
    """
    limit = Policy().continue_timeout_ms
    tries = 1 if options.quick else TRIES
    lookups, calls = trio.run(_measure, tries)
    yield Figure("silent_lookup_ms_p50", statistics.median(lookups), "ms", limit)
    yield Figure("silent_lookup_ms_max", max(lookups), "ms", limit)
    yield Figure("silent_call_ms_p50", statistics.median(calls), "ms", limit)
    yield Figure("silent_call_ms_max", max(calls), "ms", limit)


async def _measure(tries: int) -> tuple[list[float], list[float]]:
    plain = PlainService(PlainSettings())
    async with trio.open_nursery() as nursery:
        await nursery.start(plain.serve)
        relay = Relay(plain.server.address)
        await nursery.start(relay.serve)
        router = Router(_process(), _tree(relay.address), seed=1)
        addresses = await nursery.start(router.serve)
        await router.state.became_ready.wait()
        caller = CallerSettings((addresses.callers,), KEY, attempts=1)
        lookups = [await _call_ms(caller, relay, lookups=1) for _ in range(tries)]
        calls = [await _call_ms(caller, relay, calls=1) for _ in range(tries)]
        router.kill()
        nursery.cancel_scope.cancel()
    return lookups, calls


async def _call_ms(
    caller: CallerSettings, relay: Relay, calls: int = 0, lookups: int = 0
) -> float:
    """Return the milliseconds of a call whose pooled connection became silent."""
    # Keys are derived from the seed, and a call with a repeated key would get the
    # stored answer.
    first, second = (
        LoadSettings(
            plain=PlainCallerSettings(caller, PATH),
            calls=calls,
            lookups=lookups,
            callers=1,
            seed=next(SEEDS),
        )
        for _ in range(2)
    )
    await _run_whole(first)
    relay.silence()
    await trio.sleep(IDLE_SECONDS)
    started_at = time.monotonic()
    await _run_whole(second)
    return (time.monotonic() - started_at) * MS_PER_SECOND


async def _run_whole(load: LoadSettings) -> None:
    """Send ``load``; fail on an incomplete answer, as the time would mean nothing."""
    report = await run_load(load, LoadReport())
    if not report.all_whole:
        raise AssertionError(f"expected whole answers, got {dict(report.rows())}")


def _process() -> ProcessSettings:
    return ProcessSettings(
        vm="vm-bench",
        zone="a",
        region="south",
        listen=ANY_LOOPBACK_PORT,
        operator=ANY_LOOPBACK_PORT,
        peer=ANY_LOOPBACK_PORT,
        claims=ClaimSettings(
            first_start_unix_ms=time.time_ns() // NS_PER_MS, first_start_window_ms=50
        ),
        slots=SlotSettings(floor_lease_ms=50, list_lag_ms=50),
    )


def _tree(address: str) -> str:
    target = {"id": "desk-0", "address": address, "zone": "a"}
    return yaml.safe_dump(
        {
            "revision": 1,
            "services": {
                "desk": {"kind": "plain", "paths": [PATH], "targets": [target]}
            },
            "accounts": {"acme": {"keys": [hashlib.sha256(KEY.encode()).hexdigest()]}},
        }
    )
