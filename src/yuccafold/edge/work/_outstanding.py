"""What each target still has to do, as this VM and the others know it."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import TargetId
from yuccafold.edge.work._costs import CallCost

WORK_REPORT_LIFETIME = Milliseconds(2_000)
"""How long what other VMs report is used: they report every 450 to 750 ms."""

LEAST_REMAINING_SHARE = 0.1
"""Share of its estimate that a running call still counts with, however late it is: it
holds its slot until it ends."""


@final
@dataclass(frozen=True, slots=True)
class Work:
    """Work of a target at its usual pace: prompts to read, and answers to write.

    Prompts are read one after the other, answers are written side by side.
    """

    read_ms: float = 0.0
    write_ms: float = 0.0

    def __add__(self, other: Work) -> Work:
        """Return the sum of both."""
        return Work(self.read_ms + other.read_ms, self.write_ms + other.write_ms)

    def minus(self, part: Work) -> Work:
        """Return what is left without ``part``, at least nothing."""
        return Work(
            max(0.0, self.read_ms - part.read_ms),
            max(0.0, self.write_ms - part.write_ms),
        )


NO_WORK = Work()

WorkTable = Mapping[TargetId, Work]
"""Work by target."""


def add_work(tables: Iterable[WorkTable]) -> dict[TargetId, Work]:
    """Return the sum by target."""
    # Seeds add up the work of all VMs ten times a second.
    sums: dict[TargetId, list[float]] = {}
    for table in tables:
        for target, work in table.items():
            known = sums.get(target)
            if known is None:
                sums[target] = [work.read_ms, work.write_ms]
            else:
                known[0] += work.read_ms
                known[1] += work.write_ms
    return {target: Work(read, write) for target, (read, write) in sums.items()}


@final
class RunningCall:
    """A call of this VM at its target, and how far it has come."""

    __slots__ = ("cost", "sent_at", "first_event_at", "known_read", "expected_first_ms")

    def __init__(
        self,
        cost: CallCost,
        sent_at: Milliseconds,
        known_read: bool,
        expected_first_ms: float,
    ) -> None:
        self.cost = cost
        self.sent_at = sent_at
        self.first_event_at: Milliseconds | None = None
        self.known_read = known_read
        self.expected_first_ms = expected_first_ms

    def remaining(self, pace: float, now: Milliseconds) -> Work:
        """Return what the target still has to do for the call."""
        cost = self.cost
        least = LEAST_REMAINING_SHARE * cost.decode_ms
        if self.first_event_at is None and cost.read_tokens:
            return Work(cost.prefill_ms, cost.decode_ms)
        begun_at = self.sent_at if self.first_event_at is None else self.first_event_at
        done = (now - begun_at) / pace
        return Work(0.0, max(least, cost.decode_ms - done))


@final
class OutstandingWork:
    """Adds up the work of this VM's running calls and that of other VMs by target."""

    def __init__(self) -> None:
        self._calls: dict[TargetId, dict[CallId, RunningCall]] = {}
        self._others: WorkTable = {}
        self._told_at: Milliseconds | None = None

    def start(self, call: CallId, target: TargetId, running: RunningCall) -> None:
        """Count a call that is about to be sent to ``target``."""
        self._calls.setdefault(target, {})[call] = running

    def running(self, call: CallId, target: TargetId) -> RunningCall | None:
        """Return a call of this VM that runs at ``target``."""
        return self._calls.get(target, {}).get(call)

    def finish(self, call: CallId, target: TargetId) -> RunningCall | None:
        """Count the end of a call, and return what was known of it."""
        calls = self._calls.get(target, {})
        running = calls.pop(call, None)
        if not calls:
            self._calls.pop(target, None)
        return running

    def work(self, target: TargetId, pace: float, now: Milliseconds) -> Work:
        """Return what ``target`` still has to do for all VMs."""
        others = (
            self._others.get(target, NO_WORK)
            if self._told_at is not None and now - self._told_at <= WORK_REPORT_LIFETIME
            else NO_WORK
        )
        return others + self.local_work(target, pace, now)

    def local_work(self, target: TargetId, pace: float, now: Milliseconds) -> Work:
        """Return what ``target`` still has to do for this VM."""
        calls = self._calls.get(target)
        if not calls:
            return NO_WORK
        remaining = [running.remaining(pace, now) for running in calls.values()]
        return Work(
            sum(work.read_ms for work in remaining),
            sum(work.write_ms for work in remaining),
        )

    def targets(self) -> list[TargetId]:
        """Return the targets at which calls of this VM run."""
        return list(self._calls)

    def record_told(
        self, total: WorkTable, local_part: WorkTable, now: Milliseconds
    ) -> None:
        """Use the work of all VMs, of which this VM reported ``local_part``."""
        self._others = {
            target: work.minus(local_part.get(target, NO_WORK))
            for target, work in total.items()
        }
        self._told_at = now
