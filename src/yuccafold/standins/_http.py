"""The HTTP/1.1 server that all stand-ins share."""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import NamedTuple
from typing import final
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import h11
import trio

from yuccafold.standins._faults import NO_FAULTS
from yuccafold.standins._faults import Faults
from yuccafold.standins._wire import ConnectionDroppedError
from yuccafold.standins._wire import Wire

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1_048_576

CONNECTION_ERRORS = (
    ConnectionDroppedError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
    OSError,
)

FRAMING_HEADERS = re.compile(rb"(?i)(?:content-length|transfer-encoding): [^\r]*\r\n")

Headers = tuple[tuple[str, str], ...]
JSON_TYPE = ("Content-Type", "application/json")


class BoundAddress(NamedTuple):
    """The address that a server listens on."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@final
@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Where a stand-in listens, how it handles requests, and its initial faults."""

    host: str = "127.0.0.1"
    port: int = 0
    """0 lets the system choose; a server that is started again keeps its port."""
    expect_continue: bool = True
    """Whether ``Expect: 100-continue`` is answered with ``100 Continue``."""
    faults: Faults = NO_FAULTS


@final
@dataclass(frozen=True, slots=True)
class ServedRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return urlsplit(self.target).path

    def header(self, name: str) -> str | None:
        """Return the first value of header ``name``, given in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    def query(self, name: str) -> str | None:
        """Return the query's first value of ``name``."""
        return parse_qs(urlsplit(self.target).query).get(name, [None])[0]

    def query_number(self, name: str, default: int) -> int:
        """Return the query's integer ``name``; raise ``ValueError`` if it isn't one."""
        text = self.query(name)
        return default if text is None else int(text)


@final
class Exchange:
    """One request, and the methods that write its response."""

    def __init__(
        self, request: ServedRequest, connection: h11.Connection, wire: Wire
    ) -> None:
        self._request = request
        self._connection = connection
        self._wire = wire
        self._part_count = 0
        self._is_unframed = wire.faults.unframed

    @property
    def request(self) -> ServedRequest:
        """The request."""
        return self._request

    async def start(
        self, status: int, headers: Headers = (), *, unframed: bool = False
    ) -> None:
        """Write the response's head; without ``Content-Length`` the body is chunked.

        An ``unframed`` body has neither, as with the fault of that name.
        """
        self._is_unframed = self._is_unframed or unframed
        await self._wire.send(self._encode_head(status, headers))

    async def send(self, data: bytes) -> None:
        """Write a part of the body, unless a fault has ended the body."""
        self._part_count += 1
        last = self._wire.faults.end_stream_after_events
        if last is not None and self._part_count > last:
            return
        await self._wire.send(self._encode(h11.Data(data=data)))

    async def send_stray(self, data: bytes) -> None:
        """Write bytes that belong to no exchange, if one has ended before this one."""
        if self._wire.has_answered:
            await self._wire.send(data)

    async def finish(self) -> None:
        """Write the end of the response."""
        end = self._encode(h11.EndOfMessage())
        if end:
            await self._wire.send(end)
        await self._wire.end_response()

    async def respond(self, status: int, body: bytes, headers: Headers = ()) -> None:
        """Write a complete response in one write."""
        length = ("Content-Length", str(len(body)))
        parts = [self._encode_head(status, (length, *headers))]
        if body and self._request.method != "HEAD":
            parts.append(self._encode(h11.Data(data=body)))
        parts.append(self._encode(h11.EndOfMessage()))
        await self._wire.send(b"".join(parts))
        await self._wire.end_response()

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        close = (("Connection", "close"),) if self._is_unframed else ()
        head = h11.Response(status_code=status, headers=[*headers, *close])
        data = self._connection.send(head) or b""
        return FRAMING_HEADERS.sub(b"", data) if self._is_unframed else data

    def _encode(self, event: h11.Data | h11.EndOfMessage) -> bytes:
        """Return the bytes of a part of the body, or of its end."""
        data = self._connection.send(event) or b""
        if not self._is_unframed:
            return data
        return bytes(event.data) if isinstance(event, h11.Data) else b""

    async def respond_json(
        self, status: int, value: Any, headers: Headers = ()
    ) -> None:
        """Write a complete JSON response."""
        await self.respond(status, json.dumps(value).encode(), (JSON_TYPE, *headers))

    async def refuse(
        self, status: int, code: str, message: str, headers: Headers = ()
    ) -> None:
        """Write an error response as JSON, in the form all stand-ins use."""
        error = {"error": {"code": code, "message": message}}
        await self.respond_json(status, error, headers)


Handler = Callable[[Exchange], Awaitable[None]]


@final
class HttpServer:
    """Serves HTTP/1.1 with keep-alive on one port; a handler answers each exchange.

    The handler is cancelled when the caller disconnects.
    """

    def __init__(self, settings: ServerSettings, handler: Handler) -> None:
        self._settings = settings
        self._handler = handler
        self._faults = settings.faults
        self._port = settings.port
        self._scope: trio.CancelScope | None = None
        self._connections = 0
        self._open = 0

    @property
    def address(self) -> str:
        """The address as ``host:port``; the port is known once the server listens."""
        return f"{self._settings.host}:{self._port}"

    @property
    def connections(self) -> int:
        """How many connections were accepted in all."""
        return self._connections

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return self._open

    @property
    def faults(self) -> Faults:
        """The faults of the next exchanges."""
        return self._faults

    def set_faults(self, faults: Faults) -> None:
        """Inject ``faults`` into exchanges that begin from now on."""
        self._faults = faults

    def crash(self) -> None:
        """Close the listener and every connection at once; ``serve`` returns."""
        if self._scope is not None:
            self._scope.cancel()

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address once listening."""
        with trio.CancelScope() as self._scope:
            if self._faults.refuse_connections:
                await self._refuse_connections(task_status)
            listeners = await trio.open_tcp_listeners(
                self._port, host=self._settings.host
            )
            self._port = listeners[0].socket.getsockname()[1]
            task_status.started(BoundAddress(self._settings.host, self._port))
            await trio.serve_listeners(self._serve_connection, listeners)

    async def _refuse_connections(
        self, task_status: trio.TaskStatus[BoundAddress]
    ) -> None:
        """Bind the port without listening, so that every connect is refused."""
        with trio.socket.socket() as unlistened:
            await unlistened.bind((self._settings.host, self._port))
            self._port = unlistened.getsockname()[1]
            task_status.started(BoundAddress(self._settings.host, self._port))
            await trio.sleep_forever()

    def _pop_faults(self) -> Faults:
        """Return the faults of an exchange that begins now, and count the exchange."""
        faults = self._faults
        if faults.exchanges is not None:
            remaining = faults.exchanges - 1
            self._faults = (
                replace(faults, exchanges=remaining) if remaining > 0 else NO_FAULTS
            )
        return faults

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self._connections += 1
        self._open += 1
        wire = Wire(stream, self._pop_faults)
        try:
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self._serve_exchanges(wire)
        finally:
            self._open -= 1
            await wire.close()

    async def _serve_exchanges(self, wire: Wire) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        reader = _RequestReader(connection, wire, self._settings.expect_continue)
        while True:
            request = await reader.read()
            if request is None:
                return None
            if wire.faults.silent:
                return await wire.discard_input()
            marker = wire.faults.crash_marker
            if marker is not None and marker in request.body:
                self.crash()
                await trio.lowlevel.checkpoint()
            if not await self._answer(request, connection, wire):
                return None
            if connection.our_state is not h11.DONE:
                return None
            connection.start_next_cycle()
            wire.end_exchange()

    async def _answer(
        self, request: ServedRequest, connection: h11.Connection, wire: Wire
    ) -> bool:
        """Run the handler; return whether it completed before the connection ended."""
        done = False
        exchange = Exchange(request, connection, wire)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, wire, connection, nursery.cancel_scope
            )
            with contextlib.suppress(*CONNECTION_ERRORS):
                if wire.faults.delay_ms:
                    await trio.sleep(wire.faults.delay_ms / 1000)
                await self._handler(exchange)
                done = True
            nursery.cancel_scope.cancel()
        return done


async def _cancel_on_disconnect(
    wire: Wire, connection: h11.Connection, scope: trio.CancelScope
) -> None:
    """Cancel ``scope`` when the caller disconnects.

    Bytes that arrive before belong to the next request and are buffered.
    """
    with contextlib.suppress(*CONNECTION_ERRORS):
        while data := await wire.receive():
            connection.receive_data(data)
    scope.cancel()


@final
class _RequestReader:
    """Reads complete requests from one connection."""

    def __init__(
        self, connection: h11.Connection, wire: Wire, expect_continue: bool
    ) -> None:
        self._connection = connection
        self._wire = wire
        self._expect_continue = expect_continue

    async def read(self) -> ServedRequest | None:
        """Return the next request; ``None`` after the last, or if answered early."""
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        headers = tuple((key.decode(), value.decode()) for key, value in head.headers)
        request = ServedRequest(
            head.method.decode(), head.target.decode(), headers, b""
        )
        if self._wire.faults.early_status is not None:
            await self._answer_early(request)
            return None
        if self._connection.they_are_waiting_for_100_continue:
            await self._send_continue()
        body = b"".join([part async for part in self._body_parts()])
        return replace(request, body=body)

    async def _send_continue(self) -> None:
        if self._expect_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._wire.send(self._connection.send(interim))

    async def _answer_early(self, request: ServedRequest) -> None:
        """Answer before the body was read, then wait until the caller closes."""
        exchange = Exchange(request, self._connection, self._wire)
        status = self._wire.faults.early_status or 503
        await exchange.refuse(status, "early", "answered before the body was read")
        await self._wire.discard_input()

    async def _body_parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; drop the connection if it is too large."""
        length = 0
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise ConnectionDroppedError
            length += len(event.data)
            if length > MAX_BODY_BYTES:
                raise ConnectionDroppedError
            yield bytes(event.data)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event, and read from the connection until it is complete."""
        while (event := self._connection.next_event()) is h11.NEED_DATA:
            self._connection.receive_data(await self._wire.receive())
        return event
