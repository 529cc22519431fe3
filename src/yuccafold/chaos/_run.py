"""One chaos run: its setup, and the checks at its end."""

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
from yuccafold.chaos._calls import Operation
from yuccafold.chaos._calls import OperationKind
from yuccafold.chaos._faults import MIXED_FAULTS
from yuccafold.chaos._faults import Fault
from yuccafold.chaos._platform import Platform
from yuccafold.chaos._router import SimulatedRouter
from yuccafold.chaos._schedule import Schedule
from yuccafold.chaos._targets import LETHAL_PREFIX
from yuccafold.chaos._targets import SimulatedTarget
from yuccafold.chaos._targets import TargetRun
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

WARM_UP_MS = 35_000.0
"""After this time the routers have started and every voter votes."""

LOAD_MS = 150_000.0
"""Operations and faults start within this time after the warm-up."""

DRAIN_MS = 40_000.0
"""The last part of a run: no operation or fault starts, those active go on."""

MAX_FLEET_PARTS = 4
"""The largest number of parts into which two concurrent faults split the fleet."""


@final
@dataclass(frozen=True, slots=True)
class Load:
    """The number of operations of each kind in a run.

    Each lethal request is sent by ``lethal_callers`` callers at the same time.
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
    """The load, the faults, and how many engines one request may crash.

    Two of ``faults`` are active at a time, or the only one.
    """

    load: Load = Load()
    faults: tuple[Fault, ...] = MIXED_FAULTS
    max_engines_lost: int = MAX_FLEET_PARTS * POLICY.lethal_attempts


MIXED = Scenario()
LETHAL_LOAD = Load(bookings=0, unkeyed=0, lookups=0, lethal=10, lethal_callers=8)
LETHAL_WITHOUT_FAULTS = Scenario(LETHAL_LOAD, (), POLICY.lethal_attempts)
LETHAL_WITH_LOSS = Scenario(LETHAL_LOAD, (Fault.LOSS,), POLICY.lethal_attempts)
BOOKINGS_LOAD = Load(bookings=500, unkeyed=0, lookups=0, chats=0, lethal=0)
RESTARTS_AND_LATENESS = Scenario(BOOKINGS_LOAD, (Fault.RESTARTS, Fault.LATENESS))
PAUSES_AND_SILENCE = Scenario(BOOKINGS_LOAD, (Fault.PAUSES, Fault.SILENCE))


@final
@dataclass(frozen=True, slots=True)
class ChaosResult:
    """The counts of a run, and a line for each violation."""

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
    """Simulates eight routers, their targets and callers under a schedule of faults."""

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
            SimulatedRouter(
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
            router.peers = {peer.vm: peer for peer in self._routers}
        self._callers = Callers(self._world, self._routers)
        self._schedule = Schedule(
            self._world, self._routers, self._platform, scenario.faults
        )
        self._schedule_load(scenario.load)

    def run(self) -> ChaosResult:
        """Run to the end and return the result."""
        self._schedule.begin(WARM_UP_MS, WARM_UP_MS + LOAD_MS)
        self._world.run_until(WARM_UP_MS + LOAD_MS + DRAIN_MS)
        return self.result()

    def result(self, *other_violations: str) -> ChaosResult:
        """Return the result so far, with ``other_violations`` that the caller found."""
        return self._collect_result(other_violations)

    def _start_targets(self, prefix: str, count: int) -> tuple[SimulatedTarget, ...]:
        return tuple(
            SimulatedTarget(TargetId(f"{prefix}-{number}"), self._world)
            for number in range(count)
        )

    def _schedule_load(self, load: Load) -> None:
        """Schedule the operations at random times while faults are active."""
        operations = [
            *(_booking(number) for number in range(load.bookings)),
            *(
                _operation(OperationKind.UNKEYED, b"unkeyed", each)
                for each in range(load.unkeyed)
            ),
            *(
                _operation(OperationKind.LOOKUP, b"lookup", each)
                for each in range(load.lookups)
            ),
            *(
                _operation(OperationKind.CHAT, b"chat", each)
                for each in range(load.chats)
            ),
        ]
        for operation in operations:
            self._callers.schedule(
                operation, WARM_UP_MS + self._rng.uniform(0, LOAD_MS)
            )
        for number in range(load.lethal):
            at_ms = WARM_UP_MS + self._rng.uniform(0, LOAD_MS)
            for _ in range(load.lethal_callers):
                self._callers.schedule(
                    _operation(OperationKind.CHAT, LETHAL_PREFIX, number), at_ms
                )

    def _collect_result(self, other_violations: tuple[str, ...]) -> ChaosResult:
        records = tuple(self._callers.records.values())
        verdicts = Counter(
            record.outcome.verdict for record in records if record.outcome is not None
        )
        duplicate_runs = tuple(self._duplicate_runs())
        false_not_run = tuple(self._false_not_run())
        partial = tuple(_partial_answers(records))
        wrong = tuple(_wrong_answers(records))
        engines_lost = tuple(self._excess_engines_lost())
        return ChaosResult(
            seed=self._seed,
            calls=len(records),
            answered=verdicts[Verdict.COMPLETE],
            refused_not_run=verdicts[Verdict.NOT_RUN],
            may_have_run=verdicts[Verdict.MAY_HAVE_RUN],
            unanswered=len(records) - verdicts.total(),
            runs_of_more_than_one=len(duplicate_runs),
            false_not_run=len(false_not_run),
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
            engines_lost=max(self._engines_lost_by_request().values(), default=0),
            violations=duplicate_runs
            + false_not_run
            + partial
            + wrong
            + engines_lost
            + other_violations,
            trace=tuple(self._world.trace),
            codes=Counter(each.outcome.code for each in records if each.outcome),
        )

    def _duplicate_runs(self) -> Iterator[str]:
        """Yield the runs of one key within its lifetime, and of one unkeyed call."""
        runs_by_key: defaultdict[ClaimKey, list[TargetRun]] = defaultdict(list)
        for run in chain.from_iterable(target.runs for target in self._targets):
            key = self._callers.records[run.call].call.operation.key
            if key is not None:
                runs_by_key[key].append(run)
        yield from self._duplicate_unkeyed_runs()
        for runs in runs_by_key.values():
            runs.sort(key=lambda run: run.at_ms)
            for one, other in pairwise(runs):
                if other.at_ms - one.at_ms < SETTINGS.key_lifetime_ms:
                    yield f"two runs of a key: {one.call} and {other.call}"

    def _duplicate_unkeyed_runs(self) -> Iterator[str]:
        """Yield the unkeyed calls that ran more than once."""
        counts = Counter(run.call for target in self._targets for run in target.runs)
        for call, runs in counts.items():
            kind = self._callers.records[call].call.operation.kind
            if runs > 1 and kind is OperationKind.UNKEYED:
                yield f"{runs} runs of one call: {call}"

    def _false_not_run(self) -> Iterator[str]:
        for target in self._targets + self._engines:
            for run in target.runs:
                outcome = self._callers.records[run.call].outcome
                if outcome is not None and outcome.verdict is Verdict.NOT_RUN:
                    yield f"reported as not run, but ran: {run.call} ({outcome.code})"

    def _engines_lost_by_request(self) -> Counter[bytes]:
        """Return how many engines each lethal request crashed."""
        return Counter(
            body for engine in self._engines for body in engine.crashes if body
        )

    def _excess_engines_lost(self) -> Iterator[str]:
        for body, lost in self._engines_lost_by_request().items():
            if lost > self._scenario.max_engines_lost:
                yield f"{body!r} crashed {lost} engines"


def _booking(number: int) -> Operation:
    """Return a booking; one in ten reuses the key of another with a different body."""
    key_number = number - 1 if number % 10 == 9 else number
    return Operation(
        OperationKind.BOOKING, b"booking %d" % number, ClaimKey(b"key %d" % key_number)
    )


def _operation(kind: OperationKind, prefix: bytes, number: int) -> Operation:
    return Operation(kind, b"%s %d" % (prefix, number))


def _is_booking(record: CallRecord) -> bool:
    return record.call.operation.kind is OperationKind.BOOKING


def _expected_body(record: CallRecord) -> bytes:
    return b"answer to " + record.call.operation.body


def _records_with_body(records: tuple[CallRecord, ...]) -> Iterator[CallRecord]:
    for record in records:
        if record.outcome is not None and record.outcome.body is not None:
            yield record


def _partial_answers(records: tuple[CallRecord, ...]) -> Iterator[str]:
    for record in _records_with_body(records):
        body = record.outcome.body
        if body != _expected_body(record) and _expected_body(record).startswith(body):
            yield f"partial answer accepted as complete: {record.call.id}"


def _wrong_answers(records: tuple[CallRecord, ...]) -> Iterator[str]:
    for record in _records_with_body(records):
        if not _expected_body(record).startswith(record.outcome.body):
            yield f"another call's answer: {record.call.id}"
