"""Messages between VMs about slots on targets and load of services."""

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
    """Asks the owner of ``target`` for one slot.

    ``number`` is unique in the life of the asking process; ``lifetime_ms`` is
    how long the request may run; ``multiple`` is the load bound's multiple.
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
    """Grants the slot ``number``; the target's ``in_flight`` includes it."""

    number: int
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class SlotDenial:
    """Denies the slot ``number``; nothing is held for it."""

    number: int
    reason: DenialReason


@final
@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Gives slots of the sender back; a number that isn't held is ignored."""

    incarnation: Incarnation
    numbers: tuple[int, ...]


@final
@dataclass(frozen=True, slots=True)
class HeldSlot:
    """One slot that is known to be held, and for how much longer at most."""

    target: TargetId
    holder: VmId
    incarnation: Incarnation
    number: int
    remaining_ms: int


@final
@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Asks the successor of an owner to remember the owner's own slots."""

    slots: tuple[HeldSlot, ...]


@final
@dataclass(frozen=True, slots=True)
class RecordReply:
    """Says that the numbered slots are recorded, or refused."""

    numbers: tuple[int, ...]
    accepted: bool


@final
@dataclass(frozen=True, slots=True)
class ServiceFloor:
    """At least ``in_flight`` requests of ``service`` hold slots."""

    service: ServiceId
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class Floors:
    """What the sender promises to the receiver until the lease ends.

    ``stamp`` is the latest stamp of the receiver's clock that the sender has;
    the lease runs from it, so a late message gives a shorter lease.
    ``stamped_by`` is the incarnation whose clock that was.
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
    """Acknowledges ``sequence`` and gives a new ``stamp`` for the next lease.

    ``loads`` tells what the sender's own targets carry.
    """

    sequence: int
    stamp: int
    stamped_by: Incarnation
    loads: tuple[TargetLoad, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class SlotQuery:
    """Asks for every slot known on ``targets``, of which the sender takes over."""

    round: int
    targets: tuple[TargetId, ...]


@final
@dataclass(frozen=True, slots=True)
class SlotReport:
    """Answers a query with every slot that the sender knows on its targets.

    ``age_ms`` is how long the sender's process has run; ``departed`` left the
    sender's list of late without a farewell, and ``restarted`` came back of
    late without their memory.
    """

    incarnation: Incarnation
    round: int
    age_ms: int
    slots: tuple[HeldSlot, ...]
    departed: tuple[VmId, ...]
    restarted: tuple[VmId, ...]


@final
@dataclass(frozen=True, slots=True)
class Farewell:
    """The sender holds nothing any more and is about to end."""


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
    "slots.bye": Farewell,
}
"""Every message of this package by its kind."""


def register_messages() -> None:
    """Register the messages with the peer codec."""
    # The peers' package is larger than this one: imported when it is needed.
    from yuccafold.fleet import register

    for kind, cls in MESSAGES.items():
        register(kind, cls)
