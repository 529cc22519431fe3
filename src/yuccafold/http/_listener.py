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

ROOM_RETRY_SECONDS = 0.05
"""How often it is tried again to make room for a new connection."""

Serve = Callable[[trio.SocketStream], Awaitable[None]]


@final
class Listener:
    """Accepts connections and runs a task for each, up to a limit.

    At the limit, ``make_room`` may end another connection for a new one; it returns
    whether there was one to end. Until then the new one waits, and those behind it wait
    in the kernel's backlog or try another VM.
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        limit: int,
        make_room: Callable[[], bool] = lambda: False,
    ) -> None:
        self._listener = listener
        self._make_room = make_room
        self._connection_slots = trio.Semaphore(limit)
        self._accept_scope = trio.CancelScope()

    @classmethod
    async def open(
        cls,
        address: str,
        limit: int,
        make_room: Callable[[], bool] = lambda: False,
    ) -> Listener:
        """Listen on ``address``; port 0 means any free port.

        A socket that was opened there before the program was loaded is reused.
        """
        early = take_early_listener(address)
        if early is not None:
            early_listener = trio.SocketListener(trio.socket.from_stdlib_socket(early))
            return cls(early_listener, limit, make_room)
        host, port = address.rsplit(":", 1)
        host = host.strip("[]")
        listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        return cls(listeners[0], limit, make_room)

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
                    stream = await self._accept()
                    await self._reserve_slot(stream)
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

    async def _reserve_slot(self, stream: trio.SocketStream) -> None:
        """Wait until ``stream`` is within the limit; close it if that is cancelled."""
        try:
            while True:
                if self._connection_slots.value == 0:
                    self._make_room()
                with trio.move_on_after(ROOM_RETRY_SECONDS):
                    await self._connection_slots.acquire()
                    return
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise

    async def _serve(self, serve: Serve, stream: trio.SocketStream) -> None:
        try:
            await serve(stream)
        except Exception as error:
            log_event("connection_failed", error=repr(error))
        finally:
            self._connection_slots.release()
            await trio.aclose_forcefully(stream)
