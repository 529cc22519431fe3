"""Targets that answered that they want no requests for some time."""

from __future__ import annotations

from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge._model import TargetRecord

MAX_PAUSE = Milliseconds(3_600_000)
"""Longest pause that is kept. A target that asks for more would hardly be missed, but
its operator should not have to restart it to get calls again."""


@final
class TargetPauses:
    """Until when targets want no requests from this VM.

    A target asks each VM for itself, so other VMs aren't told. A pause belongs to one
    start of a target: it outlasts an entry that lapses and comes back.
    """

    def __init__(self) -> None:
        self._ends: dict[tuple[TargetId, int], Milliseconds] = {}

    def record(
        self,
        target: TargetRecord,
        pause: Milliseconds,
        now: Milliseconds,
        answered: str,
    ) -> None:
        """Record that a target wants no requests for a time.

        An earlier answer may have asked for a longer one. ``answered`` is what the
        target was sent, for the log.
        """
        log_event(
            "target_paused",
            target=target.id,
            answered=answered,
            pause_ms=pause,
            paused_ms=self.time_left(target, now),
        )
        self._ends = {start: end for start, end in self._ends.items() if end > now}
        end = Milliseconds(now + min(pause, MAX_PAUSE))
        start = (target.id, target.born_ms)
        self._ends[start] = max(end, self._ends.get(start, end))

    def is_paused(self, target: TargetRecord, now: Milliseconds) -> bool:
        """Return whether a target wants no requests."""
        return self.time_left(target, now) > 0

    def time_left(self, target: TargetRecord, now: Milliseconds) -> Milliseconds:
        """Return for how long a target wants no requests."""
        end = self._ends.get((target.id, target.born_ms), now)
        return Milliseconds(max(0, end - now))
