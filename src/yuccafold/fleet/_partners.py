"""Chooses the few VMs, called partners, that a VM probes.

Several rings order the VMs by independent hashes, and a VM probes its
successor in each: in two rings of its own availability zone, two of the other
zones of its region, and one of the other regions. Independent orders make the
graph an expander, so that an update reaches all VMs in a logarithmic number of
hops. Each VM of a group is the successor of another, so that every VM is
probed. The rings contain only VMs that are not known to be dead, so that they
stay closed when a zone or region is lost.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from yuccafold._ids import VmId
from yuccafold.fleet._vm_list import VmListEntry

ZONE_RINGS = (1, 2)
REGION_RINGS = (3, 4)
FLEET_RINGS = (5,)


def choose_partners(local_vm: VmListEntry, others: Iterable[VmListEntry]) -> list[VmId]:
    """Return the VMs of ``others`` that ``local_vm`` probes, in a stable order."""
    candidates = [entry for entry in others if entry.id != local_vm.id]
    if not candidates:
        return []
    same_region = [entry for entry in candidates if entry.region == local_vm.region]
    groups = (
        (ZONE_RINGS, [entry for entry in same_region if entry.zone == local_vm.zone]),
        (REGION_RINGS, [entry for entry in same_region if entry.zone != local_vm.zone]),
        (
            FLEET_RINGS,
            [entry for entry in candidates if entry.region != local_vm.region],
        ),
    )
    chosen = (
        _successor(local_vm.id, group or candidates, ring)
        for rings, group in groups
        for ring in rings
    )
    return list(dict.fromkeys(chosen))


def _successor(vm: VmId, group: list[VmListEntry], ring: int) -> VmId:
    position = _ring_position(vm, ring)
    positions = [(_ring_position(entry.id, ring), entry.id) for entry in group]
    after = [item for item in positions if item > (position, vm)]
    return min(after or positions)[1]


def _ring_position(vm: VmId, ring: int) -> int:
    return xxhash.xxh64_intdigest(vm.encode(), seed=ring)
