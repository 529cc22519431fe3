"""How a router handles one call: the steps common to all kinds of operation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold._verdict import VerdictRecord
from yuccafold.chaos._calls import Call
from yuccafold.chaos._calls import OperationKind
from yuccafold.chaos._calls import Outcome
from yuccafold.chaos._calls import Respond
from yuccafold.chaos._targets import Response
from yuccafold.chaos._targets import ResponseKind
from yuccafold.chaos._targets import SimulatedTarget
from yuccafold.delivery import AttemptEnd
from yuccafold.delivery import CallVerdict
from yuccafold.delivery import ClaimOutcome
from yuccafold.delivery import QuarantineOutcome
from yuccafold.delivery import RetryAfter
from yuccafold.delivery import decide_retry

if TYPE_CHECKING:
    from yuccafold.chaos._router import SimulatedRouter

CONNECT_MS = 1.0
CONNECT_TIMEOUT_MS = 1_000.0
FIRST_BYTE_TIMEOUT_MS = 3_000.0
REQUEST_TIMEOUT_MS = 15_000
FAILED_CONNECT_SHARE = 0.02
"""Share of failed connection attempts to a target that is up."""

SLOW_CONNECT_SHARE = 0.1

MAX_WRITE_PAUSE_MS = 4_000.0
"""The longest pause between the last check and the write.

It is shorter than the grace period of claims.
"""


class Flow:
    """One call on one router; subclasses add what their kind needs.

    ``step`` increases whenever the call proceeds, so that a late timer or
    response of an earlier step can be ignored.
    """

    idempotent = True

    def __init__(self, router: SimulatedRouter, call: Call, respond: Respond) -> None:
        self.router = router
        self.call = call
        self.respond = respond
        self.record = VerdictRecord()
        self.verdict = CallVerdict()
        self.target: TargetId | None = None
        self.attempt = 0
        self.step = 0
        self.started = router.world.now

    def begin(self) -> None:
        """Start the next attempt."""
        self.start_attempt(self.choose_target())

    def choose_target(self) -> SimulatedTarget:
        """Return the target of the next attempt."""
        return self.router.rng.choice(self.router.targets(self.call.operation.kind))

    def start_attempt(self, target: SimulatedTarget) -> None:
        """Connect to ``target``, then write the request."""
        self.attempt += 1
        self.step += 1
        step = self.step
        self.record = VerdictRecord()
        world = self.router.world
        silent = world.rng.random() < world.conditions.silence / 4
        refused = world.rng.random() < FAILED_CONNECT_SHARE
        if silent:
            self.router.run_after(CONNECT_TIMEOUT_MS, lambda: self.on_failure(step))
        elif refused or not target.is_up:
            self.router.run_after(CONNECT_MS, lambda: self.on_failure(step))
        else:
            self.router.run_after(self.connect_ms(), lambda: self.write(step, target))

    def connect_ms(self) -> float:
        """Return how long the connection takes to open; some are slow."""
        rng = self.router.world.rng
        slow = rng.random() < SLOW_CONNECT_SHARE
        return rng.uniform(CONNECT_MS, CONNECT_TIMEOUT_MS) if slow else CONNECT_MS

    def may_write(self) -> bool:
        """Return whether to write the request now; if not, end or restart the call."""
        return True

    def write(self, step: int, target: SimulatedTarget) -> None:
        """Write the request and wait for the answer."""
        if step != self.step or not self.may_write():
            return
        self.record.advance(Verdict.MAY_HAVE_RUN)
        self.target = target.name
        world = self.router.world
        world.record(f"{self.router.vm} sends {self.call.id} to {target.name}")
        reply = self.router.handler_unless_restarted(
            lambda response: self.on_response(step, response)
        )
        operation = self.call.operation

        def send() -> None:
            stream = operation.kind is OperationKind.CHAT
            target.send(self.call.id, operation.body, stream, reply)

        if world.rng.random() < world.conditions.write_pauses:
            pause = world.rng.uniform(0, MAX_WRITE_PAUSE_MS)
            world.after(pause, self.router.unless_restarted(send))
        else:
            send()
        self.router.run_after(FIRST_BYTE_TIMEOUT_MS, lambda: self.on_failure(step))

    def on_response(self, step: int, response: Response) -> None:
        """Handle a target's response."""
        if step != self.step:
            return
        if response.kind is ResponseKind.ANSWERED:
            self.on_answer(response)
        elif response.kind is ResponseKind.REFUSED_NOT_RUN:
            self.on_target_refusal()
            self.on_failure(step)
        else:
            self.on_failure(step)

    def on_answer(self, response: Response) -> None:
        """End the call with a complete answer."""
        self.record.advance(Verdict.COMPLETE)
        self.end(Outcome(Verdict.COMPLETE, "answer", response.body))

    def on_target_refusal(self) -> None:
        """Reset the verdict; the target's report that it did not run is trusted."""
        self.record = VerdictRecord()

    def on_failure(self, step: int) -> None:
        """Schedule a retry or end the call, as the retry policy decides."""
        if step != self.step:
            return
        self.step += 1
        self.target = None
        self.verdict.record(self.record.verdict)
        router = self.router
        decision = decide_retry(
            router.policy, self.attempt_end(), router.budget.has_token(), router.rng
        )
        if not isinstance(decision, RetryAfter):
            self.end(Outcome(self.verdict.verdict, decision.reason.value))
            return
        router.budget.spend()
        next_step = self.step
        router.run_after(decision.delay_ms, lambda: self.retry(next_step))

    def attempt_end(self) -> AttemptEnd:
        """Return the failed attempt as input for the retry policy."""
        elapsed = self.router.world.now - self.started
        return AttemptEnd(
            self.record.verdict,
            self.idempotent,
            self.attempt,
            REQUEST_TIMEOUT_MS - elapsed,
        )

    def retry(self, step: int) -> None:
        """Start the next attempt after its backoff."""
        if step == self.step:
            self.begin()

    def refuse(self, refusal: Refusal) -> None:
        """End the call with a refusal whose verdict covers all attempts."""
        self.end(Outcome.refused(self.verdict.applied_to(refusal)))

    def end(self, outcome: Outcome) -> None:
        """End the call and answer the caller."""
        self.step += 1
        self.target = None
        self.router.flows.pop(self.call.id, None)
        self.respond(outcome)

    def is_on_engine(self, target: TargetId) -> bool:
        """Return whether the call is in flight on the engine ``target``."""
        return False

    def await_strike_report(self) -> None:
        """Delay the retry or answer until the strikes are reported."""

    def on_strikes_reported(self) -> None:
        """Proceed after the strikes were reported."""

    def on_claim(self, outcome: ClaimOutcome) -> None:
        """Handle the outcome of a claim."""

    def on_trial(self, outcome: QuarantineOutcome) -> None:
        """Handle the outcome of a trial request."""
