"""One accepted connection, and the faults that concern its bytes."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import NoReturn
from typing import final

import trio

from yuccafold.standins._faults import Faults
from yuccafold.standins._faults import Malformed

RECEIVE_BYTES = 65_536
TRUNCATED_TAIL_BYTES = 5
"""How many bytes a truncated response lacks: the length of the empty last chunk."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a timeout of 0, which makes a close send a TCP reset."""

MALFORMED_HEADS = {
    Malformed.STATUS_LINE: b"HTTP/one 200 fine\r\nContent-Length: 0\r\n\r\n",
    Malformed.HEADER: b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
    Malformed.CONTENT_LENGTH: b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
    Malformed.CHUNK_SIZE: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n{}\r\n"
    ),
}

SECOND_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
FURTHER_BYTES = b"further bytes"


class ConnectionDroppedError(Exception):
    """The server drops a connection: by a fault, or for an unusable request body."""


@final
class Wire:
    """Counts the bytes of each exchange and applies the faults to them.

    ``pop_faults`` returns the faults of the next exchange; it is called when the
    first byte of the exchange has arrived.
    """

    def __init__(
        self, stream: trio.SocketStream, pop_faults: Callable[[], Faults]
    ) -> None:
        self._stream = stream
        self._pop_faults = pop_faults
        self._faults: Faults | None = None
        self._received = 0
        self._sent = 0
        self._withheld = b""
        self._has_answered = False

    @property
    def has_answered(self) -> bool:
        """Whether an earlier exchange of the connection has ended."""
        return self._has_answered

    @property
    def faults(self) -> Faults:
        """The faults of the current exchange."""
        return self._faults or Faults()

    @property
    def sent(self) -> int:
        """How many bytes of the current response were written."""
        return self._sent

    def end_exchange(self) -> None:
        """Reset faults and byte counts for the next exchange."""
        self._has_answered = True
        self._faults = None
        self._received = 0
        self._sent = 0
        self._withheld = b""

    async def receive(self) -> bytes:
        """Return the next bytes, or no bytes at the end of the connection."""
        if self._faults is None:
            # A connection that closes before its first byte is no exchange, so
            # it uses up no faults.
            if not await self._stream.socket.recv(1, socket.MSG_PEEK):
                return b""
            self._faults = self._pop_faults()
        close_at = self.faults.close_at_request_byte
        if close_at is not None and self._received >= close_at:
            await self.drop()
        limit = (
            RECEIVE_BYTES
            if close_at is None
            else min(close_at - self._received, RECEIVE_BYTES)
        )
        data = await self._stream.receive_some(limit)
        self._received += len(data)
        if data and self._received == close_at:
            await self.drop()
        return data

    async def discard_input(self) -> None:
        """Read and discard bytes until the other side closes."""
        async for _ in self._stream:
            pass

    async def send(self, data: bytes) -> None:
        """Write ``data``, as far as the faults allow."""
        faults = self.faults
        if faults.malformed is not None:
            await self._stream.send_all(MALFORMED_HEADS[faults.malformed])
            await self.drop()
        if faults.truncated:
            data = self._withheld + data
            self._withheld = data[-TRUNCATED_TAIL_BYTES:]
            data = data[:-TRUNCATED_TAIL_BYTES]
        before_close = self._before_byte(data, faults.close_at_response_byte)
        before_silence = self._before_byte(data, faults.silent_at_response_byte)
        part = min(before_close, before_silence, key=len)
        await self._stream.send_all(part)
        self._sent += len(part)
        if self._sent == faults.close_at_response_byte:
            await self.drop()
        if self._sent == faults.silent_at_response_byte:
            await trio.sleep_forever()

    def _before_byte(self, data: bytes, end: int | None) -> bytes:
        """Return the part of ``data`` that is before byte ``end`` of the response."""
        return data if end is None else data[: end - self._sent]

    async def end_response(self) -> None:
        """Apply the faults that follow a complete response."""
        if self.faults.truncated:
            await self.drop()
        if self.faults.overlong:
            await self._stream.send_all(FURTHER_BYTES)
        if self.faults.answer_twice:
            await self._stream.send_all(SECOND_RESPONSE)

    async def drop(self) -> NoReturn:
        """Close the connection at once, by a TCP reset if the faults say so."""
        if self.faults.reset:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.close()
        raise ConnectionDroppedError

    async def close(self) -> None:
        """Close the socket."""
        await trio.aclose_forcefully(self._stream)
