"""Requests inside the limits, at a VM with little memory."""

from __future__ import annotations

import pytest
import trio

from edge.crowds.crowd_vm import HEAD_TIMEOUT_MS
from edge.crowds.crowd_vm import KB
from edge.crowds.crowd_vm import MAX_BODY
from edge.crowds.crowd_vm import chunk
from edge.crowds.crowd_vm import exchange
from edge.crowds.crowd_vm import request_head
from edge.crowds.crowd_vm import running_vm
from support.loopback import on_trio

KEY_LIFETIME_MS = 3_000
SLOW_BODY = b"slow"
PAUSE_S = 1.5 * HEAD_TIMEOUT_MS / 1_000


def in_chunks(body, size):
    """Return a request whose body comes in chunks of ``size``."""
    yield request_head("/echo/", "Transfer-Encoding: chunked", "Connection: close")
    for start in range(0, len(body), size):
        yield chunk(body[start : start + size])
    yield b"0\r\n\r\n"


def with_a_length(body, size):
    """Return a request whose body comes in pieces of ``size``."""
    yield request_head("/echo/", f"Content-Length: {len(body)}", "Connection: close")
    for start in range(0, len(body), size):
        yield body[start : start + size]


LARGE_BODY = bytes(range(256)) * (MAX_BODY // 256 - 1)
REQUESTS = {
    "chunks-of-64-kb": (in_chunks, LARGE_BODY, 64 * KB, 0.0),
    "chunks-of-1000-bytes": (in_chunks, LARGE_BODY, 1_000, 0.0),
    "length": (with_a_length, LARGE_BODY, 64 * KB, 0.0),
    "chunk-by-chunk-slowly": (in_chunks, SLOW_BODY, 1, PAUSE_S),
    "byte-by-byte-slowly": (with_a_length, SLOW_BODY, 1, PAUSE_S),
}


@pytest.mark.parametrize("callers", [1, 2])
@pytest.mark.parametrize("name", REQUESTS)
@on_trio
async def test_request_inside_the_limits_is_served(name, callers, tmp_path):
    pieces, body, size, pause_s = REQUESTS[name]
    answers = []

    async def call(vm):
        answers.append(await exchange(vm.callers, pieces(body, size), pause_s))

    async with running_vm(tmp_path, KEY_LIFETIME_MS) as vm:
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(call, vm)
        assert [answer.status for answer in answers] == [200] * callers
        assert all(answer.complete and answer.body == body for answer in answers)
        assert vm.lives
