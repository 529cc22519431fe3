"""Logs, metrics and traces."""

from __future__ import annotations

from yuccafold.telemetry._log import log_event
from yuccafold.telemetry._log import log_to_stderr
from yuccafold.telemetry._log import render
from yuccafold.telemetry._metrics import Metrics
from yuccafold.telemetry._setup import Telemetry
from yuccafold.telemetry._setup import open_telemetry

__all__ = [
    "Metrics",
    "Telemetry",
    "log_event",
    "log_to_stderr",
    "open_telemetry",
    "render",
]
