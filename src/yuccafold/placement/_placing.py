"""Asks one candidate after another until a slot is granted."""

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
from yuccafold.placement._outcome import Placement
from yuccafold.placement._outcome import SlotAsk
from yuccafold.placement._outcome import SlotGranted
from yuccafold.placement._outcome import SlotOutcome
from yuccafold.placement._outcome import Step
from yuccafold.settings import Policy

STEADY_CHOICES = 2
"""How many candidates are asked under the stricter multiple first."""
RETRY_AFTER_MS = 1_000


def home_multiple(policy: Policy) -> float:
    """Return the multiple up to which a chat's own targets are filled.

    A reuse weight of a half or more uses the whole of ``load_multiple``; a
    lower one keeps load more even and moves more chats.
    """
    share = min(1.0, 2 * policy.reuse_weight)
    return 1.0 + (policy.load_multiple - 1.0) * share


@final
class Placing:
    """The asks of one request; ``placement`` is final once one was granted."""

    def __init__(
        self,
        service: ServiceId,
        candidates: Sequence[Candidate],
        policy: Policy,
        lifetime: Milliseconds,
    ) -> None:
        self._service = service
        self._lifetime = lifetime
        self._asks = self._order(tuple(candidates), policy)
        self._asked: Candidate | None = None
        self._steps: list[Step] = []
        self._granted: SlotGranted | None = None

    @staticmethod
    def _order(
        candidates: tuple[Candidate, ...], policy: Policy
    ) -> Iterator[tuple[Candidate, float]]:
        stricter = home_multiple(policy)
        if stricter < policy.load_multiple:
            yield from ((c, stricter) for c in candidates[:STEADY_CHOICES])
        yield from ((c, policy.load_multiple) for c in candidates)

    @property
    def asking(self) -> TargetId | None:
        """The target that was asked last."""
        return None if self._asked is None else self._asked.target

    def next_ask(self) -> SlotAsk | None:
        """Return the next slot to ask for, or none when all refused."""
        self._asked, multiple = next(self._asks, (None, 0.0))
        if self._asked is None:
            return None
        return SlotAsk(self._service, self._asked.target, self._lifetime, multiple)

    def on_outcome(self, outcome: SlotOutcome) -> bool:
        """Take the outcome of the last ask; return whether a slot is held."""
        if self._asked is None or self._asked.target != outcome.target:
            raise ValueError(f"expected an outcome of {self._asked}, got {outcome}")
        granted = isinstance(outcome, SlotGranted)
        reason: DenialReason | None = None
        if isinstance(outcome, SlotGranted):
            self._granted = outcome
        else:
            reason = outcome.reason
        self._steps.append(Step(self._asked, reason))
        return granted

    @property
    def placement(self) -> Placement:
        """Where the request goes so far, and why."""
        granted = self._granted
        return Placement(
            None if granted is None else granted.target,
            None if granted is None else granted.number,
            tuple(self._steps),
        )

    def refusal(self, rng: random.Random) -> Refusal:
        """Return the refusal when no candidate took the request.

        The retry time is spread, so that refused callers don't return at once.
        """
        reasons = sorted({step.refused.value for step in self._steps if step.refused})
        return Refusal(
            503,
            "no-capacity",
            f"no target had room: {', '.join(reasons) or 'none takes work'}",
            Verdict.NOT_RUN,
            round(RETRY_AFTER_MS * rng.uniform(0.5, 1.5)),
        )
