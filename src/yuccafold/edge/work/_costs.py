"""What a call costs a target, and the running figures that estimates are made of."""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

MEAN_WINDOW_SAMPLES = 64
"""Samples over which a mean forgets: half a minute of one VM's calls of a route."""

MEDIAN_STEP = 0.1
"""Step of a running median as a share of its mean deviation: it settles within some
tens of samples and then stays within a tenth of the deviation."""


@final
@dataclass(frozen=True, slots=True)
class CallCost:
    """What a call costs, in milliseconds of a target without other work.

    ``decode_ms`` is a mean, as the work of many calls adds up by means;
    ``typical_ms`` is the median until the first event, for plain calls until the
    answer. ``read_tokens`` is how many tokens the
    target has to read. ``memory_tokens`` are those that only this call needs.
    """

    prefill_ms: float
    decode_ms: float
    memory_tokens: int
    read_tokens: int = 0
    typical_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """The time of the whole call at a target without other work."""
        return self.prefill_ms + self.decode_ms

    def reading(self, tokens: int, read_ms: float) -> CallCost:
        """Return the cost if ``tokens`` more are read, which take ``read_ms``."""
        if not tokens:
            return self
        return CallCost(
            self.prefill_ms + read_ms,
            self.decode_ms,
            self.memory_tokens,
            self.read_tokens + tokens,
            self.typical_ms + read_ms,
        )


@final
class RunningFigure:
    """An exponentially weighted mean, with the median and mean deviation around it."""

    __slots__ = ("samples", "mean", "median", "deviation")

    def __init__(self) -> None:
        self.samples = 0
        self.mean = 0.0
        self.median = 0.0
        self.deviation = 0.0

    def record(self, value: float) -> None:
        """Add one sample."""
        self.samples = min(self.samples + 1, MEAN_WINDOW_SAMPLES)
        rate = 1 / self.samples
        if self.samples == 1:
            self.mean = self.median = value
            return
        self.mean += rate * (value - self.mean)
        off = value - self.median
        self.deviation += rate * (abs(off) - self.deviation)
        step = max(MEDIAN_STEP, rate) * self.deviation
        self.median += max(-step, min(step, off))


@final
@dataclass(frozen=True, slots=True)
class WeighedMean:
    """A mean with the number of samples behind it."""

    weight: float = 0.0
    mean: float = 0.0

    def __add__(self, other: WeighedMean) -> WeighedMean:
        """Return the mean of the samples of both."""
        weight = self.weight + other.weight
        if weight <= 0:
            return WeighedMean()
        total = self.weight * self.mean + other.weight * other.mean
        return WeighedMean(weight, total / weight)

    def minus(self, part: WeighedMean) -> WeighedMean:
        """Return the mean of these samples without those of ``part``."""
        weight = self.weight - part.weight
        if weight < 1:
            return WeighedMean()
        total = self.weight * self.mean - part.weight * part.mean
        return WeighedMean(weight, max(0.0, total / weight))


MeanTable = Mapping[str, WeighedMean]
"""Means by what they are about."""


def add_means(tables: Iterable[MeanTable]) -> dict[str, WeighedMean]:
    """Return the means of all samples."""
    # Seeds add up the means of all VMs ten times a second.
    sums: dict[str, list[float]] = {}
    for means in tables:
        for key, mean in means.items():
            known = sums.get(key)
            if known is None:
                sums[key] = [mean.weight, mean.weight * mean.mean]
            else:
                known[0] += mean.weight
                known[1] += mean.weight * mean.mean
    return {
        key: WeighedMean(weight, total / weight)
        for key, (weight, total) in sums.items()
        if weight
    }


@final
class RelativeLine:
    """A line through points, fitted by relative errors and slowly forgetting.

    Waits only ever add to a time, so the shortest ones tell most.
    """

    __slots__ = ("samples", "_w", "_x", "_y", "_xx", "_xy")

    def __init__(self) -> None:
        self.samples = 0
        self._w = self._x = self._y = self._xx = self._xy = 0.0

    def record(self, x: float, y: float) -> None:
        """Add one point."""
        self.samples = min(self.samples + 1, MEAN_WINDOW_SAMPLES)
        keep = 1 - 1 / MEAN_WINDOW_SAMPLES
        weight = 1 / max(1.0, y) ** 2
        self._w = keep * self._w + weight
        self._x = keep * self._x + weight * x
        self._y = keep * self._y + weight * y
        self._xx = keep * self._xx + weight * x * x
        self._xy = keep * self._xy + weight * x * y

    def fit(self) -> tuple[float, float]:
        """Return the slope and the value at 0, neither below 0.

        Without enough variation in ``x``, the line goes through the origin.
        """
        if not self._w:
            return 0.0, 0.0
        mean_x, mean_y = self._x / self._w, self._y / self._w
        variance = self._xx / self._w - mean_x**2
        if math.sqrt(max(0.0, variance)) > mean_x / 8:
            slope = (self._xy / self._w - mean_x * mean_y) / variance
            if 0 <= slope * mean_x <= mean_y:
                return slope, mean_y - slope * mean_x
        return (mean_y / mean_x, 0.0) if mean_x > 0 else (0.0, mean_y)
