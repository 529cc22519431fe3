"""Judges targets by how the calls sent to them end."""

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
"""How fast old outcomes lose weight; troubles of targets last a few seconds."""

SICK_MULTIPLE = 2.0
"""A sick target fails this many times as often as its service."""

FIRST_BACKOFF = Milliseconds(400)
"""How long a sick target is left alone at first; a crashed one needs seconds."""

LONGEST_BACKOFF = Milliseconds(3_000)
"""The longest pause before a sick target is tried once more."""

TRUST_AFTER_SUCCESSES = 2
"""Calls that must end well before a sick target gets calls that run once."""

ONCE_TRIAL_DELAY = Milliseconds(2_000)
"""How much later a sick target is tried by a call that runs once, if none else came."""

MAX_AVOIDED_SHARE = 0.5
"""Share of a service that may be avoided; beyond it the rest would drown."""


@final
@dataclass(frozen=True, slots=True)
class SickLimits:
    """How many weighted failures, and which share of calls, make a target sick."""

    failures: float
    share: float


PLAIN_LIMITS = SickLimits(1.6, 0.25)
"""Any target does for a plain call, so two failures in a row are enough."""

PROMPT_LIMITS = SickLimits(2.6, 0.5)
"""Avoiding a target that holds prompts makes others read them: three failures,
and more failed than good, are worth that."""


class Outcome(Enum):
    """How one call ended at a target, as far as the target is to blame."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """No connection could be made, or another target has the address: nothing ran."""
    UNKNOWN = "unknown"
    """The call ended for a reason that says nothing of the target."""


@final
@dataclass(slots=True)
class TargetScore:
    """Weighted outcomes of one target, and since when it is left alone."""

    good: float = 0.0
    failed: float = 0.0
    updated_at: Milliseconds = Milliseconds(0)
    avoided_until: Milliseconds | None = None
    backoff: Milliseconds = FIRST_BACKOFF
    good_since_sick: int = TRUST_AFTER_SUCCESSES
    trial_running: bool = False
    unreachable: bool = False

    @property
    def on_trial(self) -> bool:
        """Whether the target has yet to show that it is well again."""
        return self.good_since_sick < TRUST_AFTER_SUCCESSES

    @property
    def failed_share(self) -> float:
        """The share of failed calls among recent ones."""
        total = self.good + self.failed
        return self.failed / total if total else 0.0


@final
class TargetHealth:
    """Which targets to avoid.

    A target that fails far more often than its service is left alone for a
    growing time, then tried with single calls that may be repeated.
    """

    def __init__(self) -> None:
        self._scores: dict[TargetId, TargetScore] = {}

    def note(
        self,
        target: TargetId,
        outcome: Outcome,
        peers: Sequence[TargetId],
        now: Milliseconds,
        limits: SickLimits = PLAIN_LIMITS,
    ) -> bool:
        """Record how a call ended; return whether the target is avoided from now.

        ``peers`` are the targets of the same service.
        """
        score = self._scores.setdefault(target, TargetScore(updated_at=now))
        _decay(score, now)
        score.trial_running = False
        if outcome is Outcome.UNKNOWN:
            return False
        if outcome is Outcome.GOOD:
            score.good += 1
            if score.on_trial:
                score.good_since_sick += 1
                if not score.on_trial:
                    score.backoff = FIRST_BACKOFF
                    score.avoided_until = None
                    score.failed = 0.0
            return False
        score.failed += 1
        score.unreachable = outcome is Outcome.UNREACHABLE
        if outcome is Outcome.UNREACHABLE or score.on_trial:
            return self._avoid(score, now)
        if self._is_sick(score, peers, now, limits):
            return self._avoid(score, now)
        return False

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that started anew or is gone."""
        self._scores.pop(target, None)

    def usable(
        self,
        targets: Sequence[KnownTarget],
        repeatable: bool,
        now: Milliseconds,
        sick: Collection[TargetId] = (),
    ) -> list[KnownTarget]:
        """Return ``targets`` without those to avoid, or half if too many are sick.

        ``sick`` are targets to avoid by what other VMs saw.
        """
        well = [
            known
            for known in targets
            if known.record.id not in sick
            and self._takes(known.record.id, repeatable, now)
        ]
        if len(well) < len(targets) * (1 - MAX_AVOIDED_SHARE):
            return self._least_sick(targets, now, sick)
        return well

    def is_down(self, target: TargetId) -> bool:
        """Return whether a target could not be reached and did not answer since."""
        score = self._scores.get(target)
        return score is not None and score.unreachable and score.good_since_sick == 0

    def start(self, target: TargetId) -> None:
        """Record that a call is sent, so that a sick target gets one at a time."""
        score = self._scores.get(target)
        if score is not None and score.on_trial:
            score.trial_running = True

    def _least_sick(
        self,
        targets: Sequence[KnownTarget],
        now: Milliseconds,
        sick: Collection[TargetId],
    ) -> list[KnownTarget]:
        """Return the half of ``targets`` that failed least."""
        keep = max(1, round(len(targets) * MAX_AVOIDED_SHARE + 0.5))

        def badness(known: KnownTarget) -> tuple[bool, float, float]:
            is_sick = known.record.id in sick
            score = self._scores.get(known.record.id)
            if score is None:
                return is_sick, 0.0, 0.0
            avoided_for = max(0, (score.avoided_until or 0) - now)
            return is_sick, avoided_for, score.failed_share

        return sorted(targets, key=badness)[:keep]

    def _takes(self, target: TargetId, repeatable: bool, now: Milliseconds) -> bool:
        score = self._scores.get(target)
        if score is None or score.avoided_until is None:
            return True
        if now < score.avoided_until or score.trial_running:
            return False
        harmless = repeatable or score.unreachable
        return harmless or now >= score.avoided_until + ONCE_TRIAL_DELAY

    def _is_sick(
        self,
        score: TargetScore,
        peers: Sequence[TargetId],
        now: Milliseconds,
        limits: SickLimits,
    ) -> bool:
        if score.failed < limits.failures or score.failed_share < limits.share:
            return False
        scores = [self._scores[peer] for peer in peers if peer in self._scores]
        for other in scores:
            _decay(other, now)
        rest = [other for other in scores if other is not score]
        total = sum(other.good + other.failed for other in rest)
        failed = sum(other.failed for other in rest)
        service_share = failed / total if total else 0.0
        return score.failed_share >= SICK_MULTIPLE * service_share

    def _avoid(self, score: TargetScore, now: Milliseconds) -> bool:
        was_avoided = score.avoided_until is not None and now < score.avoided_until
        if not was_avoided:
            score.avoided_until = Milliseconds(now + score.backoff)
            score.backoff = Milliseconds(min(LONGEST_BACKOFF, score.backoff * 2))
        score.good_since_sick = 0
        return not was_avoided


def _decay(score: TargetScore, now: Milliseconds) -> None:
    """Weigh earlier outcomes by their age."""
    factor = 0.5 ** ((now - score.updated_at) / SCORE_HALF_LIFE)
    score.good *= factor
    score.failed *= factor
    score.updated_at = now
