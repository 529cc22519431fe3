"""What a VM knows of the fleet, as far as placement goes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId


@final
@dataclass(frozen=True, slots=True)
class TargetState:
    """One listed target; ``taking_work`` is false when down, gone or draining."""

    id: TargetId
    zone: ZoneId
    capacity: float = 1.0
    taking_work: bool = True


@final
@dataclass(frozen=True, slots=True)
class FleetView:
    """The VMs that may own targets, and the targets of each service.

    ``vms`` is the platform's list without the leaving ones, and not the
    outcome of the fleet's own failure detection: the load bound rests on two
    VMs' lists differing no longer than the list's lag.
    """

    vms: tuple[VmId, ...]
    targets: dict[ServiceId, tuple[TargetState, ...]]


@final
@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Durations of the load ledger in milliseconds."""

    list_lag_ms: Milliseconds = Milliseconds(5_000)
    """The longest that two VMs may disagree about the VMs or the targets."""
    slot_lifetime_ms: Milliseconds = Milliseconds(300_000)
    """The longest that one request may run."""
    floor_lease_ms: Milliseconds = Milliseconds(2_000)
    """How long a promised floor holds without being renewed."""
    floor_interval_ms: Milliseconds = Milliseconds(20)
    """How long a higher floor may wait; a lower one is sent at once."""
    completion_margin: int = 0
    """Requests of other VMs that are left out of the count, as they may have
    ended while the news of it travels. Slots not yet given back count as in
    flight; with 1, the bound holds against requests still running as well."""
    answer_timeout_ms: Milliseconds = Milliseconds(200)
    """How long an owner's answer is waited for."""
    pause_limit_ms: Milliseconds = Milliseconds(1_000)
    """A longer time without running counts as a pause."""


@final
@dataclass(frozen=True, slots=True)
class RankerSettings:
    """How candidates are ranked; durations in milliseconds."""

    points: int = 512
    """Points on the ring of a target with capacity 1."""
    candidates: int = 8
    ramp_ms: Milliseconds = Milliseconds(60_000)
    """How long a joining target takes to reach its full weight."""
    ramp_steps: int = 8
    flap_damping_ms: Milliseconds = Milliseconds(30_000)
    """How long a flapping target that came back gets no new first choices."""
    flap_window_ms: Milliseconds = Milliseconds(600_000)
    hints: int = 65_536
    """How many chats' last known targets are remembered."""
    hint_lifetime_ms: Milliseconds = Milliseconds(3_600_000)
