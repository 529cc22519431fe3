"""Monotonic time in milliseconds, and detection of process pauses."""

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
        """Return the current time."""
        ...


@final
class MonotonicClock:
    """The boot-time clock, which also runs while the process or the VM is suspended."""

    def now(self) -> Milliseconds:
        """Return milliseconds since boot, including time spent suspended."""
        return Milliseconds(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)


@final
class UnixClock:
    """The time of day, for comparison with times that others state; it may jump."""

    def now(self) -> Milliseconds:
        """Return milliseconds since the Unix epoch."""
        return Milliseconds(time.time_ns() // NS_PER_MS)


@final
class ManualClock:
    """A clock that moves only through ``advance``; for tests and seeded runs."""

    def __init__(self, start: int = 0) -> None:
        self._now = start

    def now(self) -> Milliseconds:
        """Return the current time of this clock."""
        return Milliseconds(self._now)

    def advance(self, duration: int) -> None:
        """Move the clock forward by ``duration`` milliseconds, which is at least 0."""
        if duration < 0:
            raise ValueError(f"expected a duration of at least 0 ms, got {duration} ms")
        self._now += duration


@final
class PauseDetector:
    """Detects that the process did not run for longer than a limit.

    A periodic task calls ``observe`` at least every ``limit`` milliseconds, and
    it is called before every step that is forbidden once a lease has expired.
    A lease acquired before ``leases_expired_before`` counts as expired.
    """

    def __init__(self, limit: Milliseconds, now: Milliseconds) -> None:
        self._limit = limit
        self._last_observed = now
        self._renewed_after = Milliseconds(0)
        self._pauses = 0

    @property
    def leases_expired_before(self) -> Milliseconds:
        """When the latest pause was detected; 0 if there was none."""
        return self._renewed_after

    @property
    def pauses(self) -> int:
        """How many pauses were detected."""
        return self._pauses

    def observe(self, now: Milliseconds) -> bool:
        """Record that the process runs at ``now``; return whether it was paused."""
        paused = now - self._last_observed > self._limit
        self._last_observed = max(self._last_observed, now)
        if paused:
            self._pauses += 1
            self._renewed_after = now
        return paused
