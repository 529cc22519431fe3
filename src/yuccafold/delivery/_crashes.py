"""Reports about target crashes and the strikes that follow from them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.delivery._keys import Fingerprint
from yuccafold.delivery._messages import Strike
from yuccafold.delivery._messages import StrikeId
from yuccafold.settings import Policy


@final
@dataclass(frozen=True, slots=True)
class InFlightCall:
    """A request that was in flight on a target when the target crashed."""

    call: CallId
    fingerprint: Fingerprint


@final
@dataclass(frozen=True, slots=True)
class TargetCrash:
    """A target's crash as one VM saw it, with that VM's requests in flight on it."""

    service: ServiceId
    target: TargetId
    in_flight: tuple[InFlightCall, ...]


@final
@dataclass(frozen=True, slots=True)
class SentReport:
    """A report's messages and the number by which ``StrikesSpread`` names it."""

    number: int
    outgoing: list[Outgoing]


def strikes_for_crash(
    crash: TargetCrash,
    policy: Policy,
    reporter: VmId,
    report_number: int,
    trial_number_of: Callable[[CallId], int],
) -> tuple[Strike, ...]:
    """Return one strike for each request that was in flight on the target."""
    return tuple(
        Strike(
            crash.service,
            request.fingerprint,
            StrikeId(
                crash.target, trial_number_of(request.call), reporter, report_number
            ),
            policy.lethal_attempts,
            policy.quarantine_ms,
        )
        for request in crash.in_flight
    )
