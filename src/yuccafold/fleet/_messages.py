"""The messages that open links and maintain membership."""

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
    """The status of a VM by failure detection.

    Of updates with the same incarnation and refutation, the larger value wins.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class TargetEvidence(Enum):
    """An observation of a target.

    ``ANSWERED``: the target answered a request, which shows that the path to it
    works, but not that it accepts more work. ``ACCEPTING``: the target itself
    reported that it accepts new work.
    """

    PLATFORM_LEAVING = 0
    DRAINING = 1
    UNREACHABLE = 2
    ACCEPTING = 3
    ANSWERED = 4


@final
@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, sent by both ends."""

    vm: VmId
    incarnation: Incarnation


@final
@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The sender's record of one VM.

    ``refutation`` grows each time the VM refutes, in this incarnation, a report
    that it is suspect or dead.
    """

    vm: VmId
    incarnation: Incarnation
    refutation: int
    status: MemberStatus
    leaving: bool


@final
@dataclass(frozen=True, slots=True)
class TargetReport:
    """Evidence against a target, which some VM observed ``age_ms`` ago.

    ``list_version`` is the version of the platform's list for
    ``PLATFORM_LEAVING``, else 0.
    """

    target: TargetId
    evidence: TargetEvidence
    age_ms: int
    list_version: int


@final
@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an ``Ack``; ``digest`` covers all buckets of the sender's records."""

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
    """Requests that the receiver ping ``subject``, which did not answer in time."""

    sequence: int
    subject: VmId


@final
@dataclass(frozen=True, slots=True)
class PingReport:
    """Reports the subject's ``Ack`` to the sender of the ``PingRequest``."""

    sequence: int
    subject: MemberUpdate


@final
@dataclass(frozen=True, slots=True)
class Digests:
    """The digest of each bucket of VMs, sent when the digest of a ping differs."""

    buckets: tuple[int, ...]


@final
@dataclass(frozen=True, slots=True)
class Sync:
    """Records of VMs.

    Answers ``Digests`` with the records in buckets that differ, and a ``Sync``
    with newer records. A VM that stops sends its own as its leave message.
    """

    members: tuple[MemberUpdate, ...]


def register_messages() -> None:
    """Register the messages of this module with the codec."""
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
