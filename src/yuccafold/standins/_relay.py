"""A TCP relay that can forget, delay or cut the connections through it."""

from __future__ import annotations

import contextlib
from enum import Enum
from typing import final

import trio

from yuccafold.standins._http import BoundAddress

RECEIVE_BYTES = 65_536


class RelayMode(Enum):
    """What the relay does with the bytes of one connection."""

    PASSING = "passing"
    SILENT = "silent"


@final
class _Link:
    """One relayed connection."""

    def __init__(self) -> None:
        self.mode = RelayMode.PASSING
        self.scope = trio.CancelScope()


@final
class Relay:
    """Passes bytes between callers and one address ``host:port``."""

    def __init__(self, target: str, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self._target = target
        self._host = host
        self._port = port
        self._delay = 0.0
        self._cut = False
        self._links: set[_Link] = set()
        self._connections = 0

    @property
    def address(self) -> str:
        """Where the relay listens, as ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def connections(self) -> int:
        """How many connections were ever accepted."""
        return self._connections

    @property
    def open_connections(self) -> int:
        """How many connections are relayed, the silent ones included."""
        return len(self._links)

    def forget(self) -> None:
        """Pass nothing more on the present connections; new ones work."""
        for link in self._links:
            link.mode = RelayMode.SILENT

    def set_delay(self, delay_ms: int) -> None:
        """Pass every byte this much later, one way."""
        self._delay = delay_ms / 1000

    def cut(self) -> None:
        """Close the present connections and those to come, until ``mend``."""
        self._cut = True
        for link in tuple(self._links):
            link.scope.cancel()

    def mend(self) -> None:
        """Pass new connections again."""
        self._cut = False

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay until cancelled; report the address."""
        listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        self._port = listeners[0].socket.getsockname()[1]
        task_status.started(BoundAddress(self._host, self._port))
        await trio.serve_listeners(self._relay, listeners)

    async def _relay(self, caller: trio.SocketStream) -> None:
        self._connections += 1
        if self._cut:
            return await trio.aclose_forcefully(caller)
        link = _Link()
        self._links.add(link)
        try:
            with link.scope, contextlib.suppress(OSError):
                await self._connect(link, caller)
        finally:
            self._links.discard(link)
            await trio.aclose_forcefully(caller)

    async def _connect(self, link: _Link, caller: trio.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        target = await trio.open_tcp_stream(host, int(port))
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass, link, caller, target)
            nursery.start_soon(self._pass, link, target, caller)

    async def _pass(
        self, link: _Link, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        """Pass bytes one way; the end of one way ends the link."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(RECEIVE_BYTES):
                if self._delay:
                    await trio.sleep(self._delay)
                if link.mode is RelayMode.PASSING:
                    await sink.send_all(data)
        if link.mode is RelayMode.SILENT:
            # Whoever lost track of the connection doesn't pass its close either.
            await trio.sleep_forever()
        link.scope.cancel()
