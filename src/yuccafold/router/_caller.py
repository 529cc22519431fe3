"""Serves the connection of one caller, one call after the other."""

from __future__ import annotations

from typing import final

import h11
import trio
from result import Err

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import IdempotencyKey
from yuccafold._log import log_event
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.http import CallerGone
from yuccafold.http import Headers
from yuccafold.http import ServedConnection
from yuccafold.http import first_value
from yuccafold.http import head_fault
from yuccafold.http import memory_of
from yuccafold.intake import Intake
from yuccafold.router._body import READ_AHEAD_BYTES
from yuccafold.router._body import RequestBody
from yuccafold.router._call import Call
from yuccafold.router._call import ChatTurn
from yuccafold.router._chat import read_turn
from yuccafold.router._errors import CALL_ID_HEADER
from yuccafold.router._errors import REVISION_HEADER
from yuccafold.router._errors import CallRefused
from yuccafold.router._errors import bad_request
from yuccafold.router._errors import error_answer
from yuccafold.router._forward import Forwarder
from yuccafold.router._forward import current_traceparent
from yuccafold.router._forward import trace_context
from yuccafold.router._identity import CallIds
from yuccafold.router._refusals import RefusalLog
from yuccafold.router._resolve import Resolved
from yuccafold.router._resolve import resolve
from yuccafold.router._responder import Responder
from yuccafold.router._state import RouterState
from yuccafold.settings import Policy
from yuccafold.settings import ServiceKind
from yuccafold.settings import SettingsTree
from yuccafold.telemetry import Telemetry

MAX_HEAD_BYTES = 32_768
MAX_IDEMPOTENCY_KEY_BYTES = 255
IDLE_TIMEOUT = Milliseconds(60_000)
CANCELLED_BY_CALLER = 499


@final
class CallerConnection(ServedConnection):
    """Reads, checks and forwards the calls of one connection in order."""

    def __init__(
        self,
        stream: trio.SocketStream,
        state: RouterState,
        forwarder: Forwarder,
        ids: CallIds,
        clock: Clock,
        telemetry: Telemetry,
        refusals: RefusalLog,
        intake: Intake,
    ) -> None:
        super().__init__(stream, MAX_HEAD_BYTES)
        self._state = state
        self._forwarder = forwarder
        self._ids = ids
        self._clock = clock
        self._telemetry = telemetry
        self._refusals = refusals
        self._intake = intake
        self._share = intake.open(self._stop_waiting, clock.now())
        self._wait_scope = trio.CancelScope()
        self._awaiting_request = True

    def close_if_idle(self) -> None:
        """Close the connection unless it is handling a call."""
        if self._awaiting_request:
            self._wait_scope.cancel()

    async def run(self) -> None:
        """Serve calls until the connection ends, then close it."""
        try:
            await super().run()
        finally:
            self._intake.close(self._share)

    def _stop_waiting(self) -> None:
        self._wait_scope.cancel()

    async def _serve_one(self) -> bool:
        """Serve one call; return whether the connection can be reused."""
        request = await self._next_request()
        if request is None:
            return False
        self._state.call_started()
        try:
            is_kept = await self._serve(request)
        finally:
            self._state.call_ended()
            self._intake.end_call(self._share, self._clock.now())
        return is_kept and self._share.end_reason is None

    async def _next_request(self) -> h11.Request | None:
        """Return the next request, or ``None`` if the connection is to be closed.

        A malformed request is answered here with an error.
        """
        self._awaiting_request = True
        self._wait_scope = trio.CancelScope(
            relative_deadline=IDLE_TIMEOUT / MS_PER_SECOND
        )
        try:
            with self._wait_scope:
                event = await self._http.next_event()
                self._awaiting_request = False
                return event if isinstance(event, h11.Request) else None
        except h11.RemoteProtocolError as error:
            self._awaiting_request = False
            await self._refuse_malformed(error)
        return None

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if self._http.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        refusal = bad_request(f"expected an HTTP/1.1 request: {error}")
        if error.error_status_hint == 431:
            refusal = bad_request(f"expected a smaller head: {error}", 431)
        responder = Responder(self._http, b"", (), close=True)
        await responder.answer(error_answer(refusal, True))

    async def _serve(self, request: h11.Request) -> bool:
        call_id = self._ids.next()
        # The call uses this revision to its end, even if a newer one takes effect.
        tree = self._state.tree
        revision = 0 if tree is None else tree.revision
        base_headers = (
            (CALL_ID_HEADER, call_id.encode()),
            (REVISION_HEADER, str(revision).encode()),
        )
        closing = not self._state.ready
        responder = Responder(self._http, request.method, base_headers, close=closing)
        started = self._clock.now()
        idempotent = True
        service = "none"
        try:
            resolved = self._resolve(request, tree)
            service = resolved.service
            head_bytes = memory_of(tuple(request.headers))
            self._hold(head_bytes)
            body = RequestBody(
                self._http,
                resolved.policy.body_limit_bytes,
                on_buffered=lambda size: self._hold(head_bytes + size),
            )
            call = await self._read_call(request, call_id, resolved, body)
            self._intake.begin_call(self._share)
            idempotent = call.idempotent
            await self._forward(call, body, responder)
        except CallRefused as refused:
            self._log_refusal(call_id, service, refused.refusal)
            if not responder.started:
                if self._share.end_reason is not None:
                    responder.close_after()
                await responder.answer(error_answer(refused.refusal, idempotent))
        except h11.RemoteProtocolError as error:
            if not responder.started:
                refusal = bad_request(f"expected a well-formed body: {error}")
                await responder.answer(error_answer(refusal, idempotent))
            return False
        self._record(service, responder, started)
        closing = closing or self._share.end_reason is not None
        return responder.whole and not closing and self._is_reusable()

    def _resolve(self, request: h11.Request, tree: SettingsTree | None) -> Resolved:
        """Check the head; return the service, account and policy that apply to it."""
        refusal = _check_head(request)
        if refusal is None and (tree is None or not self._state.serving):
            reason = f"this VM is {self._state.phase.value}"
            refusal = Refusal(503, "not_serving", reason, Verdict.NOT_RUN, 1_000)
        if refusal is not None:
            raise CallRefused(refusal)
        if tree is None:
            raise AssertionError("expected settings in force once serving")
        resolved = resolve(tree, request.target.decode(), tuple(request.headers))
        if isinstance(resolved, Err):
            raise CallRefused(resolved.err_value)
        return resolved.ok_value

    async def _read_call(
        self,
        request: h11.Request,
        call_id: str,
        resolved: Resolved,
        body: RequestBody,
    ) -> Call:
        headers: Headers = tuple(request.headers)
        method = request.method.decode()
        path = request.target.decode()
        settings = resolved.settings
        idempotent = settings.is_idempotent(method, path.split("?", 1)[0])
        key = None if idempotent else _idempotency_key(headers)
        is_chat = settings.kind == ServiceKind.MODEL.value and method == "POST"
        needs_whole_body = is_chat or key is not None
        limit = (
            resolved.policy.body_limit_bytes + 1
            if needs_whole_body
            else READ_AHEAD_BYTES
        )
        await self._read_body_ahead(body, limit, resolved.policy)
        turn = _chat_turn(resolved, headers, body) if is_chat else None
        return Call(
            id=call_id,
            account=resolved.account,
            service=resolved.service,
            settings=settings,
            policy=resolved.policy,
            revision=resolved.revision,
            method=method,
            path=path,
            headers=headers,
            idempotent=idempotent,
            key=key,
            turn=turn,
            body=body.buffered,
            deadline=Milliseconds(
                self._clock.now() + _timeout_ms(headers, resolved.policy)
            ),
            traceparent=first_value(headers, b"traceparent"),
        )

    async def _read_body_ahead(
        self, body: RequestBody, limit: int, policy: Policy
    ) -> None:
        timeout = policy.caller_idle_timeout_ms / MS_PER_SECOND
        with trio.move_on_after(timeout) as self._wait_scope:
            if self._share.end_reason is None:
                await body.read_ahead(limit)
        if self._share.end_reason is not None:
            reason = "the VM has no memory left for the request"
            raise CallRefused(
                Refusal(503, "overloaded", reason, Verdict.NOT_RUN, 1_000)
            )
        if self._wait_scope.cancelled_caught:
            reason = f"expected the body within {policy.caller_idle_timeout_ms} ms"
            raise CallRefused(bad_request(reason, 408, "body_timeout"))

    def _hold(self, held: int) -> None:
        self._intake.hold(self._share, held, self._clock.now())

    async def _forward(
        self, call: Call, body: RequestBody, responder: Responder
    ) -> None:
        """Forward the call, and cancel it if the caller disconnects.

        A call whose idempotency key was claimed is not cancelled. The caller is
        watched only if the body was buffered completely.
        """
        metrics = self._telemetry.metrics
        labels = {"service": call.service}
        metrics.in_flight.add(1, labels)
        try:
            async with trio.open_nursery() as nursery:
                if body.buffered is not None:
                    nursery.start_soon(self._watch_caller, nursery.cancel_scope)
                await self._forward_traced(call, body, responder)
                nursery.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            raise _first_error(group) from None
        finally:
            metrics.in_flight.add(-1, labels)
        if not responder.whole and not responder.aborted:
            raise CallerGone

    async def _forward_traced(
        self, call: Call, body: RequestBody, responder: Responder
    ) -> None:
        with self._telemetry.tracer.start_as_current_span(
            "call", context=trace_context(call), record_exception=False
        ) as span:
            span.set_attribute("yuccafold.service", call.service)
            span.set_attribute("yuccafold.account", call.account)
            span.set_attribute("yuccafold.revision", call.revision)
            header = current_traceparent()
            if header is not None:
                responder.add_header(b"traceparent", header.encode())
            await self._forwarder.forward(call, body, responder)

    def _log_refusal(self, call_id: str, service: str, refusal: Refusal) -> None:
        now = self._clock.now()
        self._refusals.record(service, refusal, self._state.revision, now)
        log_event(
            "call_refused",
            call=call_id,
            service=service,
            status=refusal.status,
            code=refusal.code,
            verdict=refusal.verdict.value,
            reason=refusal.reason,
            revision=self._state.revision,
        )

    def _record(
        self, service: str, responder: Responder, started: Milliseconds
    ) -> None:
        metrics = self._telemetry.metrics
        labels = {"service": service, "status": responder.status}
        metrics.requests.add(1, labels)
        metrics.duration.record(self._clock.now() - started, {"service": service})


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first error in nested groups, which decides the caller's answer."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _check_head(request: h11.Request) -> Refusal | None:
    """Return the refusal of an invalid head, or ``None``."""
    fault = head_fault(request)
    if fault is not None:
        return bad_request(fault.reason, fault.status)
    names = [name for name, _ in request.headers]
    if names.count(b"idempotency-key") > 1:
        return bad_request("expected at most one Idempotency-Key, got several")
    return None


def _idempotency_key(headers: Headers) -> IdempotencyKey | None:
    """Return the caller's idempotency key; refuse an empty or too long one."""
    value = first_value(headers, b"idempotency-key")
    if value is None:
        return None
    if not 1 <= len(value) <= MAX_IDEMPOTENCY_KEY_BYTES:
        limits = f"1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        reason = f"expected an Idempotency-Key of {limits}, got {len(value)}"
        raise CallRefused(bad_request(reason))
    return IdempotencyKey(value)


def _chat_turn(resolved: Resolved, headers: Headers, body: RequestBody) -> ChatTurn:
    body_bytes = body.buffered
    if body_bytes is None:
        raise AssertionError("expected the whole body of a chat turn")
    turn = read_turn(resolved.account, headers, body_bytes)
    if isinstance(turn, Err):
        raise CallRefused(turn.err_value)
    return turn.ok_value


def _timeout_ms(headers: Headers, policy: Policy) -> int:
    """Return the timeout of the call; a caller may only shorten it."""
    requested = first_value(headers, b"yuccafold-timeout-ms")
    if requested is None:
        return policy.request_timeout_ms
    if not requested.isascii() or not requested.isdigit() or int(requested) < 1:
        reason = f"expected Yuccafold-Timeout-Ms of at least 1, got {requested!r:.40}"
        raise CallRefused(bad_request(reason))
    return min(int(requested), policy.request_timeout_ms)
