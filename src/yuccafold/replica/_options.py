"""Options of the distribution of settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Intervals, timeouts and limits; times are in milliseconds, sizes in bytes."""

    advert_interval_ms: int = 1_000
    """How often a VM sends adverts of its revision in force.

    A ready VM sends one to the next partner, round robin; one that isn't ready
    sends one to every partner.
    """
    request_timeout_ms: int = 2_000
    direct_report_lifetime_ms: int = 15_000
    """How long a peer's own advert counts for readiness."""
    reports_per_advert: int = 8
    """How many second-hand reports on other VMs an advert carries."""
    report_lifetime_ms: int = 120_000
    """A VM without a report for this long is dropped from the table of VMs."""
    push_limit_bytes: int = 4_096
    """A larger change is only advertised, and each partner requests it once."""
    log_entries: int = 256
    log_bytes: int = 131_072
    reply_limit_bytes: int = 16_384
    """The most bytes of changes that answer one request."""
    chunk_bytes: int = 16_384
    """The size of a chunk of the whole tree before compression."""
    chunk_timeout_ms: int = 15_000
    chunk_bytes_per_second: int = 3_000
    """The rate at which one VM sends whole trees, over all requesters together."""
    chunk_queue_length: int = 64
    max_tree_bytes: int = 2_097_152
    max_pinned_trees: int = 3
    pin_lifetime_ms: int = 60_000
    """How long a superseded tree is kept for VMs that are still fetching it.

    The time counts from the last chunk of it that was sent.
    """
