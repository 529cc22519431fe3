"""Which few VMs a VM probes.

Several rings order the VMs by independent hashes, and a VM probes its
successor in each: two rings of its own availability zone, two of the other
zones of its region, and one of the other regions. Independent orders make the
graph an expander, so news crosses it in a logarithmic number of hops; each VM
of a group is the successor of another, so nobody goes unprobed; and since the
rings run over the VMs held alive, they close over a lost zone or region.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from yuccafold._ids import VmId
from yuccafold.fleet._vm_list import VmListEntry

ZONE_RINGS = (1, 2)
REGION_RINGS = (3, 4)
FLEET_RINGS = (5,)


def choose_partners(me: VmListEntry, others: Iterable[VmListEntry]) -> list[VmId]:
    """Return the VMs of ``others`` that ``me`` probes, in a stable order."""
    candidates = [entry for entry in others if entry.id != me.id]
    if not candidates:
        return []
    same_region = [entry for entry in candidates if entry.region == me.region]
    groups = (
        (ZONE_RINGS, [entry for entry in same_region if entry.zone == me.zone]),
        (REGION_RINGS, [entry for entry in same_region if entry.zone != me.zone]),
        (FLEET_RINGS, [entry for entry in candidates if entry.region != me.region]),
    )
    chosen = (
        _successor(me.id, group or candidates, ring)
        for rings, group in groups
        for ring in rings
    )
    return list(dict.fromkeys(chosen))


def _successor(me: VmId, group: list[VmListEntry], ring: int) -> VmId:
    place = _place(me, ring)
    places = [(_place(entry.id, ring), entry.id) for entry in group]
    after = [item for item in places if item > (place, me)]
    return min(after or places)[1]


def _place(vm: VmId, ring: int) -> int:
    return xxhash.xxh64_intdigest(vm.encode(), seed=ring)
