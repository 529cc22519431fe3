"""The timing and bounds of the links between VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Durations in milliseconds, sizes in bytes."""

    batch_ms: int = 3
    """Messages that come within this time share a frame."""
    open_timeout_ms: int = 3_000
    """For the TCP and TLS handshakes, and again for the first message."""
    ping_after_ms: int = 2_000
    """A link that was silent this long is pinged when it is next used."""
    ping_timeout_ms: int = 3_000
    """A link that stays silent this long after that is replaced."""
    idle_ms: int = 60_000
    """A link that carried nothing this long is closed."""
    backoff_min_ms: int = 200
    backoff_max_ms: int = 5_000
    queue_bytes: int = 262_144
    """Each peer's queue."""
    budget_bytes_per_second: int = 6_144
    budget_burst_bytes: int = 368_640
    """One minute of the budget."""
    max_incoming_links: int = 1_024
    malformed_limit: int = 16
    """A link with more malformed messages is closed."""
    tls_check_ms: int = 2_000
    """The certificate files are looked at this often."""
    retire_spread_ms: int = 30_000
    """Links opened under the replaced certificates are replaced within this."""
    retire_grace_ms: int = 1_000
    """A retired link still receives this long while a new one is in use."""
