"""Usage and demand of one client account on this VM."""

from __future__ import annotations

import math
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold.settings import Policy

MIN_RATE_PER_SECOND = 0.1
"""The lowest rate for computing a wait, for VMs with hardly any share."""


@final
class _Bucket:
    """A token bucket that holds one second of its rate, but at least one unit."""

    __slots__ = ("decayed_at", "demand_rate", "level", "refilled_at")

    def __init__(self, now: Milliseconds) -> None:
        self.level = 1.0
        self.refilled_at: int = now
        self.demand_rate = 0.0
        """Units requested per second recently, including refused ones."""
        self.decayed_at: int = now

    def refill(self, rate: float, now: Milliseconds) -> None:
        elapsed = max(0, now - self.refilled_at)
        self.refilled_at = now
        gained = rate * elapsed / MS_PER_SECOND
        self.level = min(max(1.0, rate), self.level + gained)

    def decay(self, window_ms: int, now: Milliseconds) -> None:
        elapsed = max(0, now - self.decayed_at)
        self.decayed_at = now
        self.demand_rate *= math.exp(-elapsed / window_ms)

    def wait_ms(self, rate: float) -> int:
        """Return the time until one unit is available."""
        lacking = max(0.0, 1.0 - self.level)
        return math.ceil(lacking / rate * MS_PER_SECOND)


@final
class Meter:
    """Requests, tokens and calls in progress of one account on this VM.

    A call may bring the tokens below zero, because it may be larger than what the
    bucket holds; the debt must be refilled before the next call.
    """

    def __init__(self, window_ms: int, now: Milliseconds) -> None:
        self._window_ms = window_ms
        self._requests = _Bucket(now)
        self._tokens = _Bucket(now)
        self.running = 0
        self.peak_demand = 0
        """The peak of requested calls in progress since ``mark_reported``."""

    def wait_ms(self, policy: Policy, share: float, now: Milliseconds) -> int:
        """Return 0 if a call may start now, else the time until a retry."""
        waits = [0]
        for bucket, limit in self._limited(policy):
            bucket.refill(limit * share, now)
            waits.append(bucket.wait_ms(max(MIN_RATE_PER_SECOND, limit * share)))
        limit = policy.concurrent_requests
        if limit and self.running >= max(1, math.floor(limit * share + 1e-9)):
            waits.append(MS_PER_SECOND)
        return max(waits)

    def record_demand(self, tokens: int, now: Milliseconds) -> None:
        """Record the demand of a call, whether it is admitted or refused."""
        for bucket in (self._requests, self._tokens):
            bucket.decay(self._window_ms, now)
        window = self._window_ms / MS_PER_SECOND
        self._requests.demand_rate += 1 / window
        self._tokens.demand_rate += tokens / window
        self.peak_demand = max(self.peak_demand, self.running + 1)

    def charge(self, tokens: int) -> None:
        """Charge a call that is admitted."""
        self._requests.level -= 1
        self._tokens.level -= tokens

    def demand(self, policy: Policy, now: Milliseconds) -> float:
        """Return the demand as a fraction of the account's limit."""
        fractions = [0.0]
        for bucket, limit in self._limited(policy):
            bucket.decay(self._window_ms, now)
            # A debt counts as the rate that pays it off within the window.
            debt = max(0.0, -bucket.level) * MS_PER_SECOND / self._window_ms
            fractions.append(max(bucket.demand_rate, debt) / limit)
        if policy.concurrent_requests:
            peak = max(self.peak_demand, self.running)
            fractions.append(peak / policy.concurrent_requests)
        return max(fractions)

    def mark_reported(self) -> None:
        """Restart the peak after the demand was reported."""
        self.peak_demand = self.running

    def _limited(self, policy: Policy) -> tuple[tuple[_Bucket, float], ...]:
        pairs = (
            (self._requests, policy.requests_per_second),
            (self._tokens, policy.tokens_per_second),
        )
        return tuple((bucket, limit) for bucket, limit in pairs if limit)
