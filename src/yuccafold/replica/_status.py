"""What operators are shown about settings on one VM and as heard of the fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import cached_property
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.replica._heard import PeerRevision
from yuccafold.replica._readiness import Readiness
from yuccafold.replica._refusals import RefusedOffer
from yuccafold.replica._refusals import ReplicaCounts
from yuccafold.replica._refusals import Source
from yuccafold.replica._revision import Outcome
from yuccafold.settings import SettingsFault


@final
@dataclass(frozen=True, slots=True)
class OfferResult:
    """What became of an offered text, why, and what to tell the peers."""

    outcome: Outcome
    faults: tuple[SettingsFault, ...]
    outgoing: list[Outgoing]


@final
@dataclass(frozen=True)
class SettingsStatus:
    """The answer to ``yuccafold settings status``; instants are of ``now``'s clock."""

    vm: VmId
    now: Milliseconds
    number: RevisionNumber
    digest: str
    source: Source | None
    since: Milliseconds
    readiness: Readiness
    service_answered_at: Milliseconds | None
    counts: ReplicaCounts
    refused: RefusedOffer | None
    peers: tuple[PeerRevision, ...]

    @cached_property
    def vms_by_revision(self) -> dict[RevisionNumber, int]:
        """How many VMs, this one included, hold each revision."""
        numbers = [self.number, *(peer.number for peer in self.peers)]
        return dict(sorted(Counter(numbers).items()))

    @property
    def newest(self) -> RevisionNumber:
        """The newest revision heard of anywhere."""
        return max(self.vms_by_revision)

    @property
    def lagging(self) -> tuple[VmId, ...]:
        """The VMs that are below the newest revision, as last heard."""
        behind = tuple(peer.vm for peer in self.peers if peer.number < self.newest)
        return behind if self.number == self.newest else (self.vm, *behind)
