"""Structured log events, written as one line of key=value pairs each."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from typing import TextIO
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds

HIDDEN_FIELDS = frozenset({"task_uuid", "task_level"})
"""Fields that ``eliot`` adds to every event and that the lines leave out."""

MAX_PENDING_LINES = 400
"""How many lines may wait to be written; further ones are dropped and counted."""

MAX_LINES_PER_SECOND = 600
"""Four lines per call, for more calls per second than a half-core VM can handle."""


def render(event: dict[str, Any]) -> str:
    """Return ``event`` as one line.

    Values that are empty or contain spaces, quotes, ``=`` or unprintable characters
    are quoted as in JSON.
    """
    name_field = {"event": event.get("message_type", event.get("action_type", "event"))}
    other_fields = {
        key: value
        for key, value in event.items()
        if key not in HIDDEN_FIELDS and key not in ("message_type", "action_type")
    }
    return " ".join(
        f"{key}={_render_value(value)}"
        for key, value in (name_field | other_fields).items()
    )


def _render_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6f}"
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    return json.dumps(text)


@final
class LineDestination:
    """An ``eliot`` destination that writes each event as one line of text."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def __call__(self, event: dict[str, Any]) -> None:
        """Write one event; errors of a closed or broken stream are ignored."""
        try:
            self._stream.write(render(event) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            return


@final
class BoundedLines:
    """Buffers log lines and writes them without ever blocking on a slow reader.

    Lines that exceed the buffer or the rate limit are dropped and counted; the
    count is written as soon as there is room in the buffer.
    """

    def __init__(self, clock: Clock, file: int) -> None:
        self._clock = clock
        self._file = file
        self._pending: list[str] = []
        self._unwritten = b""
        self._dropped = 0
        self._window_start = Milliseconds(0)
        self._lines_in_window = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the count was last written."""
        return self._dropped

    def add(self, name: str, fields: dict[str, Any]) -> None:
        """Buffer one event, or drop it when the buffer is full or the rate exceeded."""
        now = self._clock.now()
        if now - self._window_start >= MS_PER_SECOND:
            self._window_start = now
            self._lines_in_window = 0
        self._lines_in_window += 1
        full = len(self._pending) >= MAX_PENDING_LINES
        if full or self._lines_in_window > MAX_LINES_PER_SECOND:
            self._dropped += 1
            return
        self._pending.append(render({"at_ms": now, "message_type": name} | fields))

    def flush(self) -> None:
        """Write as much as the file accepts without blocking."""
        if self._dropped and len(self._pending) < MAX_PENDING_LINES:
            event = {"message_type": "log_lines_dropped", "count": self._dropped}
            self._pending.append(render(event))
            self._dropped = 0
        if not self._unwritten and self._pending:
            self._unwritten = ("\n".join(self._pending) + "\n").encode()
            self._pending.clear()
        if not self._unwritten:
            return
        try:
            self._unwritten = self._unwritten[os.write(self._file, self._unwritten) :]
        except BlockingIOError:
            return
        except OSError:
            # The log has no reader any more; the router keeps serving without it.
            self._unwritten = b""


def _log_by_eliot(name: str, fields: dict[str, Any]) -> None:
    import eliot

    eliot.log_message(message_type=name, **fields)


_sink: Callable[[str, dict[str, Any]], None] = _log_by_eliot


def log_to_stderr() -> None:
    """Write every event of this process to standard error through ``eliot``."""
    import eliot

    eliot.add_destinations(LineDestination(sys.stderr))


def log_to_lines(lines: BoundedLines) -> None:
    """Write every event of this process to ``lines``, without importing ``eliot``."""
    global _sink
    _sink = lines.add


@contextmanager
def muted_log() -> Iterator[None]:
    """Drop the events of decisions that are only tried; nothing may be awaited."""
    global _sink
    sink, _sink = _sink, _drop
    try:
        yield
    finally:
        _sink = sink


def _drop(name: str, fields: dict[str, Any]) -> None:
    pass


def log_event(name: str, **fields: Any) -> None:
    """Log one event with its fields."""
    _sink(name, fields)
