"""One peer: its queue, its links, and the task that sends to it."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from copy import deepcopy
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.fleet._codec import MAX_FRAME_BYTES
from yuccafold.fleet._codec import encode_frame
from yuccafold.fleet._link import Link
from yuccafold.fleet._link_settings import LinkSettings
from yuccafold.fleet._outbox import DropCause
from yuccafold.fleet._outbox import DropHandler
from yuccafold.fleet._outbox import Outbox
from yuccafold.fleet._outbox import QueuedMessage
from yuccafold.fleet._stats import ByteCounts
from yuccafold.fleet._stats import Counters
from yuccafold.fleet._stats import PeerStats

FRAME_HEADER_BYTES = 3
MAX_FRAME_PAYLOAD_BYTES = MAX_FRAME_BYTES - FRAME_HEADER_BYTES

Dialer = Callable[["Peer"], Awaitable[Link | None]]


@final
class Peer:
    """Sends the messages queued for one VM over the newest of its links.

    ``deliver`` runs until the queue has been empty for ``idle_ms``. It opens a
    link only when neither end has opened one.
    """

    def __init__(
        self,
        vm: VmId,
        settings: LinkSettings,
        clock: Clock,
        rng: random.Random,
        counters: Counters,
        on_drop: DropHandler,
    ) -> None:
        self.vm = vm
        self.address: str | None = None
        self.bytes = ByteCounts()
        self.outbox = Outbox(settings, on_drop)
        self.links: list[Link] = []
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._on_drop = on_drop
        self._message_queued = trio.Event()
        self._link_opened = trio.Event()
        self._delivering = False
        self._failures = 0
        self._incarnation: Incarnation | None = None
        self._last_frame_at = clock.now()

    @property
    def reachable(self) -> bool:
        """Whether there is a link, or an address to which one can be opened."""
        return bool(self.links) or self.address is not None

    @property
    def unused(self) -> bool:
        """Whether the peer can be discarded without loss.

        It then has no link, no address and no running ``deliver``.
        """
        return not self.links and not self._delivering and self.address is None

    def stats(self) -> PeerStats:
        """Return a copy of the counts; connection bytes are of the links in use."""
        counts = deepcopy(self.bytes)
        for link in self.links:
            counts.add_wire(link.wire)
        return PeerStats(self.vm, len(self.links), self.outbox.size, counts)

    def add_link(self, link: Link) -> None:
        """Send over ``link`` from now on.

        Messages queued for an earlier process of the VM are dropped, because
        their numbers would mean something else to the new process.
        """
        if self._incarnation is not None and link.incarnation != self._incarnation:
            self.outbox.clear(DropCause.RESTARTED)
        self._incarnation = link.incarnation
        self.links.append(link)
        self._link_opened.set()

    def remove_link(self, link: Link) -> bool:
        """Stop sending over ``link``; return whether it was in use."""
        if link not in self.links:
            return False
        self.links.remove(link)
        return True

    def put(self, message: QueuedMessage) -> bool:
        """Queue ``message``; return whether the caller must start ``deliver``."""
        self.outbox.put(message)
        self._message_queued.set()
        must_start = not self._delivering
        self._delivering = True
        return must_start

    async def deliver(self, dial: Dialer) -> None:
        """Send queued messages until the queue has been empty for ``idle_ms``."""
        try:
            while await self._wait_for_messages():
                link = self.links[-1] if self.links else await dial(self)
                if link is None:
                    await self._back_off()
                else:
                    self._failures = 0
                    await self._send(link)
        finally:
            self._delivering = False

    async def _wait_for_messages(self) -> bool:
        if not self.outbox:
            self._message_queued = trio.Event()
            with trio.move_on_after(self._settings.idle_ms / MS_PER_SECOND):
                await self._message_queued.wait()
        await self._wait_for_batch()
        return bool(self.outbox)

    async def _wait_for_batch(self) -> None:
        """Wait until ``batch_ms`` after the last frame, so that messages share one."""
        batch_end = self._last_frame_at + self._settings.batch_ms
        wait = batch_end - self._clock.now()
        if wait > 0:
            await trio.sleep(wait / MS_PER_SECOND)

    async def _send(self, link: Link) -> None:
        messages = self.outbox.take(MAX_FRAME_PAYLOAD_BYTES)
        if not messages:
            return
        self._last_frame_at = self._clock.now()
        if await link.send(encode_frame(message.data for message in messages)):
            self._count_sent(messages)
            return
        self.remove_link(link)
        for message in messages:
            self._on_drop(message, DropCause.UNREACHABLE)

    def _count_sent(self, messages: list[QueuedMessage]) -> None:
        self._counters.frames_sent += 1
        self._counters.messages_sent += len(messages)
        for message in messages:
            self.bytes.sent[message.byte_class] += len(message.data)

    async def _back_off(self) -> None:
        """Drop the queue and wait, with exponential backoff and jitter.

        The wait ends early when the peer opens a link.
        """
        self.outbox.clear(DropCause.UNREACHABLE)
        self._failures += 1
        max_wait = self._settings.backoff_min_ms * 2 ** min(self._failures, 16)
        max_wait = min(max_wait, self._settings.backoff_max_ms)
        wait = Milliseconds(self._rng.randint(max_wait // 2, max_wait))
        self._link_opened = trio.Event()
        with trio.move_on_after(wait / MS_PER_SECOND):
            await self._link_opened.wait()
