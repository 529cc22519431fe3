"""Benchmark of one router: latency overhead, throughput per core and memory."""

from __future__ import annotations

import hashlib
import random
from collections.abc import AsyncIterator
from collections.abc import Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import final

import trio
import yaml

from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._router_process import RouterProcess
from yuccafold.bench._router_process import router_process
from yuccafold.load import CallerSettings
from yuccafold.load import ChatSettings
from yuccafold.load import LoadReport
from yuccafold.load import LoadSettings
from yuccafold.load import PlainCaller
from yuccafold.load import PlainCallerSettings
from yuccafold.load import percentile_ms
from yuccafold.load import run_load
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import GenerationSettings
from yuccafold.standins import ModelEngine
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings

KEY = "bench-key"
POLL_SECONDS = 0.05
VM_REQUESTS_PER_SECOND = 11.0
TOKENS_PER_CORE_SECOND = 20_000.0
"""The processor time of a forwarded token has to be under 50 µs."""
VM_MEMORY_LIMIT_MB = 128.0
MAX_STREAMS = 1_000
TOKEN_INTERVAL_MS = 20.0
HELD_STREAM_INTERVAL_MS = 1_000.0
STREAMS_OPENED_PER_SECOND = 200.0
"""A higher rate would measure how quickly the stand-in accepts connections."""


@final
@dataclass(frozen=True, slots=True)
class _Sizes:
    """Numbers of calls, streams and tokens that the measurements send."""

    lookups: int
    requests: int
    streams: int
    tokens: int
    held_streams: int


FULL = _Sizes(1_000, 4_000, 64, 300, MAX_STREAMS)
QUICK = _Sizes(200, 500, 16, 50, 100)


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of one router with one engine and one plain service."""
    sizes = QUICK if options.quick else FULL
    yield from trio.run(_overhead, sizes, options.seed)
    yield trio.run(_requests, sizes, options.seed)
    yield trio.run(_stream_tokens, sizes, options.seed)
    yield from trio.run(_memory, sizes, options.seed)


@final
class _Setup:
    """A router in a separate process, and its targets in this process."""

    def __init__(
        self, router: RouterProcess, engine: ModelEngine, plain: PlainService
    ) -> None:
        self.router = router
        self.engine = engine
        self.plain = plain

    @property
    def caller(self) -> CallerSettings:
        """The settings of callers that go through the router."""
        return CallerSettings((self.router.address,), KEY, attempts=1)


@asynccontextmanager
async def _running_setup(interval_ms: float) -> AsyncIterator[_Setup]:
    """Run the targets and the router; a token is sent every ``interval_ms``."""
    cost = CostModel(0.0, interval_ms, 0.0, max_batch=MAX_STREAMS)
    generation = GenerationSettings(cost=cost, cache_tokens=1_000_000)
    engine = ModelEngine(EngineSettings(generation=generation))
    plain = PlainService(PlainSettings())
    async with trio.open_nursery() as nursery:
        await nursery.start(engine.serve)
        await nursery.start(plain.serve)
        tree = _tree(engine.server.address, plain.server.address)
        async with router_process(tree) as router:
            yield _Setup(router, engine, plain)
        nursery.cancel_scope.cancel()


def _tree(engine: str, plain: str) -> str:
    def service(kind: str, path: str, address: str) -> dict[str, object]:
        target = {"id": f"{kind}-1", "address": address, "zone": "a"}
        return {"kind": kind, "paths": [path], "targets": [target]}

    digest = hashlib.sha256(KEY.encode()).hexdigest()
    services = {
        "chat": service("model", "/v1", engine),
        "desk": service("plain", "/reservations", plain),
    }
    accounts = {"bench": {"keys": [digest]}}
    return yaml.safe_dump({"revision": 1, "services": services, "accounts": accounts})


async def _overhead(sizes: _Sizes, seed: int) -> list[Figure]:
    """Send lookups one at a time, alternating through the router and directly."""
    routed, direct = LoadReport(), LoadReport()
    async with _running_setup(TOKEN_INTERVAL_MS) as setup:
        callers = (
            _lookup_caller(setup.caller, seed, routed),
            _lookup_caller(
                CallerSettings((setup.plain.server.address,), attempts=1), seed, direct
            ),
        )
        for _ in range(sizes.lookups):
            for caller in callers:
                await caller.look_up()
        for caller in callers:
            await caller.close()
    _check_whole(routed)
    _check_whole(direct)
    return [_overhead_figure(percentile, routed, direct) for percentile in (50, 99)]


def _lookup_caller(
    caller: CallerSettings, seed: int, report: LoadReport
) -> PlainCaller:
    settings = PlainCallerSettings(caller)
    return PlainCaller("bench", settings, random.Random(seed), report)


def _overhead_figure(percentile: int, routed: LoadReport, direct: LoadReport) -> Figure:
    """Return the latency that the router adds; the baseline is the direct call."""
    direct_ms = percentile_ms(direct.call_us, percentile)
    added_ms = percentile_ms(routed.call_us, percentile) - direct_ms
    return Figure(f"router_overhead_ms_p{percentile}", added_ms, "ms", direct_ms)


async def _requests(sizes: _Sizes, seed: int) -> Figure:
    """Send concurrent lookups; the baseline is the rate of one VM at peak load."""
    async with _running_setup(TOKEN_INTERVAL_MS) as setup:
        plain = PlainCallerSettings(setup.caller)
        load = LoadSettings(None, plain, lookups=sizes.requests, callers=16, seed=seed)
        cpu_before = setup.router.cpu_seconds()
        _check_whole(await run_load(load))
        cpu_seconds = setup.router.cpu_seconds() - cpu_before
    rate = sizes.requests / cpu_seconds
    return Figure("requests_per_core_second", rate, "1/s", VM_REQUESTS_PER_SECOND)


async def _stream_tokens(sizes: _Sizes, seed: int) -> Figure:
    """Measure concurrent streams that send one token at a time."""
    async with _running_setup(TOKEN_INTERVAL_MS) as setup:
        chat = ChatSettings(setup.caller, max_tokens=sizes.tokens)
        load = LoadSettings(chat, chats=sizes.streams, turns=1, seed=seed)
        cpu_before = setup.router.cpu_seconds()
        report = await run_load(load)
        cpu_seconds = setup.router.cpu_seconds() - cpu_before
    _check_whole(report)
    rate = report.answer_tokens / cpu_seconds
    return Figure("stream_tokens_per_core_second", rate, "1/s", TOKENS_PER_CORE_SECOND)


async def _memory(sizes: _Sizes, seed: int) -> list[Figure]:
    """Measure the memory when idle and while many streams are open."""
    async with (
        _running_setup(HELD_STREAM_INTERVAL_MS) as setup,
        trio.open_nursery() as nursery,
    ):
        idle_mb = setup.router.rss_mb()
        report = LoadReport()
        chat = ChatSettings(setup.caller, max_tokens=10_000)
        load = LoadSettings(
            chat,
            chats=sizes.held_streams,
            turns=1,
            rate=STREAMS_OPENED_PER_SECOND,
            seed=seed,
        )
        nursery.start_soon(run_load, load, report)
        while report.first_token_us.get_total_count() < sizes.held_streams:
            _check_whole(report)
            await trio.sleep(POLL_SECONDS)
        loaded_mb = setup.router.rss_mb()
        nursery.cancel_scope.cancel()
    return [
        Figure("rss_mb_idle", idle_mb, "MB", VM_MEMORY_LIMIT_MB),
        Figure(
            f"rss_mb_{sizes.held_streams}_streams", loaded_mb, "MB", VM_MEMORY_LIMIT_MB
        ),
    ]


def _check_whole(report: LoadReport) -> None:
    """Fail if an answer was incomplete, as the figure would mean nothing."""
    assert report.all_whole, f"expected whole answers, got {report.as_json()}"
