from __future__ import annotations

import h11
import pytest
import trio
import trio.testing

from edge.builders import DESK
from edge.builders import catalogue
from edge.builders import route
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold.edge import CallHead
from yuccafold.edge._call import Call
from yuccafold.edge._exchange import AttemptFailedError
from yuccafold.edge._gate import Admitted
from yuccafold.edge._relay import AnswerRelay
from yuccafold.edge._responder import EdgeResponder
from yuccafold.http import Framing
from yuccafold.http import HttpStream
from yuccafold.standins import TargetMode


class ExchangeOf:
    """An exchange whose answer has the given body."""

    framing = Framing.LENGTH

    def __init__(self, body):
        self._parts = [body]

    async def receive(self):
        return self._parts.pop() if self._parts else None

    def mark_complete(self):
        pass


def call_on(call_route):
    """Return a call on ``call_route`` that has arrived and was admitted."""
    return Call(
        head=CallHead(CallId("a1"), Milliseconds(0), None),
        admitted=Admitted(catalogue(call_route), call_route, None),
        service=DESK,
        method=b"GET",
        target=b"/desk/a",
        headers=(),
        body=b"",
        arrived_at=Milliseconds(0),
        deadline=Milliseconds(100),
    )


@pytest.mark.parametrize("mode", [TargetMode.HEALTHY, TargetMode.FAILING])
@pytest.mark.parametrize("method", ["POST", "HEAD"])
def test_call_is_answered_when_its_target_answers_at_the_deadline(method, mode):
    answers = []

    @on_trio
    async def run():
        async with running_edge(target(work_ms=146)) as edge:
            edge.targets[0].mode = mode

            async def receive(delay):
                await trio.sleep(delay)
                answers.append(await edge.receive(method, "/short/a"))

            async with trio.open_nursery() as nursery:
                for number in range(60):
                    nursery.start_soon(receive, number * 0.003)

    run()
    assert len(answers) == 60
    assert all(answer.complete for answer in answers)


@on_trio
async def test_whole_answer_is_sent_although_the_deadline_has_passed():
    near, far = trio.testing.memory_stream_pair()
    http = HttpStream(far, h11.SERVER, 65_536)
    await near.send_all(b"GET / HTTP/1.1\r\nHost: fleet.example\r\n\r\n")
    await http.next_event()
    responder = EdgeResponder(http, b"GET", lambda: False)
    relay = AnswerRelay(call_on(route()), responder)
    head = h11.Response(status_code=504, headers=[])
    with pytest.raises(AttemptFailedError):
        await relay.relay_answer(ExchangeOf(b"too late"), head)
    with trio.CancelScope() as scope:
        scope.cancel()
        assert await relay.send_held_error()
    assert responder.whole
    assert (await near.receive_some()).endswith(b"too late")
