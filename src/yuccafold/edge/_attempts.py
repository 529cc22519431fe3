"""Decides what follows an attempt, and what a caller is told."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import Route

SHORTEST_USEFUL_ATTEMPT = Milliseconds(30)
"""With less time left than this no target can answer: twice the shortest work."""

PATIENCE_MULTIPLE = 3
"""Latency objectives after which a target without an answer is taken for silent:
callers give streams up after four."""

SHORTEST_PATIENCE = Milliseconds(300)
"""The least time that a target has for its answer: ten times the work of a call."""

RETRY_SOON = Milliseconds(60)
"""When a caller may come back after one target refused: others may have room."""

RETRY_LATER = Milliseconds(400)
"""When a caller may come back while no target can be had: some start in seconds."""


class Failure(Enum):
    """How an attempt failed."""

    UNREACHABLE = "unreachable"
    """No connection: nothing was sent."""
    LEFT = "left"
    """The target may no longer get calls: nothing was sent."""
    REFUSED = "refused"
    """The target says that it did not run the call."""
    REPLACED = "replaced"
    """Another target has the address now, and says that it did not run the call."""
    BROKEN = "broken"
    """The connection broke or carried no answer of the call."""
    SILENT = "silent"
    """Nothing came for too long."""
    ERROR = "error"
    """The target answered with a server error of its own."""

    @property
    def sent(self) -> bool:
        """Whether the call reached the target that was meant."""
        return self not in (Failure.UNREACHABLE, Failure.LEFT, Failure.REPLACED)


@final
@dataclass(frozen=True, slots=True)
class CallProgress:
    """What is known of a call after a failed attempt.

    ``sent`` counts the targets that got it, ``arrivals`` those as well that had
    another one's address. ``verdict`` is the worst so far.
    ``answer_begun`` says whether the caller has a part of an answer.
    """

    repeatability: Repeatability
    max_attempts: int
    sent: int
    arrivals: int
    verdict: Verdict
    answer_begun: bool
    time_left: Milliseconds


def may_try_again(progress: CallProgress, budget_allows: bool) -> bool:
    """Return whether the call may go to another target."""
    if progress.time_left < SHORTEST_USEFUL_ATTEMPT:
        return False
    may_have_run = progress.verdict is not Verdict.NOT_RUN
    if may_have_run and progress.repeatability is Repeatability.ONCE:
        return False
    if progress.answer_begun and progress.repeatability is not Repeatability.RESUMABLE:
        return False
    if progress.arrivals == 0:
        return True
    return progress.sent < progress.max_attempts and budget_allows


def patience_of(route: Route) -> Milliseconds:
    """Return how long a target may take for the head of its answer."""
    objective = route.latency_objective
    return Milliseconds(max(SHORTEST_PATIENCE, PATIENCE_MULTIPLE * objective))


def refusal_of(failure: Failure, verdict: Verdict, rng: random.Random) -> Refusal:
    """Return what a caller is told when its call is not tried again."""
    if verdict is not Verdict.NOT_RUN:
        return Refusal(502, "target_failed", f"target {failure.value}", verdict)
    wait = RETRY_SOON if failure is Failure.REFUSED else RETRY_LATER
    return Refusal(
        503, "not_run", f"target {failure.value}", verdict, spread(wait, rng)
    )


def out_of_time(verdict: Verdict, rng: random.Random) -> Refusal:
    """Return what a caller is told when its time or its route's is over."""
    if verdict is Verdict.NOT_RUN:
        wait = spread(RETRY_LATER, rng)
        return Refusal(503, "out_of_time", "no target in time", verdict, wait)
    return Refusal(504, "out_of_time", "no answer in time", verdict)


def no_target(rng: random.Random) -> Refusal:
    """Return what a caller is told when its service has no target."""
    wait = spread(RETRY_LATER, rng)
    return Refusal(503, "no_target", "no target to send to", Verdict.NOT_RUN, wait)


def spread(wait: Milliseconds, rng: random.Random) -> Milliseconds:
    """Return ``wait`` with a jitter of half, so that callers do not come at once."""
    return Milliseconds(round(wait * rng.uniform(0.75, 1.25)))
