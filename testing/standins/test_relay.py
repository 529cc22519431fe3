from __future__ import annotations

import trio
import trio.testing

from support.loopback import connect
from support.loopback import exchange
from support.loopback import has_no_input
from support.loopback import message
from support.loopback import on_trio
from support.loopback import read_to_end
from support.loopback import serving
from support.loopback import until
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import Relay


class Relayed:
    """A plain service behind a relay."""

    def __init__(self):
        self.service = PlainService(PlainSettings())
        self.relay = None

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            await nursery.start(self.service.serve)
            self.relay = Relay(self.service.server.address)
            task_status.started(await nursery.start(self.relay.serve))


@on_trio
async def test_bytes_pass_both_ways():
    relayed = Relayed()
    async with serving(relayed):
        assert b" 200 " in await exchange(relayed.relay, "GET", "/")
        assert len(relayed.service.runs) == 1


@on_trio
async def test_forgotten_connection_is_silent_while_new_ones_work():
    relayed = Relayed()
    async with serving(relayed), await connect(relayed.relay) as old:
        await old.send_all(message("GET", "/before"))
        await old.receive_some()
        relayed.relay.silence()
        await old.send_all(message("GET", "/after"))
        assert b" 200 " in await exchange(relayed.relay, "GET", "/new")
        await trio.testing.wait_all_tasks_blocked()
        assert has_no_input(old)
        assert [run.path for run in relayed.service.runs] == ["/before", "/new"]


@on_trio
async def test_cut_closes_connections_until_mended():
    relayed = Relayed()
    async with serving(relayed), await connect(relayed.relay) as old:
        await until(lambda: relayed.relay.open_connections)
        relayed.relay.cut()
        assert await read_to_end(old) == b""
        assert await exchange(relayed.relay, "GET", "/") == b""
        relayed.relay.restore()
        assert b" 200 " in await exchange(relayed.relay, "GET", "/")


def test_delay_applies_in_each_direction():
    async def check():
        relayed = Relayed()
        async with serving(relayed):
            relayed.relay.set_delay(10_000)
            assert b" 200 " in await exchange(relayed.relay, "GET", "/")
            assert trio.current_time() >= 20
            assert relayed.service.runs[0].started_at >= 10

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0.01))
