"""What was refused, and how often unusual things happened."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.replica._messages import RevisionId
from yuccafold.settings import SettingsFault

MAX_REMEMBERED_REVISIONS = 64


class Source(Enum):
    """Where a revision came from."""

    SERVICE = "service"
    PEER = "peer"


@final
@dataclass(slots=True)
class ReplicaCounts:
    """How often each unusual thing happened since the process started."""

    stale: int = 0
    conflicts: int = 0
    refused: int = 0
    malformed: int = 0
    unknown: int = 0


@final
@dataclass(frozen=True, slots=True)
class RefusedOffer:
    """The last text or change that was refused, from where, and why."""

    source: Source
    sender: VmId | None
    at: Milliseconds
    faults: tuple[SettingsFault, ...]


@final
class Refusals:
    """Counts refusals and remembers which revisions are not worth fetching."""

    def __init__(self) -> None:
        self._counts = ReplicaCounts()
        self._last: RefusedOffer | None = None
        self._revisions: dict[RevisionId, None] = {}

    def __contains__(self, revision: RevisionId) -> bool:
        return revision in self._revisions

    @property
    def counts(self) -> ReplicaCounts:
        """How often each unusual thing happened."""
        return self._counts

    @property
    def last(self) -> RefusedOffer | None:
        """The last text or change that was refused."""
        return self._last

    def refuse(self, faults: list[SettingsFault], now: Milliseconds) -> None:
        """Record a refused text of the settings service."""
        self._counts.refused += 1
        self._last = RefusedOffer(Source.SERVICE, None, now, tuple(faults))

    def refuse_from(
        self,
        sender: VmId,
        revision: RevisionId,
        faults: list[SettingsFault],
        now: Milliseconds,
    ) -> None:
        """Record a refused revision of a peer, which is not fetched again."""
        self._counts.refused += 1
        self._last = RefusedOffer(Source.PEER, sender, now, tuple(faults))
        self._revisions[revision] = None
        while len(self._revisions) > MAX_REMEMBERED_REVISIONS:
            del self._revisions[next(iter(self._revisions))]
