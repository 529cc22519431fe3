"""Metrics and traces of a router process."""

from __future__ import annotations

from yuccafold.telemetry._metrics import Metrics
from yuccafold.telemetry._setup import Telemetry
from yuccafold.telemetry._setup import open_telemetry

__all__ = [
    "Metrics",
    "Telemetry",
    "open_telemetry",
]
