"""Messages between VMs about which of them may order an engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import TargetId
from yuccafold.fleet import register


@final
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Requests a vote for the lease on issuing permits.

    ``term`` is 0 until the requester knows its term. ``floor`` is the revision
    under which it will issue permits.
    """

    incarnation: Incarnation
    round: int
    term: int
    floor: RevisionNumber


@final
@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """A vote, with the highest term and floor that the voter knew before it."""

    round: int
    granted: bool
    term: int
    floor: RevisionNumber


class PermitRefusal(Enum):
    """Why a permit was refused."""

    NOT_ISSUER = "this VM does not hold the lease on permits, or not for long enough"
    REVISION = "the two VMs have different revisions in force"
    BUSY = "another VM may still order this engine"
    SHARE = "too few engines of the service would go on serving"
    RATE = "the weight store's rate is used up"


@final
@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Requests the exclusive right to send orders to an engine, or its extension.

    ``load`` also requests one load from the weight store. ``engine_fence`` is the
    highest fencing number that the engine reported. ``number`` grows with each
    request of one incarnation.
    """

    incarnation: Incarnation
    number: int
    engine: TargetId
    revision: RevisionNumber
    load: bool
    engine_fence: int


@final
@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """A permit for ``permit_ms`` from the request on, or why it is refused."""

    request_number: int
    engine: TargetId
    fence: int
    refused: PermitRefusal | None


@final
@dataclass(frozen=True, slots=True)
class PermitRelease:
    """Releases a permit; none of the orders under it can have an effect any more.

    ``request_number`` is at least that of the sender's latest request, so that a
    release that a later request overtook is ignored. ``serving`` says whether the
    engine was left able to serve.
    """

    incarnation: Incarnation
    engine: TargetId
    request_number: int
    serving: bool


def register_messages() -> None:
    """Register the messages with the peer codec."""
    register("orders.lease-ask", LeaseRequest)
    register("orders.lease-answer", LeaseAnswer)
    register("orders.permit-ask", PermitRequest)
    register("orders.permit-answer", PermitAnswer)
    register("orders.permit-release", PermitRelease)
