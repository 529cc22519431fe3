"""Simulates the membership of many VMs in one process, in virtual time.

Messages are encoded by the real codec. Delays, losses and duplicates come from one
seeded generator, so that a run repeats exactly.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from yuccafold import fleet
from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import RegionId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._outgoing import Outgoing

TICK_MS = 100
FRAME_OVERHEAD_BYTES = 60
"""TCP, IP, TLS and WebSocket headers of one small frame."""

START_UNIX_MS = 1_800_000_000_000
ZONES_PER_REGION = 3


@final
@dataclass(slots=True)
class Faults:
    """Faults of the network; ``severed`` returns whether two VMs are disconnected."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay_ms: tuple[int, int] = (1, 3)
    severed: Callable[[VmId, VmId], bool] | None = None

    def cut(self, one: VmId, other: VmId) -> bool:
        """Return whether no message passes between the two VMs."""
        return self.severed is not None and self.severed(one, other)


@final
@dataclass(slots=True)
class VirtualVm:
    """One VM of the virtual fleet."""

    entry: fleet.VmListEntry
    membership: fleet.Membership
    incarnation: Incarnation
    running: bool = True
    paused_until: int = 0


@final
class VirtualFleet:
    """VMs that exchange membership messages while ``run`` advances the time."""

    def __init__(
        self, size: int, seed: int, regions: int = 2, faults: Faults | None = None
    ) -> None:
        self.now = 0
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.bytes_sent: Counter[VmId] = Counter()
        self.events: list[tuple[VmId, fleet.MemberEvent]] = []
        self._order = itertools.count()
        self._queue: list[tuple[int, int, VmId, VmId | None, bytes]] = []
        self._list_version = 1
        self._entries = [_entry(number, regions) for number in range(size)]
        self.virtual_vms: dict[VmId, VirtualVm] = {}
        for entry in self._entries:
            self.start(entry.id)
        self.publish()

    @property
    def vms(self) -> list[VmId]:
        """The ids of all VMs, running or not."""
        return [entry.id for entry in self._entries]

    def snapshot(self, without: Iterable[VmId] = ()) -> fleet.VmListSnapshot:
        """Return a VM list, newer than all before, of all VMs but ``without``."""
        self._list_version += 1
        unlisted = set(without)
        listed = (entry for entry in self._entries if entry.id not in unlisted)
        return fleet.VmListSnapshot(self._list_version, tuple(listed))

    def publish(self, to: Iterable[VmId] | None = None) -> None:
        """Give a new list of all VMs to the VMs ``to``, or to all."""
        snapshot = self.snapshot()
        for vm in self.vms if to is None else to:
            self.virtual_vms[vm].membership.apply_vm_list(
                snapshot, Milliseconds(self.now)
            )

    def start(self, vm: VmId) -> None:
        """Start a new process of ``vm``, with a later incarnation and no state."""
        entry = next(entry for entry in self._entries if entry.id == vm)
        incarnation = Incarnation(START_UNIX_MS + self.now + 1)
        membership = fleet.Membership(
            fleet.MembershipSettings(),
            entry,
            incarnation,
            Milliseconds(self.now),
            random.Random(self.rng.random()),
        )
        self.virtual_vms[vm] = VirtualVm(entry, membership, incarnation)
        self._schedule_tick(vm, self.rng.randrange(TICK_MS))

    def stop(self, vm: VmId) -> None:
        """Stop ``vm`` without a leave message."""
        self.virtual_vms[vm].running = False

    def pause(self, vm: VmId, duration_ms: int) -> None:
        """Pause ``vm``; its messages and ticks are delivered after the pause."""
        self.virtual_vms[vm].paused_until = self.now + duration_ms

    def run(self, duration_ms: int) -> None:
        """Advance virtual time by ``duration_ms``."""
        end = self.now + duration_ms
        while self._queue and self._queue[0][0] <= end:
            due, _, to, sender, data = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            self._deliver(to, sender, data)
        self.now = end

    def send(self, sender: VmId, outgoing: Iterable[Outgoing]) -> None:
        """Send messages of ``sender`` through the network and its faults."""
        for item in outgoing:
            data = fleet.encode(item.message)
            self.bytes_sent[sender] += len(data) + FRAME_OVERHEAD_BYTES
            copies = 2 if self.rng.random() < self.faults.duplicates else 1
            for _ in range(copies):
                if self.rng.random() >= self.faults.loss:
                    delay = self.rng.randint(*self.faults.delay_ms)
                    self._push(self.now + delay, item.to, sender, data)

    def _push(self, due: int, to: VmId, sender: VmId | None, data: bytes) -> None:
        heapq.heappush(self._queue, (due, next(self._order), to, sender, data))

    def _deliver(self, to: VmId, sender: VmId | None, data: bytes) -> None:
        member = self.virtual_vms[to]
        if member.paused_until > self.now:
            self._push(member.paused_until, to, sender, data)
        elif sender is None:
            self._tick(to, member, data)
        elif member.running and not self.faults.cut(sender, to):
            message = fleet.decode(data).unwrap()
            now = Milliseconds(self.now)
            self.send(to, member.membership.handle(sender, message, now))

    def _schedule_tick(self, vm: VmId, wait_ms: int) -> None:
        incarnation = str(self.virtual_vms[vm].incarnation).encode()
        self._push(self.now + wait_ms, vm, None, incarnation)

    def _tick(self, vm: VmId, member: VirtualVm, incarnation: bytes) -> None:
        if not member.running or incarnation != str(member.incarnation).encode():
            return
        self.send(vm, member.membership.tick(Milliseconds(self.now)))
        events = member.membership.pop_events()
        self.events.extend((vm, event) for event in events)
        self._schedule_tick(vm, TICK_MS)


def _entry(number: int, regions: int) -> fleet.VmListEntry:
    region = number % regions
    zone = number // regions % ZONES_PER_REGION
    return fleet.VmListEntry(
        VmId(f"vm-{number:04}"),
        f"127.0.0.1:{10_000 + number}",
        ZoneId(f"zone-{region}-{zone}"),
        RegionId(f"region-{region}"),
    )
