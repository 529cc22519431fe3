"""Serves a caller's connection: each call is answered before the next is read."""

from __future__ import annotations

import random
from typing import Protocol
from typing import final

import h11
import trio
from result import Err

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge._attempts import overloaded
from yuccafold.edge._attempts import stopping
from yuccafold.edge._call import Call
from yuccafold.edge._call import admit_head
from yuccafold.edge._call import receive_call
from yuccafold.edge._forward import EdgeForwarder
from yuccafold.edge._gate import Gate
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import CallerLimits
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._responder import EdgeResponder
from yuccafold.http import CallerGone
from yuccafold.http import Headers
from yuccafold.http import ServedConnection
from yuccafold.http import first_value
from yuccafold.http import head_fault
from yuccafold.http import memory_of
from yuccafold.intake import SMALL_REQUEST_BYTES
from yuccafold.intake import EndReason
from yuccafold.intake import Intake

MAX_HEAD_BYTES = 131_072
"""Head size at which the parser gives up. The operator's limit, which is lower, is
checked in ``EdgeCaller._check_head``."""

HEAD_SLACK_BYTES = 4_096
"""Bytes by which an unfinished head may exceed the limit: methods, versions, spaces and
line ends don't count for it."""

DISCARD_TIME = Milliseconds(1_000)
"""How long a caller that sends a request which was refused may take to read that."""


class CallerState(Protocol):
    """The state of the router process that its connections use."""

    @property
    def ready(self) -> bool:
        """Whether new calls should come to this VM rather than to another one."""
        ...

    @property
    def limits(self) -> CallerLimits:
        """The limits that the operator sets for callers."""
        ...

    def may_take(self, call: Call) -> bool:
        """Return whether a call is taken; false if a stop would cut it."""
        ...


@final
class EdgeCaller(ServedConnection):
    """Serves the calls of one connection one after the other."""

    def __init__(
        self,
        stream: trio.SocketStream,
        state: CallerState,
        gate: Gate,
        forwarder: EdgeForwarder,
        translator: CallTranslator,
        clock: Clock,
        rng: random.Random,
        metrics: EdgeMetrics,
        intake: Intake,
    ) -> None:
        super().__init__(stream, MAX_HEAD_BYTES)
        self._state = state
        self._gate = gate
        self._forwarder = forwarder
        self._translator = translator
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._intake = intake
        self._share = intake.open(self._stop_waiting, clock.now())
        # The scope of whatever waits for the caller now: its request, or its reading.
        self._wait_scope = trio.CancelScope()
        self._idle = True

    def close_if_idle(self) -> None:
        """Close the connection unless a call is being read or answered."""
        if self._idle:
            self._wait_scope.cancel()

    async def run(self) -> None:
        """Serve calls until the connection ends, then close it."""
        try:
            await super().run()
        finally:
            self._intake.close(self._share)

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        await super()._watch_caller(scope)
        if not scope.cancel_called:
            self._intake.record_backlog(self._share)

    def _stop_waiting(self) -> None:
        """Stop waiting for the caller, as the intake asks for it."""
        share = self._share
        if share.end_reason is not None:
            self._metrics.count("connections_ended", reason=share.end_reason.value)
            log_event(
                "connection_ended",
                reason=share.end_reason.value,
                held_bytes=share.held,
                silent_ms=None
                if share.silent_since is None
                else self._clock.now() - share.silent_since,
            )
        self._wait_scope.cancel()

    async def _serve_one(self) -> bool:
        """Serve one call; return whether the connection may serve another."""
        try:
            request = await self._read_head()
            if request is None:
                return False
            is_kept = await self._serve(request)
        except h11.RemoteProtocolError as error:
            await self._refuse_malformed(error)
            return False
        return is_kept and self._share.end_reason is None

    async def _read_head(self) -> h11.Request | None:
        """Return the next request, or ``None`` if the caller closes or times out."""
        limits = self._state.limits
        self._idle = not self._http.unparsed_bytes
        self._wait_scope = trio.CancelScope(
            relative_deadline=limits.idle_timeout / MS_PER_SECOND
        )
        with self._wait_scope:
            while (event := await self._http.parse()) is h11.NEED_DATA:
                if not await self._receive():
                    return None
                if self._idle:
                    # The head has begun, so its timeout replaces the idle timeout.
                    self._idle = False
                    self._wait_scope.relative_deadline = (
                        limits.head_timeout / MS_PER_SECOND
                    )
        if self._wait_scope.cancelled_caught:
            return None
        self._idle = False
        return event if isinstance(event, h11.Request) else None

    async def _receive(self, parsed_bytes: int = 0) -> bool:
        """Receive more of a request, of which so many bytes are parsed and held.

        Return ``False`` if the caller has closed its sending side.
        """
        unparsed_bytes = self._http.unparsed_bytes
        limit = self._state.limits.max_head
        if unparsed_bytes > limit + HEAD_SLACK_BYTES:
            reason = f"expected at most {limit} bytes of headers or trailers"
            raise h11.RemoteProtocolError(reason, error_status_hint=431)
        held = parsed_bytes + unparsed_bytes
        self._intake.hold(self._share, held, self._clock.now())
        return await self._http.receive()

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if self._http.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = error.error_status_hint
        log_event("request_malformed", status=status, error=str(error))
        refusal = Refusal(status, "malformed", str(error), Verdict.NOT_RUN)
        await self._send_refusal(refusal, EdgeResponder(self._http, b"", lambda: True))

    async def _serve(self, request: h11.Request) -> bool:
        """Read, admit and forward a call, or refuse it.

        Return whether the connection may serve another call.
        """
        responder = EdgeResponder(
            self._http, request.method, lambda: not self._state.ready
        )
        headers: Headers = tuple(request.headers)
        refusal = self._check_head(request, headers)
        if refusal is not None:
            return await self._refuse(None, refusal, responder)
        head_bytes = memory_of(headers)
        body = await self._read_body(request, headers, head_bytes)
        if not isinstance(body, Refusal):
            held = head_bytes + len(body)
            self._intake.hold(self._share, held, self._clock.now())
            if self._share.end_reason is not None:
                body = overloaded(self._rng)
        if isinstance(body, Refusal):
            await self._refuse_unread(headers, body, responder)
            return False
        try:
            return await self._answer(request, headers, body, responder)
        finally:
            self._intake.end_call(self._share, self._clock.now())

    async def _answer(
        self,
        request: h11.Request,
        headers: Headers,
        body: bytes,
        responder: EdgeResponder,
    ) -> bool:
        """Admit and forward a whole request, or refuse it."""
        arrived_at = self._clock.now()
        try:
            call = self._admit(request, headers, body, arrived_at)
        except ValueError as error:
            call = Refusal(400, "bad_request", str(error), Verdict.NOT_RUN)
        if isinstance(call, Call) and not self._state.may_take(call):
            call = stopping(self._rng)
        if isinstance(call, Refusal):
            return await self._refuse(headers, call, responder)
        self._intake.begin_call(self._share)
        await self._forward_call(call, responder)
        return responder.whole and self._is_reusable()

    def _check_head(self, request: h11.Request, headers: Headers) -> Refusal | None:
        fault = head_fault(request)
        if fault is not None:
            return Refusal(fault.status, "bad_request", fault.reason, Verdict.NOT_RUN)
        limit = self._state.limits.max_head
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size + len(request.target) > limit:
            reason = f"expected a head of at most {limit} bytes"
            return Refusal(431, "head_too_large", reason, Verdict.NOT_RUN)
        return None

    async def _read_body(
        self, request: h11.Request, headers: Headers, head_bytes: int
    ) -> bytes | Refusal:
        """Return the whole body, or why it isn't read to its end.

        That is also the case if the request is not admissible, unless it is small: then
        reading it on keeps the connection.
        """
        limit = self._state.limits.max_body
        if _announced_length(headers) > limit:
            return _too_large(limit)
        if self._http.protocol.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._http.send(continue_response)
        body = bytearray()
        is_admissible = False
        with trio.CancelScope() as self._wait_scope:
            while self._share.end_reason is None:
                event = await self._http.parse()
                if event is h11.NEED_DATA:
                    await self._receive(head_bytes + len(body))
                    continue
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if not isinstance(event, h11.Data):
                    raise CallerGone
                body += event.data
                if len(body) > limit:
                    return _too_large(limit)
                if len(body) > SMALL_REQUEST_BYTES and not is_admissible:
                    refusal = self._check_admissible(request, headers)
                    if refusal is not None:
                        return refusal
                    is_admissible = True
        return overloaded(self._rng)

    def _check_admissible(
        self, request: h11.Request, headers: Headers
    ) -> Refusal | None:
        """Return why a request is refused whatever its body is."""
        try:
            head = self._translator.read_call(headers)
        except ValueError as error:
            return Refusal(400, "bad_request", str(error), Verdict.NOT_RUN)
        now = self._clock.now()
        admitted = admit_head(head, request.target, headers, self._gate, now)
        return admitted.err_value if isinstance(admitted, Err) else None

    def _admit(
        self,
        request: h11.Request,
        headers: Headers,
        body: bytes,
        arrived_at: Milliseconds,
    ) -> Call | Refusal:
        """Return the admitted call, or a refusal by the settings in force."""
        return receive_call(
            self._translator.read_call(headers),
            request.method,
            request.target,
            headers,
            body,
            self._gate,
            arrived_at,
            self._forwarder.choose_service,
        )

    async def _forward_call(self, call: Call, responder: EdgeResponder) -> None:
        """Forward a call, and cancel it when the caller closes the connection."""
        refusal: Refusal | None = None
        try:
            async with trio.open_nursery() as nursery:
                self._wait_scope = nursery.cancel_scope
                nursery.start_soon(self._watch_caller, nursery.cancel_scope)
                refusal = await self._forwarder.forward(call, responder)
                nursery.cancel_scope.cancel()
        except* CallerGone:
            pass
        self._record_end(call, responder, refusal)
        if not responder.whole:
            raise CallerGone

    async def _refuse_unread(
        self, headers: Headers, refusal: Refusal, responder: EdgeResponder
    ) -> None:
        """Refuse a request whose body is not read, and close the connection.

        The caller gets some time to read the answer, unless its place is needed.
        """
        responder.close_after()
        is_place_needed = self._share.end_reason is EndReason.CONNECTIONS
        self._intake.close(self._share)
        self._share = self._intake.open(self._stop_waiting, self._clock.now())
        await self._refuse(headers, refusal, responder)
        if is_place_needed:
            return
        with trio.CancelScope() as self._wait_scope:
            await self._http.discard_rest(DISCARD_TIME / MS_PER_SECOND)

    async def _refuse(
        self, headers: Headers | None, refusal: Refusal, responder: EdgeResponder
    ) -> bool:
        call_id = None
        extra_headers: Headers = ()
        if headers is not None:
            try:
                head = self._translator.read_call(headers)
                call_id = head.id
                extra_headers = self._translator.refusal_headers(head, refusal.verdict)
            except ValueError as error:
                log_event("request_unreadable", error=str(error))
        log_event(
            "call_refused",
            call=call_id,
            status=refusal.status,
            code=refusal.code,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            version=self._gate.version,
            era=self._gate.era,
            revision=self._gate.revision,
            view_age_ms=self._gate.view_age(self._clock.now()),
        )
        self._metrics.count("refusals", code=refusal.code)
        await self._send_refusal(refusal, responder, extra_headers)
        return self._is_reusable()

    async def _send_refusal(
        self, refusal: Refusal, responder: EdgeResponder, extra_headers: Headers = ()
    ) -> None:
        """Send a refusal, unless what the connection holds is needed before it is read.

        Raises ``CallerGone`` if the connection was ended meanwhile.
        """
        with trio.CancelScope() as self._wait_scope:
            await responder.refuse(refusal, extra_headers)
        if self._share.end_reason is not None:
            raise CallerGone

    def _record_end(
        self, call: Call, responder: EdgeResponder, refusal: Refusal | None
    ) -> None:
        elapsed = self._clock.now() - call.arrived_at
        outcome = "answered" if responder.whole else "caller_left"
        if refusal is not None:
            outcome = refusal.code if responder.whole else f"broken_off_{refusal.code}"
        framing = responder.target_framing
        self._metrics.record_duration("call_ms", elapsed, call.service)
        self._metrics.count("calls", service=call.service, outcome=outcome)
        log_event(
            "call_ended",
            call=call.head.id,
            outcome=outcome,
            status=responder.status,
            took_ms=elapsed,
            reason=None if refusal is None else refusal.reason,
            framing=None if framing is None else framing.value,
            body_bytes=responder.body_bytes,
        )


def _announced_length(headers: Headers) -> int:
    """Return the length of the body if the head states one, else 0."""
    return int(first_value(headers, b"content-length") or 0)


def _too_large(limit: int) -> Refusal:
    reason = f"expected at most {limit} bytes"
    return Refusal(413, "body_too_large", reason, Verdict.NOT_RUN)
