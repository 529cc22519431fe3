"""Finds out whether a target whose connection broke has crashed."""

from __future__ import annotations

from enum import Enum
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._exchange import IDLE_TIMEOUT_MARGIN
from yuccafold.edge._exchange import connect
from yuccafold.edge._model import TargetRecord
from yuccafold.http import ConnectionPool
from yuccafold.http import HttpStream

PROBE_TIMEOUT = Milliseconds(150)
"""How long a target may take to accept a connection. Connecting within a region takes a
few ms, and a call that may be retried waits for the result."""

SETTLE_TIME = Milliseconds(10)
"""How long an accepted connection has to stay open. A process that ends closes its
connections and its listener one after the other."""

RESULT_LIFETIME = Milliseconds(1_000)
"""How long a result is used for other calls that broke off at the same target: all of
its connections break at the same time."""


class ProbeResult(Enum):
    """How a target took a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """Its machine answers, but no process listens."""
    SILENT = "silent"
    """Nothing answers: the machine or the way to it is gone, not only the process."""


TargetStart = tuple[TargetId, int]
"""One incarnation of a target: its id and the Unix time of its start."""


@final
class CrashProbe:
    """Opens a connection to a target to find out whether its process has ended.

    A target that only resets or breaks off answers accepts new connections. One that
    crashed takes seconds to start again. Calls that break off at the same time share
    one connection, which is kept for later calls if the target accepts it.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool) -> None:
        self._clock = clock
        self._pool = pool
        self._running: dict[TargetStart, trio.Event] = {}
        self._results: dict[TargetStart, tuple[ProbeResult, Milliseconds]] = {}

    async def probe(self, target: TargetRecord) -> ProbeResult:
        """Return how ``target`` accepts a connection now or recently did."""
        start = (target.id, target.born_ms)
        if start in self._running:
            await self._running[start].wait()
        self._drop_expired()
        if start not in self._results:
            self._running[start] = trio.Event()
            try:
                result = await self._connect(target)
                self._results[start] = (result, self._clock.now())
            finally:
                self._running.pop(start).set()
        return self._results[start][0]

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - RESULT_LIFETIME
        self._results = {
            start: result
            for start, result in self._results.items()
            if result[1] > oldest
        }

    async def _connect(self, target: TargetRecord) -> ProbeResult:
        try:
            with trio.fail_after(PROBE_TIMEOUT / MS_PER_SECOND):
                http = await connect(target.address)
        except trio.TooSlowError:
            return ProbeResult.SILENT
        except (OSError, ValueError):
            return ProbeResult.REFUSED
        if await _is_closed_soon(http):
            await http.close()
            return ProbeResult.REFUSED
        await self._pool.put(target.address, http, IDLE_TIMEOUT_MARGIN)
        return ProbeResult.ACCEPTED


async def _is_closed_soon(http: HttpStream) -> bool:
    """Return whether the target closes a new connection within ``SETTLE_TIME``."""
    with trio.move_on_after(SETTLE_TIME / MS_PER_SECOND):
        try:
            return not await http.receive()
        except (OSError, trio.BrokenResourceError):
            return True
    return False
