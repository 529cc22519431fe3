"""Evacuated zones, and targets that are cold after their start.

See ``docs/design/zone-evacuation.md``.
"""

from __future__ import annotations

from yuccafold.edge.warmup._cold_share import TERM
from yuccafold.edge.warmup._cold_share import ColdBound
from yuccafold.edge.warmup._cold_share import ColdShare
from yuccafold.edge.warmup._cold_share import cold_share
from yuccafold.edge.warmup._cold_targets import ColdTargets
from yuccafold.edge.warmup._evacuations import EVACUATION_MARGIN
from yuccafold.edge.warmup._evacuations import Evacuations

__all__ = [
    "EVACUATION_MARGIN",
    "TERM",
    "ColdBound",
    "ColdShare",
    "ColdTargets",
    "Evacuations",
    "cold_share",
]
