"""Connections towards targets, and the exchange of one attempt on one of them."""

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
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.http import end_to_end
from yuccafold.http import first_value
from yuccafold.router._body import HOLD_BYTES
from yuccafold.router._body import RequestBody
from yuccafold.router._call import Call
from yuccafold.router._stall import StallWatch
from yuccafold.settings import Target

MAX_TARGET_HEAD_BYTES = 65_536
CONTINUE = 100
BODILESS_STATUSES = frozenset({204, 304})


class FailureKind(Enum):
    """How an attempt failed."""

    CONNECT = "connect"
    SILENT = "silent"
    CLOSED = "closed"
    MALFORMED = "malformed"
    REFUSED = "refused"
    LAPSED = "lapsed"

    @property
    def target_may_be_dead(self) -> bool:
        """Whether the failure is what a target that crashed looks like."""
        return self in (FailureKind.CONNECT, FailureKind.CLOSED)


class AttemptFailed(Exception):
    """An attempt that got no whole answer, with what is known of its run."""

    def __init__(self, verdict: Verdict, kind: FailureKind, reason: str) -> None:
        super().__init__(reason)
        self._verdict = verdict
        self._kind = kind

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return self._verdict

    @property
    def kind(self) -> FailureKind:
        """How it failed."""
        return self._kind


@final
class Exchange:
    """One attempt of one call on one target.

    Its task owns the connection. The verdict is decided here, where bytes
    meet the socket.
    """

    def __init__(self, call: Call, target: Target, pool: ConnectionPool) -> None:
        self._call = call
        self._target = target
        self._pool = pool
        self._record = VerdictRecord()
        self._http: HttpStream | None = None
        self._reusable = True
        self._is_doubtful = False

    @property
    def verdict(self) -> Verdict:
        """What is known so far about whether the call ran."""
        return self._record.verdict

    @property
    def _holds_body_back(self) -> bool:
        """Whether the target is asked before it gets the body."""
        needed = not self._call.idempotent or self._is_doubtful
        return needed and self._can_hold_back

    @property
    def _can_hold_back(self) -> bool:
        has_body = self._call.body != b""
        return has_body and self._call.settings.traits.expect_continue

    async def open(self) -> None:
        """Get a connection: a fresh one where a stale one would cost a doubt."""
        address = self._target.address
        if self._call.idempotent or self._can_hold_back:
            await self._reuse(address)
        if self._http is None:
            with self._guard(self._call.policy.connect_timeout_ms, FailureKind.CONNECT):
                self._http = await connect(address)

    async def _reuse(self, address: str) -> None:
        """Take an idle connection; one that may have gone silent is asked first."""
        entry = await self._pool.take(address)
        if entry is None:
            return
        limit = self._call.policy.doubt_after_idle_ms
        self._is_doubtful = self._pool.idle_ms(entry) > limit
        if self._is_doubtful and not self._can_hold_back:
            await entry.http.close()
        else:
            self._http = entry.http

    async def send(self, headers: Headers, body: RequestBody) -> None:
        """Send the request; a small body travels with the head."""
        request = self._request(headers)
        if self._holds_body_back:
            await self._ask_first(request)
        else:
            self._record.advance(Verdict.MAY_HAVE_RUN)
            await self._send_whole_or_head(request, body)

    async def _ask_first(self, request: h11.Request) -> None:
        """Send the head and wait until the target asks for the body."""
        policy = self._call.policy
        with self._guard(policy.continue_timeout_ms, FailureKind.SILENT):
            await self._stream().send(request)
            event = await self._stream().next_event()
        if not _is_continue(event):
            raise EarlyAnswer(event)

    async def send_body(self, body: RequestBody) -> None:
        """Send a body that did not travel with the head."""
        self._record.advance(Verdict.MAY_HAVE_RUN)
        with self._guard(self._call.policy.request_timeout_ms, FailureKind.SILENT):
            async for chunk in body.chunks():
                await self._stream().send(h11.Data(data=chunk))
            await self._stream().send(h11.EndOfMessage())

    def needs_body(self) -> bool:
        """Return whether ``send_body`` is still to be called."""
        return self._stream().http.our_state is h11.SEND_BODY

    async def _send_whole_or_head(
        self, request: h11.Request, body: RequestBody
    ) -> None:
        held = body.held
        with self._guard(self._call.policy.first_byte_timeout_ms, FailureKind.SILENT):
            if held is not None and len(held) <= HOLD_BYTES:
                data = [h11.Data(data=held)] if held else []
                await self._stream().send(request, *data, h11.EndOfMessage())
            else:
                await self._stream().send(request)

    def _request(self, headers: Headers) -> h11.Request:
        expect = ((b"Expect", b"100-continue"),) if self._holds_body_back else ()
        return h11.Request(
            method=self._call.method, target=self._call.path, headers=headers + expect
        )

    async def receive_head(self, event: Any = None) -> h11.Response:
        """Return the head of the final answer."""
        with self._guard(self._call.policy.first_byte_timeout_ms, FailureKind.SILENT):
            while not isinstance(event, h11.Response):
                if event is not None and not isinstance(
                    event, h11.InformationalResponse
                ):
                    raise h11.RemoteProtocolError("closed before it answered")
                event = await self._stream().next_event()
        self._check_head(event)
        return event

    def _check_head(self, head: h11.Response) -> None:
        """Refuse an answer whose end could not be told, or another call's."""
        names = {name for name, _ in head.headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        bodiless = self._call.method == "HEAD" or head.status_code in BODILESS_STATUSES
        if not framed and not bodiless:
            raise self._failed(FailureKind.MALFORMED, "answer without a framed body")
        echoed = first_value(tuple(head.headers), b"yuccafold-call-id")
        if echoed is not None and echoed != self._call.id:
            raise self._failed(FailureKind.MALFORMED, "answer of another call")

    async def pass_body(self, take: Callable[[bytes], Awaitable[None]]) -> None:
        """Give each part of the answer's body to ``take``; return after a whole one.

        The gap between parts is bounded; the time that ``take`` needs is not.
        """
        gap = self._call.policy.stream_gap_timeout_ms
        watch = StallWatch(gap / MS_PER_SECOND)

        async def step() -> bool:
            event = self._stream().http.next_event()
            if isinstance(event, h11.Data):
                await take(bytes(event.data))
                return True
            if event is h11.NEED_DATA:
                watch.receiving()
                await self._stream().receive()
                watch.received()
                return True
            if isinstance(event, h11.EndOfMessage):
                return False
            raise self._failed(FailureKind.CLOSED, "closed inside its answer")

        try:
            await watch.run(step)
        except h11.RemoteProtocolError as error:
            raise self._broken(error) from error
        except (OSError, trio.BrokenResourceError) as error:
            raise self._lost(error) from error
        if watch.stalled:
            reason = f"target silent for {gap} ms"
            raise self._failed(FailureKind.SILENT, reason)
        self._record.advance(Verdict.COMPLETE)

    def not_run_as_told(self) -> AttemptFailed:
        """Return the failure of a target that is trusted to say it did not run it."""
        return AttemptFailed(Verdict.NOT_RUN, FailureKind.REFUSED, "refused by target")

    async def close(self) -> None:
        """Put the connection back if it is proven clean, else drop it."""
        if self._http is None:
            return
        http, self._http = self._http, None
        ended = http.http.our_state is h11.DONE and http.http.their_state is h11.DONE
        if self._reusable and ended and not http.http.trailing_data[0]:
            http.http.start_next_cycle()
            await self._pool.put(self._target.address, http)
        else:
            await http.close()

    def _stream(self) -> HttpStream:
        if self._http is None:
            raise AssertionError("expected an open connection, got none")
        return self._http

    def _failed(self, kind: FailureKind, reason: str) -> AttemptFailed:
        self._reusable = False
        return AttemptFailed(self._record.verdict, kind, reason)

    def _broken(self, error: h11.RemoteProtocolError) -> AttemptFailed:
        """Return the failure of a target that sent no HTTP, or closed early."""
        closed = self._http is not None and self._http.eof
        kind = FailureKind.CLOSED if closed else FailureKind.MALFORMED
        return self._failed(kind, f"target broke the protocol: {error}")

    def _lost(self, error: Exception) -> AttemptFailed:
        """Return the failure of a connection that broke or did not open."""
        kind = FailureKind.CLOSED if self._http else FailureKind.CONNECT
        return self._failed(kind, f"connection to target failed: {error}")

    def _guard(self, timeout_ms: int, late: FailureKind) -> _Guard:
        return _Guard(self, timeout_ms, late)


@final
class _Guard:
    """Bounds a step in time and turns its errors into a failed attempt."""

    def __init__(self, exchange: Exchange, timeout_ms: int, late: FailureKind) -> None:
        self._exchange = exchange
        self._late = late
        self._timeout_ms = timeout_ms
        self._scope = trio.CancelScope(relative_deadline=timeout_ms / MS_PER_SECOND)

    def __enter__(self) -> None:
        self._scope.__enter__()

    def __exit__(self, kind: Any, error: BaseException | None, trace: Any) -> bool:
        swallowed = self._scope.__exit__(kind, error, trace)
        failed = self._exchange._failed
        if self._scope.cancelled_caught:
            reason = f"target silent for {self._timeout_ms} ms"
            raise failed(self._late, reason) from None
        if isinstance(error, h11.RemoteProtocolError):
            raise self._exchange._broken(error) from error
        if isinstance(error, OSError | trio.BrokenResourceError):
            raise self._exchange._lost(error) from error
        return bool(swallowed)


async def connect(address: str) -> HttpStream:
    """Return a new connection to ``address``."""
    host, port = address.rsplit(":", 1)
    stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
    return HttpStream(stream, h11.CLIENT, MAX_TARGET_HEAD_BYTES)


class EarlyAnswer(Exception):
    """A target that answered finally instead of asking for the body."""

    def __init__(self, event: Any) -> None:
        super().__init__("answered before the body was sent")
        self._event = event

    @property
    def event(self) -> Any:
        """What the target sent."""
        return self._event


def _is_continue(event: Any) -> bool:
    return (
        isinstance(event, h11.InformationalResponse) and event.status_code == CONTINUE
    )


@asynccontextmanager
async def exchange(
    call: Call, target: Target, pool: ConnectionPool
) -> AsyncIterator[Exchange]:
    """Run one attempt; whatever happens, its connection is put back or dropped."""
    attempt = Exchange(call, target, pool)
    try:
        yield attempt
    finally:
        await attempt.close()


def forwarded_headers(call: Call, traceparent: str | None) -> Headers:
    """Return the headers that a target gets with ``call``."""
    own = (b"authorization", b"content-length", b"expect", b"traceparent")
    kept = tuple(
        (name, value)
        for name, value in end_to_end(call.headers)
        if name not in own and not name.startswith(b"yuccafold-")
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
    """Return how the body's end is told to the target."""
    if call.body is None:
        length = first_value(call.headers, b"content-length")
        if length is not None:
            return ((b"Content-Length", length.encode()),)
        return ((b"Transfer-Encoding", b"chunked"),)
    bodiless = not call.body and call.method in ("GET", "HEAD", "DELETE")
    return () if bodiless else ((b"Content-Length", str(len(call.body)).encode()),)
