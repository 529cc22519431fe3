"""The messages of links and membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._ids import Incarnation
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.fleet._registry import ByteClass
from yuccafold.fleet._registry import register


class MemberStatus(Enum):
    """What failure detection holds of a VM; of equal age the later one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class TargetEvidence(Enum):
    """What was seen of a target.

    ``ANSWERED`` is a request that the target answered: it shows that the path
    works, and not that the target wants more work. ``ACCEPTING`` is the
    target's own report that it takes new work.
    """

    PLATFORM_LEAVING = 0
    DRAINING = 1
    UNREACHABLE = 2
    ACCEPTING = 3
    ANSWERED = 4


@final
@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, from both ends."""

    vm: VmId
    incarnation: Incarnation


@final
@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What the sender holds of one VM.

    ``refutation`` counts how often the VM itself contradicted a suspicion in
    this incarnation.
    """

    vm: VmId
    incarnation: Incarnation
    refutation: int
    status: MemberStatus
    leaving: bool


@final
@dataclass(frozen=True, slots=True)
class TargetReport:
    """Evidence against a target, as some VM saw it ``age_ms`` ago.

    ``list_version`` is that of the platform's list for ``PLATFORM_LEAVING``,
    else 0.
    """

    target: TargetId
    evidence: TargetEvidence
    age_ms: int
    list_version: int


@final
@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an ``Ack``; ``digest`` is of all that the sender holds."""

    sequence: int
    sender: MemberUpdate
    digest: int
    members: tuple[MemberUpdate, ...]
    targets: tuple[TargetReport, ...]


@final
@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to the ``Ping`` of the same ``sequence``."""

    sequence: int
    sender: MemberUpdate
    members: tuple[MemberUpdate, ...]
    targets: tuple[TargetReport, ...]


@final
@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping ``subject``, which did not answer the sender."""

    sequence: int
    subject: VmId


@final
@dataclass(frozen=True, slots=True)
class PingReport:
    """Tells the sender of a ``PingRequest`` what its subject answered."""

    sequence: int
    subject: MemberUpdate


@final
@dataclass(frozen=True, slots=True)
class Digests:
    """The digest of each bucket of VMs, sent when whole digests differ."""

    buckets: tuple[int, ...]


@final
@dataclass(frozen=True, slots=True)
class Sync:
    """What the sender holds of the VMs in buckets that differ."""

    members: tuple[MemberUpdate, ...]


def register_messages() -> None:
    """Make the messages of this module known to the codec."""
    kinds: dict[str, type] = {
        "hi": Hello,
        "pi": Ping,
        "ak": Ack,
        "pr": PingRequest,
        "pt": PingReport,
        "dg": Digests,
        "sy": Sync,
    }
    for kind, message_type in kinds.items():
        register(kind, message_type, ByteClass.MEMBERSHIP)


register_messages()
