"""Decides whether and when a failed attempt is retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._verdict import Verdict
from yuccafold.settings import Policy

MAX_BACKOFF_DOUBLINGS = 6

LONGEST_BACKOFF = Milliseconds(5_000)


@final
@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt failed.

    ``attempt`` counts from 1. ``remaining_ms`` is the time left until the
    caller's deadline. ``bytes_relayed`` tells whether a part of the answer was
    already sent to the caller.
    """

    verdict: Verdict
    idempotent: bool
    attempt: int
    remaining_ms: int
    bytes_relayed: bool = False


class GiveUpReason(Enum):
    """Why a failed attempt is not retried."""

    COMPLETE = "complete"
    MAY_HAVE_RUN = "may-have-run"
    ANSWER_BEGUN = "answer-begun"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


@final
@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Retry after ``delay_ms``."""

    delay_ms: Milliseconds


@final
@dataclass(frozen=True, slots=True)
class GiveUp:
    """Don't retry; answer the caller with the failure."""

    reason: GiveUpReason


RetryDecision = RetryAfter | GiveUp


def decide_retry(
    policy: Policy, end: AttemptEnd, budget_allows: bool, rng: Random
) -> RetryDecision:
    """Return whether to retry and when; depends only on the arguments.

    A caller that retries must spend one token of its retry budget.
    """
    reason = _obstacle(policy, end, budget_allows)
    if reason is not None:
        return GiveUp(reason)
    delay = backoff(policy, end.attempt, rng)
    if delay >= end.remaining_ms:
        return GiveUp(GiveUpReason.DEADLINE)
    return RetryAfter(delay)


def backoff(policy: Policy, attempt: int, rng: Random) -> Milliseconds:
    """Return the delay after ``attempt``: exponential backoff with full jitter."""
    doublings = min(attempt - 1, MAX_BACKOFF_DOUBLINGS)
    ceiling = min(policy.retry_backoff_ms << doublings, LONGEST_BACKOFF)
    return Milliseconds(rng.randint(0, ceiling))


def hedge_delay(
    policy: Policy, idempotent: bool, attempt: int, remaining_ms: int
) -> Milliseconds | None:
    """Return the delay before a hedged second request, or None for no hedge.

    Only the first attempt of an idempotent call is hedged, so a call has at most
    one hedge.
    """
    delay = policy.hedge_after_ms
    if delay == 0 or not idempotent or attempt != 1 or delay >= remaining_ms:
        return None
    return Milliseconds(delay)


def _obstacle(
    policy: Policy, end: AttemptEnd, budget_allows: bool
) -> GiveUpReason | None:
    """Return the first reason against a retry, or None."""
    obstacles = (
        (end.verdict is Verdict.COMPLETE, GiveUpReason.COMPLETE),
        (end.bytes_relayed, GiveUpReason.ANSWER_BEGUN),
        (
            end.verdict is Verdict.MAY_HAVE_RUN and not end.idempotent,
            GiveUpReason.MAY_HAVE_RUN,
        ),
        (end.attempt >= policy.max_attempts, GiveUpReason.ATTEMPTS),
        (end.remaining_ms <= 0, GiveUpReason.DEADLINE),
        (not budget_allows, GiveUpReason.BUDGET),
    )
    return next((reason for applies, reason in obstacles if applies), None)
