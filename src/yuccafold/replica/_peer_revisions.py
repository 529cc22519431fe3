"""The settings revisions that other VMs are reported to hold."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold.replica._messages import SecondHandRevision
from yuccafold.replica._messages import SettingsAdvert
from yuccafold.replica._options import ReplicaOptions


@final
@dataclass(frozen=True, slots=True)
class PeerRevision:
    """The newest report on one VM: its revision in force at ``reported_at``.

    ``ready`` says whether the VM was ready to serve then.
    """

    vm: VmId
    incarnation: Incarnation
    number: RevisionNumber
    ready: bool
    reported_at: Milliseconds

    @property
    def rank(self) -> tuple[int, int, bool]:
        """The order of the reports on one VM; a lower one is ignored."""
        return self.incarnation, self.number, self.ready


@final
class PeerRevisionTable:
    """The revisions of other VMs, from their adverts and second-hand reports."""

    def __init__(self, vm: VmId, options: ReplicaOptions, rng: random.Random) -> None:
        self._vm = vm
        self._options = options
        self._rng = rng
        self._peers: dict[VmId, PeerRevision] = {}

    def peers(self, now: Milliseconds) -> tuple[PeerRevision, ...]:
        """Return the unexpired report on each VM, sorted by VM id."""
        return tuple(sorted(self._recent(now), key=lambda peer: peer.vm))

    def _recent(self, now: Milliseconds) -> list[PeerRevision]:
        """Drop the reports older than ``report_lifetime_ms`` and return the rest."""
        oldest = now - self._options.report_lifetime_ms
        recent = [peer for peer in self._peers.values() if peer.reported_at >= oldest]
        if len(recent) < len(self._peers):
            self._peers = {peer.vm: peer for peer in recent}
        return recent

    def apply_advert(
        self, sender: VmId, advert: SettingsAdvert, now: Milliseconds
    ) -> None:
        """Merge the sender's revision and the second-hand reports of ``advert``."""
        for peer in _reported_revisions(sender, advert, now):
            self._merge(peer)

    def _merge(self, peer: PeerRevision) -> None:
        if peer.vm == self._vm:
            return
        known = self._peers.get(peer.vm)
        if known is None or peer.rank >= known.rank:
            is_newer = known is None or peer.rank > known.rank
            if is_newer or peer.reported_at > known.reported_at:
                self._peers[peer.vm] = peer

    def sample(
        self, number: RevisionNumber, count: int, now: Milliseconds
    ) -> tuple[SecondHandRevision, ...]:
        """Return up to ``count`` reports to relay.

        Up to half of them are first drawn from the VMs that are below ``number``
        or not ready, the rest from all VMs.
        """
        peers = self._recent(now)
        lagging = [peer for peer in peers if peer.number < number or not peer.ready]
        chosen = self._rng.sample(lagging, min(count // 2, len(lagging)))
        chosen_vms = {peer.vm for peer in chosen}
        drawn = self._rng.sample(peers, min(count, len(peers)))
        chosen += [peer for peer in drawn if peer.vm not in chosen_vms]
        return tuple(
            SecondHandRevision(
                peer.vm,
                peer.incarnation,
                peer.number,
                peer.ready,
                now - peer.reported_at,
            )
            for peer in chosen[:count]
        )


def _reported_revisions(
    sender: VmId, advert: SettingsAdvert, now: Milliseconds
) -> Iterator[PeerRevision]:
    number = advert.revision.number
    yield PeerRevision(sender, advert.incarnation, number, advert.ready, now)
    for report in advert.others:
        reported_at = Milliseconds(now - max(0, report.age_ms))
        yield PeerRevision(
            report.vm, report.incarnation, report.number, report.ready, reported_at
        )
