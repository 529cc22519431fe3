"""What this VM refuses at present, why, and since when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._verdict import Refusal

FORGET_AFTER = Milliseconds(300_000)
MAX_ROWS = 256


@final
@dataclass(slots=True)
class RefusalCount:
    """Refusals of one service for one reason; instants of the monotonic clock."""

    service: str
    code: str
    reason: str
    revision: int
    first: Milliseconds
    last: Milliseconds
    count: int = 0


@final
class RefusalLog:
    """Counts refusals by service and code, and forgets those that ceased."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], RefusalCount] = {}

    def note(
        self, service: str, refusal: Refusal, revision: int, now: Milliseconds
    ) -> None:
        """Count one refusal."""
        key = (service, refusal.code)
        row = self._rows.get(key)
        if row is None or now - row.last > FORGET_AFTER:
            if len(self._rows) >= MAX_ROWS:
                self._forget(now)
            row = RefusalCount(
                service, refusal.code, refusal.reason, revision, now, now
            )
            self._rows[key] = row
        row.count += 1
        row.last = now
        row.reason = refusal.reason
        row.revision = revision

    def recent(self, now: Milliseconds) -> list[RefusalCount]:
        """Return what was refused lately, the latest first."""
        rows = [row for row in self._rows.values() if now - row.last <= FORGET_AFTER]
        return sorted(rows, key=lambda row: row.last, reverse=True)

    def _forget(self, now: Milliseconds) -> None:
        oldest = min(self._rows, key=lambda key: self._rows[key].last)
        del self._rows[oldest]
