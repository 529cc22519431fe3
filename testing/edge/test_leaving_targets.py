"""Plays targets that say in their answers that they leave.

Guards against calls that reach such a target because its entry doesn't say so.
"""

from __future__ import annotations

import pytest
import trio

from edge.builders import wire_target
from edge.edge_fleet import running_fleet
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from yuccafold.standins import TargetMode

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


@on_trio
async def test_all_vms_restart_between_the_notice_of_a_target_and_its_drain():
    """Nobody remembers the notice; the target says it again with its next answer."""
    async with running_fleet(5, *({"work_ms": 1} for _ in range(2))) as fleet:
        fleet.targets[0].leaving = True
        while not fleet.arrivals["t1"]:
            await fleet.call(fleet.vms[-1], "/look/", ())
        await trio.sleep(1.5)
        async with trio.open_nursery() as nursery:
            for vm in fleet.vms:
                nursery.start_soon(vm.restart)
        fleet.arrivals.clear()

        async def call_all():
            for vm in fleet.vms:
                assert (await fleet.call(vm, "/look/", ()))[0] == 200

        while not fleet.arrivals["t1"]:
            await call_all()
        with trio.move_on_after(DRAIN_S):
            while True:
                await call_all()
                await trio.sleep(0.05)
        assert len(fleet.arrivals["t1"]) <= 2 * len(fleet.vms)
        fleet.arrivals.clear()
        for _ in range(10):
            await call_all()
        assert not fleet.arrivals["t1"]
        assert len(fleet.arrivals["t2"]) == 50


@on_trio
async def test_vms_that_got_no_answer_of_a_leaving_target_are_told():
    async with running_fleet(5, *({"work_ms": 1} for _ in range(2))) as fleet:
        fleet.targets[0].leaving = True
        while not fleet.arrivals["t1"]:
            await fleet.call(fleet.vms[-1], "/look/", ())
        await trio.sleep(1.5)
        fleet.arrivals.clear()
        for vm in fleet.vms:
            for _ in range(10):
                await fleet.call(vm, "/look/", ())
        assert not fleet.arrivals["t1"]


@on_trio
async def test_answer_to_a_health_check_counts_too():
    leaving = target("t1")
    async with running_edge(leaving) as edge:
        leaving.leaving = True
        probe, targets = edge.router._reach_probe, edge.router._targets
        (record,) = targets.ready("desk", probe._clock.now())
        await probe._try_target(record)
        assert targets.leaving_age(record, probe._clock.now()) is not None
        assert (await edge.call("POST", "/look/"))[0] == 503
        assert not leaving.runs


async def call_until_leaving(edge, leaving, path="/look/"):
    """Make calls until ``leaving`` has answered one; drop the records of its calls."""
    leaving.leaving = True
    leaving._received.clear()
    while not leaving.received:
        await edge.call("POST", path)
    leaving._received.clear()


@pytest.mark.parametrize(
    ("path", "mode"),
    [
        ("/look/", TargetMode.HEALTHY),
        ("/look/", TargetMode.FAILING),
        ("/look/", TargetMode.FULL),
        ("/look/", TargetMode.UNSIGNED),
        ("/book/", TargetMode.UNSIGNED),
        ("/book/", TargetMode.HEALTHY),
        ("/chat/", TargetMode.HEALTHY),
        ("/chat/", TargetMode.BREAKING),
        ("/chat/once/", TargetMode.HEALTHY),
    ],
)
def test_any_answer_of_a_leaving_target_counts(path, mode):
    @on_trio
    async def run():
        first, second = target("t1"), target("t2")
        async with running_edge(first, second) as edge:
            first.mode = mode
            await call_until_leaving(edge, first, path)
            for _ in range(20):
                status, _, _ = await edge.call("POST", path)
                assert status == 200
            assert not first.received

    run()


@on_trio
async def test_retries_and_resumed_streams_pass_over_a_leaving_target():
    first, second, third = target("t1"), target("t2"), target("t3")
    async with running_edge(first, second, third) as edge:
        await call_until_leaving(edge, first)
        second.mode = TargetMode.BREAKING
        for _ in range(10):
            status, _, body = await edge.call("POST", "/chat/")
            assert status == 200
            assert b"id: 4" in body
        second.mode = TargetMode.FAILING
        for _ in range(10):
            assert (await edge.call("POST", "/look/"))[0] == 200
        assert not first.received


@on_trio
async def test_prompt_moves_on_from_a_leaving_target():
    first, second = target("t1"), target("t2")
    prompt = "X-Prompt-Prefix: shared:100,own:10"
    async with running_edge(first, second) as edge:
        await edge.call("POST", "/chat/", b"", prompt)
        (holder,) = [each for each in (first, second) if each.received]
        holder.leaving = True
        await edge.call("POST", "/chat/", b"", prompt)
        holder._received.clear()
        for _ in range(10):
            assert (await edge.call("POST", "/chat/", b"", prompt))[0] == 200
        assert not holder.received


@on_trio
async def test_call_is_refused_at_once_when_all_targets_leave():
    targets = target("t1"), target("t2")
    async with running_edge(*targets) as edge:
        for each in targets:
            each.leaving = True
            each._received.clear()
        while not all(each.received for each in targets):
            await edge.call("POST", "/look/")
        for each in targets:
            each._received.clear()
        started = trio.current_time()
        status, head, _ = await edge.call("POST", "/look/")
        assert status == 503
        assert "Retry-After: 0." in head
        assert trio.current_time() - started < 0.25
        assert not any(each.received for each in targets)


@on_trio
async def test_kept_connection_to_a_leaving_target_is_closed():
    first, second = target("t1"), target("t2")
    async with running_edge(first, second) as edge:
        for _ in range(10):
            await edge.call("POST", "/look/")
        await call_until_leaving(edge, first)
        with trio.fail_after(2):
            while first.server.open_connections:
                await trio.sleep(0.01)


@on_trio
async def test_later_start_at_the_same_address_gets_calls():
    first, second = target("t1"), target("t2")
    async with running_edge(first, second) as edge:
        await call_until_leaving(edge, first)
        first.leaving = False
        edge.store.put("servers/t1", wire_target(first.server.address, born=5_000))
        with trio.fail_after(5):
            while not first.received:
                await edge.call("POST", "/look/")


@on_trio
async def test_answer_of_another_target_at_the_address_says_nothing():
    first, second = target("t1"), target("t2")
    async with running_edge(first, second) as edge:
        second.leaving = True
        edge.store.put("servers/t3", wire_target(second.server.address))
        edge.store.remove("servers/t2")
        await trio.sleep(0.3)
        for _ in range(20):
            await edge.call("POST", "/look/")
        assert not edge.router._view.leaving.local_notices(edge.router._clock.now())
