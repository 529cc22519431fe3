"""A call that is being forwarded, and whether it may have run so far."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from result import Err
from result import Result

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge._gate import Admitted
from yuccafold.edge._gate import Gate
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import Route
from yuccafold.http import Headers
from yuccafold.http import first_value

QUERY_SEPARATOR = b"?"


@final
@dataclass(frozen=True, slots=True)
class Call:
    """A call that was received completely and admitted.

    ``target`` is the request target, that is path and query. ``deadline`` is the
    time at which the timeout of the caller or of the route ends, whichever is first.
    """

    head: CallHead
    admitted: Admitted
    service: ServiceId
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: Milliseconds
    deadline: Milliseconds

    @property
    def repeatability(self) -> Repeatability:
        """How the call may be retried after an attempt that may have run."""
        return self.admitted.route.repeatability

    @property
    def urgency(self) -> int:
        """0 for the most urgent; the account's priority outweighs the route's."""
        account = self.admitted.account
        account_priority = (
            0 if account is None or account.priority is None else account.priority
        )
        return account_priority * PRIORITY_LEVELS + self.admitted.route.priority


PRIORITY_LEVELS = 3
"""Number of priorities that routes use. An account's priority is multiplied by it,
so that one step of it outweighs every difference between routes."""


def receive_call(
    head: CallHead,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    gate: Gate,
    arrived_at: Milliseconds,
    choose_service: Callable[[CallHead, Route], ServiceId],
) -> Call | Refusal:
    """Return the admitted call, or a refusal by the settings in force.

    ``choose_service`` returns the one of the route's services that the call goes to.
    """
    admitted = admit_head(head, target, headers, gate, arrived_at)
    if isinstance(admitted, Err):
        return admitted.err_value
    route = admitted.ok_value.route
    timeout = min(head.deadline or route.timeout, route.timeout)
    return Call(
        head=head,
        admitted=admitted.ok_value,
        service=choose_service(head, route),
        method=method,
        target=target,
        headers=headers,
        body=body,
        arrived_at=arrived_at,
        deadline=Milliseconds(arrived_at + timeout),
    )


def admit_head(
    head: CallHead, target: bytes, headers: Headers, gate: Gate, now: Milliseconds
) -> Result[Admitted, Refusal]:
    """Return the route and account of a call, or why it is refused with any body."""
    host = (first_value(headers, b"host") or "").partition(":")[0].lower()
    path = target.partition(QUERY_SEPARATOR)[0].decode("latin-1")
    return gate.admit(host, path, head.api_key, now, head.deadline)


class RunRecord:
    """Whether a call may have run, over all of its attempts."""

    __slots__ = ("_current_verdict", "_earlier_verdict", "_paid", "_sends", "_sent")

    def __init__(self) -> None:
        self._earlier_verdict = Verdict.NOT_RUN
        self._current_verdict = Verdict.NOT_RUN
        self._sent = 0
        self._sends = 0
        self._paid = 0

    @property
    def verdict(self) -> Verdict:
        """The verdict with the highest rank of all attempts."""
        return max(
            self._earlier_verdict,
            self._current_verdict,
            key=lambda verdict: verdict.rank,
        )

    @property
    def sent(self) -> int:
        """How often the call was sent to the target that it was placed on."""
        return self._sent

    @property
    def sends(self) -> int:
        """How often the call was sent to any target.

        This includes sends to an address that another target has taken over.
        """
        return self._sends

    @property
    def is_next_send_paid(self) -> bool:
        """Whether the next send needs no further retry of the budget.

        The first send needs none. A retry that was paid for and reached no target is
        still good for another one.
        """
        return self._paid >= self._sends

    def pay_next_send(self) -> None:
        """Record that the retry budget was charged for the next send."""
        self._paid += 1

    def start_sending(self) -> None:
        """Record that the call is about to be sent; from now on it may run."""
        self._sent += 1
        self._sends += 1
        self._current_verdict = Verdict.MAY_HAVE_RUN

    def mark_not_run(self, reached_target: bool) -> None:
        """Record a target's statement that it did not run the call.

        ``reached_target`` is false if another target has the address now.
        """
        self._current_verdict = Verdict.NOT_RUN
        self._sent -= not reached_target

    def end_attempt(self) -> None:
        """End the attempt and keep its verdict for that of the call."""
        self._earlier_verdict = self.verdict
        self._current_verdict = Verdict.NOT_RUN

    def mark_complete(self) -> None:
        """Record that a whole answer was received."""
        self._current_verdict = Verdict.COMPLETE
