"""Passive health checks: judges targets by how the calls sent to them end."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._view import KnownTarget

SCORE_HALF_LIFE = Milliseconds(3_000)
"""Half-life of the weight of outcomes: faults of targets last a few seconds."""

UNHEALTHY_FAILURE_MULTIPLE = 2.0
"""A target is unhealthy if it fails this many times as often as the rest of its
service."""

FIRST_BACKOFF = Milliseconds(400)
"""First backoff of an unhealthy target; a crashed one needs seconds to restart."""

LONGEST_BACKOFF = Milliseconds(3_000)
"""Longest backoff before an unhealthy target is tried again."""

RECOVERY_SUCCESSES = 2
"""Successful calls after which an unhealthy target counts as healthy again and gets
calls that must not run twice."""

ONCE_TRIAL_DELAY = Milliseconds(2_000)
"""How long after its backoff an unhealthy target may be tried with a call that must
not run twice, if no other call has tried it by then."""

MAX_AVOIDED_SHARE = 0.5
"""Share of a service's targets that may be avoided; with more, the rest would be
overloaded."""


@final
@dataclass(frozen=True, slots=True)
class FailureLimits:
    """How many weighted failures, and which failed share, make a target unhealthy."""

    failures: float
    share: float


PLAIN_LIMITS = FailureLimits(1.6, 0.25)
"""Limits for calls without a prompt: any target can serve them, so two failures in a
row are enough."""

PROMPT_LIMITS = FailureLimits(2.6, 0.5)
"""Limits for calls with a prompt: if a target that holds prompts is avoided, others
have to read them again, so this takes three failures, and more failed than good
calls."""


class Outcome(Enum):
    """How one call ended, as far as it says something about the target."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """No connection could be made, or another target has the address: nothing ran."""
    UNKNOWN = "unknown"
    """The call ended for a reason that says nothing about the target."""


@final
@dataclass(slots=True)
class TargetScore:
    """Weighted outcomes of one target, and until when it is avoided."""

    good: float = 0.0
    failed: float = 0.0
    updated_at: Milliseconds = Milliseconds(0)
    avoided_until: Milliseconds | None = None
    backoff: Milliseconds = FIRST_BACKOFF
    good_since_avoided: int = RECOVERY_SUCCESSES
    trial_running: bool = False
    unreachable: bool = False

    @property
    def on_trial(self) -> bool:
        """Whether the target still has to prove that it has recovered."""
        return self.good_since_avoided < RECOVERY_SUCCESSES

    @property
    def failed_share(self) -> float:
        """The share of failed calls among recent ones."""
        total = self.good + self.failed
        return self.failed / total if total else 0.0


@final
class TargetHealth:
    """Tracks which targets to avoid.

    A target that fails far more often than its service is avoided for an
    exponentially growing time, then tried with single calls that may be repeated.
    """

    def __init__(self) -> None:
        self._scores: dict[TargetId, TargetScore] = {}

    def record_outcome(
        self,
        target: TargetId,
        outcome: Outcome,
        service_targets: Sequence[TargetId],
        now: Milliseconds,
        limits: FailureLimits = PLAIN_LIMITS,
    ) -> bool:
        """Record how a call ended; return whether the target is avoided from now on.

        ``service_targets`` are all targets of the same service.
        """
        score = self._scores.setdefault(target, TargetScore(updated_at=now))
        _decay(score, now)
        score.trial_running = False
        if outcome is Outcome.UNKNOWN:
            return False
        if outcome is Outcome.GOOD:
            score.good += 1
            if score.on_trial:
                score.good_since_avoided += 1
                if not score.on_trial:
                    score.backoff = FIRST_BACKOFF
                    score.avoided_until = None
                    score.failed = 0.0
            return False
        score.failed += 1
        score.unreachable = outcome is Outcome.UNREACHABLE
        if outcome is Outcome.UNREACHABLE or score.on_trial:
            return self._avoid(score, now)
        if self._is_unhealthy(score, service_targets, now, limits):
            return self._avoid(score, now)
        return False

    def forget(self, target: TargetId) -> None:
        """Drop the score of a target that restarted or is gone."""
        self._scores.pop(target, None)

    def usable(
        self,
        targets: Sequence[KnownTarget],
        repeatable: bool,
        now: Milliseconds,
        unhealthy: Collection[TargetId] = (),
    ) -> list[KnownTarget]:
        """Return ``targets`` without those to avoid.

        If that would leave fewer than half, returns the healthiest ones instead.
        ``unhealthy`` are targets to avoid because of the outcomes of all VMs.
        """
        healthy = [
            known
            for known in targets
            if known.record.id not in unhealthy
            and self._may_receive(known.record.id, repeatable, now)
        ]
        if len(healthy) < len(targets) * (1 - MAX_AVOIDED_SHARE):
            return self._least_unhealthy(targets, now, unhealthy)
        return healthy

    def is_down(self, target: TargetId) -> bool:
        """Return whether ``target`` was unreachable and hasn't answered since."""
        score = self._scores.get(target)
        return score is not None and score.unreachable and score.good_since_avoided == 0

    def start(self, target: TargetId) -> None:
        """Record that a call is sent: a target on trial gets one call at a time."""
        score = self._scores.get(target)
        if score is not None and score.on_trial:
            score.trial_running = True

    def _least_unhealthy(
        self,
        targets: Sequence[KnownTarget],
        now: Milliseconds,
        unhealthy: Collection[TargetId],
    ) -> list[KnownTarget]:
        """Return the healthiest of ``targets``: about half of them, at least one."""
        kept_count = max(1, round(len(targets) * MAX_AVOIDED_SHARE + 0.5))

        def unhealthiness(known: KnownTarget) -> tuple[bool, float, float]:
            is_unhealthy = known.record.id in unhealthy
            score = self._scores.get(known.record.id)
            if score is None:
                return is_unhealthy, 0.0, 0.0
            avoided_for = max(0, (score.avoided_until or 0) - now)
            return is_unhealthy, avoided_for, score.failed_share

        return sorted(targets, key=unhealthiness)[:kept_count]

    def _may_receive(
        self, target: TargetId, repeatable: bool, now: Milliseconds
    ) -> bool:
        score = self._scores.get(target)
        if score is None or score.avoided_until is None:
            return True
        if now < score.avoided_until or score.trial_running:
            return False
        is_safe_trial = repeatable or score.unreachable
        return is_safe_trial or now >= score.avoided_until + ONCE_TRIAL_DELAY

    def _is_unhealthy(
        self,
        score: TargetScore,
        service_targets: Sequence[TargetId],
        now: Milliseconds,
        limits: FailureLimits,
    ) -> bool:
        if score.failed < limits.failures or score.failed_share < limits.share:
            return False
        scores = [
            self._scores[target] for target in service_targets if target in self._scores
        ]
        for other in scores:
            _decay(other, now)
        rest = [other for other in scores if other is not score]
        total = sum(other.good + other.failed for other in rest)
        failed = sum(other.failed for other in rest)
        service_share = failed / total if total else 0.0
        return score.failed_share >= UNHEALTHY_FAILURE_MULTIPLE * service_share

    def _avoid(self, score: TargetScore, now: Milliseconds) -> bool:
        was_avoided = score.avoided_until is not None and now < score.avoided_until
        if not was_avoided:
            score.avoided_until = Milliseconds(now + score.backoff)
            score.backoff = Milliseconds(min(LONGEST_BACKOFF, score.backoff * 2))
        score.good_since_avoided = 0
        return not was_avoided


def _decay(score: TargetScore, now: Milliseconds) -> None:
    """Reduce the weight of earlier outcomes by the time since the last update."""
    factor = 0.5 ** ((now - score.updated_at) / SCORE_HALF_LIFE)
    score.good *= factor
    score.failed *= factor
    score.updated_at = now
