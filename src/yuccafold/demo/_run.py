"""Runs the demonstration and reports its problems."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import final

import trio

from yuccafold.demo._fleet import DemoFleet
from yuccafold.demo._settings import KEY
from yuccafold.demo._settings import DemoSettings
from yuccafold.load import CallerSettings
from yuccafold.load import ChatSettings
from yuccafold.load import LoadReport
from yuccafold.load import LoadSettings
from yuccafold.load import Outcome
from yuccafold.load import PlainCallerSettings
from yuccafold.load import run_load
from yuccafold.standins import ModelEngine

SAMPLE_INTERVAL_SECONDS = 0.05
PROGRESS_POLL_SECONDS = 0.02
ENGINE_DRAIN_SHARE = 1 / 3
"""The share of turns and calls that end before an engine is drained."""
ROUTER_RESTART_SHARE = 1 / 2
"""The share of turns and calls that end before a router is restarted."""


@final
@dataclass(slots=True)
class DemoResult:
    """Totals and observations of the demonstration."""

    report: LoadReport = field(default_factory=LoadReport)
    runs_by_key: Counter[str] = field(default_factory=Counter)
    skews: list[float] = field(default_factory=list)
    """Samples of the skew between engines that are not draining.

    It is the largest over the mean number of requests in flight on one engine.
    """
    control_bytes: int = 0
    routers: int = 0
    seconds: float = 0.0
    events: list[str] = field(default_factory=list)
    finished: bool = False

    @property
    def problems(self) -> tuple[str, ...]:
        """A line for each problem of a turn or call, or a timeout; empty on success."""
        return tuple(self._problems())

    def rows(self) -> Iterator[tuple[str, str]]:
        """Yield the name and value of each row of the printed table."""
        yield from self.report.rows()
        calls_by_runs = Counter(
            self.runs_by_key[call.key] for call in self.report.calls
        )
        parts = (
            f"{calls} ran {runs} times" for runs, calls in sorted(calls_by_runs.items())
        )
        yield "runs per call", ", ".join(parts) or "-"
        yield "skew (max/mean)", self._skew()
        rate = self.control_bytes / max(self.routers, 1) / max(self.seconds, 1e-9)
        yield "control bytes", f"{rate:.0f} per router per second"
        yield "meanwhile", ", ".join(self.events) or "-"
        yield "duration", f"{self.seconds:.1f} s"

    def _skew(self) -> str:
        ordered = sorted(self.skews)
        if not ordered:
            return "-"
        median, largest = ordered[len(ordered) // 2], ordered[-1]
        return f"p50 {median:.2f}, largest {largest:.2f} in {len(ordered)} samples"

    def _problems(self) -> Iterator[str]:
        if not self.finished:
            yield f"not finished after {self.seconds:.1f} s"
        for kind, outcomes in (
            ("chat turns", self.report.turns),
            ("calls", self.report.call_outcomes),
        ):
            for outcome, count in outcomes.items():
                if outcome is not Outcome.WHOLE:
                    yield f"{count} {kind} ended {outcome.value}"
        for key, runs in self.runs_by_key.items():
            if runs > 1:
                yield f"call {key} ran {runs} times"
        for call in self.report.calls:
            ran = self.runs_by_key[call.key]
            if call.outcome is Outcome.WHOLE and not ran:
                yield f"call {call.key} was answered and did not run"
            if call.outcome is Outcome.REFUSED and ran:
                yield f"call {call.key} was refused as not run and ran"


async def run_demo(settings: DemoSettings) -> DemoResult:
    """Run the demonstration; return its result."""
    result = DemoResult(routers=settings.routers)
    started = trio.current_time()
    with trio.move_on_after(settings.limit_seconds):
        async with trio.open_nursery() as nursery:
            fleet = DemoFleet(settings, nursery)
            await fleet.start()
            nursery.start_soon(_sample_skew, fleet.engines, result)
            async with trio.open_nursery() as load:
                load.start_soon(
                    run_load, _load_settings(settings, fleet), result.report
                )
                load.start_soon(_disturb, settings, fleet, result)
            result.runs_by_key = fleet.runs_by_key
            result.control_bytes = fleet.control_bytes
            result.finished = True
            nursery.cancel_scope.cancel()
    result.seconds = trio.current_time() - started
    return result


def _load_settings(settings: DemoSettings, fleet: DemoFleet) -> LoadSettings:
    caller = CallerSettings(fleet.router_addresses, KEY, attempts=8)
    return LoadSettings(
        ChatSettings(caller),
        PlainCallerSettings(caller),
        chats=settings.chats,
        turns=settings.turns,
        calls=settings.calls,
        rate=settings.rate,
        seed=settings.seed,
    )


async def _disturb(
    settings: DemoSettings, fleet: DemoFleet, result: DemoResult
) -> None:
    """Drain an engine and restart a router while load is sent."""
    total = settings.chats * settings.turns + settings.calls
    await _wait_until_ended(result.report, total * ENGINE_DRAIN_SHARE)
    fleet.drain_engine()
    result.events.append("one engine left")
    await _wait_until_ended(result.report, total * ROUTER_RESTART_SHARE)
    await fleet.restart_router()
    result.events.append("one router restarted")


async def _wait_until_ended(report: LoadReport, count: float) -> None:
    """Wait until ``count`` turns and calls have ended."""
    while report.turns.total() + len(report.calls) < count:
        await trio.sleep(PROGRESS_POLL_SECONDS)


async def _sample_skew(engines: tuple[ModelEngine, ...], result: DemoResult) -> None:
    """Sample the skew of the load on the engines that accept chats.

    No sample is taken while there are fewer requests than engines.
    """
    while True:
        accepting = [engine for engine in engines if not engine.state.draining]
        loads = [engine.generator.load.in_flight for engine in accepting]
        if sum(loads) >= len(loads):
            result.skews.append(max(loads) * len(loads) / sum(loads))
        await trio.sleep(SAMPLE_INTERVAL_SECONDS)
