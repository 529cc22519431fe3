"""Plays streams of a route that is divided between two services.

Guards against a stream that another VM takes up at the other service: it holds events
of two models, or of two software versions of one.
"""

from __future__ import annotations

import pytest
import trio

from edge.builders import wire_config
from edge.builders import wire_route
from edge.edge_fleet import running_fleet
from edge.test_streams_of_two_versions import break_off
from edge.test_streams_of_two_versions import take_up
from support.loopback import on_trio

SERVICES = ("desk", "other")
TARGETS = [{"service": service} for service in SERVICES]
STREAMS = 16


def divided(**weights):
    """Return a configuration that divides a route of streams by weights."""
    route = wire_route("/chat/", "streaming", resumable=True)
    services = [{"name": name, "weight": weights[name]} for name in weights]
    split = [{"service": each["name"], "weight": each["weight"]} for each in services]
    del route["service"]
    named = [wire_route(f"/{name}/", "safe", service=name) for name in SERVICES]
    return [route | {"traffic_split": split}, *named]


async def configure(fleet, version, **weights):
    config = wire_config(*divided(**weights), version=version)
    fleet.store.put("op/config", config)
    await trio.sleep(0.6)


def service_of(fleet, name):
    number = next(n for n, each in enumerate(fleet.targets) if each.id == name)
    return TARGETS[number]["service"]


def complete_histories(fleet):
    """Have all VMs know targets and settings as if they had run for a long time."""
    fleet.complete_histories()
    for vm in fleet.vms:
        vm.router._targets.streams.route_services._former.clear()


async def begin_streams(fleet):
    return [
        await break_off(fleet, fleet.vms[number % 3], number)
        for number in range(STREAMS)
    ]


@on_trio
async def test_stream_is_taken_up_at_the_service_that_began_it():
    async with running_fleet(4, *TARGETS) as fleet:
        await configure(fleet, 5, desk=50, other=50)
        complete_histories(fleet)
        began = await begin_streams(fleet)
        assert {service_of(fleet, name) for _, name in began} == set(SERVICES)
        fleet.vms[0].kill()
        for number, (attempt, began_at) in enumerate(began):
            vm = fleet.vms[1 + (number + 1) % 3]
            status, _, places = await take_up(fleet, vm, attempt, number)
            assert status == 200
            assert {service_of(fleet, name) for name in places} == {
                service_of(fleet, began_at)
            }


@pytest.mark.parametrize("weights", [{"desk": 1}, {"desk": 90, "other": 10}])
def test_stream_is_not_taken_up_at_the_service_that_its_route_moved_to(weights):
    @on_trio
    async def run():
        async with running_fleet(4, *TARGETS) as fleet:
            await configure(fleet, 5, desk=10, other=90)
            complete_histories(fleet)
            began = await begin_streams(fleet)
            await configure(fleet, 9, **weights)
            statuses = set()
            for number, (attempt, began_at) in enumerate(began):
                vm = fleet.vms[(number + 1) % 4]
                status, _, places = await take_up(fleet, vm, attempt, number)
                service = service_of(fleet, began_at)
                assert {service_of(fleet, name) for name in places} <= {service}
                assert (status == 200) == bool(places)
                statuses.add((service, status))
            assert ("desk", 200) in statuses
            assert (("other", 200) in statuses) == ("other" in weights)

    run()


@pytest.mark.parametrize(
    ("moved", "is_named"), [("while down", True), ("before", False)]
)
def test_stream_is_not_taken_up_where_its_route_moved_as_vms_restarted(moved, is_named):
    """A VM that started took the services in force for all that the route had.

    VMs tell each other of streams whose route has moved. They can't if the one that
    relayed it is down, and it doesn't help callers that don't name their first call.
    """

    @on_trio
    async def run():
        async with running_fleet(4, *TARGETS) as fleet:
            await configure(fleet, 5, desk=1)
            complete_histories(fleet)
            restarted = fleet.vms[2:]
            began = [
                await break_off(fleet, restarted[number % 2], number)
                for number in range(STREAMS)
            ]
            if moved == "before":
                await configure(fleet, 9, other=1)
            for vm in restarted:
                vm.kill()
                await vm._ended.wait()
            if moved == "while down":
                await configure(fleet, 9, other=1)
            for vm in restarted:
                await vm.start()
            await trio.sleep(0.6)
            for number, (attempt, _) in enumerate(began):
                for vm in restarted:
                    status, _, places = await take_up(
                        fleet, vm, attempt if is_named else None, number
                    )
                    assert (status, places) == (503, [])

    run()


@on_trio
async def test_stream_of_the_service_that_its_route_moved_to_goes_on_after_restarts():
    """A VM must not refuse what began since the move, only as it knows of the move."""
    async with running_fleet(4, *TARGETS) as fleet:
        await configure(fleet, 5, desk=1)
        complete_histories(fleet)
        await configure(fleet, 9, other=1)
        restarted = fleet.vms[2:]
        for vm in restarted:
            await vm.restart()
        await trio.sleep(0.6)
        began = await begin_streams(fleet)
        # VMs tell each other of such streams with their next reports.
        await trio.sleep(1.0)
        for number, (attempt, began_at) in enumerate(began):
            for vm in restarted:
                status, _, places = await take_up(fleet, vm, attempt, number)
                assert (status, places) == (200, [began_at])
