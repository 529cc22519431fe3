"""The body of a call: held whole where it must be sent twice, else passed on."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import final

import h11

from yuccafold._verdict import Refusal
from yuccafold.http import CallerGone
from yuccafold.http import HttpStream
from yuccafold.router._errors import CallRefused
from yuccafold.router._errors import bad_request

HOLD_BYTES = 65_536
"""Bodies up to this size are always held, so that a retry can send them again."""


@final
class RequestBody:
    """The bytes that a caller sends with a call.

    ``hold`` reads ahead; what it could not hold is read by ``chunks``, once.
    """

    def __init__(self, http: HttpStream, limit: int) -> None:
        self._http = http
        self._limit = limit
        self._size = 0
        self._parts: list[bytes] = []
        self._whole = False
        self._streamed = False

    @property
    def held(self) -> bytes | None:
        """The whole body, or ``None`` when a part is still to come."""
        return b"".join(self._parts) if self._whole else None

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent to a target (again)."""
        return self._whole or not self._streamed

    async def hold(self, limit: int) -> None:
        """Read ahead up to ``limit`` bytes or the end."""
        while not self._whole and self._size < limit:
            data = await self._read()
            if data is None:
                self._whole = True
            else:
                self._parts.append(data)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; only a whole one can be read again."""
        if not self.replayable:
            raise AssertionError("expected a body that was not streamed before")
        for part in self._parts:
            yield part
        if self._whole:
            return
        self._streamed = True
        while (data := await self._read()) is not None:
            yield data

    async def _read(self) -> bytes | None:
        if self._http.http.they_are_waiting_for_100_continue:
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
