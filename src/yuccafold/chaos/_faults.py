"""The faults of a chaos run: what each does, and a schedule of two at a time."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

from yuccafold._ids import VmId


class Fault(Enum):
    """A fault that lasts for a while."""

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
"""The faults of a mixed run; a rolling restart comes alone."""


@final
@dataclass(slots=True)
class Conditions:
    """The present disturbance of network and targets; shares are of 1."""

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
        """Return whether a partition lies between two routers."""
        return any(
            (one in side) != (other in side) for side in (self.parted, self.isolated)
        )


CALM = Conditions()

DISTURBANCES = {
    Fault.LOSS: {"loss": 0.3},
    Fault.LATENESS: {"lateness": 0.5, "late_by_ms": 1_500.0},
    Fault.DOUBLING: {"doubling": 0.5},
    Fault.SILENCE: {"silence": 0.3},
    Fault.DEATHS: {"death": 0.1},
    Fault.LOST_REPLIES: {"lost_replies": 0.5},
    Fault.CUT_STREAMS: {"cut_streams": 0.5},
    Fault.PAUSES: {"write_pauses": 0.1},
}
"""What a fault sets while it lasts; the others act by events."""


def disturb(conditions: Conditions, fault: Fault) -> None:
    """Begin ``fault`` as far as it is a matter of shares."""
    for name, value in DISTURBANCES.get(fault, {}).items():
        setattr(conditions, name, value)


def calm(conditions: Conditions, fault: Fault) -> None:
    """End ``fault``."""
    for name in DISTURBANCES.get(fault, {}):
        setattr(conditions, name, getattr(CALM, name))
    if fault is Fault.PARTITION:
        conditions.parted = frozenset()
    if fault is Fault.ISOLATION:
        conditions.isolated = frozenset()
