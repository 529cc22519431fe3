"""The arbiter of trials: allows one suspect request per target at a time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.delivery._messages import TrialAnswer
from yuccafold.delivery._messages import TrialRequest
from yuccafold.delivery._strikes import Standing
from yuccafold.delivery._strikes import StrikeTable

TRIAL_LEASE = Milliseconds(15_000)
"""A trial that its VM doesn't renew for this long counts as ended."""


@final
@dataclass(slots=True)
class _Trial:
    """A granted trial that has neither ended nor expired."""

    request: TrialRequest
    expires_at: Milliseconds


@final
class TrialArbiter:
    """Grants trials of suspect requests.

    A target runs at most one trial at a time, so that its crash can be attributed
    to one suspect.
    """

    def __init__(self, strikes: StrikeTable) -> None:
        self._strikes = strikes
        self._running: dict[tuple[VmId, int], _Trial] = {}

    def decide(
        self, sender: VmId, request: TrialRequest, now: Milliseconds
    ) -> TrialAnswer:
        """Grant, renew or refuse a trial."""
        self._expire(now)
        running = self._running.get((sender, request.number))
        if running is not None:
            running.expires_at = Milliseconds(now + TRIAL_LEASE)
            return TrialAnswer.GRANTED
        standing = self._strikes.standing(request.fingerprint, now)
        if standing is Standing.QUARANTINED:
            return TrialAnswer.QUARANTINED
        if any(_collide(other.request, request) for other in self._running.values()):
            return TrialAnswer.BUSY
        trial = _Trial(request, Milliseconds(now + TRIAL_LEASE))
        self._running[sender, request.number] = trial
        return TrialAnswer.GRANTED

    def end(self, sender: VmId, number: int) -> None:
        """Free the target and the fingerprint of a trial."""
        self._running.pop((sender, number), None)

    def _expire(self, now: Milliseconds) -> None:
        self._running = {
            key: trial for key, trial in self._running.items() if trial.expires_at > now
        }


def _collide(one: TrialRequest, other: TrialRequest) -> bool:
    """Return whether two trials must not run at the same time."""
    if one.service != other.service:
        return False
    return one.target == other.target or one.fingerprint == other.fingerprint
