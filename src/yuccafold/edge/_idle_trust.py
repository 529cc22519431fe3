"""How long a connection may have rested and still carry a call that runs once."""

from __future__ import annotations

from collections import deque
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId

LONGEST_REST = Milliseconds(10_000)
"""A call that runs once takes no connection that rested longer: it may be dead."""

SHORTEST_REST = Milliseconds(50)
"""Connections that rested less are always taken: they were just used."""

RESETS = 2
"""Resets of connections that had rested that tell a habit from chance."""

RESET_WINDOW = Milliseconds(3_000)
"""Time within which these must come."""

DISTRUST = Milliseconds(6_000)
"""How long shorter rests are asked for after the last reset: troubles of targets
last about five seconds."""


@final
class IdleTrust:
    """Learns for each service after which rest its targets drop connections.

    A call that may have run can't be sent again, so one that runs once is lost
    on a connection that its target dropped without notice. Answers targets that
    drop idle connections sooner than they said.
    """

    def __init__(self) -> None:
        self._resets: dict[ServiceId, deque[tuple[Milliseconds, Milliseconds]]] = {}

    def longest_rest(self, service: ServiceId, now: Milliseconds) -> Milliseconds:
        """Return how long a connection to a target of ``service`` may have rested."""
        resets = self._resets.get(service)
        if not resets or now - resets[-1][0] > DISTRUST:
            return LONGEST_REST
        if len(resets) < RESETS:
            return LONGEST_REST
        shortest = min(rest for _, rest in resets)
        return Milliseconds(max(SHORTEST_REST, shortest // 2))

    def note_reset(
        self, service: ServiceId, rest: Milliseconds, now: Milliseconds
    ) -> None:
        """Record that a call met a dropped connection that had rested for ``rest``."""
        if rest <= SHORTEST_REST:
            return
        resets = self._resets.setdefault(service, deque(maxlen=RESETS))
        if resets and now - resets[-1][0] > max(RESET_WINDOW, self._kept(resets)):
            resets.clear()
        resets.append((now, rest))

    def _kept(self, resets: deque[tuple[Milliseconds, Milliseconds]]) -> Milliseconds:
        """Return how long earlier resets count: longer once they told a habit."""
        return DISTRUST if len(resets) >= RESETS else RESET_WINDOW
