"""Plays targets that stop in the head of an answer and end the connection."""

from __future__ import annotations

import json
import socket
import struct
from itertools import cycle

import h11
import pytest
import trio

from router.fakes import caller
from router.fakes import fleet
from router.fakes import read_request
from support.loopback import on_trio

CHAT = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "hi"}], "stream": True}
).encode()
CALLS = {
    "once": ("/desk/items", b"{}"),
    "idempotent": ("/desk/search", b"{}"),
    "streamed": ("/v1/chat/completions", CHAT),
}
FRAMINGS = {
    "length": b"Content-Length: 10\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "unframed": b"",
}


def cutting(heads, is_reset):
    """Return a script that answers each call with the next of ``heads``."""
    answers = cycle(heads)

    async def script(target, stream):
        http = h11.Connection(h11.SERVER)
        if await read_request(target, stream, http) is None:
            return
        await stream.send_all(next(answers))
        if is_reset:
            # What was sent is read before the reset discards it.
            await trio.sleep(0.002)
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    return script


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("call", CALLS)
def test_head_that_is_cut_is_no_answer(call, framing, is_reset):
    path, body = CALLS[call]
    kind = b"text/event-stream" if call == "streamed" else b"application/json"
    head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s\r\n" % (kind, FRAMINGS[framing])
    # The head of an unframed answer alone isn't one either.
    ends = range(0, len(head) + (framing == "unframed"), 3)
    heads = [head[:end] for end in ends] + [head[:-1], head[:-2]]

    @on_trio
    async def run():
        async with fleet(cutting(heads, is_reset)) as (_, addresses, targets):
            for _ in heads:
                async with caller(addresses.callers) as client:
                    status, headers, answer, whole = await client.call(
                        "POST", path, body
                    )
                assert (status, whole) == (502, True)
                assert headers["yuccafold-verdict"] == "may-have-run"
                assert json.loads(answer)["error"]["verdict"] == "may-have-run"
            requests = len(targets[0].requests)
            assert requests == len(heads) if call == "once" else requests > len(heads)

    run()
