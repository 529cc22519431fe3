"""Structured events, one line of key=value pairs each."""

from __future__ import annotations

import json
import sys
from typing import Any
from typing import TextIO
from typing import final

import eliot

HIDDEN_FIELDS = frozenset({"task_uuid", "task_level"})


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


def log_to_stderr() -> None:
    """Send every event of this process to standard error."""
    eliot.add_destinations(LineDestination(sys.stderr))


def log_event(name: str, **fields: Any) -> None:
    """Log one event with its fields."""
    eliot.log_message(message_type=name, **fields)
