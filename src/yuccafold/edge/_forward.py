"""Forwards a call: places it on a target, retries it at others, relays the answer."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge._attempts import CallProgress
from yuccafold.edge._attempts import Failure
from yuccafold.edge._attempts import answer_timeout
from yuccafold.edge._attempts import cut_off
from yuccafold.edge._attempts import may_try_again
from yuccafold.edge._attempts import not_admitted
from yuccafold.edge._attempts import origin_unknown
from yuccafold.edge._attempts import out_of_time
from yuccafold.edge._attempts import quarantined
from yuccafold.edge._attempts import refusal_of
from yuccafold.edge._call import Call
from yuccafold.edge._call import RunRecord
from yuccafold.edge._crash_probe import CrashProbe
from yuccafold.edge._crash_probe import ProbeResult
from yuccafold.edge._detour import Detour
from yuccafold.edge._exchange import MISDIRECTED_REQUEST_STATUS
from yuccafold.edge._exchange import AttemptFailedError
from yuccafold.edge._exchange import Exchange
from yuccafold.edge._health import Outcome
from yuccafold.edge._idle_trust import IdleLimits
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import Forwarding
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import Route
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._placement import Placement
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._quarantine import Standing
from yuccafold.edge._race import Race
from yuccafold.edge._relay import FIRST_REDIRECT
from yuccafold.edge._relay import FIRST_SERVER_ERROR
from yuccafold.edge._relay import AnswerRelay
from yuccafold.edge._responder import EdgeResponder
from yuccafold.edge._retries import Retries
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._streams import OriginSource
from yuccafold.edge._suspects import crash_id
from yuccafold.edge._targets import Targets
from yuccafold.edge.plain import NoRoom
from yuccafold.http import ConnectionPool

MAX_UNREACHED_TARGETS = 4
"""A call is refused once it failed to reach more targets than this."""

MAX_LOGGED_PARTS = 8
"""Parts of a prompt in a log line."""


@final
class EdgeForwarder:
    """Forwards calls to targets without asking other VMs."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: EdgeSettings,
        targets: Targets,
        pool: ConnectionPool,
        translator: CallTranslator,
        metrics: EdgeMetrics,
        report_soon: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._targets = targets
        self._pool = pool
        self._translator = translator
        self._metrics = metrics
        self._idle_limits = IdleLimits()
        self._crash_probe = CrashProbe(clock, pool)
        self._quarantine = targets.evidence.quarantine
        self._report_soon = report_soon
        self._reach = targets.evidence.reach
        self._work = targets.evidence.work
        self._detour = Detour(
            clock, targets.evidence.helpers, pool, translator, metrics
        )
        self._retries = Retries(settings, targets.evidence.loads)
        self._running: dict[trio.CancelScope, EdgeResponder] = {}

    def end_unanswered(self) -> None:
        """End the calls whose callers have received nothing; they get an answer."""
        for scope, responder in self._running.items():
            if not responder.started:
                scope.cancel()

    def choose_service(self, head: CallHead, route: Route) -> ServiceId:
        """Return the service that a call of ``route`` goes to."""
        return self._targets.streams.choose_service(head, route)

    async def forward(self, call: Call, responder: EdgeResponder) -> Refusal | None:
        """Answer ``call``; return why it was refused or its answer broke off, if so."""
        relay = AnswerRelay(call, responder)
        record = RunRecord()
        if not call.head.detoured:
            self._retries.record_call(call.service)
        refusal: Refusal | None = None
        time_left = (call.deadline - self._clock.now()) / MS_PER_SECOND
        self._quarantine.begin_trial(call, self._clock.now())
        origin = self._targets.streams.origin(call, self._clock.now())
        if origin.source is not OriginSource.NEW:
            self._metrics.count("streams_taken_up", known_by=origin.source.value)
        if origin.version is not None:
            relay.require_version(origin.version)
        scope = trio.CancelScope(relative_deadline=max(0.0, time_left))
        self._running[scope] = responder
        try:
            with scope:
                if origin.source is OriginSource.UNKNOWN:
                    known_in = self._targets.streams.origin_known_in(
                        call, self._clock.now()
                    )
                    refusal = origin_unknown(known_in, self._rng)
                else:
                    refusal = await self._try_targets(call, relay, record)
        finally:
            del self._running[scope]
            self._quarantine.end_trial(call, record.sends > 0)
            self._targets.end_admission(call, self._clock.now())
            self._targets.streams.end(call, relay.is_stream_whole, self._clock.now())
        if scope.cancelled_caught and not responder.whole:
            refusal = out_of_time(record.verdict, self._rng)
        if refusal is not None and not responder.started:
            await responder.refuse(
                refusal, self._translator.refusal_headers(call.head, refusal.verdict)
            )
        return refusal

    async def _try_targets(
        self, call: Call, relay: AnswerRelay, record: RunRecord
    ) -> Refusal | None:
        """Try targets until one gives a whole answer or no other may be tried."""
        admission = self._targets.admit(call, self._clock.now())
        if admission.reason is not None:
            self._metrics.count("refusals", code=admission.reason.value)
            log_event(
                "call_not_admitted",
                call=call.head.id,
                service=call.service,
                route=call.admitted.route.name,
                reason=admission.reason.value,
                retry_after_ms=admission.retry_after,
                left_ms=call.deadline - self._clock.now(),
                **admission.inputs,
            )
            return not_admitted(admission)
        tried: set[TargetId] = set()
        unreached = 0
        while True:
            if self._standing(call) is Standing.QUARANTINED:
                return await self._refuse_quarantined(call, relay, record)
            if self._reach.is_cut_off(call.service):
                return await self._serve_by_detour(call, relay, record)
            placement = self._targets.place(
                call, tried, self._clock.now(), relay.version
            )
            if placement is None or isinstance(placement, NoRoom):
                return await self._end_without_target(call, placement, relay, record)
            try:
                await self._run_race(call, placement, tried, relay, record)
                return None
            except AttemptFailedError as error:
                failure = error.failure
            unreached += not failure.sent
            if unreached > MAX_UNREACHED_TARGETS or not self._may_try_again(
                call, relay, record
            ):
                break
            self._pay_retry(call, record)
        if await relay.send_held_error():
            return None
        return refusal_of(failure, record.verdict, self._rng)

    async def _end_without_target(
        self, call: Call, room: NoRoom | None, relay: AnswerRelay, record: RunRecord
    ) -> Refusal | None:
        """End a call for which there is no target left to try."""
        if await relay.send_held_error():
            return None
        if record.verdict is Verdict.NOT_RUN:
            return self._targets.refuse_without_target(
                call, room, relay.version, self._clock.now(), self._rng
            )
        return refusal_of(Failure.UNREACHABLE, record.verdict, self._rng)

    async def _serve_by_detour(
        self, call: Call, relay: AnswerRelay, record: RunRecord
    ) -> Refusal | None:
        """Serve a call through another VM, as this one reaches no target.

        A call that came through another VM is refused, so that it makes no circles.
        """
        failure: Failure | None = Failure.UNREACHABLE
        if not call.head.detoured:
            failure = await self._detour.serve(call, relay, record)
        if failure is None or await relay.send_held_error():
            return None
        if record.verdict is Verdict.NOT_RUN:
            return cut_off(self._rng)
        return refusal_of(failure, record.verdict, self._rng)

    async def _refuse_quarantined(
        self, call: Call, relay: AnswerRelay, record: RunRecord
    ) -> Refusal | None:
        if await relay.send_held_error():
            return None
        reason = self._quarantine.record_refusal(call, self._clock.now())
        self._metrics.count("refusals", code="quarantined")
        return quarantined(reason, record.verdict)

    def _standing(self, call: Call) -> Standing:
        return self._quarantine.standing(call, self._clock.now())

    def _may_try_again(self, call: Call, relay: AnswerRelay, record: RunRecord) -> bool:
        progress = CallProgress(
            repeatability=call.repeatability,
            max_attempts=call.admitted.route.max_attempts,
            sent=record.sent,
            sends=record.sends,
            verdict=record.verdict,
            answer_begun=relay.started,
            time_left=Milliseconds(call.deadline - self._clock.now()),
        )
        if relay.started and relay.resume_after is None:
            return False
        if record.sends and self._standing(call) is not Standing.CLEAR:
            return False
        budget_allows = self._retries.may_retry(call.service, record)
        return may_try_again(progress, budget_allows)

    def _pay_retry(self, call: Call, record: RunRecord) -> None:
        if self._retries.pay(call.service, record):
            self._metrics.count("retries", service=call.service)

    async def _run_race(
        self,
        call: Call,
        placement: Placement,
        tried: set[TargetId],
        relay: AnswerRelay,
        record: RunRecord,
    ) -> None:
        """Run an attempt, and a hedge beside it if its target is silent for too long.

        The targets are added to ``tried``.
        """
        race = Race()
        target = placement.target.record
        tried.add(target.id)
        attempt = partial(self._run_attempt, call, placement, relay, record, race)
        delay = self._hedge_delay(call)
        if delay is None:
            await attempt()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(race.run, target.id, attempt)
            if await race.outlasts(delay):
                hedge = self._place_hedge(call, target, tried, relay, record)
                if hedge is not None:
                    second = partial(
                        self._run_attempt, call, hedge, relay, record, race
                    )
                    await race.run(hedge.target.record.id, second)
        race.raise_error()

    def _hedge_delay(self, call: Call) -> Milliseconds | None:
        """Return after which silence a hedge is sent, ``None`` if never."""
        if call.repeatability is not Repeatability.IDEMPOTENT:
            return None
        if call.admitted.route.streams:
            return None
        return self._targets.hedge_delay(call, self._clock.now())

    def _place_hedge(
        self,
        call: Call,
        first: TargetRecord,
        tried: set[TargetId],
        relay: AnswerRelay,
        record: RunRecord,
    ) -> Placement | None:
        """Place a hedge and charge the retry budget for it, if it may be sent."""
        now = self._clock.now()
        if not self._retries.may_hedge(call.service):
            return None
        if not self._may_try_other(call, first, relay, record):
            return None
        placement = self._targets.place(call, tried, now, relay.version)
        if placement is None or isinstance(placement, NoRoom):
            return None
        # The first attempt may still run, whatever the second target says of its own.
        record.end_attempt()
        self._pay_retry(call, record)
        tried.add(placement.target.record.id)
        self._metrics.count("hedges", service=call.service)
        log_event(
            "call_hedged",
            call=call.head.id,
            service=call.service,
            silent=first.id,
            target=placement.target.record.id,
        )
        return placement

    async def _run_attempt(
        self,
        call: Call,
        placement: Placement,
        relay: AnswerRelay,
        record: RunRecord,
        race: Race,
    ) -> None:
        """Run one attempt and record its outcome for the target's health."""
        target = placement.target.record
        outcome = Outcome.UNKNOWN
        sent_at: Milliseconds | None = None
        exchange = Exchange(
            call, target, self._pool, self._translator, record, self._clock
        )
        self._pool.keep_at_most(target.address, self._targets.kept_connections(call))
        self._targets.start(target.id)
        try:
            self._work.start(call, placement, self._clock.now())
            await exchange.open(self._max_idle_time(call))
            self._check_target(call, placement)
            self._reach.record_sent(target.service, self._clock.now())
            self._log_placement(call, placement, exchange, relay.resume_after)
            sent_at = self._clock.now()
            await self._send_and_relay(call, placement, exchange, relay, record, race)
            outcome = Outcome.GOOD
            now = self._clock.now()
            duration = Milliseconds(now - sent_at)
            self._targets.record_duration(call, target, duration, now)
        except AttemptFailedError as error:
            race.record_failed()
            record.end_attempt()
            crashed = await self._check_crash(call, exchange, target, error.failure)
            self._log_failure(call, exchange, error, record, crashed)
            outcome = _outcome_of(error.failure)
            if error.failure is Failure.UNREACHABLE:
                self._record_unreached(target)
            if self._reach.is_cut_off(call.service) or exchange.asked_for_pause:
                outcome = Outcome.UNKNOWN
            if error.failure is Failure.REFUSED and exchange.facts is not None:
                self._targets.record_contact(target.service, self._clock.now())
                self._targets.record_limits(
                    call, target, exchange.facts, True, self._clock.now()
                )
                self._targets.record_cold(target.id, exchange.facts, self._clock.now())
            if error.failure is Failure.BROKEN and not exchange.answered:
                self._record_reset(call, exchange.idle_time)
            raise
        except trio.Cancelled:
            if race.is_lost(target.id):
                outcome = self._record_overtaken(call, exchange, target, sent_at)
            # A target that is still sending at the deadline may never end its answer.
            elif self._clock.now() >= call.deadline and (
                not relay.started or exchange.is_receiving
            ):
                outcome = Outcome.FAILED
            raise
        finally:
            self._targets.finish(call, target, outcome, self._clock.now())
            size = exchange.body_bytes if outcome is Outcome.GOOD else None
            self._work.finish(call, target.id, size, self._clock.now())
            with trio.CancelScope(shield=True):
                await exchange.close()

    def _record_overtaken(
        self,
        call: Call,
        exchange: Exchange,
        target: TargetRecord,
        sent_at: Milliseconds | None,
    ) -> Outcome:
        """Record that the call was answered by another target meanwhile."""
        if sent_at is None or exchange.answered:
            return Outcome.UNKNOWN
        now = self._clock.now()
        silence = Milliseconds(now - sent_at)
        is_failure = self._targets.record_silence(call, target, silence, now)
        log_event(
            "attempt_overtaken",
            call=call.head.id,
            target=target.id,
            silent_ms=silence,
            counts=is_failure,
        )
        return Outcome.FAILED if is_failure else Outcome.UNKNOWN

    async def _record_notices(
        self, call: Call, target: TargetRecord, facts: AnswerFacts
    ) -> None:
        """Record what an answer of ``target`` says of itself, whatever becomes of it.

        That it leaves is reported to other VMs at once, and idle connections to it are
        closed.
        """
        if facts.leaving:
            self._metrics.count("answers_of_leaving_targets", service=target.service)
        now = self._clock.now()
        if self._targets.record_notices(target, facts, call.head.id, now):
            self._report_soon()
            await self._pool.discard(target.address)

    async def _check_crash(
        self, call: Call, exchange: Exchange, target: TargetRecord, failure: Failure
    ) -> bool | None:
        """Return whether the target crashed under a call; ``None`` if it can't be so.

        A crash is recorded and reported to other VMs. The caller may leave meanwhile,
        or the deadline pass, so the probe is shielded.
        """
        if failure not in (Failure.BROKEN, Failure.SILENT):
            return None
        if exchange.asked_for_pause:
            return None
        with trio.CancelScope(shield=True):
            result = await self._crash_probe.probe(target)
        if result is not ProbeResult.ACCEPTED:
            self._record_unreached(target)
        elif not exchange.answered:
            self._reach.record_unanswered(target.service, target.id)
        crashed = result is ProbeResult.REFUSED
        if crashed:
            self._quarantine.record_crash(
                call,
                crash_id(target.id, target.born_ms),
                exchange.answering_time,
                self._clock.now(),
            )
            self._report_soon()
            log_event(
                "target_crashed",
                call=call.head.id,
                target=target.id,
                born_ms=target.born_ms,
                service=call.service,
                parts=shown_parts(call),
                **self._quarantine.knowledge(call, self._clock.now()),
            )
            self._metrics.count("calls_at_crashed_targets", service=call.service)
        return crashed

    def record_cut(self, service: ServiceId) -> None:
        """Count that this VM is cut off from a service, and ask for helpers."""
        self._metrics.count("cuts", service=service)
        self._report_soon()

    def _record_unreached(self, target: TargetRecord) -> None:
        if self._targets.record_unreached(target, self._clock.now()):
            self.record_cut(target.service)

    def _max_idle_time(self, call: Call) -> Milliseconds | None:
        """Return how long a connection for ``call`` may have been idle.

        A target may have dropped an idle connection without notice. An idempotent call
        can be sent again then, so it may use any connection, which ``None`` stands for.
        """
        if call.repeatability is Repeatability.IDEMPOTENT:
            return None
        return self._idle_limits.max_idle(call.service, self._clock.now())

    def _record_reset(self, call: Call, idle_time: Milliseconds | None) -> None:
        if idle_time is not None:
            self._idle_limits.record_reset(call.service, idle_time, self._clock.now())

    def _check_target(self, call: Call, placement: Placement) -> None:
        """Check again right before sending, as connecting took time.

        The target may have begun to leave meanwhile, or the call's deadline passed.
        """
        now = self._clock.now()
        if not self._targets.may_send(placement.target.record, now):
            raise AttemptFailedError(Failure.LEFT, "left while connecting")
        if self._standing(call) is Standing.QUARANTINED:
            raise AttemptFailedError(Failure.QUARANTINED, "while connecting")
        if now >= call.deadline:
            raise AttemptFailedError(Failure.LEFT, "no time left")

    async def _send_and_relay(
        self,
        call: Call,
        placement: Placement,
        exchange: Exchange,
        relay: AnswerRelay,
        record: RunRecord,
        race: Race,
    ) -> None:
        """Send the call to the placed target and relay its answer."""
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
        race.record_sent()
        head, facts = await self._receive_head(call, target, exchange, relay, record)
        if head.status_code != MISDIRECTED_REQUEST_STATUS:
            await self._record_notices(call, target, facts)
        await exchange.check_answer(head, facts)
        self._targets.record_contact(target.service, self._clock.now())
        self._quarantine.record_alive(
            crash_id(target.id, target.born_ms), now, self._clock.now()
        )
        self._targets.record_prompt(call, target.id, self._clock.now())
        self._targets.record_answer_begun(call, self._clock.now())
        self._metrics.record_duration(
            "first_byte_ms", self._clock.now() - now, call.service
        )
        self._targets.record_limits(call, target, facts, False, self._clock.now())
        self._targets.record_cold(target.id, facts, self._clock.now())
        if facts.load is not None:
            self._targets.record_load(target, facts.load, self._clock.now())
        if head.status_code >= FIRST_SERVER_ERROR:
            self._metrics.count("target_errors", service=call.service)
        if exchange.framing is not None:
            self._metrics.count(
                "answers", service=call.service, framing=exchange.framing.value
            )
        await race.check(target.id)
        await relay.relay_answer(
            exchange,
            head,
            on_start=partial(self._begin, call, target, relay),
            claim=partial(race.claim, target.id),
        )
        if head.status_code < FIRST_REDIRECT:
            self._quarantine.record_sound(call, self._clock.now())

    def _begin(self, call: Call, target: TargetRecord, relay: AnswerRelay) -> None:
        """Record that a stream begins at ``target``; report it at once if needed."""
        self._work.record_first_event(call, target.id, self._clock.now())
        relay.require_version(target.software)
        if self._targets.streams.begin(call, target, self._clock.now()):
            self._report_soon()

    async def _receive_head(
        self,
        call: Call,
        target: TargetRecord,
        exchange: Exchange,
        relay: AnswerRelay,
        record: RunRecord,
    ) -> tuple[h11.Response, AnswerFacts]:
        """Return the head of the answer.

        Raises ``AttemptFailedError`` if the target is silent for too long and another
        target may be tried. Otherwise it keeps waiting, as a late answer is better than
        none. Either way, the silence counts as a failure of the target.
        """
        timeout = answer_timeout(call.admitted.route)
        with trio.move_on_after(timeout / MS_PER_SECOND):
            return await exchange.receive_head()
        if self._may_try_other(call, target, relay, record):
            # Another call may take the last retry before this one is sent again.
            self._pay_retry(call, record)
            raise AttemptFailedError(Failure.SILENT, f"no answer for {timeout} ms")
        self._targets.record_timeout(call, target, self._clock.now())
        log_event("target_silent", call=call.head.id, target=target.id)
        return await exchange.receive_head()

    def _may_try_other(
        self, call: Call, target: TargetRecord, relay: AnswerRelay, record: RunRecord
    ) -> bool:
        now = self._clock.now()
        has_other = self._targets.has_other(call, target, now, relay.version)
        return has_other and self._may_try_again(call, relay, record)

    def _log_placement(
        self,
        call: Call,
        placement: Placement,
        exchange: Exchange,
        resume_after: str | None,
    ) -> None:
        source = placement.fetch_from
        log_event(
            "call_placed",
            call=call.head.id,
            service=call.service,
            target=placement.target.record.id,
            reason=placement.reason,
            prompt=call.head.shared_parts[-1].id if call.head.shared_parts else None,
            parts=shown_parts(call),
            fetch=None if source is None else source.record.id,
            software=placement.target.record.software,
            resumes=call.head.resumes,
            resume_after=resume_after or call.head.resume_after,
            connection=exchange.connection,
            rested_ms=exchange.idle_time,
            paused_ms=self._targets.time_paused(
                placement.target.record, self._clock.now()
            ),
            leaving_ms=self._targets.leaving_age(
                placement.target.record, self._clock.now()
            ),
            version=call.admitted.catalogue.version,
            view_age_ms=self._targets.view_age(self._clock.now()),
            left_ms=call.deadline - self._clock.now(),
            **self._quarantine.knowledge(call, self._clock.now()),
        )

    def _log_failure(
        self,
        call: Call,
        exchange: Exchange,
        error: AttemptFailedError,
        record: RunRecord,
        crashed: bool | None,
    ) -> None:
        failure = error.failure.value
        framing = exchange.framing
        self._metrics.count("attempt_failures", kind=failure)
        log_event(
            "attempt_failed",
            call=call.head.id,
            target=exchange.target_id,
            failure=failure,
            parts=shown_parts(call),
            detail=str(error),
            connection=exchange.connection,
            framing=None if framing is None else framing.value,
            body_bytes=exchange.body_bytes,
            answering_ms=exchange.answering_time,
            crashed=crashed,
            verdict=record.verdict.value,
            sent=record.sent,
        )


def shown_parts(call: Call) -> str | None:
    """Return the shared parts of a call's prompt for a log line, the last ones first.

    The last ones tell calls apart; further ones than a line holds are left out.
    """
    parts = [part.id for part in reversed(call.head.shared_parts)]
    return ",".join(parts[:MAX_LOGGED_PARTS]) or None


def _outcome_of(failure: Failure) -> Outcome:
    """Return the outcome that a failed attempt counts as for the target's health."""
    if failure in (Failure.UNREACHABLE, Failure.REPLACED):
        return Outcome.UNREACHABLE
    if failure is Failure.LEFT:
        return Outcome.UNKNOWN
    return Outcome.FAILED
