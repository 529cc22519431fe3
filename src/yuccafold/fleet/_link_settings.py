"""Timing and limits of the links between VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Durations in milliseconds, sizes in bytes."""

    batch_ms: int = 3
    """Messages queued within this time after a frame share the next one."""
    open_timeout_ms: int = 3_000
    """The limit for each step of opening a link.

    The steps are the TCP connection, the TLS and WebSocket handshakes, and the
    exchange of ``Hello``.
    """
    ping_after_ms: int = 2_000
    """A link that received nothing for this long is pinged when it next sends."""
    ping_timeout_ms: int = 3_000
    """A link that receives nothing for this long after the ping is replaced."""
    idle_ms: int = 60_000
    """A link that sent and received nothing for this long is closed."""
    backoff_min_ms: int = 200
    backoff_max_ms: int = 5_000
    queue_bytes: int = 262_144
    """The limit of the queue of each peer."""
    budget_bytes_per_second: int = 6_144
    budget_burst_bytes: int = 368_640
    """One minute of the budget: 60 times ``budget_bytes_per_second``."""
    max_incoming_links: int = 1_024
    """Incoming links are refused while this many, opened by either end, are open."""
    malformed_limit: int = 16
    """A link with more malformed messages than this is closed."""
    tls_check_ms: int = 2_000
    """How often the certificate files are checked for changes."""
    retire_spread_ms: int = 30_000
    """Links that must be replaced are retired at random times within this.

    These are links opened with certificates that were replaced, or to an
    address that the peer no longer has.
    """
    retire_grace_ms: int = 1_000
    """A retired link still receives for this long while a new one is in use."""
