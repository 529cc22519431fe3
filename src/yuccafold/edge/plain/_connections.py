"""How many idle connections to a target this VM keeps."""

from __future__ import annotations

CONNECTIONS_SHARE = 0.5
"""Share of a target's connections that all VMs keep together: it accepts fewer while
its queue is long, and calls in flight need some."""

MIN_KEPT_CONNECTIONS = 1
"""Connections that a VM may keep at any rate: without one, each call opens another."""


def connection_share(max_connections: int, vm_count: int) -> int | None:
    """Return how many idle connections a VM keeps to a target, ``None`` if unknown.

    ``max_connections`` is what a target accepts from all callers together.
    """
    if max_connections <= 0 or vm_count <= 0:
        return None
    share = int(max_connections * CONNECTIONS_SHARE / vm_count)
    return max(MIN_KEPT_CONNECTIONS, share)
