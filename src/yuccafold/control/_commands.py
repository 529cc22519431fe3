"""What other tasks ask of the control task."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from result import Result

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import CallId
from yuccafold._ids import ChatId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.control._reply import Reply
from yuccafold.delivery import BodyDigest
from yuccafold.delivery import ClaimKey
from yuccafold.delivery import ClaimOutcome
from yuccafold.delivery import Fingerprint
from yuccafold.delivery import StoredAnswer
from yuccafold.fleet import TargetEvidence
from yuccafold.fleet import VmListSnapshot
from yuccafold.placement import Placement
from yuccafold.replica import Revision
from yuccafold.settings import Policy
from yuccafold.settings import SettingsFault


@final
@dataclass(frozen=True, slots=True, eq=False)
class PlaceCall:
    """Ask for a slot on the best target that has room.

    ``hints`` are the targets that served the chat last, the latest first.
    ``is_hinted`` says that the chat will be found again by such hints.
    ``tokens`` is the work expected, of prompt and answer, of at least 1.
    """

    call: CallId
    account: AccountId
    service: ServiceId
    chat: ChatId | None
    hints: tuple[TargetId, ...]
    is_hinted: bool
    excluded: frozenset[TargetId]
    policy: Policy
    deadline: Milliseconds
    tokens: int = 1
    reply: Reply[Result[Placement, Refusal]] = field(default_factory=Reply)


@final
@dataclass(frozen=True, slots=True, eq=False)
class CancelPlace:
    """Take a ``PlaceCall`` back whose caller no longer waits."""

    place: PlaceCall


@final
@dataclass(frozen=True, slots=True, eq=False)
class ReleaseSlot:
    """Give a slot back."""

    number: int


@final
@dataclass(frozen=True, slots=True, eq=False)
class ClaimCall:
    """Claim an idempotency key for a call."""

    call: CallId
    key: ClaimKey
    digest: BodyDigest
    reply: Reply[ClaimOutcome] = field(default_factory=Reply)


@final
@dataclass(frozen=True, slots=True, eq=False)
class FinishClaim:
    """Tell how a call that held a claim ended."""

    call: CallId
    verdict: Verdict
    answer: StoredAnswer | None


@final
@dataclass(frozen=True, slots=True, eq=False)
class EnterTarget:
    """Ask whether a request may go to a target, as far as quarantine goes."""

    call: CallId
    service: ServiceId
    fingerprint: Fingerprint
    target: TargetId
    wait_ms: int
    reply: Reply[Result[None, Refusal]] = field(default_factory=Reply)


@final
@dataclass(frozen=True, slots=True, eq=False)
class LeaveTarget:
    """Tell that a request left a target, and whether it was answered whole."""

    call: CallId
    target: TargetId
    answered: bool


@final
@dataclass(frozen=True, slots=True, eq=False)
class ReportDeath:
    """Tell that a target died with a request; the reply comes when peers know."""

    service: ServiceId
    target: TargetId
    policy: Policy
    reply: Reply[bool] = field(default_factory=Reply)


@final
@dataclass(frozen=True, slots=True, eq=False)
class ObserveTarget:
    """Tell what this VM saw of a target."""

    target: TargetId
    evidence: TargetEvidence


@final
@dataclass(frozen=True, slots=True, eq=False)
class TakeList:
    """Take a VM list that the platform returned, or confirm the last one."""

    snapshot: VmListSnapshot | None


@final
@dataclass(frozen=True, slots=True, eq=False)
class OfferSettings:
    """Take a settings text of the settings service, as it was read and checked."""

    read: Result[Revision, list[SettingsFault]]


@final
@dataclass(frozen=True, slots=True, eq=False)
class ServiceAnswered:
    """Note that the settings service answered."""


@final
@dataclass(frozen=True, slots=True, eq=False)
class LiftQuarantine:
    """Take back the strikes against a request, on an operator's word."""

    fingerprint: Fingerprint
    reply: Reply[bool] = field(default_factory=Reply)


Command = (
    PlaceCall
    | CancelPlace
    | ReleaseSlot
    | ClaimCall
    | FinishClaim
    | EnterTarget
    | LeaveTarget
    | ReportDeath
    | ObserveTarget
    | TakeList
    | OfferSettings
    | ServiceAnswered
    | LiftQuarantine
)
