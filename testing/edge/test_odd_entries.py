"""Plays another writer whose entry among those of targets is odd, again and again.

Guards against VMs whose reader ends at such an entry: they no longer learn which
targets join and leave.
"""

from __future__ import annotations

from itertools import cycle

import pytest
import trio

from edge.builders import wire_target
from edge.edge_fleet import running_fleet
from edge.log_lines import LogCapture
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio

REWRITE_S = 0.1
ODD_ENTRIES = {
    "number": wire_target("127.0.0.1:9", slots=7).replace(b": 7", b": 1e400"),
    "start": wire_target("127.0.0.1:9", born=7).replace(b": 7", b": 1e400"),
    "digits": wire_target("127.0.0.1:9", born=7).replace(b": 7", b": " + b"9" * 400),
    "deep": wire_target("127.0.0.1:9", more=7).replace(b": 7", b": " + b"[" * 100_000),
    "port": wire_target("127.0.0.1:99999"),
    "text": wire_target("127.0.0.1:9", version="\ud800"),
    "slots": wire_target("127.0.0.1:9", slots=10**12),
}


async def rewrite(store, values):
    for value in cycle(values):
        store.put("servers/odd", value)
        await trio.sleep(REWRITE_S)


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_reader_follows_targets_past_an_entry_that_is_written_again(kind):
    @on_trio
    async def run():
        old, new = target("t1"), target("t2")
        async with running_edge(old, new) as edge, trio.open_nursery() as nursery:
            nursery.start_soon(rewrite, edge.store, [ODD_ENTRIES[kind]])
            entry = wire_target(new.server.address)
            edge.store.remove("servers/t2")
            await trio.sleep(1.0)
            edge.store.put("servers/t2", entry)
            edge.store.remove("servers/t1")
            await trio.sleep(1.0)
            before = len(old.received)
            for _ in range(20):
                assert (await edge.call("POST", "/look/"))[0] == 200
            assert len(old.received) == before
            nursery.cancel_scope.cancel()

    run()


def test_no_task_of_any_vm_ends_by_an_odd_entry(monkeypatch):
    log = LogCapture(monkeypatch)

    @on_trio
    async def run():
        async with running_fleet(4, {}, {}) as fleet:
            with trio.move_on_after(3.0):
                await rewrite(fleet.store, ODD_ENTRIES.values())
            for vm in fleet.vms:
                status, _, _ = await fleet.call(vm, "/look/", ())
                assert status == 200

    run()
    assert log.fields("entry_malformed")
    assert log.fields("child_failed") == []
