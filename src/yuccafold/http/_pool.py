"""A pool of idle connections, kept for later calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain
from typing import final

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold.http._stream import HttpStream

MAX_IDLE_PER_ADDRESS = 64
"""Idle connections kept to one address; further ones are closed."""

DEFAULT_MAX_IDLE = Milliseconds(20_000)
"""How long a connection is kept idle if its target states no timeout."""

MAX_FAILED_CALLS = 16
"""Calls that may have failed on a connection that is kept, as their ids take memory."""


@final
@dataclass(frozen=True, slots=True, eq=False)
class IdleConnection:
    """A clean idle connection, which is not reused after ``expires_at``.

    ``failed_calls`` were sent on it without success. It carries none of them again: a
    copy of the earlier answer would be taken for that of the later attempt.
    """

    http: HttpStream
    idle_since: Milliseconds
    expires_at: Milliseconds
    failed_calls: frozenset[CallId]


@final
class ConnectionPool:
    """Keeps clean idle connections to targets for later attempts.

    Closing a connection lets other tasks run. So connections leave the pool before any
    is closed, and what was read of the pool before is not used afterwards.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[IdleConnection]] = {}
        self._max_idle: dict[str, int] = {}

    def keep_at_most(self, address: str, connections: int | None) -> None:
        """Keep at most so many idle connections; ``None`` for the usual number."""
        if connections is None:
            self._max_idle.pop(address, None)
        else:
            self._max_idle[address] = min(connections, MAX_IDLE_PER_ADDRESS)

    async def take(
        self, address: str, call: CallId, max_idle: Milliseconds | None = None
    ) -> IdleConnection | None:
        """Remove and return an idle connection that can carry ``call``, or ``None``.

        The most recently used one is returned, but not if it was idle for longer
        than ``max_idle``. Unusable ones are closed.
        """
        usable, unusable = self._pop(address, call, max_idle)
        await _close(unusable)
        return usable

    def _pop(
        self, address: str, call: CallId, max_idle: Milliseconds | None
    ) -> tuple[IdleConnection | None, list[IdleConnection]]:
        """Remove connections up to a usable one; return that and the unusable ones.

        Those on which ``call`` has failed stay for other calls.
        """
        idle = self._idle.get(address, deque())
        unusable: list[IdleConnection] = []
        for entry in tuple(reversed(idle)):
            if max_idle is not None and self.idle_ms(entry) > max_idle:
                break
            if call in entry.failed_calls:
                continue
            idle.remove(entry)
            if self._clock.now() <= entry.expires_at and entry.http.is_clean():
                return entry, unusable
            unusable.append(entry)
        return None, unusable

    def idle_ms(self, entry: IdleConnection) -> int:
        """Return how long a connection has been idle."""
        return self._clock.now() - entry.idle_since

    async def put(
        self,
        address: str,
        http: HttpStream,
        keep: Milliseconds = DEFAULT_MAX_IDLE,
        failed_calls: frozenset[CallId] = frozenset(),
    ) -> None:
        """Keep a clean connection for up to ``keep``.

        It is closed instead if it is not clean, too many are kept already, or too many
        calls have failed on it.
        """
        idle = self._idle.setdefault(address, deque())
        has_room = len(idle) < self._max_idle.get(address, MAX_IDLE_PER_ADDRESS)
        if has_room and len(failed_calls) <= MAX_FAILED_CALLS and http.is_clean():
            now = self._clock.now()
            expires_at = Milliseconds(now + keep)
            idle.append(IdleConnection(http, now, expires_at, failed_calls))
        else:
            await http.close()

    async def close_expired(self) -> None:
        """Close connections whose idle time has expired."""
        now = self._clock.now()
        every = chain.from_iterable(self._idle.values())
        expired = [entry for entry in every if now > entry.expires_at]
        kept = {
            address: deque(entry for entry in idle if now <= entry.expires_at)
            for address, idle in self._idle.items()
        }
        self._idle = {address: idle for address, idle in kept.items() if idle}
        await _close(expired)

    async def discard(self, address: str) -> None:
        """Close all idle connections to ``address``, e.g. after one went silent."""
        self._max_idle.pop(address, None)
        await _close(self._idle.pop(address, deque()))

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            await self.discard(address)


async def _close(entries: Iterable[IdleConnection]) -> None:
    for entry in entries:
        await entry.http.close()
