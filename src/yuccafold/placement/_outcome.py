"""Typed outcomes of asking for a slot, and of a whole placement."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.placement._messages import DenialReason


class CandidateReason(Enum):
    """Why a target stands where it does in a chat's list."""

    CALLER_HINT = "caller-hint"
    CACHE_EVENT = "cache-event"
    RANK = "rank"
    LEAST_LOADED = "least-loaded"
    SAME_ZONE = "same-zone"
    DAMPED = "damped"


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """One target that may take a chat's next turn, and why it is listed."""

    target: TargetId
    reason: CandidateReason


@final
@dataclass(frozen=True, slots=True)
class SlotAsk:
    """What a request needs: a slot on ``target`` for ``lifetime_ms``."""

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
    """No slot came of the ask ``number``; the request was not sent."""

    number: int
    target: TargetId
    reason: DenialReason


SlotOutcome = SlotGranted | SlotRefused


@final
@dataclass(frozen=True, slots=True)
class Step:
    """One candidate that was asked, and the reason when it was refused."""

    candidate: Candidate
    refused: DenialReason | None


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request went and every candidate asked on the way."""

    target: TargetId | None
    number: int | None
    steps: tuple[Step, ...]

    def explain(self) -> str:
        """Return the reasons in one line, for traces and operators."""
        return ", ".join(
            f"{step.candidate.target} ({step.candidate.reason.value}): "
            f"{'granted' if step.refused is None else step.refused.value}"
            for step in self.steps
        )
