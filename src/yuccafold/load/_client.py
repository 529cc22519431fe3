"""An HTTP/1.1 client that keeps its connections open between calls."""

from __future__ import annotations

import select
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import final

import h11
import trio

RECEIVE_BYTES = 65_536

Headers = tuple[tuple[str, str], ...]


class BrokenCallError(Exception):
    """The call did not get a complete answer; the message gives the reason."""


class NotSentError(BrokenCallError):
    """No connection could be opened, so no part of the call was sent."""


@final
@dataclass(frozen=True, slots=True)
class CallRequest:
    """One request, without the ``Host`` and ``Content-Length`` headers."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""


@final
class Answer:
    """The head of an answer, and its body, which is read as it arrives."""

    def __init__(self, response: h11.Response, connection: _Connection) -> None:
        self._response = response
        self._connection = connection

    @property
    def status(self) -> int:
        """The status code."""
        return self._response.status_code

    def header(self, name: str) -> str | None:
        """Return the first value of header ``name``, which must be in lower case."""
        values = (
            value.decode("latin-1")
            for key, value in self._response.headers
            if key == name.encode()
        )
        return next(values, None)

    async def next_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end."""
        event = await self._connection.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    async def read(self) -> bytes:
        """Return the whole body."""
        parts = []
        while (part := await self.next_part()) is not None:
            parts.append(part)
        return b"".join(parts)


class _Connection:
    """One open connection and the state of its current HTTP exchange."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def send(self, host: str, request: CallRequest) -> None:
        length = ("Content-Length", str(len(request.body)))
        headers = [("Host", host), length, *request.headers]
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        events = (head, h11.Data(data=request.body), h11.EndOfMessage())
        parts = (self._http.send(event) for event in events)
        await self._stream.send_all(b"".join(part for part in parts if part))

    async def response(self) -> h11.Response:
        """Return the head of the answer; skips interim (1xx) responses."""
        while not isinstance(event := await self.next_event(), h11.Response):
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenCallError(f"expected a response, got {event!r}")
        return event

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        while (event := self._http.next_event()) is h11.NEED_DATA:
            self._http.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
        return event

    def is_readable(self) -> bool:
        """Return whether the idle connection has unread bytes or was closed."""
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def start_next_exchange(self) -> bool:
        """Start the next exchange; return false if the last one isn't complete."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def close(self) -> None:
        await trio.aclose_forcefully(self._stream)


@final
class HttpCaller:
    """Makes one call at a time; keeps one idle connection for each address."""

    def __init__(self) -> None:
        self._idle_connections: dict[str, _Connection] = {}

    @asynccontextmanager
    async def call(
        self, address: str, request: CallRequest, host: str | None = None
    ) -> AsyncIterator[Answer]:
        """Send ``request``; yield its answer or raise ``BrokenCallError``."""
        connection: _Connection | None = None
        try:
            connection = await self._connection_to(address)
            await connection.send(host or address, request)
            yield Answer(await connection.response(), connection)
            if connection.start_next_exchange():
                self._idle_connections[address], connection = connection, None
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            raise BrokenCallError(f"{type(error).__name__}: {error}") from error
        finally:
            if connection is not None:
                await connection.close()

    async def _connection_to(self, address: str) -> _Connection:
        """Return a usable idle connection to ``address``, or a new one."""
        idle = self._idle_connections.pop(address, None)
        if idle is not None and idle.is_readable():
            await idle.close()
            idle = None
        return idle or await _open_connection(address)

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle_connections:
            await self._idle_connections.popitem()[1].close()


async def _open_connection(address: str) -> _Connection:
    host, _, port = address.rpartition(":")
    try:
        stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
    except OSError as error:
        raise NotSentError(f"cannot connect to {address}: {error}") from error
    return _Connection(stream)
