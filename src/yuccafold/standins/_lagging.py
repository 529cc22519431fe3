"""A value whose changes are seen late."""

from __future__ import annotations

from collections import deque
from typing import Generic
from typing import TypeVar
from typing import final

Value = TypeVar("Value")


@final
class Lagging(Generic[Value]):
    """Gives back what was recorded a set time ago."""

    def __init__(self, first: Value, lag_ms: int) -> None:
        self._lag = lag_ms / 1000
        self._seen = first
        self._coming: deque[tuple[float, Value]] = deque()

    def record(self, value: Value, now: float) -> None:
        """Set the value; ``now`` is in seconds."""
        self.read(now)
        self._coming.append((now + self._lag, value))

    def read(self, now: float) -> Value:
        """Return the newest value that can be seen at ``now``."""
        while self._coming and self._coming[0][0] <= now:
            self._seen = self._coming.popleft()[1]
        return self._seen
