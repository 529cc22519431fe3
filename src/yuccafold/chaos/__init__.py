"""Seeded runs of the delivery decisions under the faults they are meant for."""

from __future__ import annotations

from yuccafold.chaos._faults import Fault
from yuccafold.chaos._protections import PROTECTIONS
from yuccafold.chaos._prove import run_without
from yuccafold.chaos._run import ChaosResult
from yuccafold.chaos._run import ChaosRun
from yuccafold.chaos._run import Load

__all__ = [
    "PROTECTIONS",
    "ChaosResult",
    "ChaosRun",
    "Fault",
    "Load",
    "run_without",
]
