"""Benchmark of the edge router: latency of calls, CPU time per event, memory."""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator
from collections.abc import Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._router_process import RouterProcess
from yuccafold.http import HttpStream
from yuccafold.soak import EdgeProcess
from yuccafold.soak import SoakSettings
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings
from yuccafold.standins import PlatformTarget
from yuccafold.standins import PlatformTargetSettings
from yuccafold.standins import PublishedRoute
from yuccafold.standins import PublishedTarget
from yuccafold.standins import Relay
from yuccafold.standins import call_headers
from yuccafold.standins import configuration

CALL_OVERHEAD_LIMIT_MS = 1.0
"""Upper limit of the median latency that the router adds to a call."""

EVENT_CPU_LIMIT_US = 100.0
"""Upper limit of the processor time for forwarding one event of a stream."""

MEMORY_LIMIT_MB = 24.0
"""Upper limit of the memory of a process in normal operation. The limit doesn't
count memory shared between processes; the resident memory measured here does."""

EVENT_PAUSE_MS = 4
MAX_HEAD_BYTES = 65_536
READY_POLL_S = 0.02
US_PER_SECOND = 1_000_000
SERVICE = "desk"
KEY = "key"
DEADLINE_MS = 60_000


@final
@dataclass(frozen=True, slots=True)
class _Sizes:
    """Numbers of calls and streams that are sent, and of events per stream."""

    calls: int
    streams: int
    events: int


FULL = _Sizes(calls=1_000, streams=16, events=400)
QUICK = _Sizes(calls=100, streams=4, events=50)


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of one router that uses one store and one target."""
    yield from trio.run(_measure, QUICK if options.quick else FULL)


async def _measure(sizes: _Sizes) -> list[Figure]:
    async with _router(sizes) as (router, process, target):
        memory_mb = router.rss_mb()
        routed_times = await _call_times(process.caller_address, sizes.calls)
        host, _, port = target.server.address.partition(":")
        direct_times = await _call_times((host, int(port)), sizes.calls)
        cpu_before = router.cpu_seconds()
        async with trio.open_nursery() as nursery:
            for _ in range(sizes.streams):
                nursery.start_soon(_call, process.caller_address, "/chat/a")
        cpu_seconds = router.cpu_seconds() - cpu_before
    event_count = sizes.streams * sizes.events
    added_ms = (median(routed_times) - median(direct_times)) * MS_PER_SECOND
    return [
        Figure("edge_rss_mb_idle", memory_mb, "MB", MEMORY_LIMIT_MB),
        Figure("edge_overhead_ms_p50", added_ms, "ms", CALL_OVERHEAD_LIMIT_MS),
        Figure(
            "edge_event_us",
            cpu_seconds / event_count * US_PER_SECOND,
            "us",
            EVENT_CPU_LIMIT_US,
        ),
    ]


@asynccontextmanager
async def _router(
    sizes: _Sizes,
) -> AsyncIterator[tuple[RouterProcess, EdgeProcess, PlatformTarget]]:
    """Run a router process with stand-ins for the store and the target."""
    store = PlatformStore(PlatformStoreSettings())
    target = PlatformTarget(
        PlatformTargetSettings("t1", events=sizes.events, event_pause_ms=EVENT_PAUSE_MS)
    )
    with tempfile.TemporaryDirectory() as folder:
        process = EdgeProcess(0, SoakSettings(), Path(folder))
        async with trio.open_nursery() as nursery:
            await nursery.start(store.serve)
            await nursery.start(target.serve)
            process.relay = Relay(store.server.address)
            await nursery.start(process.relay.serve)
            routes = [
                PublishedRoute("/look/", "safe", SERVICE, timeout_ms=60_000),
                PublishedRoute("/chat/", "streaming", SERVICE, timeout_ms=60_000),
            ]
            store.configure(configuration(routes, [KEY]))
            entry = PublishedTarget(SERVICE, target.server.address)
            store.list_target("t1", entry)
            process.write_settings([])
            process.start()
            try:
                while await _call(process.caller_address, "/look/a") != 200:
                    await trio.sleep(READY_POLL_S)
                address = ":".join(map(str, process.caller_address))
                yield RouterProcess(process.pid, address), process, target
            finally:
                process.close()
            nursery.cancel_scope.cancel()


async def _call(address: tuple[str, int], path: str) -> int:
    """Make a call on a new connection; return its status, 0 if there was none."""
    try:
        stream = await trio.open_tcp_stream(*address)
    except OSError:
        return 0
    http = HttpStream(stream, h11.CLIENT, MAX_HEAD_BYTES)
    try:
        return await _exchange(http, path)
    finally:
        await http.close()


async def _call_times(address: tuple[str, int], calls: int) -> list[float]:
    """Return the seconds that each of ``calls`` calls took on one connection."""
    http = HttpStream(await trio.open_tcp_stream(*address), h11.CLIENT, MAX_HEAD_BYTES)
    times = []
    for _ in range(calls):
        started_at = trio.current_time()
        await _exchange(http, "/look/a")
        times.append(trio.current_time() - started_at)
        http.protocol.start_next_cycle()
    await http.close()
    return times


async def _exchange(http: HttpStream, path: str) -> int:
    headers = call_headers("bench", KEY, DEADLINE_MS)
    request = h11.Request(method="GET", target=path, headers=headers)
    await http.send(request, h11.EndOfMessage())
    status = 0
    while not isinstance(event := await http.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.ConnectionClosed):
            return 0
    return status
