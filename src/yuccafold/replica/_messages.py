"""What VMs say to each other about settings."""

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
    """One content of one revision: its number and the digest of the content.

    Two contents of one number are ordered by their digests, so that every VM
    comes to hold the same one. Number 0 stands for no revision.
    """

    number: RevisionNumber
    digest: bytes

    @property
    def rank(self) -> tuple[int, bytes]:
        """The place in the order in which revisions may follow each other."""
        return self.number, self.digest


NO_REVISION = RevisionId(RevisionNumber(0), b"")
"""What a VM holds before its first accepted revision."""


@final
@dataclass(frozen=True, slots=True)
class HeardRevision:
    """What the sender last heard of another VM, ``age_ms`` milliseconds ago."""

    vm: VmId
    incarnation: Incarnation
    number: RevisionNumber
    ready: bool
    age_ms: int


@final
@dataclass(frozen=True, slots=True)
class SettingsAdvert:
    """The revision in force on the sender, and what it heard of some others."""

    incarnation: Incarnation
    revision: RevisionId
    ready: bool
    others: tuple[HeardRevision, ...]


@final
@dataclass(frozen=True, slots=True)
class SettingsWant:
    """Asks for what follows ``have``."""

    have: RevisionId


@final
@dataclass(frozen=True, slots=True)
class SettingsChange:
    """A revision as what differs from an earlier one.

    ``patch`` is the compressed form of ``yuccafold.replica._patch``.
    """

    base: RevisionId
    revision: RevisionId
    patch: bytes


@final
@dataclass(frozen=True, slots=True)
class SettingsTreeOffer:
    """Says that only the whole tree will do; ``size`` is in bytes."""

    revision: RevisionId
    size: int


@final
@dataclass(frozen=True, slots=True)
class SettingsChunkWant:
    """Asks for one chunk of a whole tree; ``index`` counts from 0."""

    revision: RevisionId
    index: int


@final
@dataclass(frozen=True, slots=True)
class SettingsChunk:
    """One compressed chunk of a whole tree; empty when the sender has it no more."""

    revision: RevisionId
    index: int
    data: bytes


def register_messages() -> None:
    """Make the messages known to the peer codec."""
    register("settings.advert", SettingsAdvert)
    register("settings.want", SettingsWant)
    register("settings.change", SettingsChange)
    register("settings.offer", SettingsTreeOffer)
    register("settings.chunk-want", SettingsChunkWant)
    register("settings.chunk", SettingsChunk)
