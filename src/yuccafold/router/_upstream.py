"""One attempt of a call: its connection to a target and the HTTP exchange on it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from enum import Enum
from typing import Any
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._verdict import Verdict
from yuccafold._verdict import VerdictRecord
from yuccafold.http import ConnectionPool
from yuccafold.http import Framing
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.http import end_to_end
from yuccafold.http import first_value
from yuccafold.http import framing_of
from yuccafold.router._body import READ_AHEAD_BYTES
from yuccafold.router._body import RequestBody
from yuccafold.router._call import Call
from yuccafold.router._stall import StallWatch
from yuccafold.settings import Target

MAX_TARGET_HEAD_BYTES = 65_536
CONTINUE = 100

MAX_INTERIM_RESPONSES = 16
"""Interim responses that may precede an answer."""


class FailureKind(Enum):
    """How an attempt failed."""

    CONNECT = "connect"
    SILENT = "silent"
    CLOSED = "closed"
    MALFORMED = "malformed"
    REFUSED = "refused"
    """A trusted target reported that it did not run the call."""
    LAPSED = "lapsed"
    """The request became suspect before it was sent."""

    @property
    def may_be_crash(self) -> bool:
        """Whether the target may have crashed: no connection, or an early close."""
        return self in (FailureKind.CONNECT, FailureKind.CLOSED)


class AttemptFailed(Exception):
    """An attempt without a complete answer, and whether the call may have run."""

    def __init__(self, verdict: Verdict, kind: FailureKind, reason: str) -> None:
        super().__init__(reason)
        self._verdict = verdict
        self._kind = kind

    @property
    def verdict(self) -> Verdict:
        """Whether the call may have run at the target."""
        return self._verdict

    @property
    def kind(self) -> FailureKind:
        """How the attempt failed."""
        return self._kind


@final
class Exchange:
    """One attempt of one call on one target.

    The task of the attempt owns the connection. The verdict is decided here,
    because it depends on which bytes were written to the socket.
    """

    def __init__(self, call: Call, target: Target, pool: ConnectionPool) -> None:
        self._call = call
        self._target = target
        self._pool = pool
        self._record = VerdictRecord()
        self._http: HttpStream | None = None
        self._reusable = True
        self._may_be_stale = False

    @property
    def verdict(self) -> Verdict:
        """Whether the call may have run, as far as known."""
        return self._record.verdict

    @property
    def _expects_continue(self) -> bool:
        """Whether the head asks for ``100 Continue`` before the body is sent.

        Until then the call certainly did not run. This matters for calls that are
        not idempotent and on connections that may be stale.
        """
        needed = not self._call.idempotent or self._may_be_stale
        return needed and self._may_expect_continue

    @property
    def _may_expect_continue(self) -> bool:
        has_body = self._call.body != b""
        return has_body and self._call.settings.traits.expect_continue

    async def open(self) -> None:
        """Get an idle or a new connection.

        A non-idempotent call without ``Expect`` gets a new one: if a stale connection
        failed, it would be unknown whether the call ran.
        """
        address = self._target.address
        if self._call.idempotent or self._may_expect_continue:
            await self._reuse_connection(address)
        if self._http is None:
            with self._step_timeout(
                self._call.policy.connect_timeout_ms, FailureKind.CONNECT
            ):
                self._http = await connect(address)

    async def _reuse_connection(self, address: str) -> None:
        """Take an idle connection, if there is one.

        After a long idle time it may be stale: it is then used only with
        ``Expect: 100-continue``, and otherwise closed.
        """
        entry = await self._pool.take(address, self._call.id)
        if entry is None:
            return
        limit = self._call.policy.doubt_after_idle_ms
        self._may_be_stale = self._pool.idle_ms(entry) > limit
        if self._may_be_stale and not self._may_expect_continue:
            await entry.http.close()
        else:
            self._http = entry.http

    async def send(self, headers: Headers, body: RequestBody) -> None:
        """Send the request head, and with it a small body that needs no ``Expect``."""
        request = self._request(headers)
        if self._expects_continue:
            await self._send_head_and_await_continue(request)
        else:
            self._record.advance(Verdict.MAY_HAVE_RUN)
            await self._send_without_continue(request, body)

    async def _send_head_and_await_continue(self, request: h11.Request) -> None:
        """Send the head and wait for ``100 Continue``."""
        policy = self._call.policy
        with self._step_timeout(policy.continue_timeout_ms, FailureKind.SILENT):
            await self._stream().send(request)
            event = await self._stream().next_event()
        if not _is_continue(event):
            raise EarlyAnswer(event)

    async def send_body(self, body: RequestBody) -> None:
        """Send a body that was not sent with the head."""
        self._record.advance(Verdict.MAY_HAVE_RUN)
        with self._step_timeout(
            self._call.policy.request_timeout_ms, FailureKind.SILENT
        ):
            async for chunk in body.chunks():
                await self._stream().send(h11.Data(data=chunk))
            await self._stream().send(h11.EndOfMessage())

    def needs_body(self) -> bool:
        """Return whether ``send_body`` must still be called."""
        return self._stream().protocol.our_state is h11.SEND_BODY

    async def _send_without_continue(
        self, request: h11.Request, body: RequestBody
    ) -> None:
        buffered = body.buffered
        with self._step_timeout(
            self._call.policy.first_byte_timeout_ms, FailureKind.SILENT
        ):
            if buffered is not None and len(buffered) <= READ_AHEAD_BYTES:
                data = [h11.Data(data=buffered)] if buffered else []
                await self._stream().send(request, *data, h11.EndOfMessage())
            else:
                await self._stream().send(request)

    def _request(self, headers: Headers) -> h11.Request:
        expect = ((b"Expect", b"100-continue"),) if self._expects_continue else ()
        return h11.Request(
            method=self._call.method, target=self._call.path, headers=headers + expect
        )

    async def receive_head(self, event: Any = None) -> h11.Response:
        """Receive and check the head of the final answer, starting with ``event``."""
        with self._step_timeout(
            self._call.policy.first_byte_timeout_ms, FailureKind.SILENT
        ):
            for _ in range(MAX_INTERIM_RESPONSES + 2):
                if isinstance(event, h11.Response):
                    break
                if event is not None and not isinstance(
                    event, h11.InformationalResponse
                ):
                    raise h11.RemoteProtocolError("closed before it answered")
                event = await self._stream().next_event()
            else:
                raise h11.RemoteProtocolError("too many interim responses")
        self._check_head(event)
        return event

    def _check_head(self, head: h11.Response) -> None:
        """Reject an answer whose end can't be detected, or with another call's id."""
        if framing_of(self._call.method.encode(), head) is Framing.UNTIL_CLOSE:
            raise self._failure(FailureKind.MALFORMED, "answer without a framed body")
        echoed = first_value(tuple(head.headers), b"yuccafold-call-id")
        if echoed is not None and echoed != self._call.id:
            raise self._failure(FailureKind.MALFORMED, "answer of another call")

    async def relay_body(self, write: Callable[[bytes], Awaitable[None]]) -> None:
        """Pass each part of the answer's body to ``write``; return at its end.

        The time between received parts is limited; the time in ``write`` isn't.
        """
        gap = self._call.policy.stream_gap_timeout_ms
        watch = StallWatch(gap / MS_PER_SECOND)

        async def step() -> bool:
            event = self._stream().protocol.next_event()
            if isinstance(event, h11.Data):
                await write(bytes(event.data))
                return True
            if event is h11.NEED_DATA:
                watch.receive_started()
                await self._stream().receive()
                watch.receive_ended()
                return True
            if isinstance(event, h11.EndOfMessage):
                return False
            raise self._failure(FailureKind.CLOSED, "closed inside its answer")

        try:
            await watch.run(step)
        except h11.RemoteProtocolError as error:
            raise self._protocol_failure(error) from error
        except (OSError, trio.BrokenResourceError) as error:
            raise self._connection_failure(error) from error
        if watch.stalled:
            reason = f"target silent for {gap} ms"
            raise self._failure(FailureKind.SILENT, reason)
        self._record.advance(Verdict.COMPLETE)

    def reported_not_run(self) -> AttemptFailed:
        """Return the failure for a trusted report that the call did not run."""
        return AttemptFailed(Verdict.NOT_RUN, FailureKind.REFUSED, "refused by target")

    async def close(self) -> None:
        """Return the connection to the pool if it is clean, else close it."""
        if self._http is None:
            return
        http, self._http = self._http, None
        ended = (
            http.protocol.our_state is h11.DONE
            and http.protocol.their_state is h11.DONE
        )
        if self._reusable and ended and not http.protocol.trailing_data[0]:
            http.protocol.start_next_cycle()
            await self._pool.put(self._target.address, http)
        else:
            await http.close()

    def _stream(self) -> HttpStream:
        if self._http is None:
            raise AssertionError("expected an open connection, got none")
        return self._http

    def _failure(self, kind: FailureKind, reason: str) -> AttemptFailed:
        self._reusable = False
        return AttemptFailed(self._record.verdict, kind, reason)

    def _protocol_failure(self, error: h11.RemoteProtocolError) -> AttemptFailed:
        """Return the failure for an answer that violates HTTP or closes early."""
        closed = self._http is not None and self._http.eof
        kind = FailureKind.CLOSED if closed else FailureKind.MALFORMED
        return self._failure(kind, f"target broke the protocol: {error}")

    def _connection_failure(self, error: Exception) -> AttemptFailed:
        """Return the failure for a connection that broke or could not be opened."""
        kind = FailureKind.CLOSED if self._http else FailureKind.CONNECT
        return self._failure(kind, f"connection to target failed: {error}")

    def _step_timeout(self, timeout_ms: int, timeout_kind: FailureKind) -> _StepTimeout:
        return _StepTimeout(self, timeout_ms, timeout_kind)


@final
class _StepTimeout:
    """Limits the time of a step and raises its errors as ``AttemptFailed``."""

    def __init__(
        self, exchange: Exchange, timeout_ms: int, timeout_kind: FailureKind
    ) -> None:
        self._exchange = exchange
        self._timeout_kind = timeout_kind
        self._timeout_ms = timeout_ms
        self._scope = trio.CancelScope(relative_deadline=timeout_ms / MS_PER_SECOND)

    def __enter__(self) -> None:
        self._scope.__enter__()

    def __exit__(self, kind: Any, error: BaseException | None, trace: Any) -> bool:
        swallowed = self._scope.__exit__(kind, error, trace)
        failed = self._exchange._failure
        if self._scope.cancelled_caught:
            reason = f"target silent for {self._timeout_ms} ms"
            raise failed(self._timeout_kind, reason) from None
        if isinstance(error, h11.RemoteProtocolError):
            raise self._exchange._protocol_failure(error) from error
        if isinstance(error, OSError | trio.BrokenResourceError):
            raise self._exchange._connection_failure(error) from error
        return bool(swallowed)


async def connect(address: str) -> HttpStream:
    """Open a new connection to ``address``."""
    host, port = address.rsplit(":", 1)
    stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
    return HttpStream(stream, h11.CLIENT, MAX_TARGET_HEAD_BYTES)


class EarlyAnswer(Exception):
    """A target sent something other than ``100 Continue``, usually its answer."""

    def __init__(self, event: Any) -> None:
        super().__init__("answered before the body was sent")
        self._event = event

    @property
    def event(self) -> Any:
        """The ``h11`` event that the target sent."""
        return self._event


def _is_continue(event: Any) -> bool:
    return (
        isinstance(event, h11.InformationalResponse) and event.status_code == CONTINUE
    )


@asynccontextmanager
async def exchange(
    call: Call, target: Target, pool: ConnectionPool
) -> AsyncIterator[Exchange]:
    """Return a context manager for one attempt that always releases its connection."""
    attempt = Exchange(call, target, pool)
    try:
        yield attempt
    finally:
        await attempt.close()


def forwarded_headers(call: Call, traceparent: str | None) -> Headers:
    """Return the headers of the request to a target, with those the router adds."""
    replaced = (b"authorization", b"content-length", b"expect", b"traceparent")
    kept = tuple(
        (name, value)
        for name, value in end_to_end(call.headers)
        if name not in replaced and not name.startswith(b"yuccafold-")
    )
    added = [
        (b"Yuccafold-Call-Id", call.id.encode()),
        (b"Yuccafold-Account", call.account.encode()),
        *_framing(call),
    ]
    if traceparent is not None:
        added.append((b"traceparent", traceparent.encode()))
    return kept + tuple(added)


def _framing(call: Call) -> Headers:
    """Return the header that frames the body: a length, chunked encoding or none."""
    if call.body is None:
        length = first_value(call.headers, b"content-length")
        if length is not None:
            return ((b"Content-Length", length.encode()),)
        return ((b"Transfer-Encoding", b"chunked"),)
    bodiless = not call.body and call.method in ("GET", "HEAD", "DELETE")
    return () if bodiless else ((b"Content-Length", str(len(call.body)).encode()),)
