"""A TCP relay that can silence, delay, reset or close the connections through it."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from enum import Enum
from typing import final

import trio

from yuccafold.standins._http import BoundAddress

RECEIVE_BYTES = 65_536


RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of ``SO_LINGER`` with which closing a socket resets its connection."""


class RelayMode(Enum):
    """What the relay does with the bytes of one connection."""

    PASSING = "passing"
    SILENT = "silent"
    """It discards all of them."""
    ONE_WAY = "one-way"
    """It discards those that the target sends."""
    RESETTING = "resetting"
    """It accepts connections, and resets them when bytes come."""


Concerns = Callable[[int], bool]
"""Says whether a connection is one of those to break, by the port it comes from."""


def _every(port: int) -> bool:
    """Concern every connection."""
    return True


@final
class _RelayedConnection:
    """The state of one relayed connection."""

    def __init__(self, mode: RelayMode, port: int) -> None:
        self.mode = mode
        self.port = port
        self.scope = trio.CancelScope()


@final
class Relay:
    """Relays connections to ``target``, an address in the form ``host:port``."""

    def __init__(self, target: str, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self._target = target
        self._host = host
        self._port = port
        self._delay = 0.0
        self._cut = False
        self._mode = RelayMode.PASSING
        self._concerns: Concerns = _every
        self._relayed: set[_RelayedConnection] = set()
        self._connections = 0
        self._scope = trio.CancelScope()

    @property
    def address(self) -> str:
        """The address on which the relay listens, as ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def connections(self) -> int:
        """How many connections were accepted in all."""
        return self._connections

    @property
    def open_connections(self) -> int:
        """How many connections are relayed, the silent ones included."""
        return len(self._relayed)

    def silence(self) -> None:
        """Discard all bytes on the open connections; new connections work."""
        for connection in self._relayed:
            connection.mode = RelayMode.SILENT

    def break_path(self, mode: RelayMode, concerns: Concerns = _every) -> None:
        """Apply ``mode`` to open connections and, until ``restore``, to new ones.

        The relay goes on accepting connections, as a proxy does that has lost its
        targets. ``concerns`` says by the port of a connection whether it is one of
        those to break.
        """
        self._mode, self._concerns = mode, concerns
        concerned = [each for each in self._relayed if concerns(each.port)]
        for connection in concerned:
            connection.mode = mode
            if mode is RelayMode.RESETTING:
                connection.scope.cancel()

    def set_delay(self, delay_ms: int) -> None:
        """Delay the bytes of each direction by ``delay_ms``."""
        self._delay = delay_ms / 1000

    def cut(self) -> None:
        """Close the open connections, and new ones until ``restore`` is called."""
        self._cut = True
        for connection in tuple(self._relayed):
            connection.scope.cancel()

    def restore(self) -> None:
        """Relay new connections again."""
        self._cut = False
        self._mode = RelayMode.PASSING

    def stop(self) -> None:
        """Close the listener and all connections, as if the target had ended."""
        self._scope.cancel()

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay until cancelled or stopped; report the address once listening."""
        with self._scope:
            listeners = await trio.open_tcp_listeners(self._port, host=self._host)
            self._port = listeners[0].socket.getsockname()[1]
            task_status.started(BoundAddress(self._host, self._port))
            await trio.serve_listeners(self._relay, listeners)

    async def _relay(self, caller: trio.SocketStream) -> None:
        self._connections += 1
        if self._cut:
            return await trio.aclose_forcefully(caller)
        port = caller.socket.getpeername()[1]
        is_broken = self._mode is not RelayMode.PASSING and self._concerns(port)
        mode = self._mode if is_broken else RelayMode.PASSING
        connection = _RelayedConnection(mode, port)
        self._relayed.add(connection)
        try:
            with connection.scope, contextlib.suppress(OSError):
                if connection.mode in (RelayMode.SILENT, RelayMode.RESETTING):
                    await self._discard(connection, caller)
                else:
                    await self._forward_both_ways(connection, caller)
        finally:
            self._relayed.discard(connection)
            if connection.mode is RelayMode.RESETTING:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await trio.aclose_forcefully(caller)

    async def _discard(
        self, connection: _RelayedConnection, caller: trio.SocketStream
    ) -> None:
        """Receive from a caller until it leaves, or until its first bytes reset it."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while await caller.receive_some(RECEIVE_BYTES):
                if connection.mode is RelayMode.RESETTING:
                    return

    async def _forward_both_ways(
        self, connection: _RelayedConnection, caller: trio.SocketStream
    ) -> None:
        host, _, port = self._target.rpartition(":")
        target = await trio.open_tcp_stream(host, int(port))
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(
                self._forward, connection, caller, target, RelayMode.ONE_WAY
            )
            nursery.start_soon(self._forward, connection, target, caller)

    async def _forward(
        self,
        connection: _RelayedConnection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        also_in: RelayMode = RelayMode.PASSING,
    ) -> None:
        """Forward bytes in one direction; their end closes the whole connection.

        They pass in ``also_in`` too.
        """
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(RECEIVE_BYTES):
                if self._delay:
                    await trio.sleep(self._delay)
                if connection.mode in (RelayMode.PASSING, also_in):
                    await sink.send_all(data)
        if connection.mode is RelayMode.SILENT:
            # A network device that lost track of a connection doesn't forward its close
            # either.
            await trio.sleep_forever()
        connection.scope.cancel()
