"""One attempt of a call on one connection to one target."""

from __future__ import annotations

import socket
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold.edge._attempts import Failure
from yuccafold.edge._call import Call
from yuccafold.edge._call import RunRecord
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.http import ConnectionPool
from yuccafold.http import Headers
from yuccafold.http import HttpStream

CONNECT_TIMEOUT = Milliseconds(300)
"""A connection within a region takes a few ms; a lost first packet takes seconds."""

UNACKNOWLEDGED_TIMEOUT = Milliseconds(1_000)
"""When a target whose system acknowledges nothing is taken for gone."""

KEEPALIVE_IDLE_S = 1
"""Seconds of silence before the target's system is asked whether it is there."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds between such questions."""

KEEPALIVE_PROBES = 2
"""Unanswered questions after which the target is taken for gone."""

MAX_TARGET_HEAD_BYTES = 65_536

UNSTATED_IDLE_TIMEOUT = Milliseconds(1_500)
"""How long a connection is kept whose target states no timeout."""

IDLE_MARGIN = Milliseconds(500)
"""Taken off a stated idle timeout for the way there and a late wake-up."""

DISCARD_TIMEOUT = Milliseconds(50)
"""How long the rest of an unwanted answer may take; else the connection closes."""

MISDIRECTED = 421


class AttemptFailedError(Exception):
    """An attempt without a whole answer of the target."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self._failure = failure

    @property
    def failure(self) -> Failure:
        """How it failed."""
        return self._failure


@final
class Exchange:
    """Sends one call and receives its answer; its task owns the connection."""

    def __init__(
        self,
        call: Call,
        target: TargetRecord,
        pool: ConnectionPool,
        translator: CallTranslator,
        record: RunRecord,
    ) -> None:
        self._call = call
        self._target = target
        self._pool = pool
        self._translator = translator
        self._record = record
        self._http: HttpStream | None = None
        self._request: h11.Request | None = None
        self._idle_timeout = UNSTATED_IDLE_TIMEOUT
        self._rested: Milliseconds | None = None
        self._answered = False

    @property
    def rested(self) -> Milliseconds | None:
        """How long the connection was idle before; ``None`` if it is new."""
        return self._rested

    @property
    def answered(self) -> bool:
        """Whether the target began an answer to the call."""
        return self._answered

    async def open(self, longest_rest: Milliseconds | None) -> None:
        """Take a connection that rested no longer, or make a new one."""
        entry = await self._pool.take(self._target.address, longest_rest)
        if entry is not None:
            self._http = entry.http
            self._rested = Milliseconds(self._pool.idle_ms(entry))
            return
        try:
            with trio.fail_after(CONNECT_TIMEOUT / MS_PER_SECOND):
                self._http = await _connect(self._target.address)
        except (OSError, ValueError, trio.TooSlowError) as error:
            raise AttemptFailedError(Failure.UNREACHABLE, repr(error)) from error

    async def send(self, headers: Headers) -> None:
        """Send the whole call; from the first byte on it may run."""
        body = self._call.body
        framing: Headers = ()
        if body or self._call.method not in (b"GET", b"HEAD", b"DELETE"):
            framing = ((b"Content-Length", str(len(body)).encode()),)
        self._request = h11.Request(
            method=self._call.method,
            target=self._call.target,
            headers=[*headers, *framing],
        )
        http = self._stream()
        data = http.encode(
            self._request, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()
        )
        self._record.start_sending()
        try:
            await http.send_encoded(data)
        except (OSError, trio.BrokenResourceError) as error:
            raise AttemptFailedError(Failure.BROKEN, repr(error)) from error

    async def receive_head(self) -> tuple[h11.Response, AnswerFacts]:
        """Return the head of this call's answer; answers of other calls are skipped."""
        while True:
            event = await self._event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AttemptFailedError(Failure.BROKEN, "closed without an answer")
            facts = self._translator.read_answer(tuple(event.headers))
            if facts.call_id in (None, self._call.head.id):
                self._answered = True
                break
            await self._skip_answer()
        if facts.idle_timeout is not None:
            self._idle_timeout = facts.idle_timeout
        await self._check(event, facts)
        return event, facts

    async def receive(self) -> bytes | None:
        """Return the next bytes of the answer's body, ``None`` at its end."""
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._record.complete()
            return None
        raise AttemptFailedError(Failure.BROKEN, "closed inside its answer")

    async def close(self) -> None:
        """Keep the connection if its exchange ended cleanly, else drop it."""
        http, self._http = self._http, None
        if http is None:
            return
        state = http.http
        ended = state.our_state is h11.DONE and state.their_state is h11.DONE
        keep = self._idle_timeout - IDLE_MARGIN
        if not ended or state.trailing_data[0] or keep <= 0:
            await http.close()
            return
        state.start_next_cycle()
        await self._pool.put(self._target.address, http, Milliseconds(keep))

    async def _check(self, head: h11.Response, facts: AnswerFacts) -> None:
        """Raise unless ``head`` begins the target's own answer to the call."""
        if facts.not_run:
            replaced = head.status_code == MISDIRECTED
            self._record.not_run(counts=not replaced)
            await self._discard_body()
            failure = Failure.REPLACED if replaced else Failure.REFUSED
            raise AttemptFailedError(failure, f"status {head.status_code}, not run")
        if not facts.signed:
            detail = f"status {head.status_code} without a signature"
            raise AttemptFailedError(Failure.BROKEN, detail)

    async def _discard_body(self) -> None:
        with trio.move_on_after(DISCARD_TIMEOUT / MS_PER_SECOND):
            while isinstance(await self._event(), h11.Data):
                pass

    async def _skip_answer(self) -> None:
        """Read an answer that belongs to an earlier call, and expect ours next."""
        while isinstance(await self._event(), h11.Data):
            pass
        http = self._stream()
        rest = http.http.trailing_data[0]
        renewed = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_TARGET_HEAD_BYTES
        )
        if self._request is None:
            raise AssertionError("expected a request before its answer")
        renewed.send(self._request)
        if self._call.body:
            renewed.send(h11.Data(data=self._call.body))
        renewed.send(h11.EndOfMessage())
        if rest:
            renewed.receive_data(rest)
        http.renew(renewed)

    async def _event(self) -> object:
        try:
            return await self._stream().next_event()
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


async def _connect(address: str) -> HttpStream:
    host, _, port = address.rpartition(":")
    connecting = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await connecting.connect((host, int(port)))
        stream = trio.SocketStream(connecting)
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT
        )
        keep_alive(stream)
    except BaseException:
        connecting.close()
        raise
    return HttpStream(stream, h11.CLIENT, MAX_TARGET_HEAD_BYTES)


def keep_alive(stream: trio.SocketStream) -> None:
    """Have the system notice within seconds when the other side is gone."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
