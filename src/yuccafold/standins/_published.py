"""A numbered value that readers can fetch or wait for."""

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
    """One call of a reader; a waiting watch is one. ``at`` is in seconds."""

    path: str
    after: int
    wait_ms: int
    at: float


def parse_call(request: ServedRequest) -> ServiceCall:
    """Return the call that a request makes; a ``ValueError`` for bad numbers."""
    after = request.query_number("after", -1)
    wait = request.query_number("wait_ms", 0)
    return ServiceCall(request.path, after, wait, trio.current_time())


@final
@dataclass(frozen=True, slots=True)
class Numbered(Generic[Value]):
    """One published value; it can be seen from ``visible_at`` seconds on."""

    number: int
    value: Value
    visible_at: float


@final
class Published(Generic[Value]):
    """The values published so far, each seen some time later."""

    def __init__(self, lag_ms: int) -> None:
        self._lag = lag_ms / 1000
        self._values: list[Numbered[Value]] = []
        self._changed = trio.Event()

    def publish(self, number: int, value: Value, now: float) -> None:
        """Publish ``value``; its number may be any."""
        self._values.append(Numbered(number, value, now + self._lag))
        self.wake()

    def wake(self) -> None:
        """Let every waiting reader look again."""
        self._changed.set()
        self._changed = trio.Event()

    def newest(self, limit: int | None = None) -> Numbered[Value] | None:
        """Return the visible value of the highest number, at most ``limit``."""
        now = trio.current_time()
        visible = (
            entry
            for entry in self._values
            if entry.visible_at <= now and (limit is None or entry.number <= limit)
        )
        return max(visible, key=lambda entry: entry.number, default=None)

    async def wait_newer(
        self, call: ServiceCall, limit: Callable[[], int | None]
    ) -> Numbered[Value] | None:
        """Return a value newer than the caller's, or ``None`` when none came."""
        with trio.move_on_at(call.at + call.wait_ms / 1000):
            while True:
                found = self.newest(limit())
                if found is not None and found.number > call.after:
                    return found
                if not call.wait_ms:
                    return None
                with trio.move_on_at(self._next_visible()):
                    await self._changed.wait()
        return None

    def _next_visible(self) -> float:
        now = trio.current_time()
        coming = (entry.visible_at for entry in self._values if entry.visible_at > now)
        return min(coming, default=float("inf"))
