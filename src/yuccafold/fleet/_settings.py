"""The timing and bounds of membership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Durations in milliseconds; counts bound the bytes of one message."""

    probe_interval_ms: int = 1_000
    """A VM pings one partner this often."""
    ack_timeout_ms: int = 700
    """After this others are asked to ping the VM that did not answer."""
    indirect_timeout_ms: int = 1_300
    """After this, counted from asking, the VM is suspected."""
    indirect_helpers: int = 3
    suspicion_ms: int = 4_000
    """How long a suspected VM has to contradict before it is held dead."""
    hearsay_ms: int = 2_000
    """How much longer a suspicion lasts with VMs that only heard of it."""
    contact_ms: int = 3_000
    """A VM heard of this recently is only suspected when peers hold it dead."""
    dead_probe_interval_ms: int = 3_000
    """One random dead VM is pinged this often, so that partitions heal."""
    sync_interval_ms: int = 1_000
    members_per_message: int = 8
    targets_per_message: int = 4
    members_per_sync: int = 40
    pause_limit_ms: int = 1_000
    """A longer gap between ticks is a pause: nobody is blamed for it."""
    unlisted_contact_ms: int = 15_000
    """A VM that is not listed stays in view this long after its last contact."""
    forget_ms: int = 600_000
    """An unlisted VM's record is kept this long."""
    list_history_ms: int = 1_200_000
    list_regress_ms: int = 30_000
    """A list with a smaller version is taken when it persists this long."""
    max_clock_ahead_ms: int = 300_000
    """Incarnations further ahead of this VM's clock are refused."""
    target_report_ms: int = 30_000
    """How long a report of a target holds after it was observed."""
    target_refresh_ms: int = 10_000
    """An observer that still sees the same repeats it this often."""
