"""Writes one answer and tracks how much of it was sent."""

from __future__ import annotations

import h11
import trio

from yuccafold.http._framing import is_bodiless
from yuccafold.http._head import REASONS
from yuccafold.http._head import CallerGone
from yuccafold.http._stream import Headers
from yuccafold.http._stream import HttpStream


class AnswerWriter:
    """The answer of one call on the caller's connection.

    ``method`` is that of the request, empty if it could not be read. An answer that
    has no body by its method or status is sent without the data that it is given.
    Raises ``CallerGone`` if the connection can no longer be written to.
    """

    def __init__(self, http: HttpStream, method: bytes) -> None:
        self._http = http
        self._method = method
        self._is_bodiless = False
        self._status = 0
        self._head = b""
        self._whole = False
        self._body_bytes = 0

    @property
    def started(self) -> bool:
        """Whether the head of the answer was set."""
        return self._status != 0

    @property
    def status(self) -> int:
        """The status of the answer, or 0 before its head was set."""
        return self._status

    @property
    def whole(self) -> bool:
        """Whether the answer was sent completely."""
        return self._whole

    @property
    def body_bytes(self) -> int:
        """How many bytes of the body were sent."""
        return self._body_bytes

    def set_head(self, status: int, headers: Headers) -> None:
        """Set the head, which is sent with the first bytes of the body."""
        self._status = status
        self._is_bodiless = is_bodiless(self._method, status)
        response = h11.Response(
            status_code=status, headers=headers, reason=REASONS.get(status, b"")
        )
        self._head = self._http.encode(response)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._is_bodiless:
            await self._flush(self._http.encode(h11.Data(data=data)))
            self._body_bytes += len(data)

    async def finish(self) -> None:
        """Send the end of the body, which completes the answer."""
        await self.finish_with(b"")

    async def finish_with(self, data: bytes) -> None:
        """Send the last part of the body and its end in one write."""
        if self._is_bodiless:
            data = b""
        events = [h11.Data(data=data)] if data else []
        await self._flush(self._http.encode(*events, h11.EndOfMessage()))
        self._body_bytes += len(data)
        self._whole = True

    async def _flush(self, data: bytes) -> None:
        head, self._head = self._head, b""
        if not head and not data:
            return
        try:
            await self._http.send_encoded(head + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
