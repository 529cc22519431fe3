"""Counts and remembers the revisions that were refused."""

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
    """Numbers of unusual revisions and messages since the process started.

    ``conflicts`` includes conflicting revisions that were accepted, because their
    digest is the greater one. ``unknown`` counts messages of unknown types.
    """

    stale: int = 0
    conflicts: int = 0
    refused: int = 0
    malformed: int = 0
    unknown: int = 0


@final
@dataclass(frozen=True, slots=True)
class RefusedOffer:
    """A refused settings text or revision: its source, time and faults.

    ``sender`` is the peer that sent it, or ``None`` for the settings service.
    """

    source: Source
    sender: VmId | None
    refused_at: Milliseconds
    faults: tuple[SettingsFault, ...]


@final
class Refusals:
    """Counts refusals and remembers the revisions that must not be fetched again.

    Only the last ``MAX_REMEMBERED_REVISIONS`` revisions are remembered.
    """

    def __init__(self) -> None:
        self._counts = ReplicaCounts()
        self._last: RefusedOffer | None = None
        self._revisions: dict[RevisionId, None] = {}

    def __contains__(self, revision: RevisionId) -> bool:
        return revision in self._revisions

    @property
    def counts(self) -> ReplicaCounts:
        """The counters, which the caller may increase."""
        return self._counts

    @property
    def last(self) -> RefusedOffer | None:
        """The latest refusal; ``None`` if there was none."""
        return self._last

    def record_text(self, faults: list[SettingsFault], now: Milliseconds) -> None:
        """Record that a text of the settings service was refused."""
        self._counts.refused += 1
        self._last = RefusedOffer(Source.SERVICE, None, now, tuple(faults))

    def record_revision(
        self,
        sender: VmId,
        revision: RevisionId,
        faults: list[SettingsFault],
        now: Milliseconds,
    ) -> None:
        """Record that a peer's revision was refused, so it isn't fetched again."""
        self._counts.refused += 1
        self._last = RefusedOffer(Source.PEER, sender, now, tuple(faults))
        self._revisions[revision] = None
        while len(self._revisions) > MAX_REMEMBERED_REVISIONS:
            del self._revisions[next(iter(self._revisions))]
