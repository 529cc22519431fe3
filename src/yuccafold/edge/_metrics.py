"""Counters, gauges and latency histograms of an edge router, rendered as text."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate
from typing import final

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)
"""Upper bounds of the buckets; the latency objectives of routes lie between 100 and
1,000 ms."""

METRIC_PREFIX = "yuccafold_edge"


@final
class Histogram:
    """A histogram of durations in milliseconds."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_MS) + 1)
        self._sum = 0

    def record(self, duration_ms: int) -> None:
        """Add one duration."""
        self._counts[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self._sum += duration_ms

    def format_lines(self, name: str, labels: str) -> Iterator[str]:
        """Yield the lines of the histogram in the Prometheus text format."""
        bounds = [*map(str, BUCKETS_MS), "+Inf"]
        cumulative = 0
        for bound, cumulative in zip(bounds, accumulate(self._counts), strict=True):
            yield f'{name}_bucket{{{labels},le="{bound}"}} {cumulative}'
        yield f"{name}_sum{{{labels}}} {self._sum}"
        yield f"{name}_count{{{labels}}} {cumulative}"


@final
class EdgeMetrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._gauges: dict[tuple[str, str], int] = {}

    def count(self, name: str, **labels: object) -> None:
        """Increment a counter by one."""
        self._counters[name, _format_labels(labels)] += 1

    def record_duration(self, name: str, duration_ms: int, service: str) -> None:
        """Add a duration to the histogram of a service."""
        key = (name, _format_labels({"service": service}))
        if key not in self._histograms:
            self._histograms[key] = Histogram()
        self._histograms[key].record(duration_ms)

    def set_gauge(self, name: str, value: int, **labels: object) -> None:
        """Set the current value of a gauge."""
        self._gauges[name, _format_labels(labels)] = value

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"{METRIC_PREFIX}_{name}{{{labels}}} {value}"
            if labels
            else f"{METRIC_PREFIX}_{name} {value}"
            for (name, labels), value in self._gauges.items()
        ]
        lines += [
            f"{METRIC_PREFIX}_{name}_total{{{labels}}} {value}"
            for (name, labels), value in self._counters.items()
        ]
        for (name, labels), histogram in self._histograms.items():
            lines += histogram.format_lines(f"{METRIC_PREFIX}_{name}", labels)
        return "\n".join([*lines, ""])


def _format_labels(labels: dict[str, object]) -> str:
    return ",".join(f'{name}="{value}"' for name, value in labels.items())
