"""The platform's VM list, which changes and which some routers read late."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.chaos._world import World
from yuccafold.delivery import Member
from yuccafold.delivery import View

ZONES = ("a", "b", "c", "d")
FEWEST_LISTED = 4


@final
class Platform:
    """Publishes lists of routers; a listed router may be gone and vice versa."""

    def __init__(self, world: World, vms: Sequence[VmId], replica_lag_ms: int) -> None:
        self._world = world
        self._replica_lag_ms = replica_lag_ms
        self._members = tuple(
            Member(vm, ZoneId(ZONES[index % len(ZONES)]))
            for index, vm in enumerate(vms)
        )
        self._published: list[tuple[float, View]] = [(0.0, View(self._members))]
        self._behind: dict[VmId, float] = {}

    def read(self, vm: VmId) -> View | None:
        """Return the list that ``vm`` gets now, or None when it is isolated."""
        if vm in self._world.conditions.isolated:
            return None
        instant = self._world.exact_now - self._behind.get(vm, 0.0)
        return [view for since, view in self._published if since <= instant][-1]

    def disagree(self) -> None:
        """Publish a shorter list, which half of the routers read late."""
        rng = self._world.rng
        readers = rng.sample(self._members, len(self._members) // 2)
        self._behind = {member.vm: self._replica_lag_ms for member in readers}
        size = rng.randint(FEWEST_LISTED, len(self._members) - 1)
        self._publish(View(rng.sample(self._members, size)))

    def list_few(self) -> frozenset[VmId]:
        """Publish the shortest list to all; return all but one of its VMs."""
        few = self._world.rng.sample(self._members, FEWEST_LISTED)
        self._publish(View(few))
        return frozenset(member.vm for member in few[1:])

    def heal(self) -> None:
        """Publish all routers again, to every reader at once."""
        self._publish(View(self._members))
        self._behind = {}

    def _publish(self, view: View) -> None:
        self._published.append((self._world.exact_now, view))
        listed = " ".join(sorted(view.vms))
        self._world.note(f"list published: {listed}")
