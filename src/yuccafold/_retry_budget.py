"""Keeps a VM's retries to its part of the fleet's budget."""

from __future__ import annotations

from typing import final

BUDGET_CAPACITY = 10.0
"""Retries that an idle VM may do at once when its service turns sick."""


@final
class RetryBudget:
    """A token bucket: each request earns ``share`` of a retry.

    Every VM keeps the share of its own requests, so the fleet does.
    """

    def __init__(self, capacity: float = BUDGET_CAPACITY) -> None:
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Retries that may be done now."""
        return self._tokens

    def resize(self, capacity: float) -> None:
        """Hold at most ``capacity`` retries from now on."""
        self._capacity = capacity
        self._tokens = min(capacity, self._tokens)

    def note_request(self, share: float) -> None:
        """Earn ``share`` of a retry for one received request."""
        self._tokens = min(self._capacity, self._tokens + share)

    def has_token(self) -> bool:
        """Return whether a retry may be done now."""
        # Ten times a tenth is a little less than one.
        return self._tokens >= 1.0 - 1e-9

    def spend(self) -> None:
        """Take one retry out; there must be one."""
        assert self.has_token(), f"retry budget holds {self._tokens}"
        self._tokens = max(0.0, self._tokens - 1.0)
