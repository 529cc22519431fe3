"""How bookings, unkeyed calls, lookups and chats extend the common flow."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import final

import xxhash

from yuccafold._ids import TargetId
from yuccafold._verdict import Verdict
from yuccafold.chaos._calls import ENGINES
from yuccafold.chaos._calls import Call
from yuccafold.chaos._calls import Outcome
from yuccafold.chaos._calls import Respond
from yuccafold.chaos._flow import Flow
from yuccafold.chaos._targets import Response
from yuccafold.chaos._targets import SimulatedTarget
from yuccafold.delivery import ClaimOutcome
from yuccafold.delivery import Granted
from yuccafold.delivery import InFlightCall
from yuccafold.delivery import QuarantineOutcome
from yuccafold.delivery import Replay
from yuccafold.delivery import Standing
from yuccafold.delivery import StoredAnswer
from yuccafold.delivery import StreamEnd
from yuccafold.delivery import StreamProgress
from yuccafold.delivery import TargetCrash
from yuccafold.delivery import TrialGranted
from yuccafold.delivery import body_digest
from yuccafold.delivery import fingerprint

if TYPE_CHECKING:
    from yuccafold.chaos._router import SimulatedRouter

TRIAL_WAIT_MS = 2_000
OK_STATUS = 200


@final
class LookupFlow(Flow):
    """An idempotent call to a plain service."""


@final
class UnkeyedFlow(Flow):
    """A non-idempotent call without a key, sent once for each call received."""

    idempotent = False


@final
class BookingFlow(Flow):
    """A non-idempotent call with a key, which must be claimed."""

    idempotent = False

    def __init__(self, router: SimulatedRouter, call: Call, respond: Respond) -> None:
        super().__init__(router, call, respond)
        self.is_claimed = False

    def begin(self) -> None:
        """Claim the key before the first attempt; a retry uses the same claim."""
        if self.is_claimed:
            super().begin()
            return
        operation = self.call.operation
        digest = body_digest("POST", "/bookings", operation.body)
        ledger = self.router.ledger
        now = self.router.world.now
        self.router.send(ledger.start(self.call.id, operation.key, digest, now))

    def on_claim(self, outcome: ClaimOutcome) -> None:
        """Start the attempt if granted, else answer with the replay or the refusal."""
        if isinstance(outcome, Granted):
            self.is_claimed = True
            super().begin()
        elif isinstance(outcome, Replay):
            self.end(Outcome(Verdict.COMPLETE, "replay", outcome.answer.body))
        else:
            self.refuse(outcome.refusal)

    def may_write(self) -> bool:
        """Return whether the claim is still valid; ends the call if it is not."""
        now = self.router.world.now
        refusal = self.router.ledger.authorize_send(self.call.id, now)
        if refusal is not None:
            self.refuse(refusal)
        return refusal is None

    def on_target_refusal(self) -> None:
        """Reset the verdict, and allow another send under the same claim."""
        super().on_target_refusal()
        self.router.ledger.rearm(self.call.id)

    def end(self, outcome: Outcome) -> None:
        """Finish the claim with the call's verdict, and answer the caller."""
        if self.is_claimed:
            self.verdict.record(self.record.verdict)
            verdict = self.verdict.verdict
            answer = None
            if verdict is Verdict.COMPLETE:
                answer = StoredAnswer(OK_STATUS, (), outcome.body or b"")
            now = self.router.world.now
            finish = self.router.ledger.finish(self.call.id, verdict, answer, now)
            self.router.send(finish)
        super().end(outcome)


@final
class ChatFlow(Flow):
    """A chat turn on an engine, which the request may crash."""

    def __init__(self, router: SimulatedRouter, call: Call, respond: Respond) -> None:
        super().__init__(router, call, respond)
        self.fingerprint = fingerprint("/chat", call.operation.body)
        self.is_in_trial = False
        self.chosen_engine: SimulatedTarget | None = None

    def choose_target(self) -> SimulatedTarget:
        """Return the chat's engine by rank, as placement does; a retry uses another."""
        engines = self.router.targets(self.call.operation.kind)
        preferred = min(
            engines, key=lambda engine: xxhash.xxh64_digest(self.ranking_key(engine))
        )
        if self.attempt == 0:
            return preferred
        return self.router.rng.choice(
            [engine for engine in engines if engine is not preferred]
        )

    def ranking_key(self, engine: SimulatedTarget) -> bytes:
        """Return the bytes whose hash ranks ``engine`` for this chat."""
        return self.fingerprint + engine.name.encode()

    @staticmethod
    def crash_of(target: TargetId, flows: Iterable[Flow]) -> TargetCrash:
        """Return the crash of ``target`` while ``flows`` were in flight on it."""
        in_flight = tuple(
            InFlightCall(flow.call.id, flow.fingerprint)
            for flow in flows
            if isinstance(flow, ChatFlow)
        )
        return TargetCrash(ENGINES, target, in_flight)

    def begin(self) -> None:
        """Start the attempt, request a trial or refuse, by the request's standing.

        A clear request is sent, a suspect one needs a trial and a quarantined
        one is refused.
        """
        now = self.router.world.now
        quarantine = self.router.quarantine
        standing = quarantine.standing(self.fingerprint, now)
        self.chosen_engine = self.choose_target()
        if standing is Standing.CLEAR:
            self.start_attempt(self.chosen_engine)
        elif standing is Standing.QUARANTINED:
            self.refuse(quarantine.refusal(self.fingerprint, now))
        else:
            self.router.send(
                quarantine.request_trial(
                    self.call.id,
                    ENGINES,
                    self.fingerprint,
                    self.chosen_engine.name,
                    TRIAL_WAIT_MS,
                    now,
                )
            )

    def on_trial(self, outcome: QuarantineOutcome) -> None:
        """Start the attempt if the trial is granted, else refuse the call."""
        if isinstance(outcome, TrialGranted):
            self.is_in_trial = True
            self.start_attempt(self.chosen_engine)
        else:
            self.refuse(outcome.refusal)

    def may_write(self) -> bool:
        """Return whether the turn may be sent; if not, begin it again.

        It may be sent during its trial, or while its request has no strikes.
        """
        now = self.router.world.now
        standing = self.router.quarantine.standing(self.fingerprint, now)
        is_allowed = self.is_in_trial or standing is Standing.CLEAR
        if not is_allowed:
            self.attempt -= 1
            self.begin()
        return is_allowed

    def is_on_engine(self, target: TargetId) -> bool:
        """Return whether the turn is in flight on the engine ``target``."""
        return self.target == target

    def await_strike_report(self) -> None:
        """Ignore later timers and the reset of the crashed engine."""
        self.step += 1
        self.target = None

    def on_strikes_reported(self) -> None:
        """Retry or end the call; the wait for acknowledgements has ended."""
        self.end_trial(survived=False)
        self.on_failure(self.step)

    def on_answer(self, response: Response) -> None:
        """End the call as complete only if the stream is complete."""
        progress = StreamProgress()
        for event in response.events:
            progress.record_event(event)
        if progress.end(response.framing_complete) is not StreamEnd.WHOLE:
            self.end_trial(survived=True)
            self.end(Outcome(self.record.verdict, "stream-cut"))
            return
        self.end_trial(survived=True)
        now = self.router.world.now
        self.router.send(self.router.quarantine.record_success(self.fingerprint, now))
        super().on_answer(response)

    def on_failure(self, step: int) -> None:
        """End the trial of a turn that failed without crashing its engine."""
        if step == self.step:
            self.end_trial(survived=False)
        super().on_failure(step)

    def end_trial(self, survived: bool) -> None:
        """End the trial, if there is one, which frees its engine."""
        if self.is_in_trial:
            self.is_in_trial = False
            now = self.router.world.now
            quarantine = self.router.quarantine
            self.router.send(quarantine.end_trial(self.call.id, survived, now))
