"""Plays a store that comes back from an older copy to a fleet of real routers.

Guards against VMs that keep what they had read before, as later changes get the
revisions of lost ones.
"""

from __future__ import annotations

import pytest
import trio

from edge.builders import wire_config
from edge.builders import wire_route
from edge.builders import wire_target
from edge.edge_fleet import running_fleet
from support.loopback import on_trio

APPLY_S = 2.0
"""Time within which settings must be in force, and a leaving target gets no calls."""

VM_COUNT = 5
KEPT = wire_route("/look/", "safe")
DROPPED = wire_route("/dropped/", "safe")
ADDED = wire_route("/added/", "safe")
LATEST = wire_route("/latest/", "safe")


class OlderStore:
    """The operator and the targets of a fleet whose store comes back older."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.store = fleet.store
        self.copy = None

    def write_first(self):
        self.store.era = 1
        self.store.put("op/config", wire_config(KEPT, DROPPED, version=2, keys=("a",)))
        self.copy = self.store.copy()

    def write_lost(self):
        """Write what the copy lacks."""
        keys = ("a", "b")
        self.store.put("op/config", wire_config(KEPT, ADDED, version=5, keys=keys))
        self.list_target(0, state="draining")
        if "servers/t2" in self.store.copy().items:
            self.store.remove("servers/t2")

    def write_more(self):
        routes = (KEPT, ADDED, LATEST)
        self.store.put("op/config", wire_config(*routes, version=6, keys=("b", "c")))
        self.list_target(2, state="draining")

    def warm_up(self, steps=40):
        """Let a target write often, so that the copy lacks many revisions."""
        for step in range(steps):
            self.list_target(3, cold_remaining_ms=steps - step - 1)

    def list_target(self, number, **changes):
        target = self.fleet.targets[number]
        entry = wire_target(target.server.address, born=1_001 + number, **changes)
        self.store.put(f"servers/{target.id}", entry)

    async def return_from_copy(self, away_s=0.7):
        self.store.refuse_with = 503
        await trio.sleep(away_s)
        self.store.return_from(self.copy)
        self.store.refuse_with = None

    async def until_version(self, version):
        def pending():
            return [vm for vm in self.fleet.vms if vm.router.settings_version < version]

        with trio.fail_after(5):
            while pending():
                await trio.sleep(0.02)

    async def statuses(self, path, key):
        return [
            (await self.fleet.call(vm, path, (), key=key))[0] for vm in self.fleet.vms
        ]


async def check_latest(older):
    """Check that all VMs handle calls by the last settings and targets."""
    fleet = older.fleet
    for times in fleet.arrivals.values():
        times.clear()
    for _ in range(4):
        assert await older.statuses("/latest/", "c") == [200] * VM_COUNT
        assert await older.statuses("/added/", "b") == [200] * VM_COUNT
        assert await older.statuses("/dropped/", "b") == [404] * VM_COUNT
        assert await older.statuses("/look/", "a") == [401] * VM_COUNT
    assert {name for name, times in fleet.arrivals.items() if times} == {"t4"}


@pytest.mark.parametrize("returns", [1, 2])
def test_older_store_leaves_no_vm_with_lost_settings(returns):
    @on_trio
    async def run():
        async with running_fleet(
            VM_COUNT, *({"work_ms": 1} for _ in range(4))
        ) as fleet:
            older = OlderStore(fleet)
            older.write_first()
            older.warm_up()
            older.write_lost()
            await older.until_version(5)
            for _ in range(returns):
                await older.return_from_copy()
            await trio.sleep(0.2)
            older.write_lost()
            older.write_more()
            await trio.sleep(APPLY_S)
            await check_latest(older)

    run()
