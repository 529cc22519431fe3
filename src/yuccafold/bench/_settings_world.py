"""Many settings replicas in one process, on a virtual clock and a lossy network."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from typing import Any
from typing import final

from yuccafold._clock import ManualClock
from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.replica import OfferResult
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import RevisionId
from yuccafold.replica import SettingsReplica

TICK_MS = 250


@final
@dataclass(slots=True)
class LinkFaults:
    """What the network does to a message; ``cut`` holds pairs that lose all."""

    delay_ms: int = 1
    jitter_ms: int = 0
    loss: float = 0.0
    doubling: float = 0.0
    cut: set[frozenset[VmId]] = field(default_factory=set)


@final
class SettingsWorld:
    """Replicas by VM, joined by a network; ``advance`` lets time pass.

    Every revision that a replica ever held is checked to be above the one that
    it held before, for as long as its process lives.
    """

    def __init__(
        self,
        vms: tuple[VmId, ...],
        degree: int,
        seed: int,
        options: ReplicaOptions | None = None,
        sent: Callable[[VmId, Any], None] | None = None,
    ) -> None:
        self.vms = vms
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.links = LinkFaults()
        self.stopped: set[VmId] = set()
        self._options = options or ReplicaOptions()
        self._sent = sent
        self._order = count()
        self._queue: list[tuple[int, int, VmId, VmId, Any]] = []
        self._partners = partner_graph(vms, degree, self.rng)
        self._incarnations = count(1)
        self.replicas: dict[VmId, SettingsReplica] = {}
        self._held: dict[VmId, RevisionId] = {}
        self.in_force_at: dict[VmId, dict[RevisionNumber, int]] = {vm: {} for vm in vms}
        self._next_tick: dict[VmId, int] = {}
        for vm in vms:
            self.restart(vm)

    def restart(self, vm: VmId) -> None:
        """Replace ``vm`` by one without memory."""
        replica = SettingsReplica(
            vm,
            Incarnation(next(self._incarnations)),
            self._options,
            self.rng,
            self.clock.now(),
        )
        replica.set_listed(frozenset(self.vms))
        replica.set_partners(self._partners[vm])
        self.replicas[vm] = replica
        self._held.pop(vm, None)
        self._next_tick[vm] = self.clock.now() + self.rng.randrange(TICK_MS)

    def offer(self, vm: VmId, text: str) -> OfferResult:
        """Let ``vm`` read ``text`` from the settings service."""
        result = self.replicas[vm].offer(text, self.clock.now())
        self._send(vm, result.outgoing)
        self._check(vm)
        return result

    def stop(self, vm: VmId) -> None:
        """Stop the process of ``vm``; what is sent to it waits."""
        self.stopped.add(vm)

    def resume(self, vm: VmId) -> None:
        """Let a stopped process go on; it notices the pause."""
        self.stopped.discard(vm)
        self.replicas[vm].paused()

    def advance(self, duration: int) -> None:
        """Deliver and tick for ``duration`` milliseconds of virtual time."""
        end = self.clock.now() + duration
        while True:
            due = min(
                chain_times(self._queue, self._next_tick.values()), default=end + 1
            )
            if due > end:
                break
            self.clock.advance(max(0, due - self.clock.now()))
            self._deliver()
            self._tick()
        self.clock.advance(end - self.clock.now())

    def _deliver(self) -> None:
        now = self.clock.now()
        while self._queue and self._queue[0][0] <= now:
            _, order, sender, to, message = heapq.heappop(self._queue)
            if to in self.stopped:
                later = (now + TICK_MS, order, sender, to, message)
                heapq.heappush(self._queue, later)
                continue
            self._send(to, self.replicas[to].handle(sender, message, now))
            self._check(to)

    def _tick(self) -> None:
        now = self.clock.now()
        for vm in [vm for vm, due in self._next_tick.items() if due <= now]:
            self._next_tick[vm] = now + TICK_MS
            if vm not in self.stopped:
                self._send(vm, self.replicas[vm].tick(now))

    def _send(self, sender: VmId, outgoing: list[Outgoing]) -> None:
        for entry in outgoing:
            if self._sent is not None:
                self._sent(sender, entry.message)
            if frozenset((sender, entry.to)) in self.links.cut:
                continue
            if self.rng.random() < self.links.loss:
                continue
            copies = 2 if self.rng.random() < self.links.doubling else 1
            for _ in range(copies):
                delay = self.links.delay_ms + self.rng.randint(0, self.links.jitter_ms)
                due = self.clock.now() + delay
                item = (due, next(self._order), sender, entry.to, entry.message)
                heapq.heappush(self._queue, item)

    def _check(self, vm: VmId) -> None:
        """Record a new revision in force and that it is no step back."""
        revision = self.replicas[vm].revision
        held = self._held.get(vm)
        if revision == held or revision.number == 0:
            return
        assert held is None or revision.rank > held.rank, (
            f"{vm} went from {held} to {revision}"
        )
        self._held[vm] = revision
        self.in_force_at[vm].setdefault(revision.number, self.clock.now())


def chain_times(
    queue: list[tuple[int, int, VmId, VmId, Any]], ticks: Iterable[int]
) -> Iterator[int]:
    """Yield the instants at which something is due."""
    if queue:
        yield queue[0][0]
    yield from ticks


def partner_graph(
    vms: tuple[VmId, ...], degree: int, rng: random.Random
) -> dict[VmId, tuple[VmId, ...]]:
    """Return partners for each VM: rings over shuffled orders, so connected."""
    partners: dict[VmId, set[VmId]] = {vm: set() for vm in vms}
    for _ in range(max(1, degree // 2)):
        ring = list(vms)
        rng.shuffle(ring)
        for vm, after in zip(ring, ring[1:] + ring[:1], strict=True):
            if vm != after:
                partners[vm].add(after)
                partners[after].add(vm)
    return {vm: tuple(sorted(chosen)) for vm, chosen in partners.items()}
