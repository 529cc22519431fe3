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
    """Counts the bytes of a connection."""

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
        """Receive and count."""
        data = await self._stream.receive_some(max_bytes)
        self.counts.wire_received += len(data)
        return bytes(data)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


@final
class ServerTlsStream(trio.abc.Stream):
    """The accepting end of TLS; counts peers that do not prove who they are."""

    def __init__(
        self, stream: CountingStream, context: ssl.SSLContext, counters: Counters
    ) -> None:
        self.ssl = trio.SSLStream(
            stream, context, server_side=True, https_compatible=True
        )
        self._counters = counters
        self._shaken = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send ``data`` encrypted."""
        await self.ssl.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self.ssl.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive; the first call makes the handshake."""
        if not self._shaken:
            await self._shake()
        return bytes(await self.ssl.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Close the connection."""
        await self.ssl.aclose()

    async def _shake(self) -> None:
        try:
            await self.ssl.do_handshake()
        except trio.BrokenResourceError:
            self._counters.unauthenticated += 1
            raise
        self._shaken = True


@final
class LinkListener(trio.abc.Listener[trio.abc.Stream]):
    """Accepts connections, with the TLS context that is current at the time."""

    def __init__(
        self,
        listener: trio.SocketListener,
        context: Callable[[], ssl.SSLContext | None],
        counters: Counters,
    ) -> None:
        self._listener = listener
        self._context = context
        self._counters = counters

    @property
    def socket(self) -> trio.socket.SocketType:
        """The listening socket."""
        return self._listener.socket

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection; TLS is negotiated at its first receive."""
        stream = CountingStream(await self._listener.accept(), ByteCounts())
        context = self._context()
        if context is None:
            return stream
        return ServerTlsStream(stream, context, self._counters)

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()


def counts_of(stream: trio.abc.Stream) -> ByteCounts:
    """Return where the bytes of a link's ``stream`` are counted."""
    if isinstance(stream, ServerTlsStream):
        stream = stream.ssl
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    assert isinstance(stream, CountingStream), f"got {type(stream)}"
    return stream.counts


def certificate_of(stream: trio.abc.Stream) -> dict | None:
    """Return the peer's certificate; ``None`` on a plain connection."""
    if isinstance(stream, ServerTlsStream):
        stream = stream.ssl
    return stream.getpeercert() if isinstance(stream, trio.SSLStream) else None
