"""Forwards calls: claims the key, places the call, retries, relays the answer."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import count
from typing import final

import h11
import trio
from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from result import Err

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.delivery import AttemptEnd
from yuccafold.delivery import GiveUp
from yuccafold.delivery import GiveUpReason
from yuccafold.delivery import RetryAfter
from yuccafold.delivery import RetryBudget
from yuccafold.delivery import RetryDecision
from yuccafold.delivery import decide_retry
from yuccafold.http import ConnectionPool
from yuccafold.http import Headers
from yuccafold.http import end_to_end
from yuccafold.http import first_value
from yuccafold.router._body import RequestBody
from yuccafold.router._call import Call
from yuccafold.router._chat import MAX_HINTS
from yuccafold.router._errors import HINT_HEADER
from yuccafold.router._errors import VERDICT_HEADER
from yuccafold.router._errors import CallRefused
from yuccafold.router._interfaces import Admission
from yuccafold.router._interfaces import OnceGate
from yuccafold.router._interfaces import Placement
from yuccafold.router._interfaces import RequestGuard
from yuccafold.router._interfaces import StoredAnswer
from yuccafold.router._recent import RecentChats
from yuccafold.router._relay import AnswerRelay
from yuccafold.router._responder import Responder
from yuccafold.router._upstream import AttemptFailed
from yuccafold.router._upstream import EarlyAnswer
from yuccafold.router._upstream import Exchange
from yuccafold.router._upstream import FailureKind
from yuccafold.router._upstream import exchange
from yuccafold.router._upstream import forwarded_headers
from yuccafold.settings import Target
from yuccafold.telemetry import Telemetry

PROPAGATOR = TraceContextTextMapPropagator()
SERVER_ERROR_STATUSES = frozenset({502, 503, 504})


@final
class Forwarder:
    """Forwards calls to targets as admission, claims and quarantine allow."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        pool: ConnectionPool,
        admission: Admission,
        once: OnceGate,
        guard: RequestGuard,
        telemetry: Telemetry,
        recent: RecentChats,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._pool = pool
        self._admission = admission
        self._once = once
        self._guard = guard
        self._telemetry = telemetry
        self._recent = recent
        self._running_scopes: set[trio.CancelScope] = set()
        self._retry_budget = RetryBudget()

    async def forward(
        self, call: Call, body: RequestBody, responder: Responder
    ) -> None:
        """Forward ``call`` and answer it; raise ``CallRefused`` if it is refused."""
        if call.key is None or not await self._replay_earlier_answer(call, responder):
            await self._run(call, body, AnswerRelay(call, responder))

    async def _replay_earlier_answer(self, call: Call, responder: Responder) -> bool:
        """Claim the key; return whether an earlier run's answer was sent instead."""
        claimed = await self._once.claim(call)
        if isinstance(claimed, Err):
            raise CallRefused(claimed.err_value)
        if claimed.ok_value is None:
            return False
        await _replay(claimed.ok_value, responder)
        return True

    async def _run(self, call: Call, body: RequestBody, relay: AnswerRelay) -> None:
        """Run the call within its deadline.

        A call with an idempotency key continues when its caller disconnects, so
        that its answer can be stored and replayed.
        """
        remaining = max(0, call.deadline - self._clock.now()) / MS_PER_SECOND
        is_keyed = call.key is not None
        scope = trio.CancelScope(relative_deadline=remaining, shield=is_keyed)
        self._running_scopes.add(scope)
        try:
            with scope:
                await self._run_attempts(call, body, relay)
        finally:
            self._running_scopes.discard(scope)
            if is_keyed:
                self._end_claim(call, relay)
        if scope.cancelled_caught:
            await self._give_up(call, _deadline_refusal(relay.verdict), relay)

    async def abort_when_cancelled(self) -> None:
        """Wait until cancelled, then cancel running calls, even shielded ones."""
        try:
            await trio.sleep_forever()
        finally:
            for scope in self._running_scopes:
                scope.cancel()

    def _end_claim(self, call: Call, relay: AnswerRelay) -> None:
        if relay.verdict is Verdict.NOT_RUN:
            self._once.record_not_run(call)
        self._once.finish(call, relay.verdict, relay.stored)

    async def _run_attempts(
        self, call: Call, body: RequestBody, relay: AnswerRelay
    ) -> None:
        """Try targets until one answers completely or the retry policy gives up."""
        excluded: frozenset[TargetId] = frozenset()
        self._retry_budget.record_request(call.policy.retry_share)
        for attempt in count(1):
            placement = await self._place(call, excluded, relay)
            failed = await self._try_target(call, placement, body, relay)
            if failed is None:
                self._record_usage(call, relay)
                return
            self._log_failure(call, placement, attempt, failed)
            decision = self._decide_retry(call, attempt, failed, body, relay)
            if isinstance(decision, GiveUp):
                await self._give_up(call, _failure_refusal(failed), relay)
                break
            if not (relay.started and failed.kind is FailureKind.CLOSED):
                # Only a broken stream may return to its target, which can resume it.
                excluded |= {TargetId(placement.target.id)}
            await trio.sleep(decision.delay_ms / MS_PER_SECOND)
        raise AssertionError("expected an answer or a refusal")

    def _record_usage(self, call: Call, relay: AnswerRelay) -> None:
        usage = relay.usage
        if usage is None:
            return
        tokens = self._telemetry.metrics.prompt_tokens
        fresh = max(0, usage.prompt - usage.cached)
        tokens.add(usage.cached, {"service": call.service, "cached": True})
        tokens.add(fresh, {"service": call.service, "cached": False})

    async def _place(
        self, call: Call, excluded: frozenset[TargetId], relay: AnswerRelay
    ) -> Placement:
        admitted = await self._admission.admit(call, excluded)
        if isinstance(admitted, Err):
            await self._give_up(call, admitted.err_value, relay)
            raise AssertionError("expected a refusal to end the call")
        self._recent.record(call, admitted.ok_value, self._clock.now())
        return admitted.ok_value

    async def _try_target(
        self, call: Call, placement: Placement, body: RequestBody, relay: AnswerRelay
    ) -> AttemptFailed | None:
        """Run one attempt and release its slot; return its failure, if any."""
        answered = False
        try:
            refusal = await self._guard.enter(call, placement.target)
            if refusal is not None:
                await self._give_up(call, refusal, relay)
            await self._attempt(call, placement, body, relay)
            answered = True
        except AttemptFailed as failed:
            await self._handle_failure(call, placement.target, failed)
            return failed
        finally:
            self._guard.leave(call, placement.target, answered)
            self._admission.release(call, placement)
        return None

    async def _attempt(
        self, call: Call, placement: Placement, body: RequestBody, relay: AnswerRelay
    ) -> None:
        """Run one attempt in its own trace span."""
        with self._telemetry.tracer.start_as_current_span(
            "target", record_exception=False
        ) as span:
            span.set_attribute("yuccafold.target", placement.target.id)
            span.set_attribute("yuccafold.placement", placement.reason)
            headers = (
                forwarded_headers(call, current_traceparent()) + relay.resume_headers
            )
            async with exchange(call, placement.target, self._pool) as attempt:
                with relay.recording_verdict(lambda: attempt.verdict):
                    await attempt.open()
                    await self._check_claim(call, relay)
                    self._check_suspect(call, placement.target)
                    await self._exchange(call, placement, attempt, headers, body, relay)

    async def _check_claim(self, call: Call, relay: AnswerRelay) -> None:
        """Refuse the call if its claim expired, by time or by a process pause."""
        refusal = None if call.key is None else self._once.may_send(call)
        if refusal is not None:
            await self._give_up(call, refusal, relay)

    def _check_suspect(self, call: Call, target: Target) -> None:
        """Fail the attempt if the request became suspect after it entered the target.

        The next attempt passes the quarantine check again, perhaps as a trial.
        """
        if not self._guard.may_send(call, target):
            raise AttemptFailed(
                Verdict.NOT_RUN, FailureKind.LAPSED, "the request became suspect"
            )

    async def _exchange(
        self,
        call: Call,
        placement: Placement,
        attempt: Exchange,
        headers: Headers,
        body: RequestBody,
        relay: AnswerRelay,
    ) -> None:
        early = None
        started = self._clock.now()
        try:
            await attempt.send(headers, body)
        except EarlyAnswer as answer:
            early = answer.event
        if early is None and attempt.needs_body():
            head = await self._send_and_receive(attempt, body)
        else:
            head = await attempt.receive_head(early)
        self._telemetry.metrics.first_byte.record(
            self._clock.now() - started, {"service": call.service}
        )
        if _reports_not_run(call, head):
            raise attempt.reported_not_run()
        await relay.relay_answer(attempt, head, _answer_headers(call, placement, head))

    async def _send_and_receive(
        self, attempt: Exchange, body: RequestBody
    ) -> h11.Response:
        """Send the body and read concurrently, since a target may answer early."""
        heads: list[h11.Response] = []
        failures: list[AttemptFailed | CallRefused] = []
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                try:
                    await attempt.send_body(body)
                except (AttemptFailed, CallRefused) as error:
                    failures.append(error)
                    if isinstance(error, CallRefused):
                        nursery.cancel_scope.cancel()

            nursery.start_soon(send)
            try:
                heads.append(await attempt.receive_head())
            except AttemptFailed as error:
                failures.append(error)
            nursery.cancel_scope.cancel()
        if heads:
            return heads[0]
        raise failures[0]

    async def _handle_failure(
        self, call: Call, target: Target, failed: AttemptFailed
    ) -> None:
        """Discard idle connections to a silent target; report a target that crashed."""
        if failed.kind is FailureKind.SILENT:
            await self._pool.discard(target.address)
        if failed.kind.may_be_crash:
            await self._guard.report_if_crashed(call, target)

    def _decide_retry(
        self,
        call: Call,
        attempt: int,
        failed: AttemptFailed,
        body: RequestBody,
        relay: AnswerRelay,
    ) -> RetryDecision:
        """Return whether and when to retry; record a retry against the budget."""
        if not body.replayable:
            return GiveUp(GiveUpReason.ANSWER_BEGUN)
        end = AttemptEnd(
            verdict=failed.verdict,
            idempotent=call.idempotent,
            attempt=attempt,
            remaining_ms=call.deadline - self._clock.now(),
            bytes_relayed=relay.started and not relay.can_resume,
        )
        decision = decide_retry(
            call.policy, end, self._retry_budget.has_token(), self._rng
        )
        if isinstance(decision, RetryAfter):
            self._retry_budget.spend()
            self._telemetry.metrics.retries.add(1, {"service": call.service})
            if call.key is not None:
                self._once.record_not_run(call)
        return decision

    async def _give_up(self, call: Call, refusal: Refusal, relay: AnswerRelay) -> None:
        """Refuse the call, or abort its answer if it was already started."""
        if refusal.verdict.rank < relay.verdict.rank:
            # An earlier attempt may have run even if the last one did not.
            refusal = replace(refusal, verdict=relay.verdict)
        self._telemetry.metrics.verdicts.add(
            1, {"service": call.service, "verdict": refusal.verdict.value}
        )
        if relay.started:
            await relay.abort(refusal)
        raise CallRefused(refusal)

    def _log_failure(
        self, call: Call, placement: Placement, attempt: int, failed: AttemptFailed
    ) -> None:
        log_event(
            "attempt_failed",
            call=call.id,
            service=call.service,
            target=placement.target.id,
            attempt=attempt,
            verdict=failed.verdict.value,
            kind=failed.kind.value,
            reason=str(failed),
            revision=call.revision,
        )


def _failure_refusal(failed: AttemptFailed) -> Refusal:
    """Return the refusal for a failed attempt that is not retried."""
    retry_after_ms = 1_000 if failed.verdict is Verdict.NOT_RUN else 0
    return Refusal(502, "target_failed", str(failed), failed.verdict, retry_after_ms)


def _deadline_refusal(verdict: Verdict) -> Refusal:
    """Return the refusal for a call whose deadline has passed."""
    reason = "expected an answer before the call's deadline"
    retry_after_ms = 1_000 if verdict is Verdict.NOT_RUN else 0
    return Refusal(504, "deadline", reason, verdict, retry_after_ms)


def _reports_not_run(call: Call, head: h11.Response) -> bool:
    """Return whether a trusted target reports that it did not run the call."""
    if not call.settings.traits.trusted_not_run:
        return False
    verdict = first_value(tuple(head.headers), b"yuccafold-verdict")
    return (
        head.status_code in SERVER_ERROR_STATUSES and verdict == Verdict.NOT_RUN.value
    )


def _answer_headers(call: Call, placement: Placement, head: h11.Response) -> Headers:
    """Return a target's answer headers with the verdict and hint for the caller."""
    kept = tuple(
        (name, value)
        for name, value in end_to_end(tuple(head.headers))
        if not name.startswith(b"yuccafold-")
    )
    added: Headers = ((VERDICT_HEADER, Verdict.COMPLETE.value.encode()),)
    if call.turn is not None:
        other_hints = (hint for hint in call.turn.hints if hint != placement.target.id)
        hints = (placement.target.id, *other_hints)[:MAX_HINTS]
        added += ((HINT_HEADER, ",".join(hints).encode()),)
    return kept + added


def trace_context(call: Call) -> Context | None:
    """Return the trace context of the caller's ``traceparent`` header, if any."""
    if call.traceparent is None:
        return None
    return PROPAGATOR.extract({"traceparent": call.traceparent})


def current_traceparent() -> str | None:
    """Return the ``traceparent`` header of the current span, if there is one."""
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier)
    return carrier.get("traceparent")


async def _replay(answer: StoredAnswer, responder: Responder) -> None:
    """Send the stored answer of an earlier call with the same key."""
    headers = (*answer.headers, (b"Yuccafold-Replayed", b"true"))
    await responder.start(answer.status, headers, event_stream=False)
    if answer.body:
        await responder.send(answer.body)
    await responder.finish()
