"""The faults of a chaos run and their effect on the network and targets."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

from yuccafold._ids import VmId


class Fault(Enum):
    """A fault with a limited duration."""

    LOSS = "lost messages"
    LATENESS = "late and reordered messages"
    DOUBLING = "doubled messages"
    PARTITION = "partition"
    ISOLATION = "routers that reach neither the others nor the platform"
    RESTARTS = "restarts without memory"
    ROLLING_RESTART = "one VM after another restarts"
    LISTS = "two VM lists"
    PAUSES = "paused processes"
    SILENCE = "silent connections"
    DEATHS = "targets dying in a call"
    LOST_REPLIES = "replies lost after the run"
    CUT_STREAMS = "truncated streams"


MIXED_FAULTS = tuple(fault for fault in Fault if fault is not Fault.ROLLING_RESTART)
"""The faults of a mixed run; a rolling restart is only run alone."""


@final
@dataclass(slots=True)
class Conditions:
    """The current disturbance of the network and targets.

    Numbers are probabilities from 0 to 1, except ``late_by_ms``, the largest extra
    delay of a late message. ``parted`` and ``isolated`` are the VMs that a partition
    separates from all others; an isolated VM can't read the VM list either.
    """

    loss: float = 0.0
    doubling: float = 0.0
    lateness: float = 0.0
    late_by_ms: float = 0.0
    silence: float = 0.0
    death: float = 0.0
    lost_replies: float = 0.0
    cut_streams: float = 0.0
    write_pauses: float = 0.0
    parted: frozenset[VmId] = field(default_factory=frozenset)
    isolated: frozenset[VmId] = field(default_factory=frozenset)

    def is_cut(self, one: VmId, other: VmId) -> bool:
        """Return whether a partition separates two routers."""
        return any(
            (one in side) != (other in side) for side in (self.parted, self.isolated)
        )


UNDISTURBED = Conditions()

CONDITIONS_BY_FAULT = {
    Fault.LOSS: {"loss": 0.3},
    Fault.LATENESS: {"lateness": 0.5, "late_by_ms": 1_500.0},
    Fault.DOUBLING: {"doubling": 0.5},
    Fault.SILENCE: {"silence": 0.3},
    Fault.DEATHS: {"death": 0.1},
    Fault.LOST_REPLIES: {"lost_replies": 0.5},
    Fault.CUT_STREAMS: {"cut_streams": 0.5},
    Fault.PAUSES: {"write_pauses": 0.1},
}
"""The conditions that a fault sets while it lasts; other faults act by events."""


def begin_fault(conditions: Conditions, fault: Fault) -> None:
    """Set the conditions of ``fault``; its events are not started here."""
    for name, value in CONDITIONS_BY_FAULT.get(fault, {}).items():
        setattr(conditions, name, value)


def end_fault(conditions: Conditions, fault: Fault) -> None:
    """Reset the conditions of ``fault``."""
    for name in CONDITIONS_BY_FAULT.get(fault, {}):
        setattr(conditions, name, getattr(UNDISTURBED, name))
    if fault is Fault.PARTITION:
        conditions.parted = frozenset()
    if fault is Fault.ISOLATION:
        conditions.isolated = frozenset()
