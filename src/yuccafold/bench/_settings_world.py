"""Simulates settings replicas with a virtual clock and a lossy network."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.bench._virtual_network import VirtualNetwork
from yuccafold.replica import OfferResult
from yuccafold.replica import Readiness
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import RevisionId
from yuccafold.replica import SettingsReplica

TICK_MS = 250


@final
class SettingsWorld:
    """The replicas of all VMs and the network between them.

    Checks that every new revision of a replica is above its previous one, as long
    as its process runs.
    """

    def __init__(
        self,
        vms: tuple[VmId, ...],
        partner_count: int,
        seed: int,
        options: ReplicaOptions | None = None,
        on_send: Callable[[VmId, Any], None] | None = None,
    ) -> None:
        self.vms = vms
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.rng)
        self.replicas: dict[VmId, SettingsReplica] = {}
        self.in_force_at: dict[VmId, dict[RevisionNumber, int]] = {vm: {} for vm in vms}
        self._options = options or ReplicaOptions()
        self._on_send = on_send
        self._partners = partner_graph(vms, partner_count, self.rng)
        self._incarnations = count(1)
        self._held: dict[VmId, RevisionId] = {}
        for vm in vms:
            self.restart(vm)

    @property
    def now(self) -> Milliseconds:
        """The current time of the virtual clock."""
        return self.network.clock.now()

    def restart(self, vm: VmId) -> None:
        """Replace the process of ``vm`` by one without settings."""
        replica = SettingsReplica(
            vm,
            Incarnation(next(self._incarnations)),
            self._options,
            self.rng,
            self.now,
        )
        replica.set_listed(frozenset(self.vms))
        replica.set_partners(self._partners[vm])
        self.replicas[vm] = replica
        self._held.pop(vm, None)
        self._tick(vm, replica, self.now + self.rng.randrange(TICK_MS))

    def _tick(self, vm: VmId, replica: SettingsReplica, due: int) -> None:
        """Tick ``replica`` at ``due`` and then regularly, until it is replaced."""

        def tick() -> None:
            if self.replicas[vm] is replica:
                self._send(vm, replica.tick(self.now))
                self._tick(vm, replica, self.now + TICK_MS)

        self.network.call_at(due, tick, vm)

    def offer(self, vm: VmId, text: str) -> OfferResult:
        """Offer ``text`` to ``vm``, as if it had read it from the settings service."""
        result = self.replicas[vm].offer(text, self.now)
        self._send(vm, result.outgoing)
        self._check(vm)
        return result

    def serve(self, text: str) -> None:
        """Bring ``text`` into force on every VM, without sending messages."""
        for vm, replica in self.replicas.items():
            replica.offer(text, self.now)
            replica.set_listed(frozenset())
            assert replica.readiness(self.now) is Readiness.READY, f"{vm} not ready"
            replica.set_listed(frozenset(self.vms))
            self._check(vm)

    def stop(self, vm: VmId) -> None:
        """Stop the process of ``vm``; messages to it wait."""
        self.network.stop(vm)

    def resume(self, vm: VmId) -> None:
        """Continue a stopped process, which detects its pause."""
        self.network.resume(vm)
        self.replicas[vm].record_pause()

    def advance(self, duration: int) -> None:
        """Advance virtual time by ``duration`` milliseconds."""
        self.network.advance(duration)

    def _send(self, sender: VmId, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            if self._on_send is not None:
                self._on_send(sender, item.message)
            deliver = partial(self._deliver, sender, item.to, item.message)
            self.network.send(sender, item.to, deliver)

    def _deliver(self, sender: VmId, to: VmId, message: Any) -> None:
        self._send(to, self.replicas[to].handle(sender, message, self.now))
        self._check(to)

    def _check(self, vm: VmId) -> None:
        """Record a new revision, and check that it is above the previous one."""
        revision = self.replicas[vm].revision
        previous = self._held.get(vm)
        if revision == previous or revision.number == 0:
            return
        assert previous is None or revision.rank > previous.rank, (
            f"{vm} replaced {previous} by {revision}"
        )
        self._held[vm] = revision
        self.in_force_at[vm].setdefault(revision.number, self.now)


def partner_graph(
    vms: tuple[VmId, ...], partner_count: int, rng: random.Random
) -> dict[VmId, tuple[VmId, ...]]:
    """Return the partners of each VM.

    The graph is a union of rings over shuffled VMs, so that it is connected.
    """
    partners: dict[VmId, set[VmId]] = {vm: set() for vm in vms}
    for _ in range(max(1, partner_count // 2)):
        ring = list(vms)
        rng.shuffle(ring)
        for vm, next_vm in zip(ring, ring[1:] + ring[:1], strict=True):
            if vm != next_vm:
                partners[vm].add(next_vm)
                partners[next_vm].add(vm)
    return {
        vm: tuple(sorted(partners_of_vm)) for vm, partners_of_vm in partners.items()
    }
