"""Writes one answer to a caller and knows how much of it is out."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._verdict import Refusal
from yuccafold.http import REASONS
from yuccafold.http import CallerGone
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.http import end_to_end

CLOSE: Headers = ((b"Connection", b"close"),)


@final
class EdgeResponder:
    """The answer of one call on the caller's connection.

    ``is_last`` is asked when the head goes out, so that callers leave a process
    that began to stop meanwhile.
    """

    def __init__(self, http: HttpStream, is_last: Callable[[], bool]) -> None:
        self._http = http
        self._is_last = is_last
        self._status = 0
        self._head = b""
        self._whole = False

    @property
    def started(self) -> bool:
        """Whether the head of an answer was taken."""
        return self._status != 0

    @property
    def status(self) -> int:
        """The status of the answer; 0 before."""
        return self._status

    @property
    def whole(self) -> bool:
        """Whether the answer was written to its end."""
        return self._whole

    def start(self, status: int, headers: Headers) -> None:
        """Take the head; it travels with the first bytes of the body."""
        self._status = status
        response = h11.Response(
            status_code=status,
            headers=headers + (CLOSE if self._is_last() else ()),
            reason=REASONS.get(status, b""),
        )
        self._head = self._http.encode(response)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._flush(self._http.encode(h11.Data(data=data)))

    async def finish(self) -> None:
        """Send the end of the body; the answer was whole."""
        await self._flush(self._http.encode(h11.EndOfMessage()))
        self._whole = True

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer as one write."""
        length = ((b"Content-Length", str(len(body)).encode()),)
        self.start(status, headers + length)
        events = [h11.Data(data=body)] if body else []
        await self._flush(self._http.encode(*events, h11.EndOfMessage()))
        self._whole = True

    async def refuse(self, refusal: Refusal) -> None:
        """Send an answer of the router itself."""
        body = {"error": refusal.code, "message": refusal.reason}
        headers: Headers = ((b"Content-Type", b"application/json"),)
        if refusal.retry_after_ms:
            seconds = f"{refusal.retry_after_ms / MS_PER_SECOND:.3f}"
            headers += ((b"Retry-After", seconds.encode()),)
        await self.answer(refusal.status, headers, json.dumps(body).encode())

    async def _flush(self, data: bytes) -> None:
        head, self._head = self._head, b""
        try:
            await self._http.send_encoded(head + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error


def answer_headers(headers: Headers) -> Headers:
    """Return a target's headers as the caller gets them, without the framing."""
    return tuple(
        (name, value)
        for name, value in end_to_end(headers)
        if name != b"content-length"
    )
