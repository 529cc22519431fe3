"""The body of a call, buffered for retries or streamed to the target."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import final

import h11

from yuccafold._verdict import Refusal
from yuccafold.http import CallerGone
from yuccafold.http import HttpStream
from yuccafold.router._errors import CallRefused
from yuccafold.router._errors import bad_request

READ_AHEAD_BYTES = 65_536
"""Smaller bodies are always buffered, so that a retry can resend them.

A buffered body of at most this size is sent in one write with the request head.
"""


@final
class RequestBody:
    """The body that a caller sends with a call.

    ``read_ahead`` buffers the start of the body. ``chunks`` yields the buffer and
    then reads the rest from the caller, which is possible only once. ``on_buffered``
    is called with what the buffer holds, each time that it has grown.
    """

    def __init__(
        self, http: HttpStream, limit: int, on_buffered: Callable[[int], None]
    ) -> None:
        self._http = http
        self._limit = limit
        self._on_buffered = on_buffered
        self._size = 0
        self._parts: list[bytes] = []
        self._complete = False
        self._streamed = False

    @property
    def buffered(self) -> bytes | None:
        """The complete body, or ``None`` if a part of it has not been buffered."""
        return b"".join(self._parts) if self._complete else None

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent to a target from its start."""
        return self._complete or not self._streamed

    async def read_ahead(self, limit: int) -> None:
        """Buffer the body until it has ended or at least ``limit`` bytes were read."""
        while not self._complete and self._size < limit:
            data = await self._read()
            if data is None:
                self._complete = True
            else:
                self._parts.append(data)
                self._on_buffered(self._size)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; a second time only if it was buffered completely."""
        if not self.replayable:
            raise AssertionError("expected a body that was not streamed before")
        for part in self._parts:
            yield part
        if self._complete:
            return
        self._streamed = True
        while (data := await self._read()) is not None:
            yield data

    async def _read(self) -> bytes | None:
        if self._http.protocol.they_are_waiting_for_100_continue:
            await self._http.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        event = await self._http.next_event()
        if isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > self._limit:
                raise CallRefused(self._too_large())
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise CallerGone

    def _too_large(self) -> Refusal:
        reason = f"expected a body of at most {self._limit} bytes, got more"
        return bad_request(reason, 413, "body_too_large")
