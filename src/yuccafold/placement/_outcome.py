"""Outcomes of slot requests and of whole placements."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.placement._messages import DenialReason


class CandidateReason(Enum):
    """Why a target has its position in the candidate list of a chat."""

    CALLER_HINT = "caller-hint"
    CACHE_EVENT = "cache-event"
    RANK = "rank"
    LEAST_LOADED = "least-loaded"
    SAME_ZONE = "same-zone"
    DAMPED = "damped"


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may serve the next turn of a chat, and why it is listed."""

    target: TargetId
    reason: CandidateReason


@final
@dataclass(frozen=True, slots=True)
class SlotSpec:
    """The slot that a request needs: on ``target``, for at most ``lifetime_ms``."""

    service: ServiceId
    target: TargetId
    lifetime_ms: Milliseconds
    multiple: float


@final
@dataclass(frozen=True, slots=True)
class SlotGranted:
    """The slot ``number`` is held until it is released or ``expires_at``."""

    number: int
    target: TargetId
    expires_at: Milliseconds


@final
@dataclass(frozen=True, slots=True)
class SlotRefused:
    """The slot ``number`` was not granted; the request was not sent."""

    number: int
    target: TargetId
    reason: DenialReason


SlotOutcome = SlotGranted | SlotRefused


@final
@dataclass(frozen=True, slots=True)
class CandidateAttempt:
    """One candidate that was tried, and the reason if its slot was denied."""

    candidate: Candidate
    refused: DenialReason | None


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """The target that a request was placed on and every candidate tried."""

    target: TargetId | None
    number: int | None
    steps: tuple[CandidateAttempt, ...]

    def explain(self) -> str:
        """Return all steps and their reasons in one line, for traces and operators."""
        return ", ".join(
            f"{step.candidate.target} ({step.candidate.reason.value}): "
            f"{'granted' if step.refused is None else step.refused.value}"
            for step in self.steps
        )
