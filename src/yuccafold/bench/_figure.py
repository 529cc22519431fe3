"""One measured figure of the bench and the form in which it is printed."""

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

    ``baseline`` is ``None`` where nothing is compared.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None

    def __str__(self) -> str:
        baseline = "none" if self.baseline is None else f"{self.baseline:.6g}"
        return (
            f"figure {_one_word(self.name)} value={self.value:.6g} "
            f"unit={self.unit.replace(' ', '_')} baseline={baseline}"
        )


def _one_word(name: str) -> str:
    """Return ``name`` as programs can split a line by its spaces."""
    return re.sub(r"[^\w.]+", "_", name)


@final
@dataclass(frozen=True, slots=True)
class BenchOptions:
    """What every part of the bench is told; ``seed`` fixes its random choices."""

    seed: int
    quick: bool


Part = Callable[[BenchOptions], Iterator[Figure]]
"""Measures one part; yields each figure when it is known."""
