"""A small HTTP/1.1 client for single calls to the platform and to engines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import h11
import trio
from result import Err
from result import Ok
from result import Result

from yuccafold._clock import MS_PER_SECOND
from yuccafold.http import Framing
from yuccafold.http import framing_of

READ_BYTES = 65_536
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@final
@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request; ``address`` is an IP address and port, ``target`` path and query."""

    address: str
    path_and_query: str
    method: str = "GET"
    body: bytes = b""


@final
@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Timeouts in milliseconds and sizes in bytes.

    ``answer_timeout_ms`` covers the time from the connection to the end of the
    answer, without the wait of a long poll.
    """

    connect_timeout_ms: int = 1_000
    answer_timeout_ms: int = 5_000
    max_body_bytes: int = 1_048_576


@final
@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete answer; header names are in lower case.

    With ``Framing.UNTIL_CLOSE`` the body may lack its end: the server may have crashed.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    framing: Framing


@final
@dataclass(frozen=True, slots=True)
class HttpFault:
    """Why there is no complete answer."""

    reason: str


async def call(
    request: HttpRequest,
    limits: HttpLimits,
    wait_ms: int = 0,
    may_send: Callable[[], bool] | None = None,
) -> Result[HttpResponse, HttpFault]:
    """Make one call on a new connection, which is closed afterwards.

    ``wait_ms`` is the wait of a long poll; it extends the answer timeout.
    ``may_send`` is called once connected, right before the first byte is sent;
    when it returns false, nothing is sent.
    """
    stream = None
    with trio.move_on_after(limits.connect_timeout_ms / MS_PER_SECOND):
        try:
            stream = await _connect(request.address)
        except (OSError, ValueError) as error:
            return Err(HttpFault(f"cannot connect to {request.address}: {error}"))
    if stream is None:
        return Err(HttpFault(f"connecting to {request.address} timed out"))
    timeout = (limits.answer_timeout_ms + wait_ms) / MS_PER_SECOND
    async with stream:
        if may_send is not None and not may_send():
            return Err(HttpFault("not sent: sending is no longer allowed"))
        with trio.move_on_after(timeout):
            return await _exchange(stream, request, limits)
    return Err(HttpFault(f"{request.address} gave no whole answer in {timeout} s"))


async def _connect(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host.strip("[]"), int(port))


async def _exchange(
    stream: trio.SocketStream, request: HttpRequest, limits: HttpLimits
) -> Result[HttpResponse, HttpFault]:
    connection = h11.Connection(h11.CLIENT)
    try:
        await stream.send_all(_head_and_body(connection, request))
        return await _response(stream, request, connection, limits)
    except h11.ProtocolError as error:
        return Err(HttpFault(f"malformed answer of {request.address}: {error}"))
    except CONNECTION_ERRORS as error:
        return Err(HttpFault(f"connection to {request.address} broke: {error}"))


def _head_and_body(connection: h11.Connection, request: HttpRequest) -> bytes:
    headers = [
        ("Host", request.address),
        ("Connection", "close"),
        ("Content-Length", str(len(request.body))),
    ]
    head = h11.Request(
        method=request.method, target=request.path_and_query, headers=headers
    )
    parts = (head, h11.Data(data=request.body), h11.EndOfMessage())
    return b"".join(connection.send(part) or b"" for part in parts)


async def _response(
    stream: trio.SocketStream,
    request: HttpRequest,
    connection: h11.Connection,
    limits: HttpLimits,
) -> Result[HttpResponse, HttpFault]:
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > limits.max_body_bytes:
                reason = f"expected a body of at most {limits.max_body_bytes} bytes"
                return Err(HttpFault(reason))
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {name.decode(): value.decode() for name, value in head.headers}
            framing = framing_of(request.method.encode(), head)
            return Ok(HttpResponse(head.status_code, headers, bytes(body), framing))
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return Err(HttpFault("connection closed before the answer"))
