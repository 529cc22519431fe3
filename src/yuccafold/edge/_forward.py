"""Carries one call to its targets: placement, attempts, answer."""

from __future__ import annotations

import random
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge._attempts import CallProgress
from yuccafold.edge._attempts import Failure
from yuccafold.edge._attempts import may_try_again
from yuccafold.edge._attempts import no_target
from yuccafold.edge._attempts import out_of_time
from yuccafold.edge._attempts import patience_of
from yuccafold.edge._attempts import refusal_of
from yuccafold.edge._call import Call
from yuccafold.edge._call import RunRecord
from yuccafold.edge._exchange import AttemptFailedError
from yuccafold.edge._exchange import Exchange
from yuccafold.edge._health import Outcome
from yuccafold.edge._idle_trust import IdleTrust
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import Forwarding
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._placement import Placement
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._relay import FIRST_SERVER_ERROR
from yuccafold.edge._relay import AnswerRelay
from yuccafold.edge._responder import EdgeResponder
from yuccafold.edge._retries import Retries
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._targets import Targets
from yuccafold.http import ConnectionPool

MAX_CONNECTS = 4
"""Targets that a call may fail to reach before it is refused."""


@final
class EdgeForwarder:
    """Carries calls to targets; decisions are made by this VM alone."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: EdgeSettings,
        targets: Targets,
        pool: ConnectionPool,
        translator: CallTranslator,
        metrics: EdgeMetrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._targets = targets
        self._pool = pool
        self._translator = translator
        self._metrics = metrics
        self._idle_trust = IdleTrust()
        self._retries = Retries(settings, targets.evidence.loads)

    async def forward(self, call: Call, responder: EdgeResponder) -> Refusal | None:
        """Answer ``call``; return why it was refused or broken off, if it was."""
        relay = AnswerRelay(call, responder)
        record = RunRecord()
        self._retries.note_call(call.service)
        refusal: Refusal | None = None
        time_left = (call.deadline - self._clock.now()) / MS_PER_SECOND
        with trio.move_on_after(max(0.0, time_left)) as scope:
            refusal = await self._attempts(call, relay, record)
        if scope.cancelled_caught:
            refusal = out_of_time(record.verdict, self._rng)
        if refusal is not None and not responder.started:
            await responder.refuse(refusal)
        return refusal

    async def _attempts(
        self, call: Call, relay: AnswerRelay, record: RunRecord
    ) -> Refusal | None:
        """Try targets until one answered whole or no other may be tried."""
        tried: set[TargetId] = set()
        connects = 0
        while True:
            placement = self._targets.place(call, tried, self._clock.now())
            if placement is None:
                return await self._without_target(relay, record)
            try:
                await self._attempt(call, placement, relay, record)
                return None
            except AttemptFailedError as error:
                failure = error.failure
                record.settle()
                self._log_failure(call, placement, failure, str(error), record)
            tried.add(placement.target.record.id)
            connects += not failure.sent
            if connects > MAX_CONNECTS or not self._may_try_again(call, relay, record):
                break
            if record.arrivals:
                self._retries.spend(call.service)
                self._metrics.count("retries", service=call.service)
        if await relay.pass_kept():
            return None
        return refusal_of(failure, record.verdict, self._rng)

    async def _without_target(
        self, relay: AnswerRelay, record: RunRecord
    ) -> Refusal | None:
        if await relay.pass_kept():
            return None
        if record.verdict is Verdict.NOT_RUN:
            return no_target(self._rng)
        return refusal_of(Failure.UNREACHABLE, record.verdict, self._rng)

    def _may_try_again(self, call: Call, relay: AnswerRelay, record: RunRecord) -> bool:
        progress = CallProgress(
            repeatability=call.repeatability,
            max_attempts=call.admitted.route.max_attempts,
            sent=record.sent,
            arrivals=record.arrivals,
            verdict=record.verdict,
            answer_begun=relay.started,
            time_left=Milliseconds(call.deadline - self._clock.now()),
        )
        if relay.started and relay.resume_after is None:
            return False
        return may_try_again(progress, self._retries.has_token(call.service))

    async def _attempt(
        self,
        call: Call,
        placement: Placement,
        relay: AnswerRelay,
        record: RunRecord,
    ) -> None:
        """Run one attempt and learn from how it ends."""
        target = placement.target.record
        outcome = Outcome.UNKNOWN
        exchange = Exchange(call, target, self._pool, self._translator, record)
        self._targets.start(target.id)
        try:
            await exchange.open(self._longest_rest(call))
            self._check_target(call, placement)
            self._log_placed(call, placement, exchange.rested)
            await self._run(call, placement, exchange, relay, record)
            outcome = Outcome.GOOD
        except AttemptFailedError as error:
            outcome = _blame(error.failure)
            if error.failure is Failure.BROKEN and not exchange.answered:
                self._note_reset(call, exchange.rested)
            raise
        except trio.Cancelled:
            if self._clock.now() >= call.deadline and not relay.started:
                outcome = Outcome.FAILED
            raise
        finally:
            self._targets.finish(call, target, outcome, self._clock.now())
            with trio.CancelScope(shield=True):
                await exchange.close()

    def _longest_rest(self, call: Call) -> Milliseconds | None:
        """Return how long a connection may have rested that carries ``call``."""
        if call.repeatability is Repeatability.IDEMPOTENT:
            return None
        return self._idle_trust.longest_rest(call.service, self._clock.now())

    def _note_reset(self, call: Call, rested: Milliseconds | None) -> None:
        if rested is not None:
            self._idle_trust.note_reset(call.service, rested, self._clock.now())

    def _check_target(self, call: Call, placement: Placement) -> None:
        """Look once more right before the first byte: connecting took time."""
        now = self._clock.now()
        if not self._targets.may_send(placement.target.record, now):
            raise AttemptFailedError(Failure.LEFT, "left while connecting")
        if now >= call.deadline:
            raise AttemptFailedError(Failure.LEFT, "no time left")

    async def _run(
        self,
        call: Call,
        placement: Placement,
        exchange: Exchange,
        relay: AnswerRelay,
        record: RunRecord,
    ) -> None:
        now = self._clock.now()
        target = placement.target.record
        source = placement.fetch_from
        forwarding = Forwarding(
            target=target,
            account=call.admitted.account,
            deadline=Milliseconds(call.deadline - now),
            urgency=call.urgency if call.head.prompt else None,
            fetch_from=None if source is None else source.record.address,
            resume_after=relay.resume_after,
        )
        headers = self._translator.target_headers(call.headers, forwarding)
        await exchange.send(headers)
        head, facts = await self._receive_head(call, target, exchange, relay, record)
        self._targets.note_prompt(call, target.id, self._clock.now())
        self._metrics.time("first_byte_ms", self._clock.now() - now, call.service)
        if facts.load is not None:
            self._targets.note_load(target.id, facts.load, self._clock.now())
        if head.status_code >= FIRST_SERVER_ERROR:
            self._metrics.count("target_errors", service=call.service)
        await relay.pass_on(exchange, head)

    async def _receive_head(
        self,
        call: Call,
        target: TargetRecord,
        exchange: Exchange,
        relay: AnswerRelay,
        record: RunRecord,
    ) -> tuple[h11.Response, AnswerFacts]:
        """Return the head of the answer; give a silent target up if another may do.

        Where no other may, a late answer is better than none.
        """
        patience = patience_of(call.admitted.route)
        with trio.move_on_after(patience / MS_PER_SECOND):
            return await exchange.receive_head()
        has_other = self._targets.has_other(call, target, self._clock.now())
        if has_other and self._may_try_again(call, relay, record):
            raise AttemptFailedError(Failure.SILENT, f"no answer for {patience} ms")
        self._targets.note_silence(call, target, self._clock.now())
        log_event("target_silent", call=call.head.id, target=target.id)
        return await exchange.receive_head()

    def _log_placed(
        self, call: Call, placement: Placement, rested: Milliseconds | None
    ) -> None:
        source = placement.fetch_from
        log_event(
            "call_placed",
            call=call.head.id,
            service=call.service,
            target=placement.target.record.id,
            reason=placement.reason,
            prompt=call.head.shared_parts[-1].id if call.head.shared_parts else None,
            fetch=None if source is None else source.record.id,
            rested_ms=rested,
            version=call.admitted.catalogue.version,
            view_age_ms=self._targets.view_age(self._clock.now()),
            left_ms=call.deadline - self._clock.now(),
        )

    def _log_failure(
        self,
        call: Call,
        placement: Placement,
        failure: Failure,
        detail: str,
        record: RunRecord,
    ) -> None:
        self._metrics.count("attempt_failures", kind=failure.value)
        log_event(
            "attempt_failed",
            call=call.head.id,
            target=placement.target.record.id,
            failure=failure.value,
            detail=detail,
            verdict=record.verdict.value,
            sent=record.sent,
        )


def _blame(failure: Failure) -> Outcome:
    """Return what a failure says of the target's health."""
    if failure in (Failure.UNREACHABLE, Failure.REPLACED):
        return Outcome.UNREACHABLE
    if failure is Failure.LEFT:
        return Outcome.UNKNOWN
    return Outcome.FAILED
