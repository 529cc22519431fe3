"""Plays a target that falls silent inside a copy of an earlier answer.

Guards against a call that fails because its answer comes late, behind such a copy.
"""

from __future__ import annotations

import pytest
import trio

from edge.builders import wire_route
from edge.loopback_edge import running_edge
from edge.test_second_copies import CopyingTarget
from edge.test_second_copies import answer_to
from support.loopback import on_trio
from yuccafold.edge._attempts import MIN_ANSWER_TIMEOUT

SILENT_S = 2 * MIN_ANSWER_TIMEOUT / 1_000


class SilentCopier(CopyingTarget):
    """Is silent ``kept_back`` bytes before a copy ends, until its answer is late."""

    def __init__(self, kept_back):
        super().__init__("")
        self.server = self
        self.runs = []
        self._kept_back = kept_back

    async def handle(self, stream):
        copy = b""
        try:
            while attempt := await self._receive_call(stream):
                self.runs.append(attempt)
                answer = answer_to(attempt)
                if copy:
                    await stream.send_all(copy[: -self._kept_back])
                    await trio.sleep(SILENT_S)
                    await stream.send_all(copy[-self._kept_back :])
                    self.reused += 1
                await stream.send_all(answer)
                copy = answer
        except trio.BrokenResourceError:
            pass


@pytest.mark.parametrize("kept_back", [3, len(answer_to(b"a1")) - 10])
def test_answer_is_received_after_a_silence_inside_a_copy(kept_back):
    target = SilentCopier(kept_back)

    @on_trio
    async def run():
        routes = [wire_route("/book/", "unsafe", max_attempts=1)]
        async with running_edge(target, routes=routes) as edge:
            for number in (1, 2):
                answer = await edge.receive("POST", "/book/a")
                assert (answer.status, answer.body) == (
                    200,
                    b"answer to a%d" % number,
                )
            assert target.reused == 1

    run()
