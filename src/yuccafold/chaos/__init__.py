"""Seeded simulations of the delivery decisions under the faults they must handle."""

from __future__ import annotations

from yuccafold.chaos._faults import Fault
from yuccafold.chaos._protections import PROTECTIONS
from yuccafold.chaos._prove import prove
from yuccafold.chaos._prove import run_without
from yuccafold.chaos._run import LETHAL_WITH_LOSS
from yuccafold.chaos._run import LETHAL_WITHOUT_FAULTS
from yuccafold.chaos._run import MIXED
from yuccafold.chaos._run import ChaosResult
from yuccafold.chaos._run import ChaosRun
from yuccafold.chaos._run import Load
from yuccafold.chaos._run import Scenario

__all__ = [
    "LETHAL_WITHOUT_FAULTS",
    "LETHAL_WITH_LOSS",
    "MIXED",
    "PROTECTIONS",
    "ChaosResult",
    "ChaosRun",
    "Fault",
    "Load",
    "Scenario",
    "prove",
    "run_without",
]
