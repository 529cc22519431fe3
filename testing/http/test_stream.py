from __future__ import annotations

import h11
import trio

from support.loopback import on_trio
from yuccafold.http import HttpStream
from yuccafold.http._stream import EVENTS_PER_TURN

PIECES = 5_000
CROWD = 20


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


@on_trio
async def test_crowd_of_bodies_in_chunks_of_a_byte_takes_turns():
    """A turn of each of them lay between two steps of the other tasks."""
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + b"1\r\nz\r\n" * (10 * EVENTS_PER_TURN) + b"0\r\n\r\n"
    parsed = 0
    finished = 0

    async def read_body():
        nonlocal parsed, finished
        http = HttpStream(SmallReads(data), h11.SERVER, 16_384)
        while not isinstance(await http.next_event(), h11.EndOfMessage):
            parsed += 1
        finished += 1

    async with trio.open_nursery() as nursery:
        for _ in range(CROWD):
            nursery.start_soon(read_body)
        while parsed < CROWD * EVENTS_PER_TURN:
            await trio.lowlevel.checkpoint()
        while finished < CROWD:
            before = parsed
            await trio.lowlevel.checkpoint()
            assert parsed - before <= 2 * EVENTS_PER_TURN


class SmallReads(ReadyStream):
    """A connection that gives out its bytes a few events at a time."""

    async def receive_some(self, max_bytes):
        await trio.lowlevel.checkpoint()
        data, self._data = self._data[:200], self._data[200:]
        return data


@on_trio
async def test_turns_start_anew_with_each_request():
    """Calls on a kept connection don't wait behind a crowd for having been many."""
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    http = HttpStream(ReadyStream(request * 100), h11.SERVER, 16_384)
    response = h11.Response(status_code=204, headers=[])
    steps = 0
    async with trio.open_nursery() as nursery:

        async def count_steps():
            nonlocal steps
            while True:
                steps += 1
                await trio.lowlevel.checkpoint()

        await http.receive()
        nursery.start_soon(count_steps)
        for _ in range(100):
            while not isinstance(await http.next_event(), h11.EndOfMessage):
                pass
            http.encode(response, h11.EndOfMessage())
            http.start_next_cycle()
        assert steps == 0
        nursery.cancel_scope.cancel()
