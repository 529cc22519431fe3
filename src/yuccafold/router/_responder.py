"""Writes one answer to a caller and knows how much of it is out."""

from __future__ import annotations

from typing import final

import h11
import trio

from yuccafold._verdict import Refusal
from yuccafold.http import REASONS
from yuccafold.http import CallerGone
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.router._errors import ErrorAnswer
from yuccafold.router._errors import error_event

EVENT_STREAM = "text/event-stream"


@final
class Responder:
    """The answer of one call on the caller's connection.

    ``base_headers`` go with every answer of the call.
    """

    def __init__(self, http: HttpStream, base_headers: Headers, close: bool) -> None:
        self._http = http
        self._base = base_headers
        self._close = close
        self._status = 0
        self._is_event_stream = False
        self._head: bytes = b""
        self._whole = False
        self._broken = False

    @property
    def started(self) -> bool:
        """Whether the head of an answer was written."""
        return self._status != 0

    @property
    def status(self) -> int:
        """The status that was written; 0 before."""
        return self._status

    @property
    def whole(self) -> bool:
        """Whether the answer was written to its end."""
        return self._whole

    @property
    def broken(self) -> bool:
        """Whether the answer was given up before its end."""
        return self._broken

    def add_header(self, name: bytes, value: bytes) -> None:
        """Send a header with whatever is answered; before ``start``."""
        self._base += ((name, value),)

    async def start(self, status: int, headers: Headers, event_stream: bool) -> None:
        """Take the head; it travels with the first bytes of the body."""
        closing = ((b"Connection", b"close"),) if self._close else ()
        self._status = status
        self._is_event_stream = event_stream
        response = h11.Response(
            status_code=status,
            headers=headers + self._base + closing,
            reason=REASONS.get(status, b""),
        )
        self._head = self._http.encode(response)
        if event_stream:
            await self._flush(b"")

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._flush(self._http.encode(h11.Data(data=data)))

    async def finish(self) -> None:
        """Send the end of the body; the answer was whole."""
        await self._flush(self._http.encode(h11.EndOfMessage()))
        self._whole = True

    async def answer(self, error: ErrorAnswer) -> None:
        """Send an answer of the router itself."""
        await self.start(error.status, error.headers, event_stream=False)
        data = self._http.encode(h11.Data(data=error.body), h11.EndOfMessage())
        await self._flush(data)
        self._whole = True

    async def break_off(self, refusal: Refusal) -> None:
        """Say that the answer is not whole, as far as its form allows.

        The message is never ended cleanly: the connection is closed before
        its end, so that no caller takes a part for the whole.
        """
        self._broken = True
        if self._is_event_stream and self._http.http.our_state is h11.SEND_BODY:
            await self._flush(self._http.encode(h11.Data(data=error_event(refusal))))

    async def _flush(self, data: bytes) -> None:
        head, self._head = self._head, b""
        if not head and not data:
            return
        try:
            await self._http.send_encoded(head + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
