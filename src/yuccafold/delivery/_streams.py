"""Tells a whole streamed answer from one that broke off."""

from __future__ import annotations

from enum import Enum
from typing import final

DONE_EVENT = b"[DONE]"
"""The data of the last event of a chat-completions stream."""


class StreamEnd(Enum):
    """How a streamed answer ended."""

    WHOLE = "whole"
    CUT = "cut"
    OVERLONG = "overlong"


@final
class StreamProgress:
    """Follows the events of one streamed answer.

    An answer is whole only when its last event came, nothing came after it,
    and the transport's framing ended as it should. Only then may the caller
    see a clean end; otherwise it gets an error event.
    """

    def __init__(self) -> None:
        self._is_done = False
        self._is_overlong = False

    def note_event(self, data: bytes) -> None:
        """Note the data of one server-sent event."""
        self._is_overlong = self._is_overlong or self._is_done
        self._is_done = self._is_done or data.strip() == DONE_EVENT

    def end(self, framing_complete: bool) -> StreamEnd:
        """Return how the answer ended, now that its transport did."""
        if self._is_overlong:
            return StreamEnd.OVERLONG
        return StreamEnd.WHOLE if self._is_done and framing_complete else StreamEnd.CUT
