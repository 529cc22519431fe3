"""The answer to a command, which the task that sent it waits for."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar
from typing import final

import trio

Value = TypeVar("Value")


@final
class Reply(Generic[Value]):
    """Holds one value; the control task puts it, one task waits for it."""

    def __init__(self) -> None:
        self._event = trio.Event()
        self._value: Value | None = None

    @property
    def is_set(self) -> bool:
        """Whether the value is there."""
        return self._event.is_set()

    @property
    def value(self) -> Value | None:
        """The value, if it is there."""
        return self._value

    def put(self, value: Value) -> None:
        """Give the value; a second one is ignored."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    async def wait(self) -> Value:
        """Return the value once it is there."""
        await self._event.wait()
        if self._value is None:
            raise AssertionError("expected a value with the event")
        return self._value
