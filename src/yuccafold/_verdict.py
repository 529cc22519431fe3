"""Verdicts: whether a request may have run on a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class Verdict(Enum):
    """Whether a request may have run; it only changes to later members."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    COMPLETE = "complete"

    @property
    def rank(self) -> int:
        """The position among the members; a verdict never changes to a lower rank."""
        return tuple(Verdict).index(self)


@final
class VerdictRecord:
    """The verdict of one attempt, updated by the task that owns the connection.

    A verdict never goes back to an earlier one such as ``NOT_RUN``; ``advance``
    raises an error instead.
    """

    def __init__(self) -> None:
        self._verdict = Verdict.NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """The current verdict."""
        return self._verdict

    def advance(self, verdict: Verdict) -> None:
        """Change to ``verdict``, whose rank is not lower than the current one's."""
        if verdict.rank < self._verdict.rank:
            raise ValueError(
                f"expected a verdict not before {self._verdict.value}, "
                f"got {verdict.value}"
            )
        self._verdict = verdict


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no answer from a target, and whether to retry it.

    ``retry_after_ms`` is 0 when a later retry would not help.
    """

    status: int
    code: str
    reason: str
    verdict: Verdict
    retry_after_ms: int = 0
