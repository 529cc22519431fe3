"""Writes one answer to a caller and tracks how much of it was sent."""

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

    ``base_headers`` are added to the head, whether the answer is the target's or
    an error. ``close`` adds ``Connection: close``.
    """

    def __init__(
        self, http: HttpStream, method: bytes, base_headers: Headers, close: bool
    ) -> None:
        super().__init__(http, method)
        self._base_headers = base_headers
        self._close = close
        self._is_event_stream = False
        self._aborted = False

    @property
    def aborted(self) -> bool:
        """Whether the answer was aborted before its end."""
        return self._aborted

    def close_after(self) -> None:
        """Have the connection close after this answer."""
        self._close = True

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the answer; has an effect only before ``start``."""
        self._base_headers += ((name, value),)

    async def start(self, status: int, headers: Headers, event_stream: bool) -> None:
        """Set the head, which is sent with the first bytes of the body.

        The head of an event stream is sent at once.
        """
        closing = ((b"Connection", b"close"),) if self._close else ()
        self._is_event_stream = event_stream
        self.set_head(status, headers + self._base_headers + closing)
        if event_stream:
            await self._flush(b"")

    async def answer(self, error: ErrorAnswer) -> None:
        """Send an error answer of the router itself."""
        await self.start(error.status, error.headers, event_stream=False)
        await self.finish_with(error.body)

    async def abort(self, refusal: Refusal) -> None:
        """Abort the answer; an event stream gets an error event first.

        The HTTP message is never ended cleanly: the connection is closed before
        its end, so that the caller detects that the answer is incomplete.
        """
        self._aborted = True
        if self._is_event_stream and self._http.protocol.our_state is h11.SEND_BODY:
            await self._flush(self._http.encode(h11.Data(data=error_event(refusal))))
