"""Plays targets that turn calls away and ask for a pause by ``Retry-After``.

Guards against calls that reach such a target before the end of its pause.
"""

from __future__ import annotations

import pytest
import trio

from edge.builders import wire_target
from edge.edge_fleet import running_fleet
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from yuccafold.standins import HEALTH_PATH
from yuccafold.standins import TargetMode

NOTICE_S = 0.5
"""Time after the answer from which calls at the target are counted."""

MAX_CALLS = 2
"""Calls of one VM that may reach the target from then until the end of the pause."""

PAUSE_S = 3.0


REFUSAL_HEADERS = {
    "says-not-run": (("X-Not-Executed", "1"),),
    "says-nothing": (),
    "is-signed": (("X-Response-Signature", "s"),),
}
"""What a refusal says beside its status and for how long it wants no calls."""


def ask_for_a_pause(pausing, *headers, pause_s=PAUSE_S):
    """Have ``pausing`` turn calls away with ``headers``."""
    pausing.mode = TargetMode.FULL
    pause = ("Retry-After", f"{pause_s}")
    pausing._rejection = lambda attempt: (("X-Attempt-Id", attempt), *headers, pause)


async def call_until_pausing(edge, pausing, path, pause_s=PAUSE_S):
    """Make calls until ``pausing`` has turned one away; drop the records of them."""
    pausing.mode = TargetMode.FULL
    pausing.retry_after = f"{pause_s}"
    while not pausing.received:
        await edge.call("POST", path)
    await trio.sleep(NOTICE_S)
    pausing._received.clear()


@pytest.mark.parametrize("path", ["/look/", "/book/", "/chat/"])
@pytest.mark.parametrize("others", [0, 1, 3])
def test_target_that_asks_for_a_pause_gets_few_calls_until_its_end(path, others):
    @on_trio
    async def run():
        pausing = target("t0")
        rest = [target(f"t{number + 1}") for number in range(others)]
        async with running_edge(pausing, *rest) as edge:
            await call_until_pausing(edge, pausing, path)
            statuses = set()
            with trio.move_on_after(PAUSE_S - NOTICE_S - 0.2):
                while True:
                    statuses.add((await edge.call("POST", path))[0])
                    await trio.sleep(0.01)
            assert len(pausing.received) <= MAX_CALLS
            assert statuses == ({200} if others else {503})
            pausing.mode = TargetMode.HEALTHY
            pausing._received.clear()
            await trio.sleep(1.0)
            with trio.fail_after(5):
                while not pausing.received:
                    await edge.call("POST", path)

    run()


@pytest.mark.parametrize("deadline_s", [9, 2])
def test_call_at_a_paused_service_is_told_when_it_can_be_served(deadline_s):
    """Callers wait for a third of the time that they have left, and then give up."""

    @on_trio
    async def run():
        pausing = target("t0")
        async with running_edge(pausing) as edge:
            await call_until_pausing(edge, pausing, "/look/", 1.5)
            deadline = f"X-Deadline-Ms: {deadline_s * 1000}"
            status, head, _ = await edge.call("POST", "/look/", b"", deadline)
            assert status == 503
            if deadline_s / 3 < 1.5 - NOTICE_S:
                assert "Retry-After" not in head
                return
            delay = float(head.partition("Retry-After: ")[2].split()[0])
            await trio.sleep(delay)
            pausing.mode = TargetMode.HEALTHY
            assert (await edge.call("POST", "/look/"))[0] == 200

    run()


@on_trio
async def test_pause_does_not_count_as_a_fault_of_the_target():
    """After its end the target gets calls at once, and other VMs keep using it."""
    pausing, other = target("t0"), target("t1")
    async with running_edge(pausing, other) as edge:
        pausing.mode, pausing.retry_after = TargetMode.FULL, "0.3"
        while not pausing.received:
            await edge.call("POST", "/look/")
        pausing.mode = TargetMode.HEALTHY
        pausing._received.clear()
        await trio.sleep(0.35)
        for _ in range(20):
            await edge.call("POST", "/look/")
        assert len(pausing.received) >= 5


@on_trio
async def test_calls_in_flight_as_a_target_asks_for_a_pause_do_not_return_to_it():
    """Several calls are turned away at the same moment, and tried elsewhere."""
    async with running_fleet(2, *({"work_ms": 1} for _ in range(3))) as fleet:
        fleet.targets[0].mode = TargetMode.FULL
        fleet.targets[0].retry_after = f"{PAUSE_S}"
        received = fleet.targets[0]._received
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                for number in range(60):
                    nursery.start_soon(fleet.call, fleet.vms[number % 2], "/look/", ())
            await trio.sleep(NOTICE_S)
            before = len(received)
        for _ in range(40):
            async with trio.open_nursery() as nursery:
                for vm in fleet.vms:
                    nursery.start_soon(fleet.call, vm, "/look/", ())
            await trio.sleep(0.02)
        assert before
        assert len(received) - before <= MAX_CALLS


@pytest.mark.parametrize("path", ["/look/", "/book/", "/chat/"])
@pytest.mark.parametrize("headers", REFUSAL_HEADERS.values(), ids=REFUSAL_HEADERS)
def test_pause_is_kept_whatever_else_the_refusal_says(headers, path):
    """The status and ``Retry-After`` ask for it, whether the call ran or not."""

    @on_trio
    async def run():
        pausing, *others = (target(f"t{number}") for number in range(3))
        async with running_edge(pausing, *others) as edge:
            ask_for_a_pause(pausing, *headers)
            while not pausing.received:
                await edge.call("POST", path)
            await trio.sleep(NOTICE_S)
            pausing._received.clear()
            with trio.move_on_after(PAUSE_S - NOTICE_S - 0.2):
                while True:
                    await edge.call("POST", path)
                    await trio.sleep(0.01)
            assert len(pausing.received) <= MAX_CALLS

    run()


@on_trio
async def test_no_health_check_reaches_a_target_in_its_pause():
    """They are sent while other targets of the service are silent."""
    pausing, silent = target("t0"), target("t1")
    async with running_edge(pausing, silent) as edge:
        await call_until_pausing(edge, pausing, "/look/", pause_s=5.0)
        silent.mode = TargetMode.HANGING
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(4.0):
                while True:
                    nursery.start_soon(edge.call, "POST", "/look/")
                    await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
        assert [request.path for request in pausing.received] == []


@on_trio
async def test_refused_health_check_asks_for_a_pause_too():
    pausing, silent = target("t0"), target("t1")
    async with running_edge(pausing, silent) as edge:
        ask_for_a_pause(pausing, pause_s=5.0)
        silent.mode = TargetMode.HANGING
        probe = edge.router._reach_probe
        record = next(
            record
            for record in probe._targets.ready("desk", probe._clock.now())
            if record.id == pausing.id
        )
        await probe._try_target(record)
        assert [request.path for request in pausing.received] == [HEALTH_PATH]
        assert probe._targets.is_paused(record, probe._clock.now())


@pytest.mark.parametrize("headers", REFUSAL_HEADERS.values(), ids=REFUSAL_HEADERS)
def test_pause_is_kept_if_the_caller_leaves_before_the_end_of_the_refusal(headers):
    @on_trio
    async def run():
        pausing, other = target("t0"), target("t1")

        async def refuse_without_end(exchange, attempt):
            await exchange.start(503, (*headers, ("Retry-After", f"{PAUSE_S}")))
            await trio.sleep_forever()

        async with running_edge(pausing, other) as edge:
            pausing._run = refuse_without_end
            while not pausing.received:
                with trio.move_on_after(0.02):
                    await edge.call("POST", "/look/")
            await trio.sleep(NOTICE_S)
            pausing._received.clear()
            with trio.move_on_after(PAUSE_S - NOTICE_S - 0.2):
                while True:
                    with trio.move_on_after(0.02):
                        await edge.call("POST", "/look/")
            assert len(pausing.received) <= MAX_CALLS

    run()


@pytest.mark.parametrize("value", ["99999999999", "3.00000000001", "9" * 5_000])
def test_time_of_many_digits_asks_for_a_pause(value):
    @on_trio
    async def run():
        pausing, other = target("t0"), target("t1")
        async with running_edge(pausing, other) as edge:
            ask_for_a_pause(pausing, ("X-Not-Executed", "1"), pause_s=value)
            while not pausing.received:
                assert (await edge.call("POST", "/look/"))[0] == 200
            await trio.sleep(NOTICE_S)
            pausing._received.clear()
            with trio.move_on_after(2.0):
                while True:
                    assert (await edge.call("POST", "/look/"))[0] == 200
                    await trio.sleep(0.01)
            assert len(pausing.received) <= MAX_CALLS

    run()


@on_trio
async def test_pause_outlasts_the_return_of_an_entry_but_no_restart():
    """An entry may lapse while its target lives; one that restarts knows of nothing."""
    pausing, other = target("t0"), target("t1")
    async with running_edge(pausing, other) as edge:
        await call_until_pausing(edge, pausing, "/look/", pause_s=60)
        targets = edge.router._targets
        now = edge.router._clock.now()
        (record,) = [each for each in targets.ready("desk", now) if each.id == "t0"]
        targets.forget(record.id, now)
        assert targets.is_paused(record, now)
        pausing.mode = TargetMode.HEALTHY
        entry = wire_target(pausing.server.address, born=1_700_000_000_000)
        edge.store.put("servers/t0", entry)
        with trio.fail_after(5):
            while not pausing.received:
                await edge.call("POST", "/look/")


@pytest.mark.parametrize("path", ["/look/", "/book/"])
@pytest.mark.parametrize("status", [429, 500, 504])
def test_answer_with_another_status_asks_for_no_pause(status, path):
    """Its ``Retry-After`` is meant for the caller who gets it."""

    @on_trio
    async def run():
        failing = target("t0", status=status)
        signed = failing._headers
        failing._headers = lambda attempt: (*signed(attempt), ("Retry-After", "60"))
        async with running_edge(failing) as edge:
            for number in range(1, 4):
                await edge.call("POST", path)
                assert len(failing.runs) == number

    run()


@pytest.mark.parametrize("value", ["", "0", "soon", "-3", "1e9", "nan", "Fri, 04 Dec"])
def test_value_that_is_no_time_asks_for_no_pause(value):
    @on_trio
    async def run():
        pausing = target("t0")
        async with running_edge(pausing) as edge:
            await call_until_pausing(edge, pausing, "/look/")
            pausing.retry_after = value
            await trio.sleep(PAUSE_S)
            await edge.call("POST", "/look/")
            pausing.mode = TargetMode.HEALTHY
            with trio.fail_after(5):
                while (await edge.call("POST", "/look/"))[0] != 200:
                    await trio.sleep(0.05)

    run()
