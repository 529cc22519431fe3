"""A seeded event queue, and the network that faults disturb."""

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
"""One way between VMs."""

Action = Callable[[], None]


@final
class World:
    """Simulated time: actions run in the order of their instants."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.conditions = Conditions()
        self.trace: list[str] = []
        self._now = 0.0
        self._order = count()
        self._queue: list[tuple[float, int, Action]] = []

    @property
    def now(self) -> Milliseconds:
        """The present instant, as routers read it."""
        return Milliseconds(int(self._now))

    @property
    def exact_now(self) -> float:
        """The present instant in milliseconds with its fraction."""
        return self._now

    def after(self, delay_ms: float, action: Action) -> None:
        """Run ``action`` after ``delay_ms``."""
        entry = (self._now + delay_ms, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def every(self, interval_ms: float, action: Action) -> None:
        """Run ``action`` now and after each interval."""

        def repeat() -> None:
            action()
            self.after(interval_ms, repeat)

        repeat()

    def run_until(self, instant: float) -> None:
        """Run every action up to ``instant``."""
        while self._queue and self._queue[0][0] <= instant:
            self._now, _, action = heapq.heappop(self._queue)
            action()
        self._now = instant

    def note(self, text: str) -> None:
        """Add one line to the trace."""
        self.trace.append(f"{self._now:10.1f} {text}")

    def carry(self, sender: VmId, to: VmId, deliver: Action) -> None:
        """Carry one message between routers, as the conditions allow."""
        if self.conditions.is_cut(sender, to):
            return
        if self.rng.random() < self.conditions.loss:
            return
        copies = 2 if self.rng.random() < self.conditions.doubling else 1
        for _ in range(copies):
            late = self.rng.random() < self.conditions.lateness
            extra = self.rng.uniform(0, self.conditions.late_by_ms) if late else 0.0
            self.after(PEER_LATENCY_MS + extra, deliver)
