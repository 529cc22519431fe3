"""Keeps idle connections to targets for later calls."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold.http._stream import HttpStream

IDLE_PER_TARGET = 64
"""Idle connections kept to one address; more are closed."""

IDLE_LIMIT = Milliseconds(20_000)
"""How long a connection is kept when its target states no timeout."""


@final
@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that is proven clean, idle ``since`` and kept ``until``."""

    http: HttpStream
    since: Milliseconds
    until: Milliseconds


@final
class ConnectionPool:
    """Keeps clean connections to targets for later attempts."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[IdleConnection]] = {}

    async def take(
        self, address: str, max_idle: Milliseconds | None = None
    ) -> IdleConnection | None:
        """Return an idle connection that still looks sound, or ``None``.

        The one used last is taken; with ``max_idle`` only if it is no older.
        """
        idle = self._idle.get(address, deque())
        while idle:
            if max_idle is not None and self.idle_ms(idle[-1]) > max_idle:
                return None
            entry = idle.pop()
            if self._clock.now() <= entry.until and entry.http.is_clean():
                return entry
            await entry.http.close()
        return None

    def idle_ms(self, entry: IdleConnection) -> int:
        """Return how long a connection was not used."""
        return self._clock.now() - entry.since

    async def put(
        self, address: str, http: HttpStream, keep: Milliseconds = IDLE_LIMIT
    ) -> None:
        """Keep a connection whose exchange ended cleanly for up to ``keep``."""
        idle = self._idle.setdefault(address, deque())
        if http.is_clean() and len(idle) < IDLE_PER_TARGET:
            now = self._clock.now()
            idle.append(IdleConnection(http, now, Milliseconds(now + keep)))
        else:
            await http.close()

    async def close_expired(self) -> None:
        """Close connections that were kept for as long as they may be."""
        now = self._clock.now()
        for address, idle in list(self._idle.items()):
            expired = [entry for entry in idle if now > entry.until]
            kept = deque(entry for entry in idle if now <= entry.until)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
            for entry in expired:
                await entry.http.close()

    async def discard(self, address: str) -> None:
        """Close every idle connection to ``address``: one of them went silent."""
        for entry in self._idle.pop(address, deque()):
            await entry.http.close()

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            await self.discard(address)
