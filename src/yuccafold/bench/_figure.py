"""The figures that the benchmark measures, and the line that prints one."""

from __future__ import annotations

import re
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class Figure:
    """A measured value, its unit and the value that it is compared with.

    ``baseline`` is ``None`` if there is nothing to compare with.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None

    def __str__(self) -> str:
        baseline = "none" if self.baseline is None else f"{self.baseline:.6g}"
        return (
            f"figure {_without_spaces(self.name)} value={self.value:.6g} "
            f"unit={self.unit.replace(' ', '_')} baseline={baseline}"
        )


def _without_spaces(name: str) -> str:
    """Replace spaces and punctuation, so that a printed line splits at its spaces."""
    return re.sub(r"[^\w.]+", "_", name)


@final
@dataclass(frozen=True, slots=True)
class BenchOptions:
    """Options of every part of the benchmark.

    ``seed`` fixes the random choices; ``quick`` measures smaller sizes.
    """

    seed: int
    quick: bool


Part = Callable[[BenchOptions], Iterator[Figure]]
"""Measures one part and yields each figure as soon as it is measured."""
