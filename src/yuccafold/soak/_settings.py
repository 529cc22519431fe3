"""How large a soak is, how long it lasts and which faults it injects."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class FaultKind(Enum):
    """What goes wrong outside of the routers."""

    STORE_SILENT = "store-silent"
    """A VM's open connections to the store pass nothing more; new ones work."""
    STORE_CUT = "store-cut"
    """A VM can't reach the store for a while."""
    STORE_SLOW = "store-slow"
    """Every byte between a VM and the store comes late."""
    STORE_REFUSES = "store-refuses"
    """The store answers 503 to everybody."""
    STORE_FORGETS = "store-forgets"
    """The store drops its history."""
    TARGET_SILENT = "target-silent"
    """Open connections to a target pass nothing more; new ones work."""
    TARGET_CUT = "target-cut"
    """Connections to a target are closed, and refused for a while."""
    TARGET_FULL = "target-full"
    """A target refuses all calls as not run."""
    TARGET_FAILING = "target-failing"
    """A target answers all calls with an error of its own."""
    TARGET_HANGING = "target-hanging"
    """A target takes all calls and answers none."""
    TARGET_BREAKING = "target-breaking"
    """A target breaks off its streams."""
    TARGET_LEAVES = "target-leaves"
    """A target drains; another one takes its place."""
    VM_PAUSED = "vm-paused"
    """A router process is stopped and goes on later."""
    VM_KILLED = "vm-killed"
    """A router process is killed and started again."""
    VM_STOPPED = "vm-stopped"
    """A router process is asked to stop, and started again once it ended."""
    VM_RELOADED = "vm-reloaded"
    """A router process is told that its settings changed."""
    KEY_REVOKED = "key-revoked"
    """A new configuration takes an API key away."""
    ROUTE_CHANGED = "route-changed"
    """A new configuration adds or drops a route."""


@final
@dataclass(frozen=True, slots=True)
class SoakSettings:
    """The size and the seed of one soak.

    ``key_lifetime_ms`` and ``drain_ms`` are the promises that routers are given.
    """

    seed: int = 1
    duration_s: float = 20.0
    vms: int = 3
    targets: int = 4
    clients_per_vm: int = 4
    fault_pause_s: float = 0.8
    fault_length_s: float = 2.0
    key_lifetime_ms: int = 3_000
    apply_ms: int = 2_000
    drain_ms: int = 2_000
    grace_ms: int = 8_000
