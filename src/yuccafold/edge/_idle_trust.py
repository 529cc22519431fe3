"""Limits the idle time of connections that are reused for non-idempotent calls."""

from __future__ import annotations

from collections import deque
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId

MAX_IDLE_LIMIT = Milliseconds(10_000)
"""Connections that were idle for longer may be dead and get only idempotent calls."""

MIN_IDLE_LIMIT = Milliseconds(50)
"""Connections that were idle for less are always reused: they were just in use."""

RESETS_TO_SHORTEN = 2
"""Resets of idle connections after which the limit is shortened; one may be chance."""

RESET_WINDOW = Milliseconds(3_000)
"""Longest time between such resets."""

SHORTENED_LIMIT_PERIOD = Milliseconds(6_000)
"""How long the limit stays shortened after the last reset: faults of targets last
about five seconds."""


@final
class IdleLimits:
    """Learns for each service after which idle time its targets drop connections.

    A call that must not run twice can't be sent again if it may have run, so it is
    lost on a connection that the target dropped without notice. This guards against
    targets that drop idle connections sooner than they announced.
    """

    def __init__(self) -> None:
        self._resets: dict[ServiceId, deque[tuple[Milliseconds, Milliseconds]]] = {}

    def max_idle(self, service: ServiceId, now: Milliseconds) -> Milliseconds:
        """Return how long a reused connection to ``service`` may have been idle."""
        resets = self._resets.get(service)
        if not resets or now - resets[-1][0] > SHORTENED_LIMIT_PERIOD:
            return MAX_IDLE_LIMIT
        if len(resets) < RESETS_TO_SHORTEN:
            return MAX_IDLE_LIMIT
        shortest_idle = min(idle_for for _, idle_for in resets)
        return Milliseconds(max(MIN_IDLE_LIMIT, shortest_idle // 2))

    def record_reset(
        self, service: ServiceId, idle_for: Milliseconds, now: Milliseconds
    ) -> None:
        """Record that a call failed on a dropped connection, idle for ``idle_for``."""
        if idle_for <= MIN_IDLE_LIMIT:
            return
        resets = self._resets.setdefault(service, deque(maxlen=RESETS_TO_SHORTEN))
        if resets and now - resets[-1][0] > max(
            RESET_WINDOW, self._reset_lifetime(resets)
        ):
            resets.clear()
        resets.append((now, idle_for))

    def _reset_lifetime(
        self, resets: deque[tuple[Milliseconds, Milliseconds]]
    ) -> Milliseconds:
        """Return how long resets count: longer once they have shortened the limit."""
        return (
            SHORTENED_LIMIT_PERIOD if len(resets) >= RESETS_TO_SHORTEN else RESET_WINDOW
        )
