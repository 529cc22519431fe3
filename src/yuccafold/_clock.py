"""Milliseconds of the monotonic clock, and the detection of pauses."""

from __future__ import annotations

import time
from typing import NewType
from typing import Protocol
from typing import final

Milliseconds = NewType("Milliseconds", int)
"""A duration, or an instant of the monotonic clock, in milliseconds."""

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


def seconds(value: float) -> Milliseconds:
    """Return ``value`` seconds as milliseconds."""
    return Milliseconds(round(value * MS_PER_SECOND))


class Clock(Protocol):
    """A source of monotonic milliseconds."""

    def now(self) -> Milliseconds:
        """Return the present instant."""
        ...


@final
class MonotonicClock:
    """The machine's clock, which goes on while the process is stopped."""

    def now(self) -> Milliseconds:
        """Return milliseconds since boot, time asleep included."""
        return Milliseconds(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)


@final
class ManualClock:
    """A clock that tests and seeded runs move by hand."""

    def __init__(self, start: int = 0) -> None:
        self._now = start

    def now(self) -> Milliseconds:
        """Return the instant last set."""
        return Milliseconds(self._now)

    def advance(self, duration: int) -> None:
        """Move on by ``duration`` milliseconds, which is at least 0."""
        if duration < 0:
            raise ValueError(f"expected a duration of at least 0 ms, got {duration} ms")
        self._now += duration


@final
class PauseDetector:
    """Notices that the process did not run for longer than a limit.

    ``observe`` is called at least every ``limit`` milliseconds by a periodic
    task, and before every step that a lapsed lease would forbid. Every lease
    taken before ``renewed_after`` counts as lapsed.
    """

    def __init__(self, limit: Milliseconds, now: Milliseconds) -> None:
        self._limit = limit
        self._last = now
        self._renewed_after = Milliseconds(0)
        self._pauses = 0

    @property
    def renewed_after(self) -> Milliseconds:
        """The end of the latest pause; 0 when there was none."""
        return self._renewed_after

    @property
    def pauses(self) -> int:
        """How many pauses were noticed."""
        return self._pauses

    def observe(self, now: Milliseconds) -> bool:
        """Record that the process runs at ``now``; return whether it had paused."""
        paused = now - self._last > self._limit
        self._last = max(self._last, now)
        if paused:
            self._pauses += 1
            self._renewed_after = now
        return paused
