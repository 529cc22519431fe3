"""Callers that repeat what got no answer, each time through another VM."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from typing import final

from yuccafold._ids import CallId
from yuccafold._verdict import Verdict
from yuccafold.chaos._calls import Call
from yuccafold.chaos._calls import Kind
from yuccafold.chaos._calls import Operation
from yuccafold.chaos._calls import Outcome
from yuccafold.chaos._router import Router
from yuccafold.chaos._world import World

MAX_CALLS = 20
"""Calls that a caller makes for one operation."""

PATIENCE_MS = 6_000.0
REPEAT_WITHIN_MS = 12_000.0
HASTY_SHARE = 0.15
"""Share of calls that are repeated while they run."""


@final
@dataclass(slots=True)
class CallRecord:
    """A call, when it was received and what the caller got."""

    call: Call
    received_ms: float
    outcome: Outcome | None = None


@final
class Callers:
    """All callers of a run, and a record of each of their calls."""

    def __init__(self, world: World, routers: Sequence[Router]) -> None:
        self.records: dict[CallId, CallRecord] = {}
        self._world = world
        self._routers = routers
        self._numbers = count()
        self._made: defaultdict[int, int] = defaultdict(int)
        self._done: set[int] = set()

    def want(self, operation: Operation, at_ms: float) -> None:
        """Begin ``operation`` at an instant."""
        number = next(self._numbers)
        self._world.after(at_ms, lambda: self._call(number, operation))

    def _call(self, number: int, operation: Operation) -> None:
        if number in self._done or self._made[number] >= MAX_CALLS:
            return
        self._made[number] += 1
        name = CallId(f"{operation.kind.value}-{number}.{self._made[number]}")
        call = Call(name, operation)
        record = CallRecord(call, self._world.exact_now)
        self.records[name] = record
        router = self._world.rng.choice(self._routers)
        self._world.note(f"{name} goes to {router.vm} with {operation.body!r}")
        router.receive(call, lambda outcome: self._took(number, record, outcome))
        is_hasty = self._world.rng.random() < HASTY_SHARE
        if is_hasty and operation.kind is not Kind.UNKEYED:
            self._repeat(number, operation, 100.0)
        self._world.after(PATIENCE_MS, lambda: self._lost_patience(number, record))

    def _took(self, number: int, record: CallRecord, outcome: Outcome) -> None:
        if record.outcome is not None:
            raise AssertionError(f"{record.call.id} was answered twice")
        record.outcome = outcome
        self._world.note(f"{record.call.id} got {outcome.verdict.value} {outcome.code}")
        if outcome.verdict is Verdict.COMPLETE or outcome.code == "key-reused":
            self._done.add(number)
            return
        is_lost = outcome.verdict is Verdict.MAY_HAVE_RUN
        if not (is_lost and record.call.operation.kind is Kind.UNKEYED):
            self._repeat(number, record.call.operation, REPEAT_WITHIN_MS)

    def _lost_patience(self, number: int, record: CallRecord) -> None:
        if record.outcome is None and record.call.operation.kind is not Kind.UNKEYED:
            self._repeat(number, record.call.operation, REPEAT_WITHIN_MS)

    def _repeat(self, number: int, operation: Operation, within_ms: float) -> None:
        delay = self._world.rng.uniform(1.0, within_ms)
        if operation.kind is Kind.CHAT:
            delay = min(delay, 1_000.0)
        self._world.after(delay, lambda: self._call(number, operation))
