"""One call on its way, and what happened to it so far."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._verdict import Verdict
from yuccafold.edge._gate import Admitted
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import Repeatability
from yuccafold.http import Headers


@final
@dataclass(frozen=True, slots=True)
class Call:
    """A call that was read whole and admitted.

    ``deadline`` is the instant at which its caller or its route stops waiting.
    """

    head: CallHead
    admitted: Admitted
    service: ServiceId
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: Milliseconds
    deadline: Milliseconds

    @property
    def repeatability(self) -> Repeatability:
        """What may be done with it once it may have run."""
        return self.admitted.route.repeatability

    @property
    def urgency(self) -> int:
        """0 for the most urgent; the account's rank goes before the route's."""
        account = self.admitted.account
        first = 0 if account is None or account.priority is None else account.priority
        return first * PRIORITY_LEVELS + self.admitted.route.priority


PRIORITY_LEVELS = 3
"""Ranks that routes use; an account's rank weighs more than all of them."""


class RunRecord:
    """What is known of a call's run over all attempts."""

    __slots__ = ("_arrivals", "_current", "_sent", "_settled")

    def __init__(self) -> None:
        self._settled = Verdict.NOT_RUN
        self._current = Verdict.NOT_RUN
        self._sent = 0
        self._arrivals = 0

    @property
    def verdict(self) -> Verdict:
        """The worst verdict of all attempts."""
        return max(self._settled, self._current, key=lambda verdict: verdict.rank)

    @property
    def sent(self) -> int:
        """How many targets got the call that were meant."""
        return self._sent

    @property
    def arrivals(self) -> int:
        """How often the call was sent, also to those that were not meant."""
        return self._arrivals

    def start_sending(self) -> None:
        """Record that the first byte is about to leave."""
        self._sent += 1
        self._arrivals += 1
        self._current = Verdict.MAY_HAVE_RUN

    def not_run(self, counts: bool) -> None:
        """Record the target's word that the attempt did not run.

        ``counts`` is false when the call reached no target that was meant.
        """
        self._current = Verdict.NOT_RUN
        self._sent -= not counts

    def settle(self) -> None:
        """End the attempt; what is known of it stays."""
        self._settled = self.verdict
        self._current = Verdict.NOT_RUN

    def complete(self) -> None:
        """Record a whole answer."""
        self._current = Verdict.COMPLETE
