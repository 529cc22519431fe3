"""Timing and limits of membership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Durations in milliseconds, and counts that limit the size of one message."""

    probe_interval_ms: int = 1_000
    """How often a VM pings one of its partners."""
    ack_timeout_ms: int = 700
    """When a ping is not answered within this, other VMs are requested to ping."""
    indirect_timeout_ms: int = 1_300
    """When no answer arrives within this after that request, the VM is suspected."""
    indirect_helpers: int = 3
    suspicion_ms: int = 4_000
    """A suspected VM that does not refute it within this is declared dead."""
    second_hand_suspicion_extra_ms: int = 2_000
    """Suspicions that were reported by a peer last this much longer."""
    recent_contact_ms: int = 3_000
    """A VM in contact within this is only suspected when peers report it dead."""
    dead_probe_interval_ms: int = 3_000
    """How often a random dead VM is pinged, so that partitions heal."""
    sync_interval_ms: int = 1_000
    members_per_message: int = 8
    targets_per_message: int = 4
    members_per_sync: int = 40
    pause_limit_ms: int = 1_000
    """A longer gap between ticks is a pause of this VM; no VM is suspected for it."""
    unlisted_contact_ms: int = 15_000
    """A VM that is not listed stays in view for this long after its last contact.

    Also, only VMs in contact within this are requested to ping others.
    """
    unlisted_retention_ms: int = 600_000
    """How long the record of an unlisted VM is kept."""
    list_history_ms: int = 1_200_000
    list_version_reset_ms: int = 30_000
    """A list with a smaller version is used when only such arrive for this long."""
    max_clock_ahead_ms: int = 300_000
    """Updates with an incarnation further ahead of this VM's clock are rejected."""
    target_report_ttl_ms: int = 30_000
    """Reports about a target expire this long after the observation."""
    target_refresh_ms: int = 10_000
    """How often an observation that is still made is reported again."""
