"""What a VM reports when a target dies."""

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
class InFlight:
    """A request that was on a target when it died."""

    call: CallId
    fingerprint: Fingerprint


@final
@dataclass(frozen=True, slots=True)
class TargetDeath:
    """A target's death as one VM saw it, with what that VM had on it."""

    service: ServiceId
    target: TargetId
    in_flight: tuple[InFlight, ...]


@final
@dataclass(frozen=True, slots=True)
class SentReport:
    """The number of a report, which ``StrikesSpread`` names, and its messages."""

    number: int
    outgoing: list[Outgoing]


def strikes_of(
    death: TargetDeath,
    policy: Policy,
    reporter: VmId,
    report: int,
    trial_of: Callable[[CallId], int],
) -> tuple[Strike, ...]:
    """Return a strike against each request that was on the target."""
    return tuple(
        Strike(
            death.service,
            each.fingerprint,
            StrikeId(death.target, trial_of(each.call), reporter, report),
            policy.lethal_attempts,
            policy.quarantine_ms,
        )
        for each in death.in_flight
    )
