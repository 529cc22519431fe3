"""Outcomes of claims, trials and strike reports, for the waiting tasks."""

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
    """The claim was granted; the call may be sent if ``authorize_send`` agrees."""

    call: CallId
    claim: ClaimId


@final
@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not sent and will not be.

    The refusal's verdict is about the key: ``MAY_HAVE_RUN`` and ``COMPLETE``
    refer to an earlier call with the same key.
    """

    call: CallId
    refusal: Refusal


@final
@dataclass(frozen=True, slots=True)
class Replay:
    """An earlier call with the same key ended with this answer."""

    call: CallId
    answer: StoredAnswer


@final
@dataclass(frozen=True, slots=True)
class Conflict:
    """The key was used before with another method, path or body."""

    call: CallId
    refusal: Refusal


ClaimOutcome = Granted | Refused | Replay | Conflict


@final
@dataclass(frozen=True, slots=True)
class TrialGranted:
    """The suspect call may be sent to the target that its trial request named."""

    call: CallId


@final
@dataclass(frozen=True, slots=True)
class TrialRefused:
    """The suspect call must not be sent."""

    call: CallId
    refusal: Refusal


@final
@dataclass(frozen=True, slots=True)
class StrikesSpread:
    """Every other VM acknowledged the report, or the wait for that ended.

    The retries and answers that waited for it may go on.
    """

    report: int


QuarantineOutcome = TrialGranted | TrialRefused | StrikesSpread
