"""Which zones the operator has evacuated, and for how long their targets may serve."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ZoneId

EVACUATION_MARGIN = Milliseconds(600)
"""Time for a call to reach its target, subtracted from the evacuation bound: twice the
longest time for connecting."""

LOST_EVACUATION_RETENTION = Milliseconds(30_000)
"""How long an evacuation stays in force that the store lost. Operators write what was
lost again within seconds."""


@final
@dataclass(frozen=True, slots=True)
class Evacuation:
    """The evacuation of a zone.

    ``since`` is the earliest time at which the store may have acknowledged it, ``None``
    if it may have been long ago. ``lost_at`` is set once the store came back from a
    copy that lacks it.
    """

    zone: ZoneId
    since: Milliseconds | None
    lost_at: Milliseconds | None = None


@final
class Evacuations:
    """The zones that are evacuated.

    ``within`` is the evacuation bound: how soon targets in such a zone must get no more
    calls.
    """

    def __init__(self, within: Milliseconds | None) -> None:
        grace = 0 if within is None else max(0, within - EVACUATION_MARGIN)
        self._grace = Milliseconds(grace)
        self._by_zone: dict[ZoneId, Evacuation] = {}

    def evacuate(
        self, zone: ZoneId, since: Milliseconds | None, now: Milliseconds
    ) -> bool:
        """Record an evacuation; return whether it was not in force."""
        if self.is_evacuated(zone, now):
            self._by_zone[zone] = replace(self._by_zone[zone], lost_at=None)
            return False
        self._by_zone[zone] = Evacuation(zone, since)
        return True

    def take_back(self, zone: ZoneId) -> bool:
        """Record that a zone was taken back; return whether it was evacuated."""
        return self._by_zone.pop(zone, None) is not None

    def record_loss(self, zone: ZoneId, now: Milliseconds) -> bool:
        """Record that the store lost an evacuation; return whether it is in force."""
        known = self._by_zone.get(zone)
        if known is None:
            return False
        if known.lost_at is None:
            self._by_zone[zone] = replace(known, lost_at=now)
        return True

    def is_evacuated(self, zone: ZoneId, now: Milliseconds) -> bool:
        """Return whether targets in ``zone`` get no calls that others can take."""
        known = self._by_zone.get(zone)
        return known is not None and (
            known.lost_at is None or now - known.lost_at < LOST_EVACUATION_RETENTION
        )

    def is_open(self, zone: ZoneId, now: Milliseconds) -> bool:
        """Return whether targets in ``zone`` may still get calls that no other takes.

        They may until shortly before the evacuation bound.
        """
        known = self._by_zone.get(zone)
        if known is None or not self.is_evacuated(zone, now):
            return True
        return known.since is not None and now - known.since < self._grace

    def zones(self, now: Milliseconds) -> list[ZoneId]:
        """Return the zones that are evacuated."""
        return [zone for zone in self._by_zone if self.is_evacuated(zone, now)]
