"""One chaos run: what is set up, and what is checked at its end."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain
from itertools import pairwise
from random import Random
from typing import final

from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._verdict import Verdict
from yuccafold.chaos._callers import Callers
from yuccafold.chaos._callers import CallRecord
from yuccafold.chaos._calls import Kind
from yuccafold.chaos._calls import Operation
from yuccafold.chaos._faults import MIXED_FAULTS
from yuccafold.chaos._faults import Fault
from yuccafold.chaos._platform import Platform
from yuccafold.chaos._router import Router
from yuccafold.chaos._schedule import Schedule
from yuccafold.chaos._targets import LETHAL_PREFIX
from yuccafold.chaos._targets import Run
from yuccafold.chaos._targets import SimulatedTarget
from yuccafold.chaos._world import World
from yuccafold.delivery import ClaimKey
from yuccafold.delivery import ClaimTiming
from yuccafold.settings import ClaimSettings
from yuccafold.settings import Policy

ROUTERS = 8
PLAIN_TARGETS = 4
ENGINES = 5
SETTINGS = ClaimSettings(seats=5, key_lifetime_ms=20_000, list_lag_ms=10_000)
POLICY = Policy()

WARM_MS = 35_000.0
"""The routers' own start is over: every seat votes."""

BUSY_MS = 150_000.0
DRAIN_MS = 40_000.0

MAX_PARTS = 4
"""Parts of the fleet that two faults at once can keep from each other."""


@final
@dataclass(frozen=True, slots=True)
class Load:
    """How many operations callers want done in a run.

    Each lethal request comes from ``lethal_callers`` callers at once.
    """

    bookings: int = 220
    unkeyed: int = 40
    lookups: int = 60
    chats: int = 60
    lethal: int = 2
    lethal_callers: int = 1


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """What callers want, which faults come, and the engines one request may end.

    Two of ``faults`` come at a time, or the only one.
    """

    load: Load = Load()
    faults: tuple[Fault, ...] = MIXED_FAULTS
    max_engines_lost: int = MAX_PARTS * POLICY.lethal_attempts


MIXED = Scenario()
LETHAL_LOAD = Load(bookings=0, unkeyed=0, lookups=0, lethal=10, lethal_callers=8)
CALM_LETHAL = Scenario(LETHAL_LOAD, (), POLICY.lethal_attempts)
LOSSY_LETHAL = Scenario(LETHAL_LOAD, (Fault.LOSS,), POLICY.lethal_attempts)
BOOKINGS_LOAD = Load(bookings=500, unkeyed=0, lookups=0, chats=0, lethal=0)
LATE_RESTARTS = Scenario(BOOKINGS_LOAD, (Fault.RESTARTS, Fault.LATENESS))
SILENT_PAUSES = Scenario(BOOKINGS_LOAD, (Fault.PAUSES, Fault.SILENCE))


@final
@dataclass(frozen=True, slots=True)
class ChaosResult:
    """What a run counted; every violation is one line."""

    seed: int
    calls: int
    answered: int
    refused_not_run: int
    may_have_run: int
    unanswered: int
    runs_of_more_than_one: int
    false_not_run: int
    partial_as_whole: int
    wrong_answers: int
    engines_lost: int
    booking_calls: int
    booking_refused: int
    violations: tuple[str, ...]
    trace: tuple[str, ...]
    codes: Counter[str]


@final
class ChaosRun:
    """Eight routers, their targets and callers, under a schedule of faults."""

    def __init__(self, seed: int, scenario: Scenario = MIXED) -> None:
        self._seed = seed
        self._scenario = scenario
        self._rng = Random(seed)
        self._world = World(self._rng)
        vms = [VmId(f"vm-{number}") for number in range(ROUTERS)]
        timing = ClaimTiming.of(SETTINGS)
        self._platform = Platform(self._world, vms, timing.list_fresh)
        self._targets = self._start_targets("plain", PLAIN_TARGETS)
        self._engines = self._start_targets("engine", ENGINES)
        self._routers = tuple(
            Router(
                vm,
                self._world,
                SETTINGS,
                POLICY,
                self._targets,
                self._engines,
                self._platform.read,
            )
            for vm in vms
        )
        for router in self._routers:
            router.peers = {each.vm: each for each in self._routers}
        self._callers = Callers(self._world, self._routers)
        self._schedule = Schedule(
            self._world, self._routers, self._platform, scenario.faults
        )
        self._want(scenario.load)

    def run(self) -> ChaosResult:
        """Run to the end and check what happened."""
        self._schedule.begin(WARM_MS, WARM_MS + BUSY_MS)
        self._world.run_until(WARM_MS + BUSY_MS + DRAIN_MS)
        return self.result()

    def result(self, *further: str) -> ChaosResult:
        """Return what happened so far; ``further`` are violations seen elsewhere."""
        return self._result(further)

    def _start_targets(self, prefix: str, count: int) -> tuple[SimulatedTarget, ...]:
        return tuple(
            SimulatedTarget(TargetId(f"{prefix}-{number}"), self._world)
            for number in range(count)
        )

    def _want(self, load: Load) -> None:
        """Spread the operations over the time in which faults come."""
        bodies = [
            *(_booking(number) for number in range(load.bookings)),
            *(_plain(Kind.UNKEYED, b"unkeyed", each) for each in range(load.unkeyed)),
            *(_plain(Kind.LOOKUP, b"lookup", each) for each in range(load.lookups)),
            *(_plain(Kind.CHAT, b"chat", each) for each in range(load.chats)),
        ]
        for operation in bodies:
            self._callers.want(operation, WARM_MS + self._rng.uniform(0, BUSY_MS))
        for number in range(load.lethal):
            at_ms = WARM_MS + self._rng.uniform(0, BUSY_MS)
            for _ in range(load.lethal_callers):
                self._callers.want(_plain(Kind.CHAT, LETHAL_PREFIX, number), at_ms)

    def _result(self, further: tuple[str, ...]) -> ChaosResult:
        records = tuple(self._callers.records.values())
        verdicts = Counter(
            record.outcome.verdict for record in records if record.outcome is not None
        )
        doubled = tuple(self._doubled_runs())
        false = tuple(self._false_not_run())
        partial = tuple(_partial(records))
        wrong = tuple(_wrong(records))
        lost = tuple(self._engines_lost())
        return ChaosResult(
            seed=self._seed,
            calls=len(records),
            answered=verdicts[Verdict.COMPLETE],
            refused_not_run=verdicts[Verdict.NOT_RUN],
            may_have_run=verdicts[Verdict.MAY_HAVE_RUN],
            unanswered=len(records) - verdicts.total(),
            runs_of_more_than_one=len(doubled),
            false_not_run=len(false),
            partial_as_whole=len(partial),
            wrong_answers=len(wrong),
            booking_calls=sum(1 for each in records if _is_booking(each)),
            booking_refused=sum(
                1
                for each in records
                if _is_booking(each)
                and each.outcome is not None
                and each.outcome.verdict is Verdict.NOT_RUN
                and each.outcome.code != "key-reused"
            ),
            engines_lost=max(self._kills().values(), default=0),
            violations=doubled + false + partial + wrong + lost + further,
            trace=tuple(self._world.trace),
            codes=Counter(each.outcome.code for each in records if each.outcome),
        )

    def _doubled_runs(self) -> Iterator[str]:
        """Yield the runs of one key that lie within its lifetime."""
        runs_of: defaultdict[ClaimKey, list[Run]] = defaultdict(list)
        for run in chain.from_iterable(target.runs for target in self._targets):
            key = self._callers.records[run.call].call.operation.key
            if key is not None:
                runs_of[key].append(run)
        yield from self._doubled_calls()
        for runs in runs_of.values():
            runs.sort(key=lambda run: run.at_ms)
            for one, other in pairwise(runs):
                if other.at_ms - one.at_ms < SETTINGS.key_lifetime_ms:
                    yield f"two runs of a key: {one.call} and {other.call}"

    def _doubled_calls(self) -> Iterator[str]:
        """Yield the calls without a key that ran more than once."""
        counts = Counter(run.call for target in self._targets for run in target.runs)
        for call, runs in counts.items():
            kind = self._callers.records[call].call.operation.kind
            if runs > 1 and kind is Kind.UNKEYED:
                yield f"{runs} runs of one call: {call}"

    def _false_not_run(self) -> Iterator[str]:
        for target in self._targets + self._engines:
            for run in target.runs:
                outcome = self._callers.records[run.call].outcome
                if outcome is not None and outcome.verdict is Verdict.NOT_RUN:
                    yield f"said not run, but ran: {run.call} ({outcome.code})"

    def _kills(self) -> Counter[bytes]:
        """Return how many engines each lethal request ended."""
        return Counter(
            body for engine in self._engines for body in engine.deaths if body
        )

    def _engines_lost(self) -> Iterator[str]:
        for body, lost in self._kills().items():
            if lost > self._scenario.max_engines_lost:
                yield f"{body!r} ended {lost} engines"


def _booking(number: int) -> Operation:
    """Return a booking; one in ten reuses a key for another body."""
    owner = number - 1 if number % 10 == 9 else number
    return Operation(Kind.BOOKING, b"booking %d" % number, ClaimKey(b"key %d" % owner))


def _plain(kind: Kind, prefix: bytes, number: int) -> Operation:
    return Operation(kind, b"%s %d" % (prefix, number))


def _is_booking(record: CallRecord) -> bool:
    return record.call.operation.kind is Kind.BOOKING


def _expected(record: CallRecord) -> bytes:
    return b"answer to " + record.call.operation.body


def _answered(records: tuple[CallRecord, ...]) -> Iterator[CallRecord]:
    for record in records:
        if record.outcome is not None and record.outcome.body is not None:
            yield record


def _partial(records: tuple[CallRecord, ...]) -> Iterator[str]:
    for record in _answered(records):
        body = record.outcome.body
        if body != _expected(record) and _expected(record).startswith(body):
            yield f"part taken as whole: {record.call.id}"


def _wrong(records: tuple[CallRecord, ...]) -> Iterator[str]:
    for record in _answered(records):
        if not _expected(record).startswith(record.outcome.body):
            yield f"another call's answer: {record.call.id}"
