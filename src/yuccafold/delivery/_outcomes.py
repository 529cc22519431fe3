"""What a claim or a quarantine question came to, for the task that waits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._ids import CallId
from yuccafold._verdict import Refusal
from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._messages import StoredAnswer


@final
@dataclass(frozen=True, slots=True)
class Granted:
    """The call may be sent, once ``authorize_send`` agrees."""

    call: CallId
    claim: ClaimId


@final
@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not sent and will not be.

    The refusal's verdict is about the key: ``MAY_HAVE_RUN`` and ``COMPLETE``
    speak of an earlier call with it.
    """

    call: CallId
    refusal: Refusal


@final
@dataclass(frozen=True, slots=True)
class Replay:
    """An earlier call with the key ended with this answer."""

    call: CallId
    answer: StoredAnswer


@final
@dataclass(frozen=True, slots=True)
class Conflict:
    """The key was used before with another body."""

    call: CallId
    refusal: Refusal


ClaimOutcome = Granted | Refused | Replay | Conflict


@final
@dataclass(frozen=True, slots=True)
class TrialGranted:
    """The suspect call may be sent to the target it named."""

    call: CallId


@final
@dataclass(frozen=True, slots=True)
class TrialRefused:
    """The suspect call is not to be sent."""

    call: CallId
    refusal: Refusal


@final
@dataclass(frozen=True, slots=True)
class StrikesSpread:
    """The report is known to the fleet; retries and answers may go on."""

    report: int


QuarantineOutcome = TrialGranted | TrialRefused | StrikesSpread
