"""Plays targets that say in their answers that they leave.

Guards against calls that reach such a target because its entry doesn't say so.
"""

from __future__ import annotations

import trio

from edge.edge_fleet import running_fleet
from support.loopback import on_trio

DRAIN_S = 2.0


@on_trio
async def test_target_that_says_it_leaves_gets_no_more_calls():
    async with running_fleet(3, *({"work_ms": 1} for _ in range(3))) as fleet:
        fleet.targets[0].leaving = True

        async def call_all():
            for vm in fleet.vms:
                await fleet.call(vm, "/look/", ())

        while not fleet.arrivals["t1"]:
            await call_all()
        with trio.move_on_after(DRAIN_S):
            while True:
                await call_all()
                await trio.sleep(0.05)
        fleet.arrivals.clear()
        for _ in range(20):
            await call_all()
        assert len(fleet.arrivals["t2"]) + len(fleet.arrivals["t3"]) == 60
        assert not fleet.arrivals["t1"]
