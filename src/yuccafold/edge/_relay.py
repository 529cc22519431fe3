"""Passes answers on: whole ones at once, streams as their events arrive."""

from __future__ import annotations

from typing import final

import h11

from yuccafold.edge._attempts import Failure
from yuccafold.edge._call import Call
from yuccafold.edge._exchange import AttemptFailedError
from yuccafold.edge._exchange import Exchange
from yuccafold.edge._model import Repeatability
from yuccafold.edge._responder import EdgeResponder
from yuccafold.edge._responder import answer_headers

HELD_ANSWER_BYTES = 262_144
"""Answers up to this size are held until whole, so that a broken one can be retried."""

EVENT_END = b"\n\n"
EVENT_ID = b"id:"
FIRST_SERVER_ERROR = 500


@final
class EventCursor:
    """Cuts a stream into whole events and drops those that came before.

    Raises ``AttemptFailedError`` where an event is missing.
    """

    def __init__(self) -> None:
        self._partial = b""
        self._last: int | None = None

    @property
    def last_id(self) -> int | None:
        """The id of the last whole event; ``None`` before the first."""
        return self._last

    @property
    def has_partial(self) -> bool:
        """Whether a part of an event waits for its end."""
        return bool(self._partial)

    def restart(self) -> None:
        """Drop the event that the former target did not finish."""
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the new whole events that ``data`` completes."""
        *events, self._partial = (self._partial + data).split(EVENT_END)
        return b"".join(event + EVENT_END for event in events if self._is_new(event))

    def _is_new(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            return True
        if self._last is not None:
            if number <= self._last:
                return False
            if number != self._last + 1:
                detail = f"expected event {self._last + 1}, got {number}"
                raise AttemptFailedError(Failure.BROKEN, detail)
        self._last = number
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(EVENT_ID):
            text = line[len(EVENT_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None


@final
class AnswerRelay:
    """The answer of one call over all of its attempts.

    ``kept`` is a server error that a target gave and that is passed on unless
    another target does better.
    """

    def __init__(self, call: Call, responder: EdgeResponder) -> None:
        self._call = call
        self._responder = responder
        self._cursor = EventCursor()
        self._kept: tuple[h11.Response, bytes] | None = None

    @property
    def started(self) -> bool:
        """Whether a part of the answer is out."""
        return self._responder.started

    @property
    def resume_after(self) -> str | None:
        """The id of the last event that the caller has, if there is one."""
        last = self._cursor.last_id
        return str(last) if self.started and last is not None else None

    async def pass_on(self, exchange: Exchange, head: h11.Response) -> None:
        """Pass the answer on; raises ``AttemptFailedError`` unless it was whole."""
        if head.status_code >= FIRST_SERVER_ERROR:
            await self._keep_error(exchange, head)
        if self.started and not 200 <= head.status_code < 300:
            detail = f"status {head.status_code} for a resumed stream"
            raise AttemptFailedError(Failure.BROKEN, detail)
        if self._call.admitted.route.streams and head.status_code < 300:
            await self._pass_stream(exchange, head)
        else:
            await self._pass_whole(exchange, head)

    async def pass_kept(self) -> bool:
        """Pass on the error that an earlier target gave; return whether there is."""
        if self._kept is None or self.started:
            return False
        head, body = self._kept
        headers = answer_headers(tuple(head.headers))
        await self._responder.answer(head.status_code, headers, body)
        return True

    async def _keep_error(self, exchange: Exchange, head: h11.Response) -> None:
        """Hold a target's error back; another target may do better."""
        body = b""
        while (data := await exchange.receive()) is not None:
            body += data
        self._kept = (head, body)
        raise AttemptFailedError(Failure.ERROR, f"status {head.status_code}")

    async def _pass_whole(self, exchange: Exchange, head: h11.Response) -> None:
        headers = answer_headers(tuple(head.headers))
        held = bytearray()
        while (data := await exchange.receive()) is not None:
            if self.started:
                await self._responder.send(data)
                continue
            held += data
            if len(held) > HELD_ANSWER_BYTES:
                self._responder.start(head.status_code, headers)
                await self._responder.send(bytes(held))
        if self.started:
            await self._responder.finish()
        else:
            await self._responder.answer(head.status_code, headers, bytes(held))

    async def _pass_stream(self, exchange: Exchange, head: h11.Response) -> None:
        """Send events as they arrive; those of resumable calls only once whole."""
        resumable = self._call.repeatability is Repeatability.RESUMABLE
        self._cursor.restart()
        while (data := await exchange.receive()) is not None:
            part = self._cursor.feed(data) if resumable else data
            if not part:
                continue
            if not self.started:
                headers = answer_headers(tuple(head.headers))
                self._responder.start(head.status_code, headers)
            await self._responder.send(part)
        if self._cursor.has_partial:
            raise AttemptFailedError(Failure.BROKEN, "ended inside an event")
        if not self.started:
            self._responder.start(head.status_code, answer_headers(tuple(head.headers)))
        await self._responder.finish()
