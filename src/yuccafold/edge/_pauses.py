"""Targets that turned a call away and want no others for some time."""

from __future__ import annotations

from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event

MAX_PAUSE = Milliseconds(3_600_000)
"""Longest pause that is kept. A target that asks for more would hardly be missed, but
its operator should not have to restart it to get calls again."""


@final
class TargetPauses:
    """Until when targets want no calls from this VM.

    A target asks each VM for itself, so other VMs aren't told.
    """

    def __init__(self) -> None:
        self._ends: dict[TargetId, Milliseconds] = {}

    def record_rejection(
        self,
        target: TargetId,
        pause: Milliseconds,
        now: Milliseconds,
        answered: str | None = None,
    ) -> None:
        """Record that a target turned a call away and wants no others for a time.

        An earlier answer may have asked for a longer one. ``answered`` is what the
        target was sent, for the log.
        """
        log_event(
            "target_paused",
            target=target,
            answered=answered,
            pause_ms=pause,
            paused_ms=self.time_left(target, now),
        )
        end = Milliseconds(now + min(pause, MAX_PAUSE))
        self._ends[target] = max(end, self._ends.get(target, end))

    def is_paused(self, target: TargetId, now: Milliseconds) -> bool:
        """Return whether a target wants no calls."""
        return self.time_left(target, now) > 0

    def time_left(self, target: TargetId, now: Milliseconds) -> Milliseconds:
        """Return for how long a target wants no calls."""
        return Milliseconds(max(0, self._ends.get(target, now) - now))

    def forget(self, target: TargetId, now: Milliseconds) -> None:
        """Drop the pause of a target that restarted or is gone."""
        left = self.time_left(target, now)
        if left:
            log_event("pause_dropped", target=target, paused_ms=left)
        self._ends.pop(target, None)
