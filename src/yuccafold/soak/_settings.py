"""The size and duration of a soak, and the kinds of faults that it injects."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class FaultKind(Enum):
    """A kind of fault outside of the routers' code."""

    STORE_SILENT = "store-silent"
    """A VM's open connections to the store become silent; new ones work."""
    STORE_CUT = "store-cut"
    """A VM can't reach the store for a while."""
    STORE_SLOW = "store-slow"
    """Every byte between a VM and the store is delayed."""
    STORE_REFUSES = "store-refuses"
    """The store answers 503 to every VM."""
    STORE_FORGETS = "store-forgets"
    """The store drops its history, so that watches must start again from a list."""
    STORE_OLDER = "store-older"
    """The store is away and comes back from a copy some seconds old, in its next era.
    What it lost is written again a moment later."""
    TARGET_SILENT = "target-silent"
    """Open connections to a target become silent; new ones work."""
    TARGET_CUT = "target-cut"
    """Connections to a target are closed, new ones too for a while."""
    TARGET_FULL = "target-full"
    """A target refuses all calls, and marks them as not run."""
    TARGET_PAUSES = "target-pauses"
    """A target refuses all calls, and asks each VM for none for some time."""
    TARGET_REPEATS = "target-repeats"
    """A target writes a refusal that names no call before its answers."""
    ENTRY_ODD = "entry-odd"
    """Another writer leaves an entry among those of targets, again and again, that
    can't be read."""
    TARGET_FAILING = "target-failing"
    """A target runs all calls and answers them with status 500."""
    TARGET_HANGING = "target-hanging"
    """A target runs all calls and answers none."""
    TARGET_BREAKING = "target-breaking"
    """A target closes connections between two events of its streams."""
    TARGET_TEARING = "target-tearing"
    """A target sends streams without framing, and closes connections inside an event
    of them."""
    PART_LETHAL = "part-lethal"
    """A part of a prompt crashes each target that begins to answer a call with it; some
    calls have it, and share their key and other parts with sound ones."""
    TARGET_LEAVES = "target-leaves"
    """A target drains; another one replaces it."""
    TARGET_SAYS_LEAVING = "target-says-leaving"
    """The same, but the target says so in its answers only, not in the store."""
    TARGET_SLOW = "target-slow"
    """Work takes several times as long at a target, which says so in its answers."""
    VM_PAUSED = "vm-paused"
    """A router process is suspended and resumed later."""
    VM_KILLED = "vm-killed"
    """A router process is killed and started again."""
    VM_STOPPED = "vm-stopped"
    """A router process is asked to stop, and started again after its exit."""
    VM_RELOADED = "vm-reloaded"
    """A router process is sent SIGHUP, on which it reads its settings again."""
    VM_CUT_OFF = "vm-cut-off"
    """A VM's connections to all targets are accepted, and then reset or silent."""
    KEY_REVOKED = "key-revoked"
    """A new configuration lacks an API key of the one before."""
    ACCOUNT_HEAVY = "account-heavy"
    """One of several client accounts sends nine times its usual."""
    ROUTE_CHANGED = "route-changed"
    """A new configuration adds or removes a route."""


@final
@dataclass(frozen=True, slots=True)
class SoakSettings:
    """The size and the seed of one soak.

    ``fault_pause_s`` and ``fault_duration_s`` are means of random times.
    ``key_lifetime_ms``, ``apply_ms`` and ``drain_ms`` are limits that the routers
    promise: for how long a revoked key is accepted, how soon a configuration applies,
    and for how long a draining target is still called. ``grace_ms`` is how long a
    router may take to exit.
    """

    seed: int = 1
    duration_s: float = 20.0
    vms: int = 3
    targets: int = 4
    clients_per_vm: int = 4
    fault_pause_s: float = 0.8
    fault_duration_s: float = 2.0
    key_lifetime_ms: int = 3_000
    apply_ms: int = 2_000
    drain_ms: int = 2_000
    grace_ms: int = 8_000
