"""What is known about whether a request ran on a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class Verdict(Enum):
    """Whether a request may have run; it only ever moves down this list."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    COMPLETE = "complete"

    @property
    def rank(self) -> int:
        """The position in the order in which a verdict may change."""
        return tuple(Verdict).index(self)


@final
class VerdictRecord:
    """The verdict of one attempt, kept by the task that owns the connection.

    A verdict is never taken back to ``NOT_RUN``: ``advance`` refuses that.
    """

    def __init__(self) -> None:
        self._verdict = Verdict.NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """The verdict so far."""
        return self._verdict

    def advance(self, verdict: Verdict) -> None:
        """Move to ``verdict``, which is not before the present one."""
        if verdict.rank < self._verdict.rank:
            raise ValueError(
                f"expected a verdict not before {self._verdict.value}, "
                f"got {verdict.value}"
            )
        self._verdict = verdict


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no answer of a target, and what the caller may do.

    ``retry_after_ms`` is 0 when coming back later does not help.
    """

    status: int
    code: str
    reason: str
    verdict: Verdict
    retry_after_ms: int = 0
