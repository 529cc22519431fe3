"""Plays targets that send an answer a second time on a connection that is used again.

Guards against a caller who gets the answer of another call: the copy may come before
the next call, with it, or in pieces around it.
"""

from __future__ import annotations

import re

import pytest
import trio

from edge.test_endless_answers import edge_before
from support.loopback import on_trio

CALLS = 12
ATTEMPT = re.compile(rb"x-attempt-id: (\S+)\r\n", re.IGNORECASE)


def answer_to(attempt):
    body = b"answer to " + attempt
    head = (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
        b"Content-Length: %d\r\n\r\n"
    )
    return head % (attempt, len(body)) + body


class CopyingTarget:
    """Answers each call, and sends the answer before it once more."""

    id = "t1"

    def __init__(self, moment):
        self._moment = moment
        self.address = ""
        self.reused = 0

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self.handle, listeners)

    async def handle(self, stream):
        copy = b""
        try:
            while attempt := await self._receive_call(stream):
                answer = answer_to(attempt)
                if copy and self._moment != "while the connection is idle":
                    self.reused += 1
                if self._moment == "before the answer":
                    await stream.send_all(copy + answer)
                elif self._moment == "in pieces":
                    await stream.send_all(copy[:20])
                    await trio.sleep(0.02)
                    await stream.send_all(copy[20:] + answer[:9])
                    await trio.sleep(0.02)
                    await stream.send_all(answer[9:])
                elif self._moment == "after the answer":
                    await stream.send_all(answer + copy)
                else:
                    await stream.send_all(answer)
                    await trio.sleep(0.02)
                    await stream.send_all(answer)
                    self.reused += 1
                copy = answer
        except trio.BrokenResourceError:
            pass

    async def _receive_call(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some()
            if not part:
                return b""
            data += part
        return ATTEMPT.search(data)[1]


MOMENTS = (
    "before the answer",
    "in pieces",
    "after the answer",
    "while the connection is idle",
)


@pytest.mark.parametrize("moment", MOMENTS)
def test_copy_of_an_earlier_answer_reaches_no_other_caller(moment):
    target = CopyingTarget(moment)

    @on_trio
    async def run():
        async with edge_before(target) as edge:
            for number in range(1, CALLS + 1):
                status, _, body = await edge.call("GET", "/look/a")
                assert (status, body) == (200, b"answer to a%d" % number)
                await trio.sleep(0.05)
            assert target.reused

    run()
