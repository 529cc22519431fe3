"""Bounds what the connections of callers hold in sum, and decides which ones to end."""

from __future__ import annotations

from yuccafold.intake._connections import SMALL_REQUEST_BYTES
from yuccafold.intake._connections import CallerShare
from yuccafold.intake._connections import EndReason
from yuccafold.intake._connections import Intake
from yuccafold.intake._limits import BYTES_PER_MEGABYTE
from yuccafold.intake._limits import DEFAULT_MEMORY_BYTES
from yuccafold.intake._limits import MAX_CONNECTIONS
from yuccafold.intake._limits import Bytes
from yuccafold.intake._limits import IntakeLimits
from yuccafold.intake._limits import memory_for_callers

__all__ = [
    "BYTES_PER_MEGABYTE",
    "DEFAULT_MEMORY_BYTES",
    "MAX_CONNECTIONS",
    "SMALL_REQUEST_BYTES",
    "Bytes",
    "CallerShare",
    "EndReason",
    "Intake",
    "IntakeLimits",
    "memory_for_callers",
]
