"""Many settings replicas in one process, on a virtual clock and a lossy network."""

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
        self.network = VirtualNetwork(self.rng)
        self.replicas: dict[VmId, SettingsReplica] = {}
        self.in_force_at: dict[VmId, dict[RevisionNumber, int]] = {vm: {} for vm in vms}
        self._options = options or ReplicaOptions()
        self._sent = sent
        self._partners = partner_graph(vms, degree, self.rng)
        self._incarnations = count(1)
        self._held: dict[VmId, RevisionId] = {}
        for vm in vms:
            self.restart(vm)

    @property
    def now(self) -> Milliseconds:
        """The present instant of the virtual clock."""
        return self.network.clock.now()

    def restart(self, vm: VmId) -> None:
        """Replace ``vm`` by one without memory."""
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
        """Tick ``replica`` from ``due`` on, until another takes its place."""

        def tick() -> None:
            if self.replicas[vm] is replica:
                self._send(vm, replica.tick(self.now))
                self._tick(vm, replica, self.now + TICK_MS)

        self.network.call_at(due, tick, vm)

    def offer(self, vm: VmId, text: str) -> OfferResult:
        """Let ``vm`` read ``text`` from the settings service."""
        result = self.replicas[vm].offer(text, self.now)
        self._send(vm, result.outgoing)
        self._check(vm)
        return result

    def serve(self, text: str) -> None:
        """Let every VM serve under ``text``, as after a quiet while."""
        for vm, replica in self.replicas.items():
            replica.offer(text, self.now)
            replica.set_listed(frozenset())
            assert replica.readiness(self.now) is Readiness.READY, f"{vm} not ready"
            replica.set_listed(frozenset(self.vms))
            self._check(vm)

    def stop(self, vm: VmId) -> None:
        """Stop the process of ``vm``; what is sent to it waits."""
        self.network.stop(vm)

    def resume(self, vm: VmId) -> None:
        """Let a stopped process go on; it notices the pause."""
        self.network.resume(vm)
        self.replicas[vm].paused()

    def advance(self, duration: int) -> None:
        """Deliver and tick for ``duration`` milliseconds of virtual time."""
        self.network.advance(duration)

    def _send(self, sender: VmId, outgoing: list[Outgoing]) -> None:
        for entry in outgoing:
            if self._sent is not None:
                self._sent(sender, entry.message)
            deliver = partial(self._deliver, sender, entry.to, entry.message)
            self.network.send(sender, entry.to, deliver)

    def _deliver(self, sender: VmId, to: VmId, message: Any) -> None:
        self._send(to, self.replicas[to].handle(sender, message, self.now))
        self._check(to)

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
        self.in_force_at[vm].setdefault(revision.number, self.now)


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
