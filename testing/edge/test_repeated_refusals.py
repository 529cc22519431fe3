"""Plays targets that write an earlier refusal once more on a connection that is kept.

Guards against callers who are told that a call has not run which a target runs, and
against such calls that are sent to a second target.
"""

from __future__ import annotations

import pytest
import trio

from edge.loopback_edge import running_edge
from edge.test_second_copies import ATTEMPT
from support.loopback import on_trio

CALLS = 24
LATE_S = 0.03

REFUSAL = (
    b"HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
    b"Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
    b"Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
)
UNNAMED = {
    "refusal": b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "other-instance": (
        b"HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ),
    "answer": (
        b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 6\r\n\r\nothers"
    ),
}
"""Copies of earlier answers that name no call."""


class RepeatingTarget:
    """Refuses the first call of each connection, and runs those that follow.

    Before the answer to these, or a little earlier, it writes ``copy``.
    """

    def __init__(self, name, copy, moment):
        self.id = name
        self.server = self
        self.address = ""
        self.runs = []
        self.copies = 0
        self._copy = copy
        self._moment = moment

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, stream):
        is_first = True
        try:
            while attempt := await self._receive_call(stream):
                if is_first:
                    is_first = False
                    await stream.send_all(REFUSAL % attempt)
                    continue
                self.runs.append(attempt)
                self.copies += 1
                if self._moment == "before-the-answer":
                    await stream.send_all(self._copy + ANSWER % attempt)
                    continue
                await stream.send_all(self._copy)
                await trio.sleep(LATE_S)
                await stream.send_all(ANSWER % attempt)
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


@pytest.mark.parametrize("path", ["/look/", "/book/"])
@pytest.mark.parametrize("moment", ["before-the-answer", "some-time-before-it"])
@pytest.mark.parametrize("copy", UNNAMED.values(), ids=UNNAMED)
def test_copy_that_names_no_call_is_not_taken_for_the_answer(copy, moment, path):
    targets = [RepeatingTarget(f"t{number}", copy, moment) for number in range(2)]

    @on_trio
    async def run():
        async with running_edge(*targets) as edge:
            for number in range(1, CALLS + 1):
                status, _, body = await edge.call("GET", path)
                runs = [run for target in targets for run in target.runs]
                attempt = b"a%d" % number
                assert runs.count(attempt) == (status == 200)
                assert body == b"ok" or status == 503
            assert sum(target.copies for target in targets) > CALLS / 4

    run()


@on_trio
async def test_refusal_that_names_no_call_is_believed_on_a_new_connection():
    """There is no earlier answer on it that it could be a copy of."""

    class Refuser(RepeatingTarget):
        async def _handle(self, stream):
            while await self._receive_call(stream):
                await stream.send_all(UNNAMED["refusal"])

    async with running_edge(Refuser("t0", b"", "")) as edge:
        for _ in range(3):
            with trio.fail_after(1):
                status, _, _ = await edge.call("GET", "/book/")
            assert status == 503
