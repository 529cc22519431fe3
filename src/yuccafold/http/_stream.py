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

CALLER_READ_BYTES = 16_384
"""Bytes that are received from a caller at once: its connection may hold so many that
are not parsed yet, and there are far more callers than targets."""

EVENTS_PER_TURN = 64
"""Events that are parsed before other tasks run. One read may hold over ten thousand,
if a body comes in chunks of a byte, and each takes some 30 us."""

HEADERS_PER_EVENT = 8
"""Header fields that take about as long to parse as one event."""

LONG_HEAD_BYTES = 4_096
"""A head of more bytes is parsed in a turn: it may have a thousand fields."""

_parsing_turn: trio.lowlevel.RunVar[trio.Lock] = trio.lowlevel.RunVar("parsing_turn")

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
    """A trio stream with the ``h11`` protocol state of one side of the connection.

    Parsing many small events takes turns: all connections together parse as many
    between two steps of the other tasks as a single one does. The events of a request
    are counted to its end, those of an answer from the last read on: a stream may have
    any number of them.
    """

    def __init__(
        self, stream: Any, role: type[h11.Sentinel], max_head_bytes: int
    ) -> None:
        self._stream = stream
        self._is_client = role is h11.CLIENT
        self._read_bytes = READ_BYTES if self._is_client else CALLER_READ_BYTES
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
    def unparsed_bytes(self) -> int:
        """How many bytes were received and not parsed yet."""
        return len(self._http.trailing_data[0])

    @property
    def eof(self) -> bool:
        """Whether the other side has closed its sending direction."""
        return self._eof

    def replace_protocol(self, connection: h11.Connection) -> None:
        """Replace the protocol state and keep the stream."""
        self._http = connection

    async def next_event(self) -> Any:
        """Return the next ``h11`` event, reading from the stream as needed."""
        while (event := await self.parse()) is h11.NEED_DATA:
            await self.receive()
        return event

    async def parse(self) -> Any:
        """Return the next event of what was received, or ``h11.NEED_DATA``.

        Other tasks run now and then, also if no bytes have to be waited for.
        """
        if self._events_in_turn >= EVENTS_PER_TURN or self._is_before_long_head():
            await _take_turn()
            self._events_in_turn = 0
        event = self._http.next_event()
        self._events_in_turn += 1
        if isinstance(event, h11.Request | h11.EndOfMessage):
            self._events_in_turn += len(event.headers) // HEADERS_PER_EVENT
        return event

    def _is_before_long_head(self) -> bool:
        if self._is_client or self._http.their_state is not h11.IDLE:
            return False
        return self.unparsed_bytes > LONG_HEAD_BYTES

    def start_next_cycle(self) -> None:
        """Expect the next request on the connection."""
        self._http.start_next_cycle()
        if self._events_in_turn < EVENTS_PER_TURN:
            self._events_in_turn = 0

    async def receive(self, max_bytes: int | None = None) -> bool:
        """Receive bytes into the protocol state; return ``False`` at the end."""
        data = await self._stream.receive_some(max_bytes or self._read_bytes)
        if self._is_client:
            self._events_in_turn = 0
        self._http.receive_data(data)
        if not data:
            self._eof = True
        return bool(data)

    async def discard_rest(self, seconds: float) -> None:
        """End the sending side, and drop what still comes for so long.

        If a connection is closed while bytes come, its other side may lose the answer.
        """
        with trio.move_on_after(seconds):
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass

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


async def _take_turn() -> None:
    """Wait for a turn to parse; tasks that wait for theirs get it in order."""
    turn = _parsing_turn.get(None)
    if turn is None:
        turn = trio.Lock()
        _parsing_turn.set(turn)
    async with turn:
        await trio.lowlevel.checkpoint()


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
