"""Recent refusals of this VM by service and code, for operators."""

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
    """Count of refusals of one service with one code; times are monotonic."""

    service: str
    code: str
    reason: str
    revision: int
    first_at: Milliseconds
    last_at: Milliseconds
    count: int = 0


@final
class RefusalLog:
    """Counts refusals by service and code; drops counts without recent refusals."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], RefusalCount] = {}

    def record(
        self, service: str, refusal: Refusal, revision: int, now: Milliseconds
    ) -> None:
        """Count one refusal."""
        key = (service, refusal.code)
        row = self._rows.get(key)
        if row is None or now - row.last_at > FORGET_AFTER:
            if len(self._rows) >= MAX_ROWS:
                self._evict_oldest(now)
            row = RefusalCount(
                service, refusal.code, refusal.reason, revision, now, now
            )
            self._rows[key] = row
        row.count += 1
        row.last_at = now
        row.reason = refusal.reason
        row.revision = revision

    def recent(self, now: Milliseconds) -> list[RefusalCount]:
        """Return the counts with recent refusals, the most recent first."""
        rows = [row for row in self._rows.values() if now - row.last_at <= FORGET_AFTER]
        return sorted(rows, key=lambda row: row.last_at, reverse=True)

    def _evict_oldest(self, now: Milliseconds) -> None:
        oldest = min(self._rows, key=lambda key: self._rows[key].last_at)
        del self._rows[oldest]
