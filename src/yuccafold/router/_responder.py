"""Writes one answer to a caller and knows how much of it is out."""

from __future__ import annotations

from typing import final

import h11

from yuccafold._verdict import Refusal
from yuccafold.http import AnswerWriter
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.router._errors import ErrorAnswer
from yuccafold.router._errors import error_event

EVENT_STREAM = "text/event-stream"


@final
class Responder(AnswerWriter):
    """The answer of one call on the caller's connection.

    ``base_headers`` go with every answer of the call.
    """

    def __init__(self, http: HttpStream, base_headers: Headers, close: bool) -> None:
        super().__init__(http)
        self._base = base_headers
        self._close = close
        self._is_event_stream = False
        self._broken = False

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
        self._is_event_stream = event_stream
        self.take_head(status, headers + self._base + closing)
        if event_stream:
            await self._flush(b"")

    async def answer(self, error: ErrorAnswer) -> None:
        """Send an answer of the router itself."""
        await self.start(error.status, error.headers, event_stream=False)
        await self.finish_with(error.body)

    async def break_off(self, refusal: Refusal) -> None:
        """Say that the answer is not whole, as far as its form allows.

        The message is never ended cleanly: the connection is closed before
        its end, so that no caller takes a part for the whole.
        """
        self._broken = True
        if self._is_event_stream and self._http.http.our_state is h11.SEND_BODY:
            await self._flush(self._http.encode(h11.Data(data=error_event(refusal))))
