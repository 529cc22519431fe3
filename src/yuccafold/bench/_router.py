"""Measures one router: its overhead, its rates for each core, its memory."""

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
NODE_REQUESTS_PER_SECOND = 11.0
TOKENS_PER_CORE_SECOND = 20_000.0
"""A relayed token is to cost under 50 µs."""
NODE_MEMORY_MB = 128.0
LOADED_STREAMS = 1_000
TOKEN_INTERVAL_MS = 20.0
HELD_INTERVAL_MS = 1_000.0
OPENED_PER_SECOND = 200.0
"""More at once would measure how quickly the stand-in accepts connections."""


@final
@dataclass(frozen=True, slots=True)
class _Sizes:
    """How much each measurement sends."""

    lookups: int
    requests: int
    streams: int
    tokens: int
    held_streams: int


FULL = _Sizes(1_000, 4_000, 64, 300, LOADED_STREAMS)
QUICK = _Sizes(200, 500, 16, 50, 100)


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of one router before one engine and one plain service."""
    sizes = QUICK if options.quick else FULL
    yield from trio.run(_overhead, sizes, options.seed)
    yield trio.run(_requests, sizes, options.seed)
    yield trio.run(_stream_tokens, sizes, options.seed)
    yield from trio.run(_memory, sizes, options.seed)


@final
class _Bench:
    """A router in a process of its own, before targets in this one."""

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
async def _bench(interval_ms: float) -> AsyncIterator[_Bench]:
    """Run the targets and the router; a token takes ``interval_ms``."""
    cost = CostModel(0.0, interval_ms, 0.0, max_batch=LOADED_STREAMS)
    generation = GenerationSettings(cost=cost, cache_tokens=1_000_000)
    engine = ModelEngine(EngineSettings(generation=generation))
    plain = PlainService(PlainSettings())
    async with trio.open_nursery() as nursery:
        await nursery.start(engine.serve)
        await nursery.start(plain.serve)
        tree = _tree(engine.server.address, plain.server.address)
        async with router_process(tree) as router:
            yield _Bench(router, engine, plain)
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
    """Send lookups in turn through the router and direct, one at a time."""
    through, direct = LoadReport(), LoadReport()
    async with _bench(TOKEN_INTERVAL_MS) as bench:
        routes = (
            _lookup_caller(bench.caller, seed, through),
            _lookup_caller(
                CallerSettings((bench.plain.server.address,), attempts=1), seed, direct
            ),
        )
        for _ in range(sizes.lookups):
            for caller in routes:
                await caller.look_up()
        for caller in routes:
            await caller.close()
    _check(through)
    _check(direct)
    return [_overhead_figure(point, through, direct) for point in (50, 99)]


def _lookup_caller(
    caller: CallerSettings, seed: int, report: LoadReport
) -> PlainCaller:
    settings = PlainCallerSettings(caller)
    return PlainCaller("bench", settings, random.Random(seed), report)


def _overhead_figure(point: int, through: LoadReport, direct: LoadReport) -> Figure:
    """Return what the router adds; the baseline is the direct call."""
    baseline = percentile_ms(direct.call_us, point)
    added = percentile_ms(through.call_us, point) - baseline
    return Figure(f"router_overhead_ms_p{point}", added, "ms", baseline)


async def _requests(sizes: _Sizes, seed: int) -> Figure:
    """Send plain lookups side by side; the baseline is a node's share at peak."""
    async with _bench(TOKEN_INTERVAL_MS) as bench:
        plain = PlainCallerSettings(bench.caller)
        load = LoadSettings(None, plain, lookups=sizes.requests, callers=16, seed=seed)
        before = bench.router.cpu_seconds()
        _check(await run_load(load))
        used = bench.router.cpu_seconds() - before
    rate = sizes.requests / used
    return Figure("requests_per_core_second", rate, "1/s", NODE_REQUESTS_PER_SECOND)


async def _stream_tokens(sizes: _Sizes, seed: int) -> Figure:
    """Stream answers side by side, a token at a time."""
    async with _bench(TOKEN_INTERVAL_MS) as bench:
        chat = ChatSettings(bench.caller, max_tokens=sizes.tokens)
        load = LoadSettings(chat, chats=sizes.streams, turns=1, seed=seed)
        before = bench.router.cpu_seconds()
        report = await run_load(load)
        used = bench.router.cpu_seconds() - before
    _check(report)
    rate = report.answer_tokens / used
    return Figure("stream_tokens_per_core_second", rate, "1/s", TOKENS_PER_CORE_SECOND)


async def _memory(sizes: _Sizes, seed: int) -> list[Figure]:
    """Hold many streams open at once."""
    async with _bench(HELD_INTERVAL_MS) as bench, trio.open_nursery() as nursery:
        idle = bench.router.rss_mb()
        report = LoadReport()
        chat = ChatSettings(bench.caller, max_tokens=10_000)
        load = LoadSettings(
            chat, chats=sizes.held_streams, turns=1, rate=OPENED_PER_SECOND, seed=seed
        )
        nursery.start_soon(run_load, load, report)
        while report.first_token_us.get_total_count() < sizes.held_streams:
            _check(report)
            await trio.sleep(POLL_SECONDS)
        loaded = bench.router.rss_mb()
        nursery.cancel_scope.cancel()
    return [
        Figure("rss_mb_idle", idle, "MB", NODE_MEMORY_MB),
        Figure(f"rss_mb_{sizes.held_streams}_streams", loaded, "MB", NODE_MEMORY_MB),
    ]


def _check(report: LoadReport) -> None:
    """Refuse to measure answers that were not whole."""
    assert report.all_whole, f"expected whole answers, got {report.as_json()}"
