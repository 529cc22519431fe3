"""Which revisions other VMs were heard to hold."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold.replica._messages import HeardRevision
from yuccafold.replica._messages import SettingsAdvert
from yuccafold.replica._options import ReplicaOptions


@final
@dataclass(frozen=True, slots=True)
class PeerRevision:
    """The latest that is known of one VM, as of ``heard_at``."""

    vm: VmId
    incarnation: Incarnation
    number: RevisionNumber
    ready: bool
    heard_at: Milliseconds

    @property
    def rank(self) -> tuple[int, int, bool]:
        """The order of what one VM says of itself; it never goes back."""
        return self.incarnation, self.number, self.ready


@final
class HeardTable:
    """The revisions of other VMs, from their adverts and from hearsay."""

    def __init__(self, vm: VmId, options: ReplicaOptions, rng: random.Random) -> None:
        self._vm = vm
        self._options = options
        self._rng = rng
        self._peers: dict[VmId, PeerRevision] = {}

    def peers(self, now: Milliseconds) -> tuple[PeerRevision, ...]:
        """Return what is known of each VM heard of lately, by name."""
        return tuple(sorted(self._recent(now), key=lambda peer: peer.vm))

    def _recent(self, now: Milliseconds) -> list[PeerRevision]:
        """Return what was heard lately, and forget the rest."""
        oldest = now - self._options.heard_lifetime_ms
        recent = [peer for peer in self._peers.values() if peer.heard_at >= oldest]
        if len(recent) < len(self._peers):
            self._peers = {peer.vm: peer for peer in recent}
        return recent

    def take(self, sender: VmId, advert: SettingsAdvert, now: Milliseconds) -> None:
        """Learn from an advert."""
        for peer in _told(sender, advert, now):
            self._merge(peer)

    def _merge(self, peer: PeerRevision) -> None:
        if peer.vm == self._vm:
            return
        known = self._peers.get(peer.vm)
        if known is None or peer.rank >= known.rank:
            newer = known is None or peer.rank > known.rank
            if newer or peer.heard_at > known.heard_at:
                self._peers[peer.vm] = peer

    def sample(
        self, number: RevisionNumber, count: int, now: Milliseconds
    ) -> tuple[HeardRevision, ...]:
        """Return some of what is known: half of those that lag, then any."""
        peers = self._recent(now)
        lagging = [peer for peer in peers if peer.number < number or not peer.ready]
        chosen = self._rng.sample(lagging, min(count // 2, len(lagging)))
        known = {peer.vm for peer in chosen}
        drawn = self._rng.sample(peers, min(count, len(peers)))
        chosen += [peer for peer in drawn if peer.vm not in known]
        return tuple(
            HeardRevision(
                peer.vm,
                peer.incarnation,
                peer.number,
                peer.ready,
                now - peer.heard_at,
            )
            for peer in chosen[:count]
        )


def _told(
    sender: VmId, advert: SettingsAdvert, now: Milliseconds
) -> Iterator[PeerRevision]:
    number = advert.revision.number
    yield PeerRevision(sender, advert.incarnation, number, advert.ready, now)
    for heard in advert.others:
        heard_at = Milliseconds(now - max(0, heard.age_ms))
        yield PeerRevision(
            heard.vm, heard.incarnation, heard.number, heard.ready, heard_at
        )
