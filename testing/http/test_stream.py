from __future__ import annotations

import h11
import trio

from support.loopback import on_trio
from yuccafold.http import HttpStream
from yuccafold.http._stream import EVENTS_PER_TURN

PIECES = 5_000


class ReadyStream:
    """A connection whose bytes are all there at once."""

    def __init__(self, data):
        self._data = data

    async def receive_some(self, max_bytes):
        await trio.lowlevel.checkpoint()
        data, self._data = self._data, b""
        return data

    async def send_all(self, data):
        pass


@on_trio
async def test_other_tasks_run_while_a_body_comes_in_chunks_of_a_byte():
    """Calls of other clients got no answer: one body was parsed in a single turn."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"1\r\nz\r\n" * PIECES + b"0\r\n\r\n"
    http = HttpStream(ReadyStream(head + body), h11.CLIENT, 16_384)
    await http.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    await http.send(h11.EndOfMessage())
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_turns)
        received = 0
        while not isinstance(event := await http.next_event(), h11.EndOfMessage):
            received += isinstance(event, h11.Data)
        nursery.cancel_scope.cancel()
    assert received == PIECES
    assert turns >= PIECES // EVENTS_PER_TURN
