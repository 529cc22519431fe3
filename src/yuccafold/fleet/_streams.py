"""Streams that count their bytes, and the listener for incoming links."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from typing import final

import trio

from yuccafold.fleet._stats import ByteCounts
from yuccafold.fleet._stats import Counters


@final
class CountingStream(trio.abc.Stream):
    """A stream that counts the bytes sent and received."""

    def __init__(self, stream: trio.SocketStream, counts: ByteCounts) -> None:
        self._stream = stream
        self.counts = counts

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send ``data`` and count it."""
        self.counts.wire_sent += len(data)
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data and count it."""
        data = await self._stream.receive_some(max_bytes)
        self.counts.wire_received += len(data)
        return bytes(data)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


@final
class ServerTlsStream(trio.abc.Stream):
    """The server side of TLS; counts failed handshakes as unauthenticated."""

    def __init__(
        self, stream: CountingStream, context: ssl.SSLContext, counters: Counters
    ) -> None:
        self.ssl = trio.SSLStream(
            stream, context, server_side=True, https_compatible=True
        )
        self._counters = counters
        self._handshake_done = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Encrypt and send ``data``."""
        await self.ssl.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self.ssl.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive decrypted data; the first call does the handshake."""
        if not self._handshake_done:
            await self._do_handshake()
        return bytes(await self.ssl.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Close the connection."""
        await self.ssl.aclose()

    async def _do_handshake(self) -> None:
        try:
            await self.ssl.do_handshake()
        except trio.BrokenResourceError:
            self._counters.unauthenticated += 1
            raise
        self._handshake_done = True


@final
class LinkListener(trio.abc.Listener[trio.abc.Stream]):
    """Accepts connections with the TLS context that is current at the time."""

    def __init__(
        self,
        listener: trio.SocketListener,
        current_context: Callable[[], ssl.SSLContext | None],
        counters: Counters,
    ) -> None:
        self._listener = listener
        self._current_context = current_context
        self._counters = counters

    @property
    def socket(self) -> trio.socket.SocketType:
        """The listening socket."""
        return self._listener.socket

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection; its first receive does the TLS handshake."""
        stream = CountingStream(await self._listener.accept(), ByteCounts())
        context = self._current_context()
        if context is None:
            return stream
        return ServerTlsStream(stream, context, self._counters)

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()


def counts_of(stream: trio.abc.Stream) -> ByteCounts:
    """Return the byte counts of a link's ``stream``."""
    if isinstance(stream, ServerTlsStream):
        stream = stream.ssl
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    assert isinstance(stream, CountingStream), f"got {type(stream)}"
    return stream.counts


def certificate_of(stream: trio.abc.Stream) -> dict | None:
    """Return the peer's certificate; ``None`` without TLS."""
    if isinstance(stream, ServerTlsStream):
        stream = stream.ssl
    return stream.getpeercert() if isinstance(stream, trio.SSLStream) else None
