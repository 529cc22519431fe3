"""What one client account used on this VM."""

from __future__ import annotations

import math
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold.settings import Policy

MIN_RATE = 0.1
"""Units per second that a wait is reckoned with when there is hardly a share."""


@final
class _Bucket:
    """A token bucket that holds a second's worth, of at least one unit."""

    __slots__ = ("decayed_at", "level", "refilled_at", "seen")

    def __init__(self, now: Milliseconds) -> None:
        self.level = 1.0
        self.refilled_at: int = now
        self.seen = 0.0
        """Units asked for per second lately; refused ones count as well."""
        self.decayed_at: int = now

    def refill(self, rate: float, now: Milliseconds) -> None:
        elapsed = max(0, now - self.refilled_at)
        self.refilled_at = now
        gained = rate * elapsed / MS_PER_SECOND
        self.level = min(max(1.0, rate), self.level + gained)

    def decay(self, window_ms: int, now: Milliseconds) -> None:
        elapsed = max(0, now - self.decayed_at)
        self.decayed_at = now
        self.seen *= math.exp(-elapsed / window_ms)

    def wait_ms(self, rate: float) -> int:
        """Return the time until there is one unit."""
        lacking = max(0.0, 1.0 - self.level)
        return math.ceil(lacking / rate * MS_PER_SECOND)


@final
class Meter:
    """Requests, tokens and calls in progress of one account on this VM.

    A call may take the tokens below zero, as it may be larger than a second's
    worth; the debt is paid off before the next one.
    """

    def __init__(self, window_ms: int, now: Milliseconds) -> None:
        self._window_ms = window_ms
        self._requests = _Bucket(now)
        self._tokens = _Bucket(now)
        self.running = 0
        self.wanted = 0
        """The most calls in progress that were asked for since ``told``."""

    def wait_ms(self, policy: Policy, share: float, now: Milliseconds) -> int:
        """Return 0 when a call may start now, or when it may be tried again."""
        waits = [0]
        for bucket, limit in self._limited(policy):
            bucket.refill(limit * share, now)
            waits.append(bucket.wait_ms(max(MIN_RATE, limit * share)))
        limit = policy.concurrent_requests
        if limit and self.running >= max(1, math.floor(limit * share + 1e-9)):
            waits.append(MS_PER_SECOND)
        return max(waits)

    def want(self, tokens: int, now: Milliseconds) -> None:
        """Count what was asked for, also when it is refused."""
        for bucket in (self._requests, self._tokens):
            bucket.decay(self._window_ms, now)
        window = self._window_ms / MS_PER_SECOND
        self._requests.seen += 1 / window
        self._tokens.seen += tokens / window
        self.wanted = max(self.wanted, self.running + 1)

    def take(self, tokens: int) -> None:
        """Charge a call that starts."""
        self._requests.level -= 1
        self._tokens.level -= tokens

    def demand(self, policy: Policy, now: Milliseconds) -> float:
        """Return what is asked for as a fraction of the account's limit."""
        fractions = [0.0]
        for bucket, limit in self._limited(policy):
            bucket.decay(self._window_ms, now)
            # What was run up is to be paid off within the window.
            debt = max(0.0, -bucket.level) * MS_PER_SECOND / self._window_ms
            fractions.append(max(bucket.seen, debt) / limit)
        if policy.concurrent_requests:
            wanted = max(self.wanted, self.running)
            fractions.append(wanted / policy.concurrent_requests)
        return max(fractions)

    def told(self) -> None:
        """Note that the demand was reported."""
        self.wanted = self.running

    def _limited(self, policy: Policy) -> tuple[tuple[_Bucket, float], ...]:
        pairs = (
            (self._requests, policy.requests_per_second),
            (self._tokens, policy.tokens_per_second),
        )
        return tuple((bucket, limit) for bucket, limit in pairs if limit)
