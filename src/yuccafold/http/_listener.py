"""A listening socket and the tasks that serve its connections."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import trio

from yuccafold._early import BACKLOG
from yuccafold._early import take_early_listener
from yuccafold._log import log_event

ACCEPT_RETRY_SECONDS = 0.1

Serve = Callable[[trio.SocketStream], Awaitable[None]]


@final
class Listener:
    """Accepts connections and runs a task for each, up to a limit.

    At the limit no connection is accepted, so that callers wait in the kernel's
    backlog or try another VM.
    """

    def __init__(self, listener: trio.SocketListener, limit: int) -> None:
        self._listener = listener
        self._connection_slots = trio.Semaphore(limit)
        self._accept_scope = trio.CancelScope()

    @classmethod
    async def open(cls, address: str, limit: int) -> Listener:
        """Listen on ``address``; port 0 means any free port.

        A socket that was opened there before the program was loaded is reused.
        """
        early = take_early_listener(address)
        if early is not None:
            return cls(
                trio.SocketListener(trio.socket.from_stdlib_socket(early)), limit
            )
        host, port = address.rsplit(":", 1)
        host = host.strip("[]")
        listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        return cls(listeners[0], limit)

    @property
    def address(self) -> str:
        """The address on which the socket listens."""
        name = self._listener.socket.getsockname()
        host = f"[{name[0]}]" if ":" in name[0] else name[0]
        return f"{host}:{name[1]}"

    async def run(self, serve: Serve) -> None:
        """Accept until stopped, then wait for the accepted connections to end."""
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                while True:
                    await self._connection_slots.acquire()
                    stream = await self._accept()
                    nursery.start_soon(self._serve, serve, stream)

    async def stop(self) -> None:
        """Close the socket and accept no more connections."""
        self._accept_scope.cancel()
        await self._listener.aclose()

    async def _accept(self) -> trio.SocketStream:
        while True:
            try:
                return await self._listener.accept()
            except OSError as error:
                # Out of file descriptors: retry after some of them were closed.
                log_event("accept_failed", error=str(error))
                await trio.sleep(ACCEPT_RETRY_SECONDS)

    async def _serve(self, serve: Serve, stream: trio.SocketStream) -> None:
        try:
            await serve(stream)
        except Exception as error:
            log_event("connection_failed", error=repr(error))
        finally:
            self._connection_slots.release()
            await trio.aclose_forcefully(stream)
