"""Times, counts and sizes of the distribution of settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Times are in milliseconds, sizes in bytes."""

    advert_interval_ms: int = 1_000
    """One partner, in turn, hears of the revision in force this often."""
    want_timeout_ms: int = 2_000
    direct_lifetime_ms: int = 15_000
    """How long a peer's own word about its revision counts."""
    heard_entries: int = 8
    """How many other VMs an advert tells of."""
    heard_lifetime_ms: int = 120_000
    """A VM not heard of for this long is no longer shown."""
    push_limit_bytes: int = 4_096
    """A larger change is announced, not pushed, and each partner asks once."""
    log_entries: int = 256
    log_bytes: int = 131_072
    reply_bytes: int = 16_384
    """The most that answers one request for changes."""
    chunk_bytes: int = 16_384
    """A chunk of the whole tree before its compression."""
    chunk_timeout_ms: int = 15_000
    chunk_bytes_per_second: int = 3_000
    """What one VM spends on sending whole trees, over all who ask."""
    chunk_queue: int = 64
    max_tree_bytes: int = 2_097_152
    pinned_trees: int = 3
    pin_lifetime_ms: int = 60_000
    """How long a superseded tree is kept for those who are still fetching it."""
