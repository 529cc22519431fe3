"""The verdict of a call over all its attempts."""

from __future__ import annotations

from dataclasses import replace
from typing import final

from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict


@final
class CallVerdict:
    """What may be said of a call whose attempts ended with several verdicts.

    An attempt that did not run says nothing about an earlier one that may
    have: the call's verdict is the highest of its attempts'.
    """

    def __init__(self) -> None:
        self._verdict = Verdict.NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """The verdict so far."""
        return self._verdict

    def note(self, verdict: Verdict) -> None:
        """Note the last verdict of one attempt."""
        self._verdict = max(self._verdict, verdict, key=lambda each: each.rank)

    def applied_to(self, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with a verdict that holds for the whole call."""
        highest = max(self._verdict, refusal.verdict, key=lambda each: each.rank)
        return replace(refusal, verdict=highest)
