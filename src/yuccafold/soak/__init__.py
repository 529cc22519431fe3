"""A randomized soak of real router processes under faults from outside."""

from __future__ import annotations

from yuccafold.soak._process import EdgeProcess
from yuccafold.soak._promises import Promises
from yuccafold.soak._promises import Violation
from yuccafold.soak._run import SoakReport
from yuccafold.soak._run import run_soak
from yuccafold.soak._settings import FaultKind
from yuccafold.soak._settings import SoakSettings

__all__ = [
    "EdgeProcess",
    "FaultKind",
    "Promises",
    "SoakReport",
    "SoakSettings",
    "Violation",
    "run_soak",
]
