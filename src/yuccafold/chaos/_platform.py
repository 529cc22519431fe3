"""The platform's VM list, which changes and which some routers read with a lag."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.chaos._world import World
from yuccafold.delivery import Member
from yuccafold.delivery import View

ZONES = ("a", "b", "c", "d")
MIN_LISTED_VMS = 4


@final
class Platform:
    """Publishes VM lists, which may omit running routers or list stopped ones."""

    def __init__(self, world: World, vms: Sequence[VmId], replica_lag_ms: int) -> None:
        self._world = world
        self._replica_lag_ms = replica_lag_ms
        self._members = tuple(
            Member(vm, ZoneId(ZONES[index % len(ZONES)]))
            for index, vm in enumerate(vms)
        )
        self._published: list[tuple[float, View]] = [(0.0, View(self._members))]
        self._read_lag_ms: dict[VmId, float] = {}

    def read(self, vm: VmId) -> View | None:
        """Return the list that ``vm`` reads now, or ``None`` if it is isolated."""
        if vm in self._world.conditions.isolated:
            return None
        instant = self._world.exact_now - self._read_lag_ms.get(vm, 0.0)
        return [view for since, view in self._published if since <= instant][-1]

    def publish_diverging_list(self) -> None:
        """Publish a shorter list, which half of the routers read with a lag."""
        rng = self._world.rng
        readers = rng.sample(self._members, len(self._members) // 2)
        self._read_lag_ms = {member.vm: self._replica_lag_ms for member in readers}
        size = rng.randint(MIN_LISTED_VMS, len(self._members) - 1)
        self._publish(View(rng.sample(self._members, size)))

    def publish_shortest_list(self) -> frozenset[VmId]:
        """Publish the shortest list to all routers; return all but one of its VMs."""
        listed = self._world.rng.sample(self._members, MIN_LISTED_VMS)
        self._publish(View(listed))
        return frozenset(member.vm for member in listed[1:])

    def publish_full_list(self) -> None:
        """Publish the list of all routers, which every router reads without lag."""
        self._publish(View(self._members))
        self._read_lag_ms = {}

    def _publish(self, view: View) -> None:
        self._published.append((self._world.exact_now, view))
        listed = " ".join(sorted(view.vms))
        self._world.record(f"list published: {listed}")
