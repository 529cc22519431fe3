"""Messages between VMs about slots on targets and the load of services."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId


class DenialReason(Enum):
    """Why a slot was not granted."""

    TARGET_FULL = "target-full"
    NOT_OWNER = "not-owner"
    NOT_READY = "not-ready"
    UNANSWERED = "unanswered"
    STALE_VIEW = "stale-view"


@final
@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Requests one slot from the owner of ``target``.

    ``number`` is unique within the requesting process; ``lifetime_ms`` is the
    longest time that the request may run; ``multiple`` is the load bound's multiple.
    """

    service: ServiceId
    target: TargetId
    incarnation: Incarnation
    number: int
    lifetime_ms: int
    multiple: float


@final
@dataclass(frozen=True, slots=True)
class SlotGrant:
    """Grants the slot ``number``; ``in_flight`` of the target includes it."""

    number: int
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class SlotDenial:
    """Denies the slot ``number``; the owner holds nothing for it."""

    number: int
    reason: DenialReason


@final
@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Releases slots of the sender; numbers that aren't held are ignored."""

    incarnation: Incarnation
    numbers: tuple[int, ...]


@final
@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A held slot; it expires in at most ``remaining_ms``."""

    target: TargetId
    holder: VmId
    incarnation: Incarnation
    number: int
    remaining_ms: int


@final
@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Requests an owner's successor to record slots that the owner itself holds."""

    slots: tuple[HeldSlot, ...]


@final
@dataclass(frozen=True, slots=True)
class RecordReply:
    """Reports whether the numbered slots were recorded."""

    numbers: tuple[int, ...]
    accepted: bool


@final
@dataclass(frozen=True, slots=True)
class ServiceFloor:
    """Reports that at least ``in_flight`` requests of ``service`` hold slots."""

    service: ServiceId
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class Floors:
    """Floors that the sender keeps until their lease expires.

    ``stamp`` is the latest timestamp of the receiver's clock known to the sender;
    the lease starts there, so a delayed message gets a shorter lease.
    ``stamped_by`` is the receiver's incarnation that issued the timestamp.
    """

    incarnation: Incarnation
    sequence: int
    stamp: int
    stamped_by: Incarnation
    floors: tuple[ServiceFloor, ...]


@final
@dataclass(frozen=True, slots=True)
class TargetLoad:
    """How many slots are held on ``target``."""

    target: TargetId
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class FloorsReply:
    """Acknowledges ``sequence`` and issues a ``stamp`` for the next lease.

    ``loads`` reports the slots held on targets that the sender owns.
    """

    sequence: int
    stamp: int
    stamped_by: Incarnation
    loads: tuple[TargetLoad, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class SlotQuery:
    """Requests all slots known on ``targets``, which the sender takes over."""

    round: int
    targets: tuple[TargetId, ...]


@final
@dataclass(frozen=True, slots=True)
class SlotReport:
    """Answers a query with every slot that the sender knows on its targets.

    ``age_ms`` is how long the sender's process has run. ``departed`` are VMs that
    recently left the sender's list without a leave notice, ``restarted`` are VMs
    that recently restarted and lost their slot records.
    """

    incarnation: Incarnation
    round: int
    age_ms: int
    slots: tuple[HeldSlot, ...]
    departed: tuple[VmId, ...]
    restarted: tuple[VmId, ...]


@final
@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """Announces that the sender holds no slots and is about to stop."""


MESSAGES: dict[str, type] = {
    "slots.ask": SlotRequest,
    "slots.yes": SlotGrant,
    "slots.no": SlotDenial,
    "slots.end": SlotRelease,
    "slots.record": RecordRequest,
    "slots.recorded": RecordReply,
    "slots.floor": Floors,
    "slots.floored": FloorsReply,
    "slots.query": SlotQuery,
    "slots.report": SlotReport,
    "slots.bye": LeaveNotice,
}
"""Message types of this package by kind."""


def register_messages() -> None:
    """Register the messages with the peer codec."""
    # The fleet package is larger than this one, so it is imported only when needed.
    from yuccafold.fleet import register

    for kind, cls in MESSAGES.items():
        register(kind, cls)
