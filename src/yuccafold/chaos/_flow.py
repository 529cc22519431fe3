"""How a router handles one call; the parts that all kinds share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold._verdict import VerdictRecord
from yuccafold.chaos._calls import Call
from yuccafold.chaos._calls import Kind
from yuccafold.chaos._calls import Outcome
from yuccafold.chaos._calls import Respond
from yuccafold.chaos._targets import Fate
from yuccafold.chaos._targets import Response
from yuccafold.chaos._targets import SimulatedTarget
from yuccafold.delivery import AttemptEnd
from yuccafold.delivery import CallVerdict
from yuccafold.delivery import ClaimOutcome
from yuccafold.delivery import QuarantineOutcome
from yuccafold.delivery import RetryAfter
from yuccafold.delivery import decide_retry

if TYPE_CHECKING:
    from yuccafold.chaos._router import Router

CONNECT_MS = 1.0
CONNECT_TIMEOUT_MS = 1_000.0
FIRST_BYTE_TIMEOUT_MS = 3_000.0
REQUEST_TIMEOUT_MS = 15_000
FAILED_CONNECT_SHARE = 0.02
"""Share of connects to a target that is up but fail all the same."""

SLOW_CONNECT_SHARE = 0.1

LONGEST_WRITE_PAUSE_MS = 4_000.0
"""A pause between the last check and the write; shorter than the grace."""


class Flow:
    """One call on one router; subclasses add what their kind needs.

    ``step`` changes whenever the call goes on, so that a late timer or
    response of an earlier step is told from one of the present step.
    """

    idempotent = True

    def __init__(self, router: Router, call: Call, respond: Respond) -> None:
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
        """Start the first attempt."""
        self.try_target(self.choose())

    def choose(self) -> SimulatedTarget:
        """Return the target of the next attempt."""
        return self.router.rng.choice(self.router.targets(self.call.operation.kind))

    def try_target(self, target: SimulatedTarget) -> None:
        """Connect, and write when connected."""
        self.attempt += 1
        self.step += 1
        step = self.step
        self.record = VerdictRecord()
        world = self.router.world
        silent = world.rng.random() < world.conditions.silence / 4
        refused = world.rng.random() < FAILED_CONNECT_SHARE
        if silent:
            self.router.later(CONNECT_TIMEOUT_MS, lambda: self.failed(step))
        elif refused or not target.is_up:
            self.router.later(CONNECT_MS, lambda: self.failed(step))
        else:
            self.router.later(self.connect_ms(), lambda: self.write(step, target))

    def connect_ms(self) -> float:
        """Return how long a connect takes; some are slow."""
        rng = self.router.world.rng
        slow = rng.random() < SLOW_CONNECT_SHARE
        return rng.uniform(CONNECT_MS, CONNECT_TIMEOUT_MS) if slow else CONNECT_MS

    def may_write(self) -> bool:
        """Return whether the first byte may go out now; ends the call if not."""
        return True

    def write(self, step: int, target: SimulatedTarget) -> None:
        """Write the request and wait for the answer."""
        if step != self.step or not self.may_write():
            return
        self.record.advance(Verdict.MAY_HAVE_RUN)
        self.target = target.name
        world = self.router.world
        world.note(f"{self.router.vm} sends {self.call.id} to {target.name}")
        reply = self.router.bound(lambda response: self.took(step, response))
        operation = self.call.operation

        def send() -> None:
            stream = operation.kind is Kind.CHAT
            target.send(self.call.id, operation.body, stream, reply)

        if world.rng.random() < world.conditions.write_pauses:
            pause = world.rng.uniform(0, LONGEST_WRITE_PAUSE_MS)
            world.after(pause, self.router.unless_restarted(send))
        else:
            send()
        self.router.later(FIRST_BYTE_TIMEOUT_MS, lambda: self.failed(step))

    def took(self, step: int, response: Response) -> None:
        """Take a target's response."""
        if step != self.step:
            return
        if response.fate is Fate.ANSWERED:
            self.answered(response)
        elif response.fate is Fate.REFUSED_NOT_RUN:
            self.refused_by_target()
            self.failed(step)
        else:
            self.failed(step)

    def answered(self, response: Response) -> None:
        """End with a whole answer."""
        self.record.advance(Verdict.COMPLETE)
        self.end(Outcome(Verdict.COMPLETE, "answer", response.body))

    def refused_by_target(self) -> None:
        """Note that the target said, trustworthily, that it did not run."""
        self.record = VerdictRecord()

    def failed(self, step: int) -> None:
        """Try again or give up, as the retry policy says."""
        if step != self.step:
            return
        self.step += 1
        self.target = None
        self.verdict.note(self.record.verdict)
        router = self.router
        decision = decide_retry(
            router.policy, self.attempt_end(), router.budget.has_token(), router.rng
        )
        if not isinstance(decision, RetryAfter):
            self.end(Outcome(self.verdict.verdict, decision.reason.value))
            return
        router.budget.spend()
        following = self.step
        router.later(decision.delay_ms, lambda: self.again(following))

    def attempt_end(self) -> AttemptEnd:
        """Return how the attempt failed, for the retry policy."""
        spent = self.router.world.now - self.started
        return AttemptEnd(
            self.record.verdict,
            self.idempotent,
            self.attempt,
            REQUEST_TIMEOUT_MS - spent,
        )

    def again(self, step: int) -> None:
        """Start the next attempt after its backoff."""
        if step == self.step:
            self.begin()

    def refuse(self, refusal: Refusal) -> None:
        """End with a refusal that is true of all attempts."""
        self.end(Outcome.refused(self.verdict.applied_to(refusal)))

    def end(self, outcome: Outcome) -> None:
        """Answer the caller."""
        self.step += 1
        self.target = None
        self.router.flows.pop(self.call.id, None)
        self.respond(outcome)

    def is_on_engine(self, target: TargetId) -> bool:
        """Return whether the call is in flight on an engine that died."""
        return False

    def await_spread(self) -> None:
        """Hold retry and answer back until the strikes are known."""

    def on_spread(self) -> None:
        """Go on: the strikes are known."""

    def on_claim(self, outcome: ClaimOutcome) -> None:
        """Take the outcome of a claim."""

    def on_trial(self, outcome: QuarantineOutcome) -> None:
        """Take the outcome of a trial."""
