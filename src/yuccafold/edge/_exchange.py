"""One attempt of a call: a request and its answer on one connection to a target."""

from __future__ import annotations

import socket
from dataclasses import replace
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge._attempts import Failure
from yuccafold.edge._call import Call
from yuccafold.edge._call import RunRecord
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.http import ConnectionPool
from yuccafold.http import Framing
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.http import framing_of

CONNECT_TIMEOUT = Milliseconds(300)
"""Connecting within a region takes a few ms. If the first packet is lost, it takes
seconds, so another target is tried instead."""

UNACKNOWLEDGED_TIMEOUT = Milliseconds(1_000)
"""How long sent data may stay unacknowledged before the connection counts as broken."""

KEEPALIVE_IDLE_S = 1
"""How long a connection is idle before the first keepalive probe."""

KEEPALIVE_INTERVAL_S = 1
"""Time between keepalive probes."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which the connection counts as broken."""

MAX_TARGET_HEAD_BYTES = 65_536

CALLER_BLOCK_TIME = Milliseconds(200)
"""How long a part of an answer is on its way to a caller that reads slowly."""

MAX_SKIPPED_HEADS = 16
"""Interim responses and answers to earlier calls that may precede an answer."""

MAX_SKIPPED_BYTES = 1_048_576
"""Size up to which an answer to an earlier call is read, so that its connection can be
kept."""

DEFAULT_IDLE_TIMEOUT = Milliseconds(1_500)
"""Idle timeout of a connection whose target states none."""

IDLE_TIMEOUT_MARGIN = Milliseconds(500)
"""Subtracted from the target's idle timeout for network delay and for a task of this
VM that is scheduled late."""

MAX_JOINED_BYTES = 65_536
"""Largest body that is copied to be sent in one write with its head."""

DISCARD_TIMEOUT = Milliseconds(50)
"""How long the body of a rejected answer is read; after that, the connection is closed
instead of reused."""

FIRST_CLIENT_ERROR = 400
BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})

MISDIRECTED_REQUEST_STATUS = 421

UNAVAILABLE_STATUS = 503
"""A target asks for a pause by ``Retry-After`` with this status only; with any other
one it is meant for one caller."""


class AttemptFailedError(Exception):
    """An attempt ended without a whole answer from the target."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self._failure = failure

    @property
    def failure(self) -> Failure:
        """How the attempt failed."""
        return self._failure


@final
class Exchange:
    """Sends one call and receives its answer.

    The task that runs the exchange owns the connection. Targets name the call that an
    answer belongs to; ``names_calls`` is false for VMs, whose refusals name none.
    """

    def __init__(
        self,
        call: Call,
        target: TargetRecord,
        pool: ConnectionPool,
        translator: CallTranslator,
        record: RunRecord,
        clock: Clock,
        names_calls: bool = True,
    ) -> None:
        self._call = call
        self._target = target
        self._pool = pool
        self._translator = translator
        self._record = record
        self._clock = clock
        self._names_calls = names_calls
        self._http: HttpStream | None = None
        self._connection: int | None = None
        self._request: h11.Request | None = None
        self._idle_timeout = DEFAULT_IDLE_TIMEOUT
        self._idle_time: Milliseconds | None = None
        self._framing: Framing | None = None
        self._facts: AnswerFacts | None = None
        self._failed_calls: frozenset[CallId] = frozenset()
        self._is_error = False
        self._has_succeeded = False
        self._is_skipping = False
        self._states_absent_body = False
        self._is_receiving = False
        self._received_at = clock.now()
        self._body_bytes = 0
        self._body_began_at: Milliseconds | None = None

    @property
    def target_id(self) -> TargetId:
        """The target that the call is sent to."""
        return self._target.id

    @property
    def connection(self) -> int | None:
        """The number of the connection; ``None`` before there is one."""
        return self._connection

    @property
    def idle_time(self) -> Milliseconds | None:
        """How long the reused connection was idle; ``None`` if it is new."""
        return self._idle_time

    @property
    def is_receiving(self) -> bool:
        """Whether the attempt waits for its target, rather than for its caller."""
        blocked_for = self._clock.now() - self._received_at
        return self._is_receiving or blocked_for < CALLER_BLOCK_TIME

    @property
    def facts(self) -> AnswerFacts | None:
        """What the head of the answer to this call said; ``None`` before it."""
        return self._facts

    @property
    def asked_for_pause(self) -> bool:
        """Whether the answer to this call said that the target wants no requests."""
        return self._facts is not None and self._facts.pause is not None

    @property
    def answered(self) -> bool:
        """Whether the head of an answer to this call was received."""
        return self._framing is not None

    @property
    def framing(self) -> Framing | None:
        """How the answer to this call is framed; ``None`` before its head."""
        return self._framing

    @property
    def body_bytes(self) -> int:
        """How many bytes of the answer's body were received."""
        return self._body_bytes

    @property
    def answering_time(self) -> Milliseconds | None:
        """How long ago the first byte of the body came; ``None`` before it."""
        if self._body_began_at is None:
            return None
        return Milliseconds(self._clock.now() - self._body_began_at)

    async def open(self, max_idle_time: Milliseconds | None) -> None:
        """Reuse a connection idle for at most ``max_idle_time``, or open a new one.

        ``None`` allows any idle time.
        """
        pooled = await self._pool.take(
            self._target.address, self._call.head.id, max_idle_time
        )
        if pooled is not None:
            self._http = pooled.http
            self._failed_calls = pooled.failed_calls
            self._connection = pooled.http.number
            self._idle_time = Milliseconds(self._pool.idle_ms(pooled))
            return
        try:
            with trio.fail_after(CONNECT_TIMEOUT / MS_PER_SECOND):
                self._http = await connect(self._target.address)
                self._connection = self._http.number
        except (OSError, ValueError, trio.TooSlowError) as error:
            raise AttemptFailedError(Failure.UNREACHABLE, repr(error)) from error

    async def send(self, headers: Headers) -> None:
        """Send the whole call; from the first byte on, it may run at the target.

        A target that has too many connections closes new ones before they carry a call.
        """
        http = self._stream()
        if not http.is_clean():
            detail = "connection was closed before the call was sent"
            raise AttemptFailedError(Failure.UNREACHABLE, detail)
        body = self._call.body
        framing: Headers = ()
        if body or self._call.method not in (b"GET", b"HEAD", b"DELETE"):
            framing = ((b"Content-Length", str(len(body)).encode()),)
        self._request = h11.Request(
            method=self._call.method,
            target=self._call.target,
            headers=[*headers, *framing],
        )
        data = http.encode(self._request)
        rest = http.encode(*([h11.Data(data=body)] if body else []), h11.EndOfMessage())
        writes = [data + rest] if len(rest) <= MAX_JOINED_BYTES else [data, rest]
        self._record.start_sending()
        try:
            for write in writes:
                await http.send_encoded(write)
        except (OSError, trio.BrokenResourceError) as error:
            raise AttemptFailedError(Failure.BROKEN, repr(error)) from error

    async def receive_head(self) -> tuple[h11.Response, AnswerFacts]:
        """Return the head of this call's answer, skipping answers to earlier calls.

        If it is cancelled, it can be called again and goes on from there.
        """
        if self._is_skipping:
            await self._skip_foreign_answer()
        for _ in range(MAX_SKIPPED_HEADS):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AttemptFailedError(Failure.BROKEN, "closed without an answer")
            facts = read_facts(self._translator, event)
            if self._is_own(facts):
                self._facts = facts
                self._is_error = event.status_code >= FIRST_CLIENT_ERROR
                self._framing = framing_of(self._call.method, event)
                self._states_absent_body = self._framing is Framing.NO_BODY and any(
                    name in BODY_HEADERS for name, _ in event.headers
                )
                break
            log_event(
                "answer_skipped",
                call=self._call.head.id,
                target=self._target.id,
                connection=self._connection,
                answers=facts.call_id,
                status=event.status_code,
                not_run=facts.not_run,
            )
            await self._skip_foreign_answer()
        else:
            detail = f"no answer in {MAX_SKIPPED_HEADS} heads"
            raise AttemptFailedError(Failure.BROKEN, detail)
        if facts.idle_timeout is not None:
            self._idle_timeout = facts.idle_timeout
        return event, facts

    async def check_answer(self, head: h11.Response, facts: AnswerFacts) -> None:
        """Raise ``AttemptFailedError`` for an unsigned answer or a call not run.

        Status 421 with the header for a call that was not run means that another target
        has the address now.
        """
        if facts.not_run:
            replaced = head.status_code == MISDIRECTED_REQUEST_STATUS
            self._record.mark_not_run(reached_target=not replaced)
            await self._discard_body()
            failure = Failure.REPLACED if replaced else Failure.REFUSED
            raise AttemptFailedError(failure, f"status {head.status_code}, not run")
        if not facts.signed:
            detail = f"status {head.status_code} without a signature"
            raise AttemptFailedError(Failure.BROKEN, detail)

    async def receive(self) -> bytes | None:
        """Return the next bytes of the answer's body, or ``None`` at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            if self._body_began_at is None:
                self._body_began_at = self._clock.now()
            self._body_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AttemptFailedError(Failure.BROKEN, "closed inside its answer")

    def mark_complete(self) -> None:
        """Record that the answer is whole, which its framing alone may not tell."""
        self._has_succeeded = not self._is_error
        self._record.mark_complete()

    async def close(self) -> None:
        """Return the connection to the pool if it can be reused, else close it."""
        http, self._http = self._http, None
        if http is None:
            return
        state = http.protocol
        is_complete = state.our_state is h11.DONE and state.their_state is h11.DONE
        keep_for = self._idle_timeout - IDLE_TIMEOUT_MARGIN
        is_leaving = self._facts is not None and self._facts.leaving
        is_named = not self._names_calls or (
            self._facts is not None and self._facts.call_id is not None
        )
        is_kept = is_complete and is_named and not is_leaving and keep_for > 0
        # A copy of an answer to HEAD would take that length from the next answer.
        is_kept = is_kept and not self._states_absent_body
        if not is_kept or state.trailing_data[0]:
            await http.close()
            return
        state.start_next_cycle()
        failed_calls = self._failed_calls
        if not self._has_succeeded:
            failed_calls |= {self._call.head.id}
        await self._pool.put(
            self._target.address, http, Milliseconds(keep_for), failed_calls
        )

    async def _discard_body(self) -> None:
        with trio.move_on_after(DISCARD_TIMEOUT / MS_PER_SECOND):
            while isinstance(await self._next_event(), h11.Data):
                pass

    def _is_own(self, facts: AnswerFacts) -> bool:
        """Return whether an answer belongs to this call.

        One that names no call may be a copy of an earlier answer, unless there was none
        on this connection.
        """
        if facts.call_id is None:
            return self._idle_time is None or not self._names_calls
        return facts.call_id == self._call.head.id

    async def _skip_foreign_answer(self) -> None:
        """Read an answer to an earlier call, and expect the answer to this call next.

        The parser expects one answer per request. So it is replaced by a new one that
        has seen this call's request, and gets the bytes that were not parsed yet.
        """
        self._is_skipping = True
        skipped_bytes = 0
        while isinstance(event := await self._next_event(), h11.Data):
            skipped_bytes += len(event.data)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                detail = "answer to an earlier call is too long to be skipped"
                raise AttemptFailedError(Failure.BROKEN, detail)
        http = self._stream()
        unread = http.protocol.trailing_data[0]
        connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_TARGET_HEAD_BYTES
        )
        if self._request is None:
            raise AssertionError("expected a request before its answer")
        connection.send(self._request)
        if self._call.body:
            connection.send(h11.Data(data=self._call.body))
        connection.send(h11.EndOfMessage())
        if unread:
            connection.receive_data(unread)
        http.replace_protocol(connection)
        self._is_skipping = False

    async def _next_event(self) -> object:
        self._is_receiving = True
        try:
            event = await self._stream().next_event()
            self._is_receiving = False
            self._received_at = self._clock.now()
            return event
        except h11.RemoteProtocolError as error:
            closed = self._stream().eof
            detail = "closed before its answer was whole" if closed else str(error)
            raise AttemptFailedError(Failure.BROKEN, detail) from error
        except (OSError, trio.BrokenResourceError) as error:
            raise AttemptFailedError(Failure.BROKEN, repr(error)) from error

    def _stream(self) -> HttpStream:
        if self._http is None:
            raise AssertionError("expected an open connection, got none")
        return self._http


def read_facts(translator: CallTranslator, head: h11.Response) -> AnswerFacts:
    """Return what the head of a target's answer says."""
    facts = translator.read_answer(tuple(head.headers))
    if head.status_code == UNAVAILABLE_STATUS:
        return facts
    return replace(facts, pause=None)


async def connect(address: str) -> HttpStream:
    """Open a connection to a target; raises ``OSError`` or ``ValueError``."""
    host, _, port = address.rpartition(":")
    raw_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await raw_socket.connect((host, int(port)))
        stream = trio.SocketStream(raw_socket)
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT
        )
        enable_keepalive(stream)
    except BaseException:
        raw_socket.close()
        raise
    return HttpStream(stream, h11.CLIENT, MAX_TARGET_HEAD_BYTES)


def enable_keepalive(stream: trio.SocketStream) -> None:
    """Have the kernel detect within seconds that the other side is gone."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
