"""Plays a target that writes its answer to HEAD once more before the next answer.

Guards against a call that fails because the length in that copy is taken for a body.
"""

from __future__ import annotations

import pytest
import trio

from edge.builders import wire_route
from edge.loopback_edge import running_edge
from edge.test_copied_refusals import DONE
from edge.test_copied_refusals import EVENTS
from edge.test_copied_refusals import receive_head
from edge.test_copied_refusals import refusal_with
from edge.test_second_copies import ATTEMPT
from edge.test_second_copies import CopyingTarget
from support.loopback import on_trio

BODY = b"full" * 20


class HeadCopier(CopyingTarget):
    """Answers HEAD with ``first_answer``, and again before the answer that follows."""

    def __init__(self, first_answer):
        super().__init__("")
        self.server = self
        self.runs = []
        self._first_answer = first_answer

    async def handle(self, stream):
        copy = b""
        try:
            while head := await receive_head(stream):
                attempt = ATTEMPT.search(head)[1]
                if head.startswith(b"HEAD"):
                    copy = self._first_answer % attempt
                    await stream.send_all(copy)
                else:
                    self.reused += bool(copy)
                    self.runs.append(attempt)
                    await stream.send_all(copy + DONE % attempt)
        except trio.BrokenResourceError:
            pass


@pytest.mark.parametrize(
    "first_answer",
    [refusal_with(503, BODY).removesuffix(BODY), DONE.removesuffix(EVENTS)],
    ids=["refusal", "success"],
)
def test_copied_answer_to_head_takes_no_bytes_of_the_next_one(first_answer):
    target = HeadCopier(first_answer)

    @on_trio
    async def run():
        routes = [wire_route("/book/", "unsafe", max_attempts=1)]
        async with running_edge(target, routes=routes) as edge:
            await edge.receive("HEAD", "/book/a")
            while not target.runs:
                answer = await edge.receive("GET", "/book/a")
                await trio.sleep(0.02)
            assert (answer.status, answer.body) == (200, EVENTS)

    run()
