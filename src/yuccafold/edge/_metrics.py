"""Counters and latency histograms of an edge router, shown as text."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate
from typing import final

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)
"""Upper bounds; callers' objectives lie between 100 and 1,000 ms."""

PREFIX = "yuccafold_edge"


@final
class Histogram:
    """Counts of durations by bucket, in milliseconds."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_MS) + 1)
        self._sum = 0

    def record(self, duration_ms: int) -> None:
        """Count one duration."""
        self._counts[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self._sum += duration_ms

    def lines(self, name: str, labels: str) -> Iterator[str]:
        """Yield the histogram in the text form of metrics."""
        bounds = [*map(str, BUCKETS_MS), "+Inf"]
        total = 0
        for bound, total in zip(bounds, accumulate(self._counts), strict=True):
            yield f'{name}_bucket{{{labels},le="{bound}"}} {total}'
        yield f"{name}_sum{{{labels}}} {self._sum}"
        yield f"{name}_count{{{labels}}} {total}"


@final
class EdgeMetrics:
    """All figures of one process."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._gauges: dict[str, int] = {}

    def count(self, name: str, **labels: object) -> None:
        """Add 1 to a counter."""
        self._counters[name, _labels(labels)] += 1

    def time(self, name: str, duration_ms: int, service: str) -> None:
        """Record a duration for a service."""
        key = (name, _labels({"service": service}))
        if key not in self._histograms:
            self._histograms[key] = Histogram()
        self._histograms[key].record(duration_ms)

    def gauge(self, name: str, value: int) -> None:
        """Set a figure that goes up and down."""
        self._gauges[name] = value

    def render(self) -> str:
        """Return all figures as text."""
        lines = [f"{PREFIX}_{name} {value}" for name, value in self._gauges.items()]
        lines += [
            f"{PREFIX}_{name}_total{{{labels}}} {value}"
            for (name, labels), value in self._counters.items()
        ]
        for (name, labels), histogram in self._histograms.items():
            lines += histogram.lines(f"{PREFIX}_{name}", labels)
        return "\n".join([*lines, ""])


def _labels(labels: dict[str, object]) -> str:
    return ",".join(f'{name}="{value}"' for name, value in labels.items())
