"""Simulated time and network of a chaos run, both decided by its seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.chaos._faults import Conditions

PEER_LATENCY_MS = 1.0
"""The time of a message between two VMs, one way."""

Action = Callable[[], None]


@final
class World:
    """An event queue, which runs scheduled actions in the order of their times."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.conditions = Conditions()
        self.trace: list[str] = []
        self._now = 0.0
        self._order = count()
        self._queue: list[tuple[float, int, Action]] = []

    @property
    def now(self) -> Milliseconds:
        """The simulated time in whole milliseconds, as the routers' clock shows it."""
        return Milliseconds(int(self._now))

    @property
    def exact_now(self) -> float:
        """The simulated time in milliseconds, with its fraction."""
        return self._now

    def after(self, delay_ms: float, action: Action) -> None:
        """Schedule ``action`` after ``delay_ms``."""
        entry = (self._now + delay_ms, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def every(self, interval_ms: float, action: Action) -> None:
        """Run ``action`` now and after every interval."""

        def repeat() -> None:
            action()
            self.after(interval_ms, repeat)

        repeat()

    def run_until(self, end_ms: float) -> None:
        """Run all actions scheduled up to ``end_ms``."""
        while self._queue and self._queue[0][0] <= end_ms:
            self._now, _, action = heapq.heappop(self._queue)
            action()
        self._now = end_ms

    def record(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self._now:10.1f} {text}")

    def send_message(self, sender: VmId, to: VmId, deliver: Action) -> None:
        """Deliver a message between routers: once, twice, late or never.

        ``conditions`` sets the probability of each.
        """
        if self.conditions.is_cut(sender, to):
            return
        if self.rng.random() < self.conditions.loss:
            return
        copies = 2 if self.rng.random() < self.conditions.doubling else 1
        for _ in range(copies):
            late = self.rng.random() < self.conditions.lateness
            extra = self.rng.uniform(0, self.conditions.late_by_ms) if late else 0.0
            self.after(PEER_LATENCY_MS + extra, deliver)
