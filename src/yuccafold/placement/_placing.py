"""Tries candidates in order until a slot is granted."""

from __future__ import annotations

import random
from collections.abc import Iterator
from collections.abc import Sequence
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.placement._messages import DenialReason
from yuccafold.placement._outcome import Candidate
from yuccafold.placement._outcome import CandidateAttempt
from yuccafold.placement._outcome import Placement
from yuccafold.placement._outcome import SlotGranted
from yuccafold.placement._outcome import SlotOutcome
from yuccafold.placement._outcome import SlotSpec
from yuccafold.settings import Policy

STRICT_CANDIDATES = 2
"""How many candidates are first tried with the strict multiple."""
MEAN_RETRY_AFTER_MS = 1_000


def strict_multiple(policy: Policy) -> float:
    """Return the load multiple for the first candidates of a chat.

    A reuse weight of 0.5 or more uses the full ``load_multiple``; a lower one
    keeps the load more even, but moves more chats.
    """
    share = min(1.0, 2 * policy.reuse_weight)
    return 1.0 + (policy.load_multiple - 1.0) * share


@final
class PlacementSearch:
    """Slot requests of one call; ``placement`` is final once a slot is granted."""

    def __init__(
        self,
        service: ServiceId,
        candidates: Sequence[Candidate],
        policy: Policy,
        lifetime: Milliseconds,
    ) -> None:
        self._service = service
        self._lifetime = lifetime
        self._remaining = self._order(tuple(candidates), policy)
        self._current: Candidate | None = None
        self._steps: list[CandidateAttempt] = []
        self._granted: SlotGranted | None = None

    @staticmethod
    def _order(
        candidates: tuple[Candidate, ...], policy: Policy
    ) -> Iterator[tuple[Candidate, float]]:
        strict = strict_multiple(policy)
        if strict < policy.load_multiple:
            yield from ((c, strict) for c in candidates[:STRICT_CANDIDATES])
        yield from ((c, policy.load_multiple) for c in candidates)

    @property
    def current_target(self) -> TargetId | None:
        """The target of the latest slot request."""
        return None if self._current is None else self._current.target

    def next_slot(self) -> SlotSpec | None:
        """Return the next slot to request, or None after all candidates."""
        self._current, multiple = next(self._remaining, (None, 0.0))
        if self._current is None:
            return None
        return SlotSpec(self._service, self._current.target, self._lifetime, multiple)

    def on_outcome(self, outcome: SlotOutcome) -> bool:
        """Record the outcome of the last request; return whether it was granted."""
        if self._current is None or self._current.target != outcome.target:
            raise ValueError(f"expected an outcome of {self._current}, got {outcome}")
        granted = isinstance(outcome, SlotGranted)
        reason: DenialReason | None = None
        if isinstance(outcome, SlotGranted):
            self._granted = outcome
        else:
            reason = outcome.reason
        self._steps.append(CandidateAttempt(self._current, reason))
        return granted

    @property
    def placement(self) -> Placement:
        """The placement so far: the granted target, if any, and all steps."""
        granted = self._granted
        return Placement(
            None if granted is None else granted.target,
            None if granted is None else granted.number,
            tuple(self._steps),
        )

    def refusal(self, rng: random.Random) -> Refusal:
        """Return the refusal of a call that no candidate accepted.

        The retry time is random, so that refused callers don't retry all at once.
        """
        reasons = sorted({step.refused.value for step in self._steps if step.refused})
        return Refusal(
            503,
            "no-capacity",
            f"no target had room: {', '.join(reasons) or 'none takes work'}",
            Verdict.NOT_RUN,
            round(MEAN_RETRY_AFTER_MS * rng.uniform(0.5, 1.5)),
        )
