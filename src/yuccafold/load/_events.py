"""Parses the server-sent events of one streamed answer."""

from __future__ import annotations

import json
from typing import Any
from typing import final

EVENT_END = b"\n\n"
DONE = b"[DONE]"


@final
class EventReader:
    """Collects the text, usage, error and end of a stream of completion chunks."""

    def __init__(self) -> None:
        self._buffer = b""
        self._tokens: list[str] = []
        self._usage: dict[str, Any] | None = None
        self._finish_reason: str | None = None
        self._error: str | None = None
        self._done = False

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._tokens)

    @property
    def usage(self) -> dict[str, Any] | None:
        """The token usage, or ``None`` until it is received."""
        return self._usage

    @property
    def error(self) -> str | None:
        """The text of the stream's error event, or ``None``."""
        return self._error

    @property
    def is_whole(self) -> bool:
        """Whether a finish reason and ``[DONE]`` were received, and all is parsed."""
        return self._done and self._finish_reason is not None and not self._buffer

    def feed(self, data: bytes) -> int:
        """Parse a part of the body; return how many tokens it completed."""
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        before = len(self._tokens)
        for event in events:
            self._handle_event(event)
        return len(self._tokens) - before

    def _handle_event(self, event: bytes) -> None:
        lines = event.split(b"\n")
        parts = [line[5:].strip() for line in lines if line.startswith(b"data:")]
        if not parts:
            return
        data = b"\n".join(parts)
        if data == DONE:
            self._done = True
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self._error = str(chunk["error"])
            return
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk["choices"]:
            if choice["delta"].get("content"):
                self._tokens.append(choice["delta"]["content"])
            self._finish_reason = choice["finish_reason"] or self._finish_reason
