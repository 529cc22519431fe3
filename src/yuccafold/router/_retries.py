"""Decides whether a failed call is tried again."""

from __future__ import annotations

import random
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._verdict import Verdict
from yuccafold.router._call import Call


@final
class Retries:
    """The retry policy of one VM and its budget."""

    BURST = 10.0
    """Retries that a VM may spend before its requests have earned any."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = self.BURST

    def count_request(self, share: float = 0.1) -> None:
        """Earn the share of a retry that one request allows."""
        self._tokens = min(self.BURST, self._tokens + share)

    def allows(self, call: Call, verdict: Verdict, now: Milliseconds) -> bool:
        """Return whether ``call`` may be tried again after ``verdict``."""
        safe = verdict is Verdict.NOT_RUN or call.idempotent
        if not safe or now >= call.deadline or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def backoff_ms(self, call: Call, attempt: int) -> float:
        """Return a jittered wait before the attempt after ``attempt``."""
        ceiling = call.policy.retry_backoff_ms * 2 ** (attempt - 1)
        return self._rng.uniform(ceiling / 2, ceiling)
