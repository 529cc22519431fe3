"""Limits the retries of a VM to a share of the requests that it receives."""

from __future__ import annotations

from typing import final

DEFAULT_CAPACITY_RETRIES = 10.0
"""How many retries an idle VM may do at once when a service turns unhealthy."""


@final
class RetryBudget:
    """A token bucket to which each request adds ``share`` of a retry.

    As every VM keeps to this share of its own requests, so does the whole fleet.
    """

    def __init__(self, capacity: float = DEFAULT_CAPACITY_RETRIES) -> None:
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """How many retries may be done now."""
        return self._tokens

    def resize(self, capacity: float) -> None:
        """Change the capacity to ``capacity`` retries."""
        self._capacity = capacity
        self._tokens = min(capacity, self._tokens)

    def record_request(self, share: float) -> None:
        """Add ``share`` of a retry for one received request."""
        self._tokens = min(self._capacity, self._tokens + share)

    def has_token(self) -> bool:
        """Return whether at least one retry may be done now."""
        # In floating point, 0.1 added ten times is slightly less than 1.0.
        return self._tokens >= 1.0 - 1e-9

    def spend(self) -> None:
        """Remove one retry; the caller has checked ``has_token``."""
        assert self.has_token(), f"retry budget holds {self._tokens}"
        self._tokens = max(0.0, self._tokens - 1.0)
