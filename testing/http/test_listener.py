from __future__ import annotations

import trio

from support.loopback import on_trio
from yuccafold.http import Listener

LIMIT = 3


class Served:
    """Connections that are open until they are ended, the oldest one first."""

    def __init__(self):
        self._scopes = []
        self.ended = 0

    async def serve(self, stream):
        with trio.CancelScope() as scope:
            self._scopes.append(scope)
            await stream.send_all(b"+")
            await trio.sleep_forever()

    def make_room(self):
        if not self._scopes:
            return False
        self._scopes.pop(0).cancel()
        self.ended += 1
        return True


async def connect(listener):
    host, _, port = listener.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


@on_trio
async def test_new_caller_is_served_though_others_hold_all_places():
    """Callers that stayed open and silent took all places for as long as they liked."""
    served = Served()
    listener = await Listener.open("127.0.0.1:0", LIMIT, served.make_room)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, served.serve)
        for number in range(3 * LIMIT):
            stream = await connect(listener)
            with trio.fail_after(5):
                assert await stream.receive_some(1) == b"+"
            assert served.ended == max(0, number + 1 - LIMIT)
        nursery.cancel_scope.cancel()


@on_trio
async def test_caller_that_waits_for_a_place_is_closed_when_the_listener_stops():
    served = Served()
    listener = await Listener.open("127.0.0.1:0", 1, lambda: False)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, served.serve)
        first = await connect(listener)
        assert await first.receive_some(1) == b"+"
        waiting = await connect(listener)
        await trio.sleep(0.02)
        await listener.stop()
        with trio.fail_after(5):
            try:
                assert await waiting.receive_some(1) == b""
            except trio.BrokenResourceError:
                pass
        nursery.cancel_scope.cancel()
