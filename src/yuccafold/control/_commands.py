"""Commands that other tasks send to the control task."""

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
    """Requests a slot on the best target that has room.

    ``hints`` are the targets that served the chat last, the latest first.
    ``is_hinted`` is true if later calls of the chat are expected to carry hints.
    ``excluded`` are the targets that were tried already.
    ``tokens`` is the expected number of prompt and answer tokens, at least 1.
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
    """Cancels a ``PlaceCall`` whose caller no longer waits."""

    place_call: PlaceCall


@final
@dataclass(frozen=True, slots=True, eq=False)
class ReleaseSlot:
    """Releases a granted slot."""

    number: int


@final
@dataclass(frozen=True, slots=True, eq=False)
class ClaimCall:
    """Claims an idempotency key for a call."""

    call: CallId
    key: ClaimKey
    digest: BodyDigest
    reply: Reply[ClaimOutcome] = field(default_factory=Reply)


@final
@dataclass(frozen=True, slots=True, eq=False)
class FinishClaim:
    """Reports how a call that held a claim ended."""

    call: CallId
    verdict: Verdict
    answer: StoredAnswer | None


@final
@dataclass(frozen=True, slots=True, eq=False)
class EnterTarget:
    """Asks quarantine whether a request may be sent to a target."""

    call: CallId
    service: ServiceId
    fingerprint: Fingerprint
    target: TargetId
    wait_ms: int
    reply: Reply[Result[None, Refusal]] = field(default_factory=Reply)


@final
@dataclass(frozen=True, slots=True, eq=False)
class LeaveTarget:
    """Reports that a request left a target, and whether its answer was complete."""

    call: CallId
    target: TargetId
    answered: bool


@final
@dataclass(frozen=True, slots=True, eq=False)
class ReportCrash:
    """Reports that a target crashed with a request in flight.

    The reply is put once peers know of the crash.
    """

    service: ServiceId
    target: TargetId
    policy: Policy
    reply: Reply[bool] = field(default_factory=Reply)


@final
@dataclass(frozen=True, slots=True, eq=False)
class ObserveTarget:
    """Reports what this VM observed of a target."""

    target: TargetId
    evidence: TargetEvidence


@final
@dataclass(frozen=True, slots=True, eq=False)
class ApplyVmList:
    """Applies a VM list that the platform returned; ``None`` confirms the last one."""

    snapshot: VmListSnapshot | None


@final
@dataclass(frozen=True, slots=True, eq=False)
class OfferSettings:
    """Offers a settings text of the settings service.

    ``read`` is the result of parsing and validating it.
    """

    read: Result[Revision, list[SettingsFault]]


@final
@dataclass(frozen=True, slots=True, eq=False)
class SettingsServiceAnswered:
    """Records that the settings service answered."""


@final
@dataclass(frozen=True, slots=True, eq=False)
class LiftQuarantine:
    """Clears the strikes against a request on behalf of an operator."""

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
    | ReportCrash
    | ObserveTarget
    | ApplyVmList
    | OfferSettings
    | SettingsServiceAnswered
    | LiftQuarantine
)
