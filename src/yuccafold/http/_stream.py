"""An HTTP/1.1 connection over ``h11``, and helpers for headers."""

from __future__ import annotations

import select
from itertools import count
from typing import Any
from typing import Protocol
from typing import final

import h11
import trio

READ_BYTES = 65_536

EVENTS_PER_TURN = 64
"""Events that are parsed before other tasks run. One read may hold over ten thousand,
if a body comes in chunks of a byte, and each takes some 30 us."""

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


_numbers = count(1)


class ByteStream(Protocol):
    """The part of a trio stream that an HTTP connection uses."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes; empty at the end of the stream."""
        ...

    async def send_all(self, data: bytes) -> None:
        """Send all of ``data``."""
        ...

    async def aclose(self) -> None:
        """Close the stream."""
        ...


@final
class HttpStream:
    """A trio stream with the ``h11`` protocol state of one side of the connection."""

    def __init__(
        self, stream: Any, role: type[h11.Sentinel], max_head_bytes: int
    ) -> None:
        self._stream = stream
        self._http = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
        self._eof = False
        self._events_in_turn = 0
        self._number = next(_numbers)

    @property
    def number(self) -> int:
        """A number that tells the connections of this process apart in logs."""
        return self._number

    @property
    def protocol(self) -> h11.Connection:
        """The ``h11`` protocol state."""
        return self._http

    @property
    def eof(self) -> bool:
        """Whether the other side has closed its sending direction."""
        return self._eof

    def replace_protocol(self, connection: h11.Connection) -> None:
        """Replace the protocol state and keep the stream."""
        self._http = connection

    async def next_event(self) -> Any:
        """Return the next ``h11`` event, reading from the stream as needed.

        Other tasks run now and then, also if no bytes have to be waited for.
        """
        if self._events_in_turn >= EVENTS_PER_TURN:
            self._events_in_turn = 0
            await trio.lowlevel.checkpoint()
        self._events_in_turn += 1
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.receive()

    async def receive(self) -> bool:
        """Receive bytes into the protocol state; return ``False`` at the end."""
        data = await self._stream.receive_some(READ_BYTES)
        self._events_in_turn = 0
        self._http.receive_data(data)
        if not data:
            self._eof = True
        return bool(data)

    async def send(self, *events: Any) -> None:
        """Send ``events`` in one write."""
        data = b"".join(self._http.send(event) or b"" for event in events)
        if data:
            await self._stream.send_all(data)

    async def send_encoded(self, data: bytes) -> None:
        """Send bytes that ``encode`` returned."""
        await self._stream.send_all(data)

    def encode(self, *events: Any) -> bytes:
        """Return the bytes of ``events`` without sending them."""
        return b"".join(self._http.send(event) or b"" for event in events)

    def is_clean(self) -> bool:
        """Return whether the connection is idle, open and has no unread bytes."""
        if self._http.our_state is not h11.IDLE or self._eof:
            return False
        if self._http.their_state is not h11.IDLE or self._http.trailing_data[0]:
            return False
        return not self._is_readable()

    def _is_readable(self) -> bool:
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def close(self) -> None:
        """Close the connection without waiting."""
        with trio.CancelScope(shield=True):
            with trio.move_on_after(0):
                await trio.aclose_forcefully(self._stream)


def end_to_end(headers: Headers) -> Headers:
    """Return ``headers`` without the hop-by-hop ones."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in connection_options
    )


def first_value(headers: Headers, wanted: bytes) -> str | None:
    """Return the first value of a header as text, or ``None``."""
    for name, value in headers:
        if name == wanted:
            return value.decode("latin-1").strip()
    return None
