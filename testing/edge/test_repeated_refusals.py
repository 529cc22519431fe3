"""Plays targets that write an earlier refusal once more on a connection that is kept.

Guards against callers who are told that a call has not run which a target runs, and
against such calls that are sent to a second target.
"""

from __future__ import annotations

import pytest
import trio

from edge.loopback_edge import running_edge
from edge.test_second_copies import CopyingTarget
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


class RepeatingTarget(CopyingTarget):
    """Refuses the first call of each connection, and runs those that follow.

    Before the answer to these, or a little earlier, it writes ``copy``.
    """

    def __init__(self, name, copy, moment):
        super().__init__(moment)
        self.id = name
        self.server = self
        self.runs = []
        self._copy = copy

    async def handle(self, stream):
        is_first = True
        try:
            while attempt := await self._receive_call(stream):
                if is_first:
                    is_first = False
                    await stream.send_all(REFUSAL % attempt)
                    continue
                self.runs.append(attempt)
                if self._moment == "before-the-answer":
                    await stream.send_all(self._copy + ANSWER % attempt)
                    continue
                await stream.send_all(self._copy)
                await trio.sleep(LATE_S)
                await stream.send_all(ANSWER % attempt)
        except trio.BrokenResourceError:
            pass


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
            assert len(runs) > CALLS / 4

    run()


@on_trio
async def test_refusal_that_names_no_call_is_believed_on_a_new_connection():
    """There is no earlier answer on it that it could be a copy of."""

    class Refuser(RepeatingTarget):
        async def handle(self, stream):
            while await self._receive_call(stream):
                await stream.send_all(UNNAMED["refusal"])

    async with running_edge(Refuser("t0", b"", "")) as edge:
        for _ in range(3):
            with trio.fail_after(1):
                status, _, _ = await edge.call("GET", "/book/")
            assert status == 503
