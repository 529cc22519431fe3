"""The reply to a command, for which the sending task waits."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar
from typing import final

import trio

Value = TypeVar("Value")


@final
class Reply(Generic[Value]):
    """Holds one value that the control task puts and one other task waits for."""

    def __init__(self) -> None:
        self._event = trio.Event()
        self._value: Value | None = None

    @property
    def is_set(self) -> bool:
        """Whether the value was put."""
        return self._event.is_set()

    @property
    def value(self) -> Value | None:
        """The value, or ``None`` before it was put."""
        return self._value

    def put(self, value: Value) -> None:
        """Set the value; a second one is ignored."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    async def wait(self) -> Value:
        """Wait for the value and return it."""
        await self._event.wait()
        if self._value is None:
            raise AssertionError("expected a value once the event is set")
        return self._value
