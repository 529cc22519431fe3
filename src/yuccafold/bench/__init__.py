"""The benchmark: measures the router and its decisions on a single host."""

from __future__ import annotations

from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._figure import Part

__all__ = ["BenchOptions", "Figure", "Part"]
