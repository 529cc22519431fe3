"""Detects whether a streamed answer is complete or was cut off."""

from __future__ import annotations

from enum import Enum
from typing import final

DONE_EVENT = b"[DONE]"
"""Data of the last event of a chat-completions stream."""


class StreamEnd(Enum):
    """How a streamed answer ended."""

    WHOLE = "whole"
    CUT = "cut"
    OVERLONG = "overlong"


@final
class StreamProgress:
    """Tracks the events of one streamed answer.

    An answer is complete only if its last event was received, no event followed
    it, and the transport's framing ended correctly. Only then may the stream to
    the caller end normally; otherwise the caller gets an error event.
    """

    def __init__(self) -> None:
        self._is_done = False
        self._is_overlong = False

    def record_event(self, data: bytes) -> None:
        """Record the data of one server-sent event."""
        self._is_overlong = self._is_overlong or self._is_done
        self._is_done = self._is_done or data.strip() == DONE_EVENT

    def end(self, framing_complete: bool) -> StreamEnd:
        """Return how the answer ended, after the end of its transport."""
        if self._is_overlong:
            return StreamEnd.OVERLONG
        return StreamEnd.WHOLE if self._is_done and framing_complete else StreamEnd.CUT
