"""Structured events, one line of key=value pairs each."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any
from typing import TextIO
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds

HIDDEN_FIELDS = frozenset({"task_uuid", "task_level"})

MAX_PENDING_LINES = 400
"""Lines that wait to be written; later ones are counted and dropped."""

MAX_LINES_PER_SECOND = 600
"""Four lines each for more calls than a VM of half a core can carry."""


def render(event: dict[str, Any]) -> str:
    """Return ``event`` as one line; values with spaces are quoted as in JSON."""
    named = {"event": event.get("message_type", event.get("action_type", "event"))}
    rest = {
        key: value
        for key, value in event.items()
        if key not in HIDDEN_FIELDS and key not in ("message_type", "action_type")
    }
    return " ".join(f"{key}={_value(value)}" for key, value in (named | rest).items())


def _value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6f}"
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    return json.dumps(text)


@final
class LineDestination:
    """Writes each event of ``eliot`` as one line of text."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def __call__(self, event: dict[str, Any]) -> None:
        """Write one event; a stream that is gone is no reason to stop."""
        try:
            self._stream.write(render(event) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            return


@final
class BoundedLines:
    """Collects lines and writes them without ever waiting for the reader.

    What can't be written, or is over the rate, is dropped and counted; the
    count is written as soon as there is room again.
    """

    def __init__(self, clock: Clock, file: int) -> None:
        self._clock = clock
        self._file = file
        self._pending: list[str] = []
        self._rest = b""
        self._dropped = 0
        self._window = Milliseconds(0)
        self._in_window = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the count was written last."""
        return self._dropped

    def add(self, name: str, fields: dict[str, Any]) -> None:
        """Take one event."""
        now = self._clock.now()
        if now - self._window >= MS_PER_SECOND:
            self._window = now
            self._in_window = 0
        self._in_window += 1
        full = len(self._pending) >= MAX_PENDING_LINES
        if full or self._in_window > MAX_LINES_PER_SECOND:
            self._dropped += 1
            return
        self._pending.append(render({"at_ms": now, "message_type": name} | fields))

    def flush(self) -> None:
        """Write what fits now."""
        if self._dropped and len(self._pending) < MAX_PENDING_LINES:
            event = {"message_type": "log_lines_dropped", "count": self._dropped}
            self._pending.append(render(event))
            self._dropped = 0
        if not self._rest and self._pending:
            self._rest = ("\n".join(self._pending) + "\n").encode()
            self._pending.clear()
        if not self._rest:
            return
        try:
            self._rest = self._rest[os.write(self._file, self._rest) :]
        except BlockingIOError:
            return
        except OSError:
            # Nobody can read the log any more; serving goes on.
            self._rest = b""


def _log_by_eliot(name: str, fields: dict[str, Any]) -> None:
    import eliot

    eliot.log_message(message_type=name, **fields)


_sink: Callable[[str, dict[str, Any]], None] = _log_by_eliot


def log_to_stderr() -> None:
    """Send every event of this process to standard error, by ``eliot``."""
    import eliot

    eliot.add_destinations(LineDestination(sys.stderr))


def log_to_lines(lines: BoundedLines) -> None:
    """Send every event of this process to ``lines``, without loading ``eliot``."""
    global _sink
    _sink = lines.add


def log_event(name: str, **fields: Any) -> None:
    """Log one event with its fields."""
    _sink(name, fields)
