"""Numbered values that readers fetch, or wait for with long polls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar
from typing import final

import trio

from yuccafold.standins._http import ServedRequest

Value = TypeVar("Value")


@final
@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call of a reader; a long poll counts as one call.

    ``received_at`` is in seconds of trio's clock.
    """

    path: str
    after: int
    wait_ms: int
    received_at: float


def parse_call(request: ServedRequest) -> ServiceCall:
    """Parse a reader's call; raise ``ValueError`` if a number is invalid."""
    after = request.query_number("after", -1)
    wait = request.query_number("wait_ms", 0)
    return ServiceCall(request.path, after, wait, trio.current_time())


@final
@dataclass(frozen=True, slots=True)
class PublishedValue(Generic[Value]):
    """One published value; ``visible_at`` is in seconds of trio's clock."""

    number: int
    value: Value
    visible_at: float


@final
class PublishedValues(Generic[Value]):
    """The values published so far, each visible after a delay of ``lag_ms``."""

    def __init__(self, lag_ms: int) -> None:
        self._lag = lag_ms / 1000
        self._values: list[PublishedValue[Value]] = []
        self._changed = trio.Event()

    def publish(self, number: int, value: Value, now: float) -> None:
        """Publish ``value``; ``number`` may be lower than an earlier one."""
        self._values.append(PublishedValue(number, value, now + self._lag))
        self.wake_readers()

    def wake_readers(self) -> None:
        """Make every waiting reader check for a newer value."""
        self._changed.set()
        self._changed = trio.Event()

    def newest(self, max_number: int | None = None) -> PublishedValue[Value] | None:
        """Return the visible value with the highest number, up to ``max_number``."""
        now = trio.current_time()
        visible = (
            entry
            for entry in self._values
            if entry.visible_at <= now
            and (max_number is None or entry.number <= max_number)
        )
        return max(visible, key=lambda entry: entry.number, default=None)

    async def wait_for_newer(
        self, call: ServiceCall, max_number: Callable[[], int | None]
    ) -> PublishedValue[Value] | None:
        """Return a value newer than the caller's, or ``None`` on timeout."""
        with trio.move_on_at(call.received_at + call.wait_ms / 1000):
            while True:
                found = self.newest(max_number())
                if found is not None and found.number > call.after:
                    return found
                if not call.wait_ms:
                    return None
                with trio.move_on_at(self._next_visible()):
                    await self._changed.wait()
        return None

    def _next_visible(self) -> float:
        now = trio.current_time()
        pending = (entry.visible_at for entry in self._values if entry.visible_at > now)
        return min(pending, default=float("inf"))
