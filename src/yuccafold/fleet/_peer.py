"""One peer: its queue, its links, and the task that sends."""

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
from yuccafold.fleet._outbox import Letter
from yuccafold.fleet._outbox import Outbox
from yuccafold.fleet._stats import ByteCounts
from yuccafold.fleet._stats import Counters
from yuccafold.fleet._stats import PeerStats

FRAME_HEADER_BYTES = 3
LETTER_BYTES = MAX_FRAME_BYTES - FRAME_HEADER_BYTES

Dialer = Callable[["Peer"], Awaitable[Link | None]]


@final
class Peer:
    """Sends what is queued for one VM over the newest of its links.

    ``deliver`` runs while there is something to send and a while longer; it
    opens a link only when neither end has one.
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
        self._wakeup = trio.Event()
        self._link_opened = trio.Event()
        self._delivering = False
        self._failures = 0
        self._incarnation: Incarnation | None = None
        self._last_frame = clock.now()

    @property
    def reachable(self) -> bool:
        """Whether there is a link, or an address to open one to."""
        return bool(self.links) or self.address is not None

    @property
    def unused(self) -> bool:
        """Whether nothing is lost when the peer is dropped."""
        return not self.links and not self._delivering and self.address is None

    def stats(self) -> PeerStats:
        """Return a copy of the counts, with the wire's of the open links."""
        counts = deepcopy(self.bytes)
        for link in self.links:
            counts.add_wire(link.wire)
        return PeerStats(self.vm, len(self.links), self.outbox.size, counts)

    def add_link(self, link: Link) -> None:
        """Use ``link`` from now on.

        What waits for an earlier process of the VM is dropped: its numbers
        would mean something else to a later one.
        """
        if self._incarnation is not None and link.incarnation != self._incarnation:
            self.outbox.clear(DropCause.RESTARTED)
        self._incarnation = link.incarnation
        self.links.append(link)
        self._link_opened.set()

    def remove_link(self, link: Link) -> bool:
        """Send nothing more on ``link``; return whether it was in use."""
        if link not in self.links:
            return False
        self.links.remove(link)
        return True

    def put(self, letter: Letter) -> bool:
        """Queue ``letter``; return whether ``deliver`` must be started."""
        self.outbox.put(letter)
        self._wakeup.set()
        must_start = not self._delivering
        self._delivering = True
        return must_start

    async def deliver(self, dial: Dialer) -> None:
        """Send until the queue stays empty."""
        try:
            while await self._has_letters():
                link = self.links[-1] if self.links else await dial(self)
                if link is None:
                    await self._back_off()
                else:
                    self._failures = 0
                    await self._send(link)
        finally:
            self._delivering = False

    async def _has_letters(self) -> bool:
        if not self.outbox:
            self._wakeup = trio.Event()
            with trio.move_on_after(self._settings.idle_ms / MS_PER_SECOND):
                await self._wakeup.wait()
        await self._gather()
        return bool(self.outbox)

    async def _gather(self) -> None:
        """Let messages gather when a frame has just been sent."""
        due = self._last_frame + self._settings.batch_ms
        wait = due - self._clock.now()
        if wait > 0:
            await trio.sleep(wait / MS_PER_SECOND)

    async def _send(self, link: Link) -> None:
        letters = self.outbox.take(LETTER_BYTES)
        if not letters:
            return
        self._last_frame = self._clock.now()
        if await link.send(encode_frame(letter.data for letter in letters)):
            self._count(letters)
            return
        self.remove_link(link)
        for letter in letters:
            self._on_drop(letter, DropCause.UNREACHABLE)

    def _count(self, letters: list[Letter]) -> None:
        self._counters.frames_sent += 1
        self._counters.messages_sent += len(letters)
        for letter in letters:
            self.bytes.sent[letter.byte_class] += len(letter.data)

    async def _back_off(self) -> None:
        """Drop what waited in vain and wait, longer after each failure."""
        self.outbox.clear(DropCause.UNREACHABLE)
        self._failures += 1
        longest = self._settings.backoff_min_ms * 2 ** min(self._failures, 16)
        longest = min(longest, self._settings.backoff_max_ms)
        wait = Milliseconds(self._rng.randint(longest // 2, longest))
        self._link_opened = trio.Event()
        with trio.move_on_after(wait / MS_PER_SECOND):
            await self._link_opened.wait()
