"""The view of the fleet that placement works on, and its settings."""

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
    """A listed target; ``accepts_work`` is false if it is down, gone or draining."""

    id: TargetId
    zone: ZoneId
    capacity: float = 1.0
    accepts_work: bool = True


@final
@dataclass(frozen=True, slots=True)
class FleetView:
    """The VMs that may own targets, and the targets of each service.

    ``vms`` is the platform's list without leaving VMs. It is not based on the
    fleet's own failure detection, because the load bound requires that the lists
    of two VMs differ for no longer than the list's lag.
    """

    vms: tuple[VmId, ...]
    targets: dict[ServiceId, tuple[TargetState, ...]]


@final
@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Settings of the load ledger; durations in milliseconds."""

    list_lag_ms: Milliseconds = Milliseconds(5_000)
    """The longest time that two VMs may have different lists of VMs or targets."""
    slot_lifetime_ms: Milliseconds = Milliseconds(300_000)
    """The longest time that one request may run."""
    floor_lease_ms: Milliseconds = Milliseconds(2_000)
    """How long a floor is valid without a renewal."""
    floor_interval_ms: Milliseconds = Milliseconds(20)
    """The longest delay of a raised floor; a lowered one is sent at once."""
    completion_margin: int = 0
    """How many requests of other VMs are not counted, because they may have ended
    without this VM knowing yet. Slots that aren't released yet count as in flight;
    with 1, the bound also holds relative to the requests that are still running."""
    answer_timeout_ms: Milliseconds = Milliseconds(200)
    """The timeout of a reply from another VM."""
    pause_limit_ms: Milliseconds = Milliseconds(1_000)
    """If the process doesn't run for longer than this, it counts as paused."""


@final
@dataclass(frozen=True, slots=True)
class RankerSettings:
    """How candidates are ranked; durations in milliseconds."""

    points: int = 512
    """How many points a target with capacity 1 has on the hash ring."""
    candidates: int = 8
    ramp_ms: Milliseconds = Milliseconds(60_000)
    """How long a new target takes to ramp up to its full weight."""
    ramp_steps: int = 8
    flap_damping_ms: Milliseconds = Milliseconds(30_000)
    """How long a flapping target that came back is ranked last, except for chats with
    a hint or a cache event for it."""
    flap_window_ms: Milliseconds = Milliseconds(600_000)
    hints: int = 65_536
    """The maximum number of chats with remembered targets."""
    hint_lifetime_ms: Milliseconds = Milliseconds(3_600_000)
