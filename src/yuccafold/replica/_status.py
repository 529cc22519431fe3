"""The state of the settings on one VM and, as reported, in the fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import cached_property
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.replica._peer_revisions import PeerRevision
from yuccafold.replica._readiness import Readiness
from yuccafold.replica._refusals import RefusedOffer
from yuccafold.replica._refusals import ReplicaCounts
from yuccafold.replica._refusals import Source
from yuccafold.replica._revision import Outcome
from yuccafold.settings import SettingsFault


@final
@dataclass(frozen=True, slots=True)
class OfferResult:
    """The outcome for an offered text, its faults, and the messages to send."""

    outcome: Outcome
    faults: tuple[SettingsFault, ...]
    outgoing: list[Outgoing]


@final
@dataclass(frozen=True)
class SettingsStatus:
    """The answer to ``yuccafold settings status``.

    All times are readings of the clock that ``now`` is from.
    """

    vm: VmId
    now: Milliseconds
    number: RevisionNumber
    digest: str
    source: Source | None
    in_force_since: Milliseconds
    readiness: Readiness
    service_answered_at: Milliseconds | None
    counts: ReplicaCounts
    refused: RefusedOffer | None
    peers: tuple[PeerRevision, ...]

    @cached_property
    def vms_by_revision(self) -> dict[RevisionNumber, int]:
        """The number of VMs, this one included, that hold each revision."""
        numbers = [self.number, *(peer.number for peer in self.peers)]
        return dict(sorted(Counter(numbers).items()))

    @property
    def newest(self) -> RevisionNumber:
        """The newest revision that any VM is reported to hold."""
        return max(self.vms_by_revision)

    @property
    def lagging(self) -> tuple[VmId, ...]:
        """The VMs whose latest report is below the newest revision."""
        behind = tuple(peer.vm for peer in self.peers if peer.number < self.newest)
        return behind if self.number == self.newest else (self.vm, *behind)
