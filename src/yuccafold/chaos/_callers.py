"""Callers that repeat an operation until it is answered, through random VMs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from typing import final

from yuccafold._ids import CallId
from yuccafold._verdict import Verdict
from yuccafold.chaos._calls import Call
from yuccafold.chaos._calls import Operation
from yuccafold.chaos._calls import OperationKind
from yuccafold.chaos._calls import Outcome
from yuccafold.chaos._router import SimulatedRouter
from yuccafold.chaos._world import World

MAX_CALLS_PER_OPERATION = 20
"""The largest number of calls that a caller makes for one operation."""

CALLER_TIMEOUT_MS = 6_000.0
MAX_REPEAT_DELAY_MS = 12_000.0
EARLY_REPEAT_SHARE = 0.15
"""Share of calls, except unkeyed ones, repeated without waiting for the outcome."""


@final
@dataclass(slots=True)
class CallRecord:
    """A call, when a router received it, and its outcome once there is one."""

    call: Call
    received_ms: float
    outcome: Outcome | None = None


@final
class Callers:
    """All callers of a run, with a record of each call."""

    def __init__(self, world: World, routers: Sequence[SimulatedRouter]) -> None:
        self.records: dict[CallId, CallRecord] = {}
        self._world = world
        self._routers = routers
        self._numbers = count()
        self._calls_made: defaultdict[int, int] = defaultdict(int)
        self._finished: set[int] = set()

    def schedule(self, operation: Operation, delay_ms: float) -> None:
        """Start ``operation`` after ``delay_ms``."""
        number = next(self._numbers)
        self._world.after(delay_ms, lambda: self._make_call(number, operation))

    def _make_call(self, number: int, operation: Operation) -> None:
        if (
            number in self._finished
            or self._calls_made[number] >= MAX_CALLS_PER_OPERATION
        ):
            return
        self._calls_made[number] += 1
        call_id = CallId(f"{operation.kind.value}-{number}.{self._calls_made[number]}")
        call = Call(call_id, operation)
        record = CallRecord(call, self._world.exact_now)
        self.records[call_id] = record
        router = self._world.rng.choice(self._routers)
        self._world.record(f"{call_id} goes to {router.vm} with {operation.body!r}")
        router.receive_call(
            call, lambda outcome: self._record_outcome(number, record, outcome)
        )
        repeats_early = self._world.rng.random() < EARLY_REPEAT_SHARE
        if repeats_early and operation.kind is not OperationKind.UNKEYED:
            self._schedule_repeat(number, operation, 100.0)
        self._world.after(CALLER_TIMEOUT_MS, lambda: self._on_timeout(number, record))

    def _record_outcome(
        self, number: int, record: CallRecord, outcome: Outcome
    ) -> None:
        if record.outcome is not None:
            raise AssertionError(f"{record.call.id} was answered twice")
        record.outcome = outcome
        self._world.record(
            f"{record.call.id} got {outcome.verdict.value} {outcome.code}"
        )
        if outcome.verdict is Verdict.COMPLETE or outcome.code == "key-reused":
            self._finished.add(number)
            return
        may_have_run = outcome.verdict is Verdict.MAY_HAVE_RUN
        if not (may_have_run and record.call.operation.kind is OperationKind.UNKEYED):
            self._schedule_repeat(number, record.call.operation, MAX_REPEAT_DELAY_MS)

    def _on_timeout(self, number: int, record: CallRecord) -> None:
        if (
            record.outcome is None
            and record.call.operation.kind is not OperationKind.UNKEYED
        ):
            self._schedule_repeat(number, record.call.operation, MAX_REPEAT_DELAY_MS)

    def _schedule_repeat(
        self, number: int, operation: Operation, max_delay_ms: float
    ) -> None:
        delay = self._world.rng.uniform(1.0, max_delay_ms)
        if operation.kind is OperationKind.CHAT:
            delay = min(delay, 1_000.0)
        self._world.after(delay, lambda: self._make_call(number, operation))
