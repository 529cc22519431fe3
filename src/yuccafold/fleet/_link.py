"""One open connection between two VMs, and the check that it still works."""

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
"""Takes a frame; returns whether the link may go on."""


async def greet(
    connection: Connection, hello: Hello, settings: LinkSettings
) -> Hello | None:
    """Exchange the first messages; ``None`` when the peer is not who it says.

    The peer's certificate must name the VM id of its ``Hello``; without TLS
    the ``Hello`` is believed.
    """
    try:
        with trio.move_on_after(settings.open_timeout_ms / MS_PER_SECOND):
            await connection.send(encode_frame([encode(hello)]))
            return _authenticated(connection, await connection.recv())
    except ConnectionClosed:
        pass
    return None


def _authenticated(connection: Connection, data: str | bytes) -> Hello | None:
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
    """An authenticated connection; ``run`` owns its reading side."""

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
        self._last_received = clock.now()
        self._last_sent = clock.now()
        self._check_wanted = trio.Event()
        self._malformed = 0

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
        """The bytes of the connection."""
        return counts_of(self._connection.stream)

    def count_malformed(self) -> bool:
        """Count malformed input; return whether the link may go on."""
        self._malformed += 1
        return self._malformed <= self._settings.malformed_limit

    async def run(self, on_frame: FrameHandler) -> None:
        """Pass on frames until the connection ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            await self._read(on_frame)
            nursery.cancel_scope.cancel()

    async def send(self, frame: bytes) -> bool:
        """Send ``frame``; return whether the connection took it."""
        now = self._clock.now()
        if now - self._last_received > self._settings.ping_after_ms:
            self._check_wanted.set()
        self._last_sent = now
        timeout = self._settings.ping_timeout_ms / MS_PER_SECOND
        try:
            with trio.move_on_after(timeout):
                await self._connection.send(frame)
                return True
        except ConnectionClosed:
            return False
        # A frame cut short leaves the stream unusable.
        self._counters.replaced_silent += 1
        await self.abort()
        return False

    async def close(self) -> None:
        """Close in good order; the peer's last frames are still read."""
        await self._connection.aclose()

    async def abort(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._connection.stream)

    async def _read(self, on_frame: FrameHandler) -> None:
        try:
            while True:
                data = await self._connection.recv(decode=False)
                self._last_received = self._clock.now()
                if not on_frame(self, data):
                    await self.close()
                    return
        except ConnectionClosed as error:
            sent = error.sent
            if sent is not None and sent.code == TOO_BIG:
                self._counters.too_large += 1

    async def _watch(self) -> None:
        while True:
            with trio.move_on_after(self._settings.idle_ms / MS_PER_SECOND):
                await self._check_wanted.wait()
            if not self._check_wanted.is_set():
                if self._is_idle():
                    await self.close()
                    return
                continue
            if not await self._answers():
                self._counters.replaced_silent += 1
                await self.abort()
                return
            self._check_wanted = trio.Event()

    def _is_idle(self) -> bool:
        last = max(self._last_received, self._last_sent)
        return self._clock.now() - last >= self._settings.idle_ms

    async def _answers(self) -> bool:
        """Ping; return whether anything comes back in time."""
        before = self._last_received
        try:
            with trio.move_on_after(self._settings.ping_timeout_ms / MS_PER_SECOND):
                pong = await self._connection.ping()
                await pong.wait()
                self._last_received = self._clock.now()
                return True
        except ConnectionClosed:
            return True
        return self._last_received != before


TOO_BIG = 1009
"""The WebSocket close code for a frame over the limit."""


@final
class LinkReport:
    """Tells, once, which link an attempt to open one gave."""

    def __init__(self, task_status: trio.TaskStatus[Link | None]) -> None:
        self._task_status = task_status
        self._given = False

    def give(self, link: Link | None) -> None:
        """Report ``link``, or ``None`` for a failure; later calls do nothing."""
        if not self._given:
            self._given = True
            self._task_status.started(link)
