"""The command asks a real router, which then sends the call where it said."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
import trio

from edge.builders import wire_target
from edge.log_lines import LogCapture
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from edge.quarantine_fleet import make_call
from support.loopback import on_trio
from support.loopback import until
from yuccafold._clock import Milliseconds
from yuccafold._clock import MonotonicClock
from yuccafold.cli import main
from yuccafold.edge import FeatureMode
from yuccafold.edge import SocketAddress
from yuccafold.edge._pages import PageServer
from yuccafold.edge._suspects import crash_id
from yuccafold.edge.sharing._work import ServiceWork

HOST = "--host=fleet.example"
CHAT = [HOST, "--path=/chat/a", "--account=acme", "--prompt=book:800,own:50"]
CHAT_CALL = ("POST", "/chat/a", b"", "X-Prompt-Prefix: book:800,own:50")
LOOK_CALL = ("GET", "/look/a")
PAGES = ("readiness", "peers")
NOWHERE = "127.0.0.1:1"
KEYS_LAST = {"key_lifetime": Milliseconds(60_000), "apply_within": Milliseconds(60_000)}
"""Settings by which keys don't lapse in a process that is held up for a second."""

FIELDS = ("target", "reason", "fetch")
LOOK = [HOST, "--path=/look/a", "--account=acme"]


async def free_port():
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with listener:
        return listener.socket.getsockname()[1]


async def serve_page(nursery, render_page):
    """Serve a page at a port, which is returned."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    server = PageServer(render_page, MonotonicClock())
    nursery.start_soon(trio.serve_listeners, server.serve, [listener])
    return listener.socket.getsockname()[1]


async def explain(port, *arguments):
    command = ["explain", f"--operator=127.0.0.1:{port}", *arguments]
    return await trio.to_thread.run_sync(main, command)


@on_trio
async def test_call_goes_where_the_command_said(capsys, monkeypatch):
    log = LogCapture(monkeypatch)
    port = await free_port()
    targets = [target(f"t{number}") for number in (1, 2, 3)]
    async with running_edge(
        *targets, settings={"metrics_port": port} | KEYS_LAST
    ) as edge:
        # Equal targets would be drawn at random, and other tasks draw, too.
        for other in targets[1:]:
            entry = wire_target(other.server.address, zone="b")
            edge.store.put(f"servers/{other.id}", entry)
        present = edge.router._view.present
        await until(lambda: [t.record.zone for t in present("desk")].count("b") == 2)
        for arguments, call in ((CHAT, CHAT_CALL), (LOOK, LOOK_CALL)) * 3:
            assert await explain(port, *arguments, "--json") == 0
            said = json.loads(capsys.readouterr().out)
            earlier = len(log.fields("call_placed"))
            assert (await edge.call(*call))[0] == 200
            placed = log.fields("call_placed")[earlier]
            assert [said[name] for name in FIELDS] == [placed[name] for name in FIELDS]
        assert len(edge.runs) == len(log.fields("call_placed"))


async def crash_three(edge):
    """Have three targets crash under calls with the same part."""
    now = edge.router._clock.now()
    for number in range(3):
        crash = crash_id(f"t{number}", number)
        at = Milliseconds(now + 20 * number)
        edge.router._targets.evidence.quarantine.record_crash(
            make_call(number, "book"), crash, None, at
        )


async def crowd(edge):
    """Let other VMs report far more urgent calls than there is room for."""
    now = edge.router._clock.now()
    work = ServiceWork({0: 9_000}, 9_000.0, 90.0, 90_000.0, 900_000.0, 90_000.0, 90.0)
    sharing = edge.router._targets.evidence.sharing
    sharing.record_fleet_demand({"desk": {}}, {}, 30, now)
    sharing.record_fleet_work({"desk": work}, {}, now)


async def be_cut_off(edge):
    """Move the target to where nothing answers, and have calls find that out."""
    edge.store.put("servers/t1", wire_target(NOWHERE))
    known = edge.router._view.known
    await until(lambda: known("t1").record.address == NOWHERE)
    now = edge.router._clock.now()
    edge.router._targets.record_unreached(known("t1").record, now)


async def evacuate(edge):
    edge.store.put("op/evacuate/a", b"{}")
    router = edge.router
    await until(lambda: router._view.evacuated_zones(router._clock.now()))


@pytest.mark.parametrize(
    ("code", "troubles"),
    [
        pytest.param("evacuated", [evacuate], id="evacuated"),
        pytest.param("quarantined", [crash_three], id="quarantined"),
        pytest.param("too_late", [crowd], id="not-admitted"),
        pytest.param("cut_off", [be_cut_off], id="cut-off"),
        pytest.param("too_late", [crash_three, crowd], id="not-admitted-first"),
        pytest.param("quarantined", [crash_three, be_cut_off], id="quarantined-first"),
        pytest.param("cut_off", [be_cut_off, evacuate], id="cut-off-first"),
    ],
)
def test_call_is_refused_as_the_command_said(code, troubles, capsys):
    @on_trio
    async def run():
        port = await free_port()
        settings = {"metrics_port": port, "sharing": FeatureMode.ON} | KEYS_LAST
        async with running_edge(target(), settings=settings) as edge:
            for trouble in troubles:
                await trouble(edge)
            assert await explain(port, *CHAT, "--json") == 0
            said = json.loads(capsys.readouterr().out)["refusal"]
            status, head, body = await edge.call(*CHAT_CALL)
            assert (said["status"], said["code"]) == (503, code)
            assert (status, json.loads(body)["error"]) == (503, code)
            assert ("retry-after" in head.lower()) == bool(said["retry_after_ms"])
            assert not edge.runs

    run()


@pytest.mark.parametrize(
    ("arguments", "call", "status"),
    [
        pytest.param([HOST, "--path=/lost"], ("GET", "/lost"), 404, id="no-route"),
        pytest.param([*LOOK[:2], "--account=x"], LOOK_CALL, 401, id="unknown-key"),
    ],
)
def test_call_is_refused_by_the_gate_as_the_command_said(
    arguments, call, status, capsys
):
    @on_trio
    async def run():
        port = await free_port()
        async with running_edge(
            target(), settings={"metrics_port": port} | KEYS_LAST
        ) as edge:
            assert await explain(port, *arguments, "--json") == 0
            said = json.loads(capsys.readouterr().out)["refusal"]
            assert (await edge.call(*call, key=None))[0] == said["status"] == status

    run()


@on_trio
async def test_table_shows_the_targets_and_why(capsys):
    port = await free_port()
    targets = [target(f"t{number}") for number in (1, 2)]
    async with running_edge(
        *targets, settings={"metrics_port": port} | KEYS_LAST
    ) as edge:
        edge.router._view.evacuate("b", edge.router._clock.now())
        assert await explain(port, *CHAT) == 0
        shown = capsys.readouterr().out
        assert "placed at" in shown
        assert "first-ranked" in shown
        assert "own/bound" in shown
        assert await explain(port, HOST, "--path=/chat/a") == 0
        assert "401 unknown_key, no Retry-After" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        pytest.param([HOST], 2, "expected: yuccafold explain", id="no-path"),
        pytest.param([*LOOK, "--chat=c"], 2, "expected: yuccafold", id="two-kinds"),
        pytest.param([*LOOK, "t1"], 2, "expected: yuccafold", id="argument"),
        pytest.param([*LOOK, "--length_hint=long"], 2, "length_hint", id="bad-value"),
        pytest.param([*LOOK, "--service=tags"], 2, "service: expected", id="service"),
    ],
)
def test_bad_input_is_said(arguments, code, said, capsys):
    @on_trio
    async def run():
        port = await free_port()
        async with running_edge(target(), settings={"metrics_port": port} | KEYS_LAST):
            assert await explain(port, *arguments) == code

    run()
    assert said in capsys.readouterr().err


@on_trio
async def test_only_the_operators_address_answers(capsys):
    ports = {name: SocketAddress("127.0.0.1", await free_port()) for name in PAGES}
    async with running_edge(target(), settings=ports) as edge:
        for address in (edge.address, *ports.values()):
            assert await explain(str(address).partition(":")[2], *LOOK) != 0
    assert capsys.readouterr().out == ""


def test_chats_are_asked_of_the_page_as_before(capsys):
    asked = []

    def page(path_and_query):
        asked.append(path_and_query)
        return 200, json.dumps({"target": "e1"})

    @on_trio
    async def run():
        async with trio.open_nursery() as nursery:
            port = await serve_page(nursery, page)
            assert await explain(port, "--service=chat", "--chat=c1") == 0
            nursery.cancel_scope.cancel()

    run()
    assert asked == ["/explain?service=chat&chat=c1"]
    assert capsys.readouterr().out == "target  e1\n"


@on_trio
async def test_unreachable_vm_is_said(capsys):
    assert await explain(await free_port(), *LOOK) == 3
    assert "cannot connect" in capsys.readouterr().err


@pytest.mark.parametrize(
    "page",
    [
        pytest.param((200, "yuccafold_edge_connections 1\n"), id="metrics"),
        pytest.param((404, "not found"), id="not-found"),
        pytest.param((200, "[]"), id="other-json"),
    ],
)
def test_older_build_is_said(page, capsys):
    @on_trio
    async def run():
        async with trio.open_nursery() as nursery:
            port = await serve_page(nursery, lambda _: page)
            assert await explain(port, *LOOK) == 1
            nursery.cancel_scope.cancel()

    run()
    assert "older build" in capsys.readouterr().err


def test_router_loads_nothing_of_it_before_it_is_asked():
    code = (
        "import sys, yuccafold.cli._edge_router\n"
        "assert not [name for name in sys.modules if 'explain' in name]"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
