"""What bookings, lookups and chats each need besides the common flow."""

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
from yuccafold.delivery import InFlight
from yuccafold.delivery import QuarantineOutcome
from yuccafold.delivery import Replay
from yuccafold.delivery import Standing
from yuccafold.delivery import StoredAnswer
from yuccafold.delivery import StreamEnd
from yuccafold.delivery import StreamProgress
from yuccafold.delivery import TargetDeath
from yuccafold.delivery import TrialGranted
from yuccafold.delivery import body_digest
from yuccafold.delivery import fingerprint

if TYPE_CHECKING:
    from yuccafold.chaos._router import Router

TRIAL_WAIT_MS = 2_000
OK_STATUS = 200


@final
class LookupFlow(Flow):
    """An idempotent call of a plain service."""


@final
class UnkeyedFlow(Flow):
    """A non-idempotent call without a key: sent once per call received."""

    idempotent = False


@final
class BookingFlow(Flow):
    """A non-idempotent call, which needs a claim on its key."""

    idempotent = False

    def __init__(self, router: Router, call: Call, respond: Respond) -> None:
        super().__init__(router, call, respond)
        self.is_claimed = False

    def begin(self) -> None:
        """Claim the key first; a retry goes on under the claim."""
        if self.is_claimed:
            super().begin()
            return
        operation = self.call.operation
        digest = body_digest("POST", "/bookings", operation.body)
        ledger = self.router.ledger
        now = self.router.world.now
        self.router.post(ledger.start(self.call.id, operation.key, digest, now))

    def on_claim(self, outcome: ClaimOutcome) -> None:
        """Send once granted; otherwise answer with the refusal or the replay."""
        if isinstance(outcome, Granted):
            self.is_claimed = True
            super().begin()
        elif isinstance(outcome, Replay):
            self.end(Outcome(Verdict.COMPLETE, "replay", outcome.answer.body))
        else:
            self.refuse(outcome.refusal)

    def may_write(self) -> bool:
        """Return whether the claim still holds; ends the call if it does not."""
        now = self.router.world.now
        refusal = self.router.ledger.authorize_send(self.call.id, now)
        if refusal is not None:
            self.refuse(refusal)
        return refusal is None

    def refused_by_target(self) -> None:
        """Allow another send under the same claim."""
        super().refused_by_target()
        self.router.ledger.rearm(self.call.id)

    def end(self, outcome: Outcome) -> None:
        """End the claim with the verdict, and answer the caller."""
        if self.is_claimed:
            self.verdict.note(self.record.verdict)
            verdict = self.verdict.verdict
            answer = None
            if verdict is Verdict.COMPLETE:
                answer = StoredAnswer(OK_STATUS, (), outcome.body or b"")
            now = self.router.world.now
            finish = self.router.ledger.finish(self.call.id, verdict, answer, now)
            self.router.post(finish)
        super().end(outcome)


@final
class ChatFlow(Flow):
    """A chat turn on an engine, which it may kill."""

    def __init__(self, router: Router, call: Call, respond: Respond) -> None:
        super().__init__(router, call, respond)
        self.print = fingerprint("/chat", call.operation.body)
        self.is_in_trial = False
        self.chosen: SimulatedTarget | None = None

    def choose(self) -> SimulatedTarget:
        """Return the chat's own engine at first, as placement does, then others."""
        engines = self.router.targets(self.call.operation.kind)
        home = min(engines, key=lambda each: xxhash.xxh64_digest(self.key_at(each)))
        if self.attempt == 0:
            return home
        return self.router.rng.choice([each for each in engines if each is not home])

    def key_at(self, engine: SimulatedTarget) -> bytes:
        """Return what ranks ``engine`` for this chat."""
        return self.print + engine.name.encode()

    @staticmethod
    def death_of(target: TargetId, flows: Iterable[Flow]) -> TargetDeath:
        """Return the report of an engine's death with ``flows`` on it."""
        struck = tuple(
            InFlight(flow.call.id, flow.print)
            for flow in flows
            if isinstance(flow, ChatFlow)
        )
        return TargetDeath(ENGINES, target, struck)

    def begin(self) -> None:
        """Send a clear request, try a suspect one and refuse a quarantined one."""
        now = self.router.world.now
        quarantine = self.router.quarantine
        standing = quarantine.standing(self.print, now)
        self.chosen = self.choose()
        if standing is Standing.CLEAR:
            self.try_target(self.chosen)
        elif standing is Standing.QUARANTINED:
            self.refuse(quarantine.refusal(self.print, now))
        else:
            self.router.post(
                quarantine.request_trial(
                    self.call.id,
                    ENGINES,
                    self.print,
                    self.chosen.name,
                    TRIAL_WAIT_MS,
                    now,
                )
            )

    def on_trial(self, outcome: QuarantineOutcome) -> None:
        """Send once the trial is granted."""
        if isinstance(outcome, TrialGranted):
            self.is_in_trial = True
            self.try_target(self.chosen)
        else:
            self.refuse(outcome.refusal)

    def may_write(self) -> bool:
        """Return whether the turn is as clear as it was before the connect."""
        now = self.router.world.now
        standing = self.router.quarantine.standing(self.print, now)
        is_allowed = self.is_in_trial or standing is Standing.CLEAR
        if not is_allowed:
            self.attempt -= 1
            self.begin()
        return is_allowed

    def is_on_engine(self, target: TargetId) -> bool:
        """Return whether the turn is in flight on ``target``."""
        return self.target == target

    def await_spread(self) -> None:
        """Void the timers and the reset of the engine that died."""
        self.step += 1
        self.target = None

    def on_spread(self) -> None:
        """Retry or give up, now that every router can know the strikes."""
        self.end_trial(survived=False)
        self.failed(self.step)

    def answered(self, response: Response) -> None:
        """End cleanly only when the stream came whole."""
        progress = StreamProgress()
        for event in response.events:
            progress.note_event(event)
        if progress.end(response.framing_complete) is not StreamEnd.WHOLE:
            self.end_trial(survived=True)
            self.end(Outcome(self.record.verdict, "stream-cut"))
            return
        self.end_trial(survived=True)
        now = self.router.world.now
        self.router.post(self.router.quarantine.succeeded(self.print, now))
        super().answered(response)

    def failed(self, step: int) -> None:
        """End the trial of a turn that failed without killing its engine."""
        if step == self.step:
            self.end_trial(survived=False)
        super().failed(step)

    def end_trial(self, survived: bool) -> None:
        """Free the trial's engine."""
        if self.is_in_trial:
            self.is_in_trial = False
            now = self.router.world.now
            quarantine = self.router.quarantine
            self.router.post(quarantine.trial_ended(self.call.id, survived, now))
