"""Writes the answer of one call to the caller."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._verdict import Refusal
from yuccafold.http import AnswerWriter
from yuccafold.http import CallerGone
from yuccafold.http import Framing
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.http import end_to_end

REFUSAL_TIMEOUT = Milliseconds(15_000)
"""How long a caller may read nothing while it is sent a refusal: as long as it may stay
idle."""

NO_CONTENT = 204
CLOSE_HEADERS: Headers = ((b"Connection", b"close"),)


@final
class EdgeResponder(AnswerWriter):
    """The answer of one call on the caller's connection.

    ``is_last`` returns whether the connection closes after this answer. It is called
    when the head is set, so that callers leave a process that began to stop
    while the call ran.
    """

    def __init__(
        self, http: HttpStream, method: bytes, is_last: Callable[[], bool]
    ) -> None:
        super().__init__(http, method)
        self._is_last = is_last
        self._target_framing: Framing | None = None

    @property
    def target_framing(self) -> Framing | None:
        """The framing of the target's answer that is relayed; ``None`` without one."""
        return self._target_framing

    def close_after(self) -> None:
        """Have the connection close after this answer."""
        self._is_last = lambda: True

    def start(
        self, status: int, headers: Headers, target_framing: Framing | None = None
    ) -> None:
        """Set the head; it is sent together with the first bytes of the body."""
        self._target_framing = target_framing
        self.set_head(status, headers + (CLOSE_HEADERS if self._is_last() else ()))

    async def answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        target_framing: Framing | None = None,
    ) -> None:
        """Send a whole answer in one write."""
        length = ((b"Content-Length", str(len(body)).encode()),)
        self.start(status, headers + length, target_framing)
        await self.finish_with(body)

    async def refuse(self, refusal: Refusal, extra_headers: Headers = ()) -> None:
        """Send a refusal by the router as JSON."""
        content = {"error": refusal.code, "message": refusal.reason}
        headers: Headers = ((b"Content-Type", b"application/json"), *extra_headers)
        if refusal.retry_after_ms:
            seconds = f"{refusal.retry_after_ms / MS_PER_SECOND:.3f}"
            headers += ((b"Retry-After", seconds.encode()),)
        body = json.dumps(content).encode()
        with trio.move_on_after(REFUSAL_TIMEOUT / MS_PER_SECOND) as scope:
            await self.answer(refusal.status, headers, body)
        if scope.cancelled_caught:
            raise CallerGone


def answer_headers(head: h11.Response, framing: Framing | None) -> Headers:
    """Return the headers of a target's answer that are passed on to the caller.

    Hop-by-hop headers are left out, and so is the length of a body, which is framed
    anew. An answer without a body keeps it, as it is that of the answer to GET.
    """
    keeps_length = framing is Framing.NO_BODY and head.status_code != NO_CONTENT
    return tuple(
        (name, value)
        for name, value in end_to_end(tuple(head.headers))
        if keeps_length or name != b"content-length"
    )
