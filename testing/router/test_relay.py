from __future__ import annotations

from types import SimpleNamespace

import h11
import pytest

from support.loopback import on_trio
from yuccafold.router._relay import AnswerRelay
from yuccafold.router._upstream import AttemptFailed

EVENTS = (b"content-type", b"text/event-stream")
DONE = b"data: [DONE]\n\n"


class FakeResponder:
    """Records what the caller receives."""

    def __init__(self):
        self.started = False
        self.is_finished = False
        self.received = b""

    async def start(self, status, headers, is_stream):
        self.started = True

    async def send(self, data):
        self.received += data

    async def finish(self):
        self.is_finished = True


class FakeExchange:
    """An answer with this body, which may break off at its end."""

    def __init__(self, body, is_whole=True):
        self._body = body
        self._is_whole = is_whole

    async def relay_body(self, relay_part):
        await relay_part(self._body)
        if not self._is_whole:
            raise AttemptFailed(None, None, "closed")


def head(status):
    return h11.Response(status_code=status, headers=[EVENTS])


async def resume_with(status, body):
    """Break a stream off after an event; return what the caller got in the end."""
    call = SimpleNamespace(
        turn=None, settings=SimpleNamespace(traits=SimpleNamespace(resume=True))
    )
    responder = FakeResponder()
    relay = AnswerRelay(call, responder)
    broken = FakeExchange(b"data: a\n\n", is_whole=False)
    with pytest.raises(AttemptFailed):
        await relay.relay_answer(broken, head(200), (EVENTS,))
    try:
        await relay.relay_answer(FakeExchange(body), head(status), (EVENTS,))
    except AttemptFailed:
        assert not responder.is_finished
    return responder


@on_trio
async def test_stream_is_resumed_by_an_answer_of_the_same_status():
    responder = await resume_with(200, b"data: b\n\n" + DONE)
    assert responder.received == b"data: a\n\ndata: b\n\n" + DONE
    assert responder.is_finished


@on_trio
async def test_error_has_no_place_in_a_resumed_stream():
    """Its text stood in the middle of the stream, and could end it as whole."""
    for status in (400, 500, 503):
        responder = await resume_with(status, b"data: oops\n\n" + DONE)
        assert responder.received == b"data: a\n\n"
        assert not responder.is_finished
