"""How much slower than usual each target works at this moment."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from operator import attrgetter
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge.reports import newest

STATED_HALF_LIFE = Milliseconds(500)
"""Half-life of a stated slowdown: it changes several times a second."""

SEEN_HALF_LIFE = Milliseconds(2_000)
"""Half-life of a slowdown seen by durations: a VM sees a target every few seconds."""

STATED_LIFETIME = Milliseconds(2_000)
"""How long a statement is passed on, and kept once it no longer shapes a choice."""

SPEAKS_FOR = Milliseconds(10_000)
"""How long a service counts as one whose targets state their slowdown."""

TOLD_DIFFERENCE = 0.1
"""Difference from the usual from which others are told: less isn't noticed."""

SEEN_RATE = 0.3
"""Weight of the last call in a slowdown seen by durations: one call may be slow for
other reasons."""

MOST_SEEN = 8.0
"""Largest slowdown that is believed by durations alone."""


@final
@dataclass(frozen=True, slots=True)
class StatedPace:
    """A slowdown that a target stated, and when."""

    slowdown: float
    stated_at: Milliseconds


PaceTable = Mapping[TargetId, StatedPace]
"""Stated slowdowns by target."""


def newest_paces(tables: Iterable[PaceTable]) -> dict[TargetId, StatedPace]:
    """Return the newest statement of each target."""
    return newest(tables, attrgetter("stated_at"))


@final
class TargetPaces:
    """The pace of each target: what it states while fresh, else what calls took.

    All knowledge decays towards the usual pace, so that a target that nobody calls
    any more is tried again.
    """

    def __init__(self) -> None:
        self._stated: dict[TargetId, StatedPace] = {}
        self._seen: dict[TargetId, StatedPace] = {}

    def record_stated(
        self, target: TargetId, slowdown: float, now: Milliseconds
    ) -> None:
        """Record what a target stated in its answer."""
        self._stated[target] = StatedPace(slowdown, now)

    def record_told(self, paces: PaceTable, now: Milliseconds) -> None:
        """Record what targets stated to other VMs, where it is newer.

        Statements that say nothing any more are dropped.
        """
        self._stated = {
            target: pace
            for target, pace in newest_paces([self._stated, paces]).items()
            if now - pace.stated_at <= SPEAKS_FOR
        }
        self._seen = {
            target: seen
            for target, seen in self._seen.items()
            if now - seen.stated_at <= SPEAKS_FOR
        }

    def record_seen(self, target: TargetId, ratio: float, now: Milliseconds) -> None:
        """Record how long a call took as a multiple of what was expected."""
        believed = max(1 / MOST_SEEN, min(MOST_SEEN, ratio))
        known = self._seen_pace(target, now)
        self._seen[target] = StatedPace(known + SEEN_RATE * (believed - known), now)

    def pace(self, target: TargetId, now: Milliseconds) -> float:
        """Return how long work takes now as a multiple of the usual time."""
        stated = self._stated.get(target)
        if stated is None:
            return self._seen_pace(target, now)
        weight = _decay(now - stated.stated_at, STATED_HALF_LIFE)
        return weight * stated.slowdown + (1 - weight) * self._seen_pace(target, now)

    def is_stated(self, targets: Iterable[TargetId], now: Milliseconds) -> bool:
        """Return whether one of ``targets`` stated its slowdown lately."""
        return any(
            stated is not None and now - stated.stated_at <= SPEAKS_FOR
            for stated in map(self._stated.get, targets)
        )

    def unusual(self, now: Milliseconds) -> dict[TargetId, StatedPace]:
        """Return fresh statements that differ enough from the usual pace."""
        return {
            target: pace
            for target, pace in self._stated.items()
            if now - pace.stated_at <= STATED_LIFETIME
            and abs(pace.slowdown - 1) >= TOLD_DIFFERENCE
        }

    def known(self) -> list[TargetId]:
        """Return the targets that stated their slowdown."""
        return list(self._stated)

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._stated.pop(target, None)
        self._seen.pop(target, None)

    def _seen_pace(self, target: TargetId, now: Milliseconds) -> float:
        seen = self._seen.get(target)
        if seen is None:
            return 1.0
        return 1 + (seen.slowdown - 1) * _decay(now - seen.stated_at, SEEN_HALF_LIFE)


def _decay(age: int, half_life: Milliseconds) -> float:
    return 0.5 ** (max(0, age) / half_life)
