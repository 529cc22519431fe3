"""Tracks what each caller connection holds, and since when its caller is silent."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold.intake._limits import Bytes
from yuccafold.intake._limits import IntakeLimits

SMALL_REQUEST_BYTES: Bytes = 16_384
"""A request that holds no more than this is never ended to free memory."""


class EndReason(Enum):
    """Why a connection is ended although its caller may go on."""

    MEMORY = "memory"
    """Requests hold as much memory as they may."""
    CONNECTIONS = "connections"
    """A new caller needs its place."""


@final
class CallerShare:
    """What one connection holds of the process.

    ``silent_since`` is ``None`` while a call runs. ``end`` is called at most once, to
    have the connection stop what it waits for.
    """

    __slots__ = ("_end", "end_reason", "has_backlog", "held", "silent_since")

    def __init__(self, end: Callable[[], None], now: Milliseconds) -> None:
        self._end = end
        self.held: Bytes = 0
        self.silent_since: Milliseconds | None = now
        self.has_backlog = False
        self.end_reason: EndReason | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for its caller and may be ended."""
        return self.silent_since is not None and self.end_reason is None

    def end(self, reason: EndReason) -> None:
        """End the connection's wait for its caller."""
        self.end_reason = reason
        self._end()


@final
class Intake:
    """Keeps the connections of callers within their limits in sum.

    Where a limit is reached, connections that wait for their caller are ended, the one
    first whose caller has been silent for longest. A call that runs is ended only for a
    new caller, and only if its own caller has sent more behind it than is read. A
    request is ended to free memory only if it holds more than a small request, and not
    if it is the only such one.
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self._limits = limits
        self._shares: set[CallerShare] = set()
        self._held: Bytes = 0

    @property
    def held(self) -> Bytes:
        """What all requests hold."""
        return self._held

    @property
    def waiting(self) -> int:
        """How many connections wait for their caller."""
        return sum(share.is_waiting for share in self._shares)

    def open(self, end: Callable[[], None], now: Milliseconds) -> CallerShare:
        """Add a connection that waits for its caller."""
        share = CallerShare(end, now)
        self._shares.add(share)
        return share

    def close(self, share: CallerShare) -> None:
        """Remove a connection."""
        self._set_held(share, 0)
        self._shares.discard(share)

    def hold(self, share: CallerShare, held: Bytes, now: Milliseconds) -> None:
        """Record that a caller sent more of its request, and what that holds now.

        Ends connections if all requests hold too much; ``share`` may be among them.
        """
        if share.end_reason is not None:
            return
        share.silent_since = now
        grows = held > share.held
        self._set_held(share, held)
        while grows and self._held > self._limits.memory:
            if not self._free_memory():
                return

    def begin_call(self, share: CallerShare) -> None:
        """Record that a request is whole; its connection is not ended while it runs."""
        share.silent_since = None

    def record_backlog(self, share: CallerShare) -> None:
        """Record that a caller has sent more behind its call than is read meanwhile."""
        share.has_backlog = True

    def end_call(self, share: CallerShare, now: Milliseconds) -> None:
        """Record that a call was answered; its connection waits for the next one."""
        self._set_held(share, 0)
        share.silent_since = now
        share.has_backlog = False

    def make_room(self) -> bool:
        """End one connection for a new caller; return whether there was one to end."""
        if _end_most_silent(self._shares, EndReason.CONNECTIONS) is not None:
            return True
        backlogged = (
            share
            for share in self._shares
            if share.has_backlog and share.end_reason is None
        )
        chosen = next(backlogged, None)
        if chosen is not None:
            chosen.end(EndReason.CONNECTIONS)
        return chosen is not None

    def _free_memory(self) -> bool:
        large = [share for share in self._shares if share.held > SMALL_REQUEST_BYTES]
        if len(large) < 2:
            return False
        ended = _end_most_silent(large, EndReason.MEMORY)
        if ended is not None:
            self._set_held(ended, 0)
        return ended is not None

    def _set_held(self, share: CallerShare, held: Bytes) -> None:
        self._held += held - share.held
        share.held = held


def _end_most_silent(
    shares: Iterable[CallerShare], reason: EndReason
) -> CallerShare | None:
    """End the connection whose caller has been silent for longest, if any waits."""
    waiting = (share for share in shares if share.is_waiting)
    chosen = min(waiting, key=lambda share: share.silent_since or 0, default=None)
    if chosen is not None:
        chosen.end(reason)
    return chosen
