"""Captures the log events of the code under test."""

from __future__ import annotations

import yuccafold._log


class LogCapture:
    """Records every event instead of writing it."""

    def __init__(self, monkeypatch):
        self._events = []
        monkeypatch.setattr(
            yuccafold._log, "_sink", lambda *event: self._events.append(event)
        )

    def fields(self, name):
        """Return the fields of the events called ``name``, the oldest first."""
        return [fields for event, fields in self._events if event == name]
