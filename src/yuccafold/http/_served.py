"""Base class that serves one caller's connection, one call after the other."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import h11
import trio

from yuccafold.http._head import CallerGone
from yuccafold.http._stream import HttpStream

MAX_PIPELINED_BYTES = 16_384
"""Limit on bytes of pipelined calls that are read while a call is answered."""


class ServedConnection(ABC):
    """Serves calls until the caller disconnects or the connection can't be reused."""

    def __init__(self, stream: trio.SocketStream, max_head_bytes: int) -> None:
        self._http = HttpStream(stream, h11.SERVER, max_head_bytes)

    async def run(self) -> None:
        """Serve calls until the connection ends, then close it."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except (CallerGone, OSError, trio.BrokenResourceError):
            return
        finally:
            await self._http.close()

    @abstractmethod
    async def _serve_one(self) -> bool:
        """Serve one call; return whether the connection can be reused."""

    def _is_reusable(self) -> bool:
        """Return whether both sides have completed the current call."""
        http = self._http.protocol
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel ``scope`` when the caller closes its connection."""
        while (unparsed := self._http.unparsed_bytes) < MAX_PIPELINED_BYTES:
            try:
                alive = await self._http.receive(MAX_PIPELINED_BYTES - unparsed)
            except (OSError, trio.BrokenResourceError):
                alive = False
            if not alive:
                scope.cancel()
                return
