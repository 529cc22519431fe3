"""Chooses a target of a small service by the expected time to its answer."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._placement import OTHER_ZONE_PENALTY_CALLS
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._view import KnownTarget
from yuccafold.edge.plain._occupancy import LIKELY_FREE
from yuccafold.edge.plain._occupancy import Occupancy
from yuccafold.edge.plain._pace import AnswerPaces

CLEARLY_WORSE = 1.8
"""Multiple of the least slowdown from which calls leave the local zone. Below it, the
estimates may differ by what is over already: a target that is slow half of the time
is no worse than another one that is."""

CALM_UTILIZATION = 0.4
"""Share of slots taken up to which calls hardly ever wait for one."""

BUSY_UTILIZATION = 0.7
"""Share of slots taken from which many calls wait for one."""

CURRENTLY_WORSE = 1.25
"""Multiple of the least current slowdown from which calls leave the local zone. What a
target stated to this VM is known to no other one, so VMs don't all leave by it."""

CURRENT_SHARPNESS = 8
"""Power by which a target is chosen less often for what it stated to this VM."""

MAX_SHIFTED_SHARE = 0.5
"""Most of a zone's calls that leave it as its slots are taken. What VMs know of each
other's calls is older than calls last, so a stronger answer would swing."""

SHIFT_RANGE = 0.6
"""Share of slots above the mean at which that part of the calls leaves."""


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """A target with what is expected of it.

    ``slowdown`` is how many times longer than usual work takes there by what all VMs
    know, ``current_slowdown`` with what the target stated to this VM, and
    ``relative_wait`` how long a call waits for a slot, as a multiple of its work.
    """

    known: KnownTarget
    calls: float
    slowdown: float
    current_slowdown: float
    relative_wait: float
    has_free_slot: bool

    @property
    def record(self) -> TargetRecord:
        """The record of the target."""
        return self.known.record

    @property
    def relative_time(self) -> float:
        """The expected time to the answer as a multiple of the usual work."""
        return self.slowdown * (1 + self.relative_wait)


@final
@dataclass(frozen=True, slots=True)
class NoRoom:
    """No target is likely to answer in time.

    ``wait`` is how long it takes until one would, ``None`` if that is too late.
    """

    wait: Milliseconds | None


@final
class ExpectedTimePlacement:
    """Prefers targets that answer sooner, and those of the local zone among equals.

    The choice is drawn at random by weights, and only a part of the calls leaves the
    local zone, so VMs that have the same reports don't all turn to the same target.
    """

    def __init__(
        self,
        loads: LoadTable,
        occupancy: Occupancy,
        paces: AnswerPaces,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self._loads = loads
        self._occupancy = occupancy
        self._paces = paces
        self._zone = zone
        self._rng = rng

    def candidates(
        self, usable: Sequence[KnownTarget], now: Milliseconds
    ) -> list[Candidate]:
        """Return what is expected of each target."""
        calls = self._occupancy.calls([known.record for known in usable], now)
        return [
            self._candidate(known, expected, now)
            for known, expected in zip(usable, calls, strict=True)
        ]

    def ranked(
        self,
        candidates: Sequence[Candidate],
        overdue: Collection[TargetId],
        prefers_zone: bool,
    ) -> list[KnownTarget]:
        """Return the targets in the order in which they are tried for a call.

        Targets at which a call of this VM is ``overdue`` come last.
        """
        leaving_share = self._leaving_share(candidates) if prefers_zone else 1.0
        stays = self._rng.random() >= leaving_share

        def key(candidate: Candidate) -> tuple[bool, float, float]:
            record = candidate.record
            worsening = candidate.current_slowdown / candidate.slowdown
            pace = 1 / (candidate.slowdown * worsening**CURRENT_SHARPNESS)
            weight = max(1, record.slots) * pace
            own = self._loads.in_flight(record.id)
            drawn = (own + self._rng.expovariate(1.0)) / weight
            is_other_zone = record.zone != self._zone
            penalty = OTHER_ZONE_PENALTY_CALLS if is_other_zone else 0.0
            return record.id in overdue, own + penalty if stays else 0.0, drawn

        return [candidate.known for candidate in sorted(candidates, key=key)]

    def _candidate(
        self, known: KnownTarget, calls: float, now: Milliseconds
    ) -> Candidate:
        record = known.record
        slots = max(1, record.slots)
        relative_wait = max(0.0, calls + 1 - slots) / slots
        likelihood = self._occupancy.likelihood_of_free_slot(record, calls)
        return Candidate(
            known,
            calls,
            self._paces.slowdown(record.id, now),
            self._paces.current_slowdown(record.id, now),
            relative_wait,
            likelihood >= LIKELY_FREE,
        )

    def _leaving_share(self, candidates: Sequence[Candidate]) -> float:
        """Return the share of calls that aren't kept in the local zone."""
        local = [
            candidate for candidate in candidates if candidate.record.zone == self._zone
        ]
        if not local:
            return 1.0
        best = min(candidate.slowdown for candidate in candidates)
        best_local = min(candidate.slowdown for candidate in local)
        by_pace = 1 - best / best_local if best_local > CLEARLY_WORSE * best else 0.0
        excess = utilization(local) - max(CALM_UTILIZATION, utilization(candidates))
        by_load = MAX_SHIFTED_SHARE * min(1.0, max(0.0, excess) / SHIFT_RANGE)
        return max(by_pace, by_load, _currently_leaving_share(candidates, local))


def _currently_leaving_share(
    candidates: Sequence[Candidate], local: Sequence[Candidate]
) -> float:
    """Return the share of calls that leave the zone by what targets stated just now.

    All leave while slots are free. If calls wait for slots, only as many leave as the
    ``local`` targets are slower, as the others would be overfilled.
    """
    best = min(candidate.current_slowdown for candidate in candidates)
    best_local = min(candidate.current_slowdown for candidate in local)
    if best_local <= CURRENTLY_WORSE * best:
        return 0.0
    left = BUSY_UTILIZATION - utilization(candidates)
    calmness = left / (BUSY_UTILIZATION - CALM_UTILIZATION)
    return max(1 - best / best_local, min(1.0, calmness))


def room_for(
    candidates: Sequence[Candidate], usual: float | None, time_left: Milliseconds
) -> NoRoom | None:
    """Return ``NoRoom`` if no target is likely to answer within ``time_left``.

    A call is never refused while a slot is likely free. ``usual`` is how long such
    calls run; without it nothing is refused.
    """
    if usual is None or not candidates:
        return None
    if any(candidate.has_free_slot for candidate in candidates):
        return None
    least = usual * min(candidate.relative_time for candidate in candidates)
    excess = least - time_left
    if excess <= 0:
        return None
    return NoRoom(Milliseconds(round(excess)) if excess <= time_left else None)


def first_admitted(
    ranked: Sequence[KnownTarget], limits: Mapping[TargetId, Callable[[], bool]]
) -> KnownTarget | None:
    """Return the first target without a limit, or whose limit leaves room."""
    return next(
        (
            known
            for known in ranked
            if known.record.id not in limits or limits[known.record.id]()
        ),
        None,
    )


def utilization(candidates: Sequence[Candidate]) -> float:
    """Return the calls in flight as a share of the slots."""
    calls = sum(candidate.calls for candidate in candidates)
    slots = sum(max(1, candidate.record.slots) for candidate in candidates)
    return calls / slots if slots else 0.0
