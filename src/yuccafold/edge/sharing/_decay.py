"""Sums whose parts lose weight with age."""

from __future__ import annotations

import math
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds


@final
class DecayingSum:
    """A sum in which what was added weighs half after ``half_life``."""

    __slots__ = ("_half_life", "_updated_at", "_value")

    def __init__(self, half_life: Milliseconds, now: Milliseconds) -> None:
        self._half_life = half_life
        self._updated_at = now
        self._value = 0.0

    def add(self, amount: float, now: Milliseconds) -> None:
        """Add ``amount`` at its full weight."""
        self._value = self.value(now) + amount
        self._updated_at = now

    def value(self, now: Milliseconds) -> float:
        """Return the sum of what is left of all amounts."""
        return self._value * decay(now - self._updated_at, self._half_life)


def decay(age: int, half_life: Milliseconds) -> float:
    """Return the weight of what is ``age`` old."""
    return 0.5 ** (max(0, age) / half_life)


def seconds_of_weight(half_life: Milliseconds, observed: int) -> float:
    """Return the sum to which one a second adds up after the time ``observed``."""
    unit = half_life / math.log(2) / MS_PER_SECOND
    return unit * (1 - decay(observed, half_life))
