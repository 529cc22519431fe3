"""Relays answers to callers: in one piece when complete, or streams as they arrive."""

from __future__ import annotations

import re
from collections.abc import Awaitable
from collections.abc import Callable
from itertools import pairwise
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold.edge._attempts import Failure
from yuccafold.edge._call import Call
from yuccafold.edge._exchange import AttemptFailedError
from yuccafold.edge._exchange import Exchange
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._responder import EdgeResponder
from yuccafold.edge._responder import answer_headers
from yuccafold.http import Framing
from yuccafold.http import first_value

MAX_HELD_ANSWER_BYTES = 262_144
"""Answers up to this size are held until they are complete, so that a call whose answer
breaks off can be retried. Larger ones are relayed as they arrive."""

MAX_HELD_PIECES = 16_384
"""Pieces in which a held answer may come. A target that sends its answer byte by byte
is likely to go on, and each piece costs as much as a whole answer does."""

MAX_EVENT_ID_DIGITS = 18
"""Digits of an event's id; one of more of them doesn't count as a number."""

MAX_EVENT_BYTES = 262_144
"""Largest event of a stream that may be resumed: such events are sent on as a whole."""

FINISH_TIMEOUT = Milliseconds(250)
"""How long sending the rest of a whole answer may take, instead of the deadline of the
call. A stopping process has to exit within ``EXIT_MARGIN`` all the same; a caller that
reads takes a few ms."""

EVENT_STREAM = "text/event-stream"
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
"""A blank line ends an event, with any of the three line ends of event streams."""

LONGEST_EVENT_END = max(map(len, EVENT_ENDS))
EVENT_END = re.compile(b"|".join(EVENT_ENDS))
LINE_ENDS = re.compile(rb"[\r\n]")

EVENT_ID = b"id:"
COMMENT = b":"
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500


@final
class EventBoundary:
    """Tracks whether the data of one answer so far ends inside an event."""

    def __init__(self) -> None:
        self._tail = b""

    @property
    def is_at_start(self) -> bool:
        """Whether nothing was received."""
        return not self._tail

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and its end was not received."""
        return bool(self._tail) and not self._tail.endswith(EVENT_ENDS)

    def feed(self, data: bytes) -> None:
        """Record the next bytes of the answer."""
        tail = self._tail + data[-LONGEST_EVENT_END:]
        self._tail = tail[-LONGEST_EVENT_END:]


@final
class EventCursor:
    """Splits an event stream into whole events and drops those received before.

    An earlier target may have sent them before the stream was resumed at another, or
    another VM before the caller took it up after the event ``last_id``. What can't be
    placed in such a stream is not a part of it.
    Raises ``AttemptFailedError`` if an event is missing between two ids, or if one of a
    resumed stream has no id.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._partial = b""
        self._last_id = last_id
        self._is_resumed = last_id is not None
        self._highest_id: int | None = None

    @property
    def last_id(self) -> int | None:
        """The id of the last whole event, or ``None`` before the first."""
        return self._last_id

    @property
    def is_behind(self) -> bool:
        """Whether the present answer has events, but none as late as earlier answers.

        One without any may have had nothing left to send.
        """
        if self._highest_id is None or self._last_id is None:
            return False
        return self._highest_id < self._last_id

    def begin_answer(self) -> None:
        """Begin the answer of a target, and drop an incomplete event of another one."""
        self._partial = b""
        self._is_resumed = self._last_id is not None
        self._highest_id = None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes and that are new."""
        data = self._partial + data
        ends = [0, *(match.end() for match in EVENT_END.finditer(data))]
        self._partial = data[ends[-1] :]
        if len(self._partial) > MAX_EVENT_BYTES:
            detail = f"event of more than {MAX_EVENT_BYTES} bytes"
            raise AttemptFailedError(Failure.BROKEN, detail)
        events = (data[start:end] for start, end in pairwise(ends))
        return b"".join(event for event in events if self._accept(event))

    def _accept(self, event: bytes) -> bool:
        """Return whether ``event`` is new, and record its id.

        Events without a number as id are always new where a stream begins. Where it is
        resumed, only comments may have none.
        """
        event_id = _event_id(event)
        if event_id is None:
            if self._is_resumed and not _is_comment(event):
                detail = "event without an id in a resumed stream"
                raise AttemptFailedError(Failure.BROKEN, detail)
            return True
        self._highest_id = max(event_id, self._highest_id or 0)
        if self._last_id is not None:
            if event_id <= self._last_id:
                return False
            if event_id != self._last_id + 1:
                detail = f"expected event {self._last_id + 1}, got {event_id}"
                raise AttemptFailedError(Failure.BROKEN, detail)
        self._last_id = event_id
        return True


def _event_id(event: bytes) -> int | None:
    for line in LINE_ENDS.split(event):
        if line.startswith(EVENT_ID):
            return _event_number(line[len(EVENT_ID) :].strip())
    return None


def _event_number(text: bytes) -> int | None:
    """Return the id of an event as a number, ``None`` if it is none."""
    return int(text) if text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS else None


def _is_comment(event: bytes) -> bool:
    return all(not line or line.startswith(COMMENT) for line in LINE_ENDS.split(event))


@final
class HeldAnswer:
    """The body of an answer as far as it is held back.

    Raises ``AttemptFailedError`` if it comes in too many pieces.
    """

    def __init__(self) -> None:
        self._body = bytearray()
        self._pieces = 0

    @property
    def body(self) -> bytes:
        """What was received so far."""
        return bytes(self._body)

    @property
    def is_full(self) -> bool:
        """Whether it is longer than an answer that is held back."""
        return len(self._body) > MAX_HELD_ANSWER_BYTES

    def feed(self, data: bytes) -> None:
        """Add the next piece."""
        self._body += data
        self._pieces += 1
        if self._pieces > MAX_HELD_PIECES:
            detail = f"{len(self._body)} bytes in more than {MAX_HELD_PIECES} pieces"
            raise AttemptFailedError(Failure.BROKEN, detail)


async def claim_alone() -> None:
    """Claim a caller that no other attempt may answer."""


@final
class AnswerRelay:
    """Relays the answer of one call over all of its attempts.

    A server error of a target is held back, and sent to the caller only if no other
    target gives a better answer.
    """

    def __init__(self, call: Call, responder: EdgeResponder) -> None:
        self._call = call
        self._responder = responder
        resume_after = call.head.resume_after or ""
        self._cursor = EventCursor(_event_number(resume_after.encode()))
        self._held_error: tuple[h11.Response, bytes, Framing | None] | None = None
        self._version: SoftwareVersion | None = None
        self._is_stream_whole = False

    @property
    def version(self) -> SoftwareVersion | None:
        """The software version at which the stream must go on, ``None`` if any."""
        return self._version

    @property
    def started(self) -> bool:
        """Whether the answer to the caller has begun."""
        return self._responder.started

    @property
    def is_stream_whole(self) -> bool:
        """Whether the answer was a stream that came to its end."""
        return self._is_stream_whole

    @property
    def resume_after(self) -> str | None:
        """The id of the last event that was sent to the caller, if any."""
        last_id = self._cursor.last_id
        return str(last_id) if self.started and last_id is not None else None

    def require_version(self, version: SoftwareVersion) -> None:
        """Record at which software version the stream began."""
        self._version = version

    async def relay_answer(
        self,
        exchange: Exchange,
        head: h11.Response,
        on_start: Callable[[], None] = lambda: None,
        claim: Callable[[], Awaitable[None]] = claim_alone,
    ) -> None:
        """Relay an answer to the caller; ``on_start`` is called before a stream begins.

        ``claim`` is awaited before the first byte of any other answer is sent.
        Raises ``AttemptFailedError`` if it breaks off, is a server error, or can't
        continue a stream that the caller has received in part.
        """
        if head.status_code >= FIRST_SERVER_ERROR:
            await self._hold_error(exchange, head)
        is_stream = self._is_stream(head, exchange.framing)
        if self.started and not is_stream:
            detail = f"status {head.status_code} without events for a resumed stream"
            raise AttemptFailedError(Failure.BROKEN, detail)
        if is_stream:
            await self._relay_stream(exchange, head, on_start)
        else:
            await self._relay_whole(exchange, head, claim)

    async def send_held_error(self) -> bool:
        """Send the server error of an earlier target; return whether there was one."""
        if self._held_error is None or self.started:
            return False
        head, body, framing = self._held_error
        await self._send_whole(head, framing, body)
        return True

    def _is_stream(self, head: h11.Response, framing: Framing | None) -> bool:
        """Return whether an answer is a stream of events.

        An answer that doesn't say what it is continues no stream.
        """
        default = "" if self.started else EVENT_STREAM
        content_type = first_value(tuple(head.headers), b"content-type") or default
        return (
            self._call.admitted.route.streams
            and head.status_code < FIRST_REDIRECT
            and framing is not Framing.NO_BODY
            and content_type.lower().startswith(EVENT_STREAM)
        )

    async def _hold_error(self, exchange: Exchange, head: h11.Response) -> None:
        """Hold back a server error, and raise so that another target may be tried."""
        held = HeldAnswer()
        while (data := await exchange.receive()) is not None:
            held.feed(data)
            if held.is_full:
                detail = f"status {head.status_code} with too long a body"
                raise AttemptFailedError(Failure.BROKEN, detail)
        exchange.mark_complete()
        self._held_error = (head, held.body, exchange.framing)
        raise AttemptFailedError(Failure.ERROR, f"status {head.status_code}")

    async def _relay_whole(
        self,
        exchange: Exchange,
        head: h11.Response,
        claim: Callable[[], Awaitable[None]],
    ) -> None:
        """Relay an answer that is no stream, in one piece unless it is large.

        An unframed success without any body is no answer: its target may have ended
        right after the head.
        """
        held = HeldAnswer()
        is_begun = False
        while (data := await exchange.receive()) is not None:
            if is_begun:
                await self._responder.send(data)
                continue
            held.feed(data)
            if held.is_full:
                await claim()
                is_begun = True
                self._start(exchange.framing, head)
                await self._responder.send(held.body)
        is_success = head.status_code < FIRST_REDIRECT
        is_unframed = exchange.framing is Framing.UNTIL_CLOSE
        if is_success and is_unframed and exchange.body_bytes == 0:
            raise AttemptFailedError(Failure.BROKEN, "ended before its body")
        exchange.mark_complete()
        if is_begun:
            await self._finish()
        else:
            await claim()
            await self._send_whole(head, exchange.framing, held.body)

    async def _send_whole(
        self, head: h11.Response, framing: Framing | None, body: bytes
    ) -> None:
        """Send a whole answer; one without a body keeps the length that it states."""
        if framing is Framing.NO_BODY:
            self._start(framing, head)
            await self._finish()
        else:
            headers = answer_headers(head, framing)
            with _finish_scope():
                await self._responder.answer(head.status_code, headers, body, framing)

    async def _relay_stream(
        self, exchange: Exchange, head: h11.Response, on_start: Callable[[], None]
    ) -> None:
        """Relay a stream as it arrives, for resumable calls only in whole events.

        A stream that ends inside an event was broken off, however it is framed: the end
        of an unframed one looks the same if its target crashed.
        """
        resumable = self._call.repeatability is Repeatability.RESUMABLE
        boundary = EventBoundary()
        self._cursor.begin_answer()
        while (data := await exchange.receive()) is not None:
            boundary.feed(data)
            new_data = self._cursor.feed(data) if resumable else data
            if not new_data:
                continue
            if not self.started:
                on_start()
                self._start(exchange.framing, head)
            await self._responder.send(new_data)
        if boundary.is_inside_event:
            raise AttemptFailedError(Failure.BROKEN, "ended inside an event")
        if resumable and self._cursor.is_behind:
            detail = f"ended before event {self._cursor.last_id}, which was sent before"
            raise AttemptFailedError(Failure.BROKEN, detail)
        if boundary.is_at_start and exchange.framing is Framing.UNTIL_CLOSE:
            raise AttemptFailedError(Failure.BROKEN, "ended before its first event")
        exchange.mark_complete()
        self._is_stream_whole = True
        if not self.started:
            self._start(exchange.framing, head)
        await self._finish()

    async def _finish(self) -> None:
        with _finish_scope():
            await self._responder.finish()

    def _start(self, framing: Framing | None, head: h11.Response) -> None:
        headers = answer_headers(head, framing)
        self._responder.start(head.status_code, headers, framing)


def _finish_scope() -> trio.CancelScope:
    """Return a scope in which a whole answer is sent although its deadline passes."""
    return trio.CancelScope(
        shield=True, relative_deadline=FINISH_TIMEOUT / MS_PER_SECOND
    )
