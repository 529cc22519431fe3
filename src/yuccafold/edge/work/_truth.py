"""Whether estimates are true: what was seen as a multiple of what was expected."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate
from typing import final

RATIO_BOUNDS = (0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Upper bounds between which ratios are told apart; finest around 1."""

SHARES = {"median": 0.5, "p90": 0.9}
"""What operators see of the ratios of a route."""

FORGET_AFTER = 1_000
"""Ratios of a route after which the weight of all earlier ones is halved."""

Gauge = tuple[str, int, dict[str, object]]
"""The name, value and labels of a gauge."""


@final
class EstimateTruth:
    """Counts ratios of seen to expected times by route."""

    def __init__(self) -> None:
        self._counts: dict[str, list[float]] = {}

    def record(self, route: str, seen_ms: float, expected_ms: float) -> None:
        """Add one call; calls without an estimate don't count."""
        if expected_ms <= 0:
            return
        counts = self._counts.setdefault(route, [0.0] * (len(RATIO_BOUNDS) + 1))
        counts[bisect_left(RATIO_BOUNDS, seen_ms / expected_ms)] += 1
        if sum(counts) > FORGET_AFTER:
            counts[:] = [count / 2 for count in counts]

    def share(self, route: str, share: float) -> float:
        """Return the ratio below which ``share`` of the route's calls are."""
        counts = self._counts.get(route)
        if counts is None:
            return 1.0
        wanted = share * sum(counts)
        bounds = (*RATIO_BOUNDS, 2 * RATIO_BOUNDS[-1])
        below = 0.0
        lower = 0.0
        for bound, count, reached in zip(
            bounds, counts, accumulate(counts), strict=True
        ):
            if reached >= wanted and count:
                return lower + (bound - lower) * (wanted - below) / count
            below, lower = reached, bound
        return bounds[-1]

    def gauges(self) -> Iterator[Gauge]:
        """Yield the ratios of each route in percent."""
        for route in self._counts:
            for name, share in SHARES.items():
                value = round(100 * self.share(route, share))
                yield "estimate_ratio_percent", value, {"route": route, "share": name}
