"""How many calls all VMs together have in flight at the targets of a small service."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._placement import LoadTable

SMOOTHING_HALF_LIFE = Milliseconds(2_000)
"""Half-life of earlier reports in the mean of other VMs' calls: calls are far shorter
than reports are old, so that a single report is mostly chance."""

UNREPORTED_LIFETIME = Milliseconds(5_000)
"""How long the mean is used without fresh reports."""

LIKELY_FREE = 0.05
"""Likelihood of a free slot from which a call is never refused for want of one."""


@final
@dataclass(slots=True)
class _Mean:
    calls: float
    at: Milliseconds


@final
class Occupancy:
    """Estimates the calls in flight at each target, and whether a slot is free."""

    def __init__(self, loads: LoadTable) -> None:
        self._loads = loads
        self._others: dict[TargetId, _Mean] = {}

    def calls(self, targets: Sequence[TargetRecord], now: Milliseconds) -> list[float]:
        """Return the expected calls of all VMs at each of ``targets``."""
        ids = [target.id for target in targets]
        fleet_calls = self._loads.fleet_calls(ids, now)
        if fleet_calls is not None:
            for target, total in zip(ids, fleet_calls, strict=True):
                self._record(target, total - self._loads.in_flight(target), now)
        return [self._calls_at(target, now) for target in ids]

    def likelihood_of_free_slot(self, target: TargetRecord, calls: float) -> float:
        """Return how likely fewer than all slots are taken by ``calls`` expected.

        The calls of other VMs are assumed to be independent of each other.
        """
        own = self._loads.in_flight(target.id)
        others = max(0.0, calls - own)
        term = likelihood = math.exp(-others)
        for count in range(1, target.slots - own):
            term *= others / count
            likelihood += term
        return likelihood if own < target.slots else 0.0

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._others.pop(target, None)

    def _record(self, target: TargetId, calls: int, now: Milliseconds) -> None:
        known = self._others.get(target)
        if known is None or now - known.at > UNREPORTED_LIFETIME:
            self._others[target] = _Mean(float(calls), now)
            return
        old_share = 0.5 ** ((now - known.at) / SMOOTHING_HALF_LIFE)
        known.calls = calls + (known.calls - calls) * old_share
        known.at = now

    def _calls_at(self, target: TargetId, now: Milliseconds) -> float:
        known = self._others.get(target)
        others = 0.0
        if known is not None and now - known.at <= UNREPORTED_LIFETIME:
            others = known.calls
        expected = self._loads.in_flight(target) + others
        stated = self._loads.estimate_from_report(target, now)
        return expected if stated is None else (expected + stated) / 2
