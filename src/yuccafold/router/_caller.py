"""One caller's connection: reads calls, answers each before the next."""

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
from yuccafold.router._body import HOLD_BYTES
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
from yuccafold.router._forward import context_of
from yuccafold.router._forward import traceparent
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
MAX_KEY_BYTES = 255
IDLE_TIMEOUT = Milliseconds(60_000)
CANCELLED_BY_CALLER = 499


@final
class CallerConnection(ServedConnection):
    """Serves the calls of one connection, one after the other."""

    def __init__(
        self,
        stream: trio.SocketStream,
        state: RouterState,
        forwarder: Forwarder,
        ids: CallIds,
        clock: Clock,
        telemetry: Telemetry,
        refusals: RefusalLog,
    ) -> None:
        super().__init__(stream, MAX_HEAD_BYTES)
        self._state = state
        self._forwarder = forwarder
        self._ids = ids
        self._clock = clock
        self._telemetry = telemetry
        self._refusals = refusals
        self._idle = trio.CancelScope()
        self._waiting = True

    def close_if_idle(self) -> None:
        """End the connection unless a call is being handled."""
        if self._waiting:
            self._idle.cancel()

    async def _serve_one(self) -> bool:
        """Serve one call; return whether another may follow."""
        request = await self._next_request()
        if request is None:
            return False
        self._state.call_started()
        try:
            return await self._serve(request)
        finally:
            self._state.call_ended()

    async def _next_request(self) -> h11.Request | None:
        """Return the next request; malformed ones are answered here."""
        self._waiting = True
        self._idle = trio.CancelScope(relative_deadline=IDLE_TIMEOUT / MS_PER_SECOND)
        try:
            with self._idle:
                event = await self._http.next_event()
                self._waiting = False
                return event if isinstance(event, h11.Request) else None
        except h11.RemoteProtocolError as error:
            self._waiting = False
            await self._refuse_malformed(error)
        return None

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if self._http.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        refusal = bad_request(f"expected an HTTP/1.1 request: {error}")
        if error.error_status_hint == 431:
            refusal = bad_request(f"expected a smaller head: {error}", 431)
        await Responder(self._http, (), close=True).answer(error_answer(refusal, True))

    async def _serve(self, request: h11.Request) -> bool:
        call_id = self._ids.next()
        # One revision for the whole call, whatever comes into force meanwhile.
        tree = self._state.tree
        revision = 0 if tree is None else tree.revision
        base = (
            (CALL_ID_HEADER, call_id.encode()),
            (REVISION_HEADER, str(revision).encode()),
        )
        closing = not self._state.ready
        responder = Responder(self._http, base, close=closing)
        started = self._clock.now()
        idempotent = True
        service = "none"
        try:
            resolved = self._resolve(request, tree)
            service = resolved.service
            body = RequestBody(self._http, resolved.policy.body_limit_bytes)
            call = await self._read_call(request, call_id, resolved, body)
            idempotent = call.idempotent
            await self._forward(call, body, responder)
        except CallRefused as refused:
            self._log_refusal(call_id, service, refused.refusal)
            if not responder.started:
                await responder.answer(error_answer(refused.refusal, idempotent))
        except h11.RemoteProtocolError as error:
            if not responder.started:
                refusal = bad_request(f"expected a well-formed body: {error}")
                await responder.answer(error_answer(refusal, idempotent))
            return False
        self._record(service, responder, started)
        return responder.whole and not closing and self._can_go_on()

    def _resolve(self, request: h11.Request, tree: SettingsTree | None) -> Resolved:
        """Check the head and return what the settings say about it."""
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
        key = None if idempotent else _key(headers)
        is_chat = settings.kind == ServiceKind.MODEL.value and method == "POST"
        whole = is_chat or key is not None
        limit = resolved.policy.body_limit_bytes + 1 if whole else HOLD_BYTES
        await self._hold(body, limit, resolved.policy)
        turn = _turn(resolved, headers, body) if is_chat else None
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
            body=body.held,
            deadline=Milliseconds(
                self._clock.now() + _timeout_ms(headers, resolved.policy)
            ),
            traceparent=first_value(headers, b"traceparent"),
        )

    async def _hold(self, body: RequestBody, limit: int, policy: Policy) -> None:
        with trio.move_on_after(policy.caller_idle_timeout_ms / MS_PER_SECOND) as scope:
            await body.hold(limit)
        if scope.cancelled_caught:
            reason = f"expected the body within {policy.caller_idle_timeout_ms} ms"
            raise CallRefused(bad_request(reason, 408, "body_timeout"))

    async def _forward(
        self, call: Call, body: RequestBody, responder: Responder
    ) -> None:
        """Forward while the caller stays."""
        metrics = self._telemetry.metrics
        labels = {"service": call.service}
        metrics.in_flight.add(1, labels)
        try:
            async with trio.open_nursery() as nursery:
                if body.held is not None:
                    nursery.start_soon(self._watch_caller, nursery.cancel_scope)
                await self._traced(call, body, responder)
                nursery.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            raise _only(group) from None
        finally:
            metrics.in_flight.add(-1, labels)
        if not responder.whole and not responder.broken:
            raise CallerGone

    async def _traced(
        self, call: Call, body: RequestBody, responder: Responder
    ) -> None:
        with self._telemetry.tracer.start_as_current_span(
            "call", context=context_of(call), record_exception=False
        ) as span:
            span.set_attribute("yuccafold.service", call.service)
            span.set_attribute("yuccafold.account", call.account)
            span.set_attribute("yuccafold.revision", call.revision)
            present = traceparent()
            if present is not None:
                responder.add_header(b"traceparent", present.encode())
            await self._forwarder.forward(call, body, responder)

    def _log_refusal(self, call_id: str, service: str, refusal: Refusal) -> None:
        now = self._clock.now()
        self._refusals.note(service, refusal, self._state.revision, now)
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


def _only(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the one error of ``group`` that the caller is to learn of."""
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found


def _check_head(request: h11.Request) -> Refusal | None:
    """Return why a head is not taken."""
    fault = head_fault(request)
    if fault is not None:
        return bad_request(fault.reason, fault.status)
    names = [name for name, _ in request.headers]
    if names.count(b"idempotency-key") > 1:
        return bad_request("expected at most one Idempotency-Key, got several")
    return None


def _key(headers: Headers) -> IdempotencyKey | None:
    """Return the caller's idempotency key; one that can't be kept is refused."""
    value = first_value(headers, b"idempotency-key")
    if value is None:
        return None
    if not 1 <= len(value) <= MAX_KEY_BYTES:
        limits = f"1 to {MAX_KEY_BYTES} bytes"
        reason = f"expected an Idempotency-Key of {limits}, got {len(value)}"
        raise CallRefused(bad_request(reason))
    return IdempotencyKey(value)


def _turn(resolved: Resolved, headers: Headers, body: RequestBody) -> ChatTurn:
    held = body.held
    if held is None:
        raise AssertionError("expected the whole body of a chat turn")
    turn = read_turn(resolved.account, headers, held)
    if isinstance(turn, Err):
        raise CallRefused(turn.err_value)
    return turn.ok_value


def _timeout_ms(headers: Headers, policy: Policy) -> int:
    """Return how long the call may take; a caller may ask for less."""
    asked = first_value(headers, b"yuccafold-timeout-ms")
    if asked is None:
        return policy.request_timeout_ms
    if not asked.isascii() or not asked.isdigit() or int(asked) < 1:
        reason = f"expected Yuccafold-Timeout-Ms of at least 1, got {asked!r:.40}"
        raise CallRefused(bad_request(reason))
    return min(int(asked), policy.request_timeout_ms)
