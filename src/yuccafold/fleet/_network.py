"""Sends and receives messages over the links of this VM to its peers."""

from __future__ import annotations

import functools
import logging
import random
import ssl
from collections import Counter
from collections.abc import Mapping
from copy import deepcopy
from dataclasses import replace
from typing import Any
from typing import final

import trio
from result import Err
from result import Ok
from result import Result
from websockets.exceptions import WebSocketException
from websockets.trio.client import connect
from websockets.trio.connection import Connection
from websockets.trio.server import ServerConnection
from websockets.trio.server import serve

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.fleet._address import bound_address
from yuccafold.fleet._address import listen
from yuccafold.fleet._address import split_address
from yuccafold.fleet._codec import MAX_FRAME_BYTES
from yuccafold.fleet._codec import Decoded
from yuccafold.fleet._codec import DecodeFault
from yuccafold.fleet._codec import DecodeReason
from yuccafold.fleet._codec import byte_class_of
from yuccafold.fleet._codec import decode_frame
from yuccafold.fleet._codec import encode
from yuccafold.fleet._link import DialResult
from yuccafold.fleet._link import Link
from yuccafold.fleet._link import exchange_hello
from yuccafold.fleet._link_settings import LinkSettings
from yuccafold.fleet._messages import Hello
from yuccafold.fleet._network_types import NetworkError
from yuccafold.fleet._network_types import PeerAddress
from yuccafold.fleet._network_types import Received
from yuccafold.fleet._outbox import ByteBudget
from yuccafold.fleet._outbox import DropCause
from yuccafold.fleet._outbox import QueuedMessage
from yuccafold.fleet._peer import Peer
from yuccafold.fleet._registry import ByteClass
from yuccafold.fleet._stats import ByteCounts
from yuccafold.fleet._stats import Counters
from yuccafold.fleet._stats import DropCount
from yuccafold.fleet._stats import NetworkStats
from yuccafold.fleet._streams import CountingStream
from yuccafold.fleet._streams import LinkListener
from yuccafold.fleet._tls import TlsReloader
from yuccafold.settings import ProcessSettings

FRAME_OVERHEAD_BYTES = 60
"""TCP, IP, TLS and WebSocket headers; the budget adds them to each message."""

CLOSE_TIMEOUT_S = 1.0
READ_QUEUE_FRAMES = 4


@final
class PeerNetwork:
    """Exchanges messages with other VMs, best effort and each at most once.

    ``run`` runs until it is cancelled. Dropped messages are counted; a sender
    that needs an answer has to retry. Received messages go to ``inbox``, and
    are dropped when it is full.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: Incarnation,
        clock: Clock,
        inbox: trio.MemorySendChannel[Received],
        rng: random.Random,
        link_settings: LinkSettings | None = None,
    ) -> None:
        self._settings = settings
        self._link_settings = link_settings or LinkSettings()
        self._clock = clock
        self._inbox = inbox
        self._rng = rng
        self._hello = Hello(VmId(settings.vm), incarnation)
        self._tls = TlsReloader(settings.tls)
        self._peers: dict[VmId, Peer] = {}
        self._counters = Counters()
        self._dropped: Counter[tuple[ByteClass, DropCause]] = Counter()
        self._budget = ByteBudget(self._link_settings, clock.now())
        # Bytes of closed links and discarded peers.
        self._past_bytes = ByteCounts()
        self._open_links: set[Link] = set()
        self._nursery: trio.Nursery | None = None
        self._address = settings.peer

    @property
    def address(self) -> str:
        """The address listened on; ``run`` sets the port that the system chose."""
        return self._address

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen, serve and connect; report the address once it listens.

        Raises ``NetworkError`` when the files of ``settings.tls`` are unusable
        or the address cannot be listened on.
        """
        loaded = self._tls.load()
        if isinstance(loaded, Err):
            raise NetworkError(loaded.err_value.reason)
        try:
            listeners = await listen(self._settings.peer)
        except OSError as error:
            raise NetworkError(f"{self._settings.peer}: {error}") from error
        self._address = bound_address(listeners[0].socket)
        wrapped = [self._wrap(listener) for listener in listeners]
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await nursery.start(functools.partial(self._serve, wrapped))
                nursery.start_soon(self._watch_tls)
                task_status.started(self._address)
        finally:
            self._nursery = None

    def send(self, outgoing: Outgoing) -> None:
        """Queue a message, or drop and count it; never waits."""
        byte_class = byte_class_of(outgoing.message)
        try:
            queued = QueuedMessage(encode(outgoing.message), byte_class)
        except ValueError:
            self._drop(QueuedMessage(b"", byte_class), DropCause.TOO_LARGE)
            return
        peer = self._peers.get(outgoing.to)
        now = self._clock.now()
        if peer is None or not peer.reachable or self._nursery is None:
            self._drop(queued, DropCause.UNKNOWN_PEER)
        elif not self._budget.allows(byte_class, now):
            self._drop(queued, DropCause.BUDGET)
        else:
            self._budget.spend(len(queued.data) + FRAME_OVERHEAD_BYTES, now)
            if peer.put(queued):
                self._nursery.start_soon(peer.deliver, self._dial)

    def set_peers(self, addresses: Mapping[VmId, PeerAddress]) -> None:
        """Replace the addresses to which links may be opened.

        Open links stay, but the links of a peer whose address changed are
        retired.
        """
        for vm, address in addresses.items():
            if vm != self._hello.vm:
                self._set_address(self._get_or_create_peer(vm), address.address)
        for vm in self._peers.keys() - addresses.keys():
            self._peers[vm].address = None
            self._discard_unused(self._peers[vm])

    def stats(self) -> NetworkStats:
        """Return a copy of all counts."""
        total = deepcopy(self._past_bytes)
        for peer in self._peers.values():
            total.add_messages(peer.bytes)
        for link in self._open_links:
            total.add_wire(link.wire)
        return NetworkStats(
            total=total,
            counters=replace(self._counters),
            dropped=tuple(
                DropCount(byte_class, cause, messages)
                for (byte_class, cause), messages in self._dropped.items()
            ),
            peers={vm: peer.stats() for vm, peer in self._peers.items()},
        )

    def _wrap(self, listener: trio.SocketListener) -> LinkListener:
        return LinkListener(
            listener,
            lambda: self._tls.contexts.server if self._tls.contexts else None,
            self._counters,
        )

    async def _serve(
        self,
        listeners: list[Any],
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve(
            self._accept,
            listeners=listeners,
            compression=None,
            server_header=None,
            open_timeout=self._link_settings.open_timeout_ms / MS_PER_SECOND,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=MAX_FRAME_BYTES,
            max_queue=READ_QUEUE_FRAMES,
            logger=_LOGGER,
            task_status=task_status,
        )

    async def _accept(self, connection: ServerConnection) -> None:
        assert self._nursery is not None, "a link was accepted before run()"
        try:
            await self._accept_one(connection)
        except* _LINK_ERRORS:
            pass
        except* Exception as group:
            # The WebSocket server would only log the exception. Raised in the
            # nursery, it reaches the supervisor.
            self._nursery.start_soon(_raise, group)

    async def _accept_one(self, connection: ServerConnection) -> None:
        if len(self._open_links) >= self._link_settings.max_incoming_links:
            self._counters.refused_over_limit += 1
            return
        hello = await exchange_hello(connection, self._hello, self._link_settings)
        if hello is None or hello.vm == self._hello.vm:
            self._counters.unauthenticated += 1
            return
        self._counters.accepted += 1
        await self._run_link(self._add_link(connection, hello))

    async def _dial(self, peer: Peer) -> Link | None:
        """Open a link to ``peer``; return ``None`` when that fails."""
        assert self._nursery is not None, "a link was dialled before run()"
        link: Link | None = await self._nursery.start(self._connect, peer)
        if link is None:
            self._counters.connect_failures += 1
        return link

    async def _connect(
        self, peer: Peer, task_status: trio.TaskStatus[Link | None]
    ) -> None:
        """Open a link, report it, and run it; report ``None`` when opening fails."""
        result = DialResult(task_status)
        try:
            await self._connect_and_run(peer, result)
        except* trio.BrokenResourceError as group:
            if any(_is_tls_error(error) for error in group.exceptions):
                self._counters.unauthenticated += 1
        except* _LINK_ERRORS:
            pass
        finally:
            result.report(None)

    async def _connect_and_run(self, peer: Peer, result: DialResult) -> None:
        timeout = self._link_settings.open_timeout_ms / MS_PER_SECOND
        if peer.address is None:
            return
        host, port = split_address(peer.address)
        with trio.move_on_after(timeout) as scope:
            stream = await trio.open_tcp_stream(host, port)
        if scope.cancelled_caught:
            return
        contexts = self._tls.contexts
        async with connect(
            f"ws{'s' if contexts else ''}://{peer.address}/",
            stream=CountingStream(stream, ByteCounts()),
            ssl=contexts.client if contexts else None,
            compression=None,
            user_agent_header=None,
            proxy=None,
            open_timeout=timeout,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=MAX_FRAME_BYTES,
            max_queue=READ_QUEUE_FRAMES,
            logger=_LOGGER,
        ) as connection:
            hello = await exchange_hello(connection, self._hello, self._link_settings)
            if hello is None or hello.vm != peer.vm:
                self._counters.unauthenticated += 1
                return
            self._counters.opened += 1
            link = self._add_link(connection, hello)
            result.report(link)
            await self._run_link(link)

    def _add_link(self, connection: Connection, hello: Hello) -> Link:
        link = Link(connection, hello, self._link_settings, self._clock, self._counters)
        self._get_or_create_peer(hello.vm).add_link(link)
        self._open_links.add(link)
        return link

    async def _run_link(self, link: Link) -> None:
        try:
            await link.run(self._handle_frame)
        finally:
            self._open_links.discard(link)
            self._past_bytes.add_wire(link.wire)
            peer = self._get_or_create_peer(link.vm)
            peer.remove_link(link)
            self._discard_unused(peer)

    def _handle_frame(self, link: Link, data: bytes) -> bool:
        results = list(decode_frame(data))
        bytes_per_message = len(data) // max(1, len(results))
        return all(
            self._handle_message(link, result, bytes_per_message) for result in results
        )

    def _handle_message(
        self, link: Link, result: Result[Decoded, DecodeFault], size: int
    ) -> bool:
        if isinstance(result, Ok):
            self._deliver(link, result.ok_value, size)
            return True
        if result.err_value.reason.is_from_newer_release:
            self._counters.from_newer += 1
            return True
        if result.err_value.reason is DecodeReason.TOO_LARGE:
            self._counters.too_large += 1
        else:
            self._counters.malformed += 1
        return link.count_malformed()

    def _deliver(self, link: Link, decoded: Decoded, size: int) -> None:
        self._counters.messages_received += 1
        self._counters.skipped_fields += decoded.skipped_fields
        self._get_or_create_peer(link.vm).bytes.received[decoded.byte_class] += size
        received = Received(link.vm, link.incarnation, decoded.message)
        try:
            self._inbox.send_nowait(received)
        except trio.WouldBlock:
            self._dropped[decoded.byte_class, DropCause.INBOX_FULL] += 1

    def _get_or_create_peer(self, vm: VmId) -> Peer:
        if vm not in self._peers:
            self._peers[vm] = Peer(
                vm,
                self._link_settings,
                self._clock,
                self._rng,
                self._counters,
                self._drop,
            )
        return self._peers[vm]

    def _set_address(self, peer: Peer, address: str) -> None:
        if peer.address is not None and peer.address != address:
            self._retire(list(peer.links))
        peer.address = address

    def _discard_unused(self, peer: Peer) -> None:
        if peer.unused and self._peers.get(peer.vm) is peer:
            self._past_bytes.add_messages(peer.bytes)
            del self._peers[peer.vm]

    def _drop(self, queued: QueuedMessage, cause: DropCause) -> None:
        self._dropped[queued.byte_class, cause] += 1

    async def _watch_tls(self) -> None:
        """Check at intervals whether the certificate files changed."""
        while self._settings.tls is not None:
            await trio.sleep(self._link_settings.tls_check_ms / MS_PER_SECOND)
            self._reload_tls()

    def _reload_tls(self) -> None:
        """Use changed files for new links, and retire the open links."""
        reloaded = self._tls.reload()
        if isinstance(reloaded, Err):
            self._counters.tls_reload_failures += 1
        elif reloaded.ok_value:
            self._counters.tls_reloads += 1
            self._retire(list(self._open_links))

    def _retire(self, links: list[Link]) -> None:
        assert self._nursery is not None or not links, "links were open before run()"
        for link in links:
            wait_ms = self._rng.uniform(0, self._link_settings.retire_spread_ms)
            self._nursery.start_soon(self._retire_one, link, wait_ms / MS_PER_SECOND)

    async def _retire_one(self, link: Link, wait_s: float) -> None:
        """Stop sending over ``link`` after ``wait_s``; close it after a grace time."""
        await trio.sleep(wait_s)
        self._get_or_create_peer(link.vm).remove_link(link)
        await trio.sleep(self._link_settings.retire_grace_ms / MS_PER_SECOND)
        await link.close()


_LINK_ERRORS = (
    OSError,
    TimeoutError,
    WebSocketException,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

# Discards the log messages of the websockets library.
_LOGGER = logging.Logger("yuccafold.links")
_LOGGER.addHandler(logging.NullHandler())
_LOGGER.setLevel(logging.CRITICAL)


async def _raise(error: BaseException) -> None:
    raise error


def _is_tls_error(error: BaseException) -> bool:
    return isinstance(error.__cause__, ssl.SSLError)
