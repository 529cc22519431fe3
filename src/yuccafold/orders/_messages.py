"""What VMs say to each other about who may order an engine."""

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
class LeaseAsk:
    """Asks a voter for the lease on issuing permits.

    ``term`` is 0 until the asker knows its term; ``floor`` is the revision
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


class Refused(Enum):
    """Why a permit was not given."""

    NOT_ISSUER = "this VM does not hold the lease on permits, or not for long enough"
    REVISION = "the two VMs have different revisions in force"
    BUSY = "another VM may still order this engine"
    SHARE = "too few engines of the service would go on serving"
    RATE = "the weight store's rate is used up"


@final
@dataclass(frozen=True, slots=True)
class PermitAsk:
    """Asks for the sole right to order an engine, or for more time.

    ``load`` also asks for one load from the weight store. ``seen`` is the
    highest fencing number that the engine reported. ``ask`` grows with each
    request of one incarnation.
    """

    incarnation: Incarnation
    ask: int
    engine: TargetId
    revision: RevisionNumber
    load: bool
    seen: int


@final
@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """A permit for ``permit_ms`` from the asking on, or why there is none."""

    ask: int
    engine: TargetId
    fence: int
    refused: Refused | None


@final
@dataclass(frozen=True, slots=True)
class PermitRelease:
    """Gives a permit back: none of its orders can have an effect any more.

    ``ask`` is the sender's latest request, so that a release that was
    overtaken by a later request gives nothing back. ``serving`` says whether
    the engine was left able to serve.
    """

    incarnation: Incarnation
    engine: TargetId
    ask: int
    serving: bool


def register_messages() -> None:
    """Make the messages known to the peer codec."""
    register("orders.lease-ask", LeaseAsk)
    register("orders.lease-answer", LeaseAnswer)
    register("orders.permit-ask", PermitAsk)
    register("orders.permit-answer", PermitAnswer)
    register("orders.permit-release", PermitRelease)
