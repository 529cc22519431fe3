"""The verdict of a call over all its attempts."""

from __future__ import annotations

from dataclasses import replace
from typing import final

from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict


@final
class CallVerdict:
    """Combines the verdicts of a call's attempts.

    The call's verdict is the highest of its attempts' verdicts, as an attempt
    that did not run doesn't rule out that an earlier one ran.
    """

    def __init__(self) -> None:
        self._verdict = Verdict.NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """The highest verdict recorded so far."""
        return self._verdict

    def record(self, verdict: Verdict) -> None:
        """Record the final verdict of one attempt."""
        self._verdict = max(self._verdict, verdict, key=lambda recorded: recorded.rank)

    def applied_to(self, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with its verdict raised to that of the whole call."""
        highest = max(
            self._verdict, refusal.verdict, key=lambda recorded: recorded.rank
        )
        return replace(refusal, verdict=highest)
