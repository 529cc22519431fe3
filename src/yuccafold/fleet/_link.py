"""An open connection between two VMs, and the check that it still works."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import trio
from result import Ok
from websockets.exceptions import ConnectionClosed
from websockets.trio.connection import Connection

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.fleet._codec import decode_frame
from yuccafold.fleet._codec import encode
from yuccafold.fleet._codec import encode_frame
from yuccafold.fleet._link_settings import LinkSettings
from yuccafold.fleet._messages import Hello
from yuccafold.fleet._stats import ByteCounts
from yuccafold.fleet._stats import Counters
from yuccafold.fleet._streams import certificate_of
from yuccafold.fleet._streams import counts_of
from yuccafold.fleet._tls import peer_ids

FrameHandler = Callable[["Link", bytes], bool]
"""Handles a frame; returns whether the link may stay open."""


async def exchange_hello(
    connection: Connection, hello: Hello, settings: LinkSettings
) -> Hello | None:
    """Send ``hello`` and return the peer's, or ``None`` without a valid one.

    The peer's certificate must contain the VM id of its ``Hello``. Without
    TLS, the ``Hello`` is not verified. Also returns ``None`` when the peer does
    not answer within ``open_timeout_ms``.
    """
    try:
        with trio.move_on_after(settings.open_timeout_ms / MS_PER_SECOND):
            await connection.send(encode_frame([encode(hello)]))
            return _authenticate(connection, await connection.recv())
    except ConnectionClosed:
        pass
    return None


def _authenticate(connection: Connection, data: str | bytes) -> Hello | None:
    first = next(decode_frame(data), None) if isinstance(data, bytes) else None
    if not isinstance(first, Ok) or not isinstance(first.ok_value.message, Hello):
        return None
    hello: Hello = first.ok_value.message
    certificate = certificate_of(connection.stream)
    if certificate is not None and hello.vm not in peer_ids(certificate):
        return None
    return hello


@final
class Link:
    """A connection after the exchange of ``Hello``; only ``run`` reads from it."""

    def __init__(
        self,
        connection: Connection,
        hello: Hello,
        settings: LinkSettings,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._connection = connection
        self._hello = hello
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._last_received_at = clock.now()
        self._last_sent_at = clock.now()
        self._ping_requested = trio.Event()
        self._malformed_count = 0

    @property
    def vm(self) -> VmId:
        """The VM at the other end."""
        return self._hello.vm

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the VM at the other end."""
        return self._hello.incarnation

    @property
    def wire(self) -> ByteCounts:
        """The bytes that the connection sent and received."""
        return counts_of(self._connection.stream)

    def count_malformed(self) -> bool:
        """Count malformed input; return whether the link may stay open."""
        self._malformed_count += 1
        return self._malformed_count <= self._settings.malformed_limit

    async def run(self, on_frame: FrameHandler) -> None:
        """Pass received frames to ``on_frame`` until the connection ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._monitor)
            await self._read(on_frame)
            nursery.cancel_scope.cancel()

    async def send(self, frame: bytes) -> bool:
        """Send ``frame``; return whether the connection accepted it in time.

        Requests a ping when nothing was received for ``ping_after_ms``.
        """
        now = self._clock.now()
        if now - self._last_received_at > self._settings.ping_after_ms:
            self._ping_requested.set()
        self._last_sent_at = now
        timeout = self._settings.ping_timeout_ms / MS_PER_SECOND
        try:
            with trio.move_on_after(timeout):
                await self._connection.send(frame)
                return True
        except ConnectionClosed:
            return False
        # The frame may be sent in part, which leaves the stream unusable.
        self._counters.replaced_silent += 1
        await self.abort()
        return False

    async def close(self) -> None:
        """Close with a WebSocket closing handshake.

        Frames that the peer sent before are still read.
        """
        await self._connection.aclose()

    async def abort(self) -> None:
        """Close the stream at once, without a closing handshake."""
        await trio.aclose_forcefully(self._connection.stream)

    async def _read(self, on_frame: FrameHandler) -> None:
        try:
            while True:
                data = await self._connection.recv(decode=False)
                self._last_received_at = self._clock.now()
                if not on_frame(self, data):
                    await self.close()
                    return
        except ConnectionClosed as error:
            sent = error.sent
            if sent is not None and sent.code == CLOSE_CODE_MESSAGE_TOO_BIG:
                self._counters.too_large += 1

    async def _monitor(self) -> None:
        while True:
            with trio.move_on_after(self._settings.idle_ms / MS_PER_SECOND):
                await self._ping_requested.wait()
            if not self._ping_requested.is_set():
                if self._is_idle():
                    await self.close()
                    return
                continue
            if not await self._is_responsive():
                self._counters.replaced_silent += 1
                await self.abort()
                return
            self._ping_requested = trio.Event()

    def _is_idle(self) -> bool:
        last = max(self._last_received_at, self._last_sent_at)
        return self._clock.now() - last >= self._settings.idle_ms

    async def _is_responsive(self) -> bool:
        """Ping; return whether anything is received in time.

        Also true when the connection was closed, as it needs no abort then.
        """
        before = self._last_received_at
        try:
            with trio.move_on_after(self._settings.ping_timeout_ms / MS_PER_SECOND):
                pong = await self._connection.ping()
                await pong.wait()
                self._last_received_at = self._clock.now()
                return True
        except ConnectionClosed:
            return True
        return self._last_received_at != before


CLOSE_CODE_MESSAGE_TOO_BIG = 1009
"""The WebSocket close code for a frame that is larger than the limit."""


@final
class DialResult:
    """Reports the result of an attempt to open a link, at most once."""

    def __init__(self, task_status: trio.TaskStatus[Link | None]) -> None:
        self._task_status = task_status
        self._reported = False

    def report(self, link: Link | None) -> None:
        """Report ``link``, or ``None`` for a failure; later calls are ignored."""
        if not self._reported:
            self._reported = True
            self._task_status.started(link)
