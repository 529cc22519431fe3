"""A value whose changes become visible after a delay."""

from __future__ import annotations

from collections import deque
from typing import Generic
from typing import TypeVar
from typing import final

Value = TypeVar("Value")


@final
class LaggedValue(Generic[Value]):
    """Returns the value that was recorded ``lag_ms`` ago."""

    def __init__(self, first: Value, lag_ms: int) -> None:
        self._lag = lag_ms / 1000
        self._visible = first
        self._pending: deque[tuple[float, Value]] = deque()

    def record(self, value: Value, now: float) -> None:
        """Record the value at ``now``, in seconds."""
        self.read(now)
        self._pending.append((now + self._lag, value))

    def read(self, now: float) -> Value:
        """Return the newest value that is visible at ``now``, in seconds."""
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
        return self._visible
