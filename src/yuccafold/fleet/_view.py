"""The view of the fleet that membership gives to the rest of a router."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.fleet._messages import MemberStatus
from yuccafold.fleet._vm_list import VmListEntry


class MemberChange(Enum):
    """A change of a VM, as known to this VM."""

    LISTED = "listed"
    UNLISTED = "unlisted"
    STARTED = "started"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@final
@dataclass(frozen=True, slots=True)
class MemberEvent:
    """A change of the view; ``STARTED`` means that a later incarnation is known."""

    changed_at: Milliseconds
    vm: VmId
    change: MemberChange
    incarnation: Incarnation


@final
@dataclass(frozen=True, slots=True)
class MemberView:
    """One VM as known to this VM.

    ``incarnation`` is 0 while it is unknown. ``entry`` is ``None`` for a VM
    that makes contact but is not listed by the platform. ``since`` is when
    ``status`` last changed; for this VM, its start.
    """

    vm: VmId
    incarnation: Incarnation
    status: MemberStatus
    leaving: bool
    since: Milliseconds
    entry: VmListEntry | None

    @property
    def reachable(self) -> bool:
        """Whether the VM is not known to be dead; a suspect VM is reachable."""
        return self.status is not MemberStatus.DEAD


@final
@dataclass(frozen=True, slots=True)
class ListedVms:
    """The VMs of one platform list, and when this VM began to use it."""

    used_since: Milliseconds
    version: int
    vms: frozenset[VmId]


@final
@dataclass(frozen=True, slots=True)
class MembershipView:
    """All VMs as known to this VM, itself included.

    ``lists`` holds the lists used within ``MembershipSettings.list_history_ms``,
    the latest last.
    """

    local_vm: VmId
    members: Mapping[VmId, MemberView]
    lists: tuple[ListedVms, ...]

    @property
    def listed(self) -> frozenset[VmId]:
        """The VMs of the latest list; empty before the first list."""
        return self.lists[-1].vms if self.lists else frozenset()

    @property
    def reachable(self) -> frozenset[VmId]:
        """The VMs not known to be dead, listed or not."""
        return frozenset(vm for vm, member in self.members.items() if member.reachable)

    def incarnation(self, vm: VmId) -> Incarnation:
        """Return the latest known incarnation of ``vm``; 0 when none is known."""
        member = self.members.get(vm)
        return member.incarnation if member else Incarnation(0)
