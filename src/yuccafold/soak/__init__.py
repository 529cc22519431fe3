"""A randomized soak test of real router processes under injected faults."""

from __future__ import annotations

from yuccafold.soak._process import EdgeProcess
from yuccafold.soak._promises import PromiseChecker
from yuccafold.soak._promises import Violation
from yuccafold.soak._run import SoakReport
from yuccafold.soak._run import run_soak
from yuccafold.soak._settings import FaultKind
from yuccafold.soak._settings import SoakSettings

__all__ = [
    "EdgeProcess",
    "FaultKind",
    "PromiseChecker",
    "SoakReport",
    "SoakSettings",
    "Violation",
    "run_soak",
]
