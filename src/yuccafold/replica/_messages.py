"""The messages that VMs exchange about settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold.fleet import register


@final
@dataclass(frozen=True, slots=True)
class RevisionId:
    """Identifies a revision by its number and the digest of its content.

    Two contents with the same number are ordered by their digests, so that all
    VMs converge on the same one. Number 0 stands for no revision.
    """

    number: RevisionNumber
    digest: bytes

    @property
    def rank(self) -> tuple[int, bytes]:
        """The sort key of revisions; a VM only moves to a higher one."""
        return self.number, self.digest


NO_REVISION = RevisionId(RevisionNumber(0), b"")
"""The id that stands for the state before the first accepted revision."""


@final
@dataclass(frozen=True, slots=True)
class SecondHandRevision:
    """A second-hand report: the revision that another VM held ``age_ms`` ago."""

    vm: VmId
    incarnation: Incarnation
    number: RevisionNumber
    ready: bool
    age_ms: int


@final
@dataclass(frozen=True, slots=True)
class SettingsAdvert:
    """The revision in force on the sender, and its reports on some other VMs.

    ``ready`` says whether the sender is ready to serve.
    """

    incarnation: Incarnation
    revision: RevisionId
    ready: bool
    others: tuple[SecondHandRevision, ...]


@final
@dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Requests the changes that follow ``have``."""

    have: RevisionId


@final
@dataclass(frozen=True, slots=True)
class SettingsChange:
    """A revision, as a patch on the earlier revision ``base``.

    ``patch`` is what ``yuccafold.replica._patch.pack`` returns.
    """

    base: RevisionId
    revision: RevisionId
    patch: bytes


@final
@dataclass(frozen=True, slots=True)
class SettingsTreeOffer:
    """Offers the whole tree, as the sender's log doesn't go back far enough.

    ``size`` is that of the canonical JSON in bytes.
    """

    revision: RevisionId
    size: int


@final
@dataclass(frozen=True, slots=True)
class SettingsChunkRequest:
    """Requests one chunk of a whole tree; ``index`` counts from 0."""

    revision: RevisionId
    index: int


@final
@dataclass(frozen=True, slots=True)
class SettingsChunk:
    """One compressed chunk of a whole tree.

    ``data`` is empty when the sender no longer holds the tree.
    """

    revision: RevisionId
    index: int
    data: bytes


def register_messages() -> None:
    """Register the messages with the codec for messages between VMs."""
    register("settings.advert", SettingsAdvert)
    register("settings.want", SettingsRequest)
    register("settings.change", SettingsChange)
    register("settings.offer", SettingsTreeOffer)
    register("settings.chunk-want", SettingsChunkRequest)
    register("settings.chunk", SettingsChunk)
