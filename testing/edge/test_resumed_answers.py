"""Plays targets that answer a resumed stream with something else.

Guards against its bytes in the middle of a caller's stream, and against a stream that
ends as complete before its last event. The first answer is cut between two events, in
one, or reset; the caller takes the stream up, or the router resumes it.
"""

from __future__ import annotations

import re
import socket
import struct

import pytest
import trio

from edge.loopback_edge import running_edge
from support.loopback import on_trio
from yuccafold._clock import Milliseconds

EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 21)]
SENT = 5
"""Events that the first target sends."""

ATTEMPT = re.compile(rb"x-attempt-id: (\S+)\r\n", re.IGNORECASE)
LAST_EVENT = re.compile(rb"last-event-id: (\d+)\r\n", re.IGNORECASE)
SIGNED = b"X-Response-Signature: s\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
PLAIN = b"Content-Type: text/plain\r\n"


def chunked(*events):
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in events if each)
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def sized(body):
    return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def status(line, *fields, body=b""):
    head = b"HTTP/1.1 %s\r\nX-Attempt-Id: %%s\r\n" % line
    return head + b"".join(fields) + body


OOPS = b"oops: no such stream\n\n"
ERROR_TEXT = b"HTTP/1.1 500 oops\r\n\r\n"
GOES_ON = status(b"200 OK", SIGNED, EVENT_STREAM, body=chunked(*EVENTS[SENT:]))
BEGINS_AGAIN = status(b"200 OK", SIGNED, EVENT_STREAM, body=chunked(*EVENTS))

# To a caller that takes a stream up, it is an answer like any other.
EMPTY = "empty, without a type"

SOUND = {"goes on": GOES_ON, "begins again": BEGINS_AGAIN}

FAULTY = {
    "400": status(b"400 Bad", SIGNED, PLAIN, body=sized(OOPS)),
    "404": status(b"404 None", SIGNED, EVENT_STREAM, body=sized(OOPS)),
    "500": status(b"500 Error", SIGNED, PLAIN, body=sized(OOPS)),
    "500 with events": status(b"500 Error", SIGNED, EVENT_STREAM, body=chunked(OOPS)),
    "503 that ran": status(b"503 Busy", SIGNED, PLAIN, body=sized(OOPS)),
    "503 not run": status(b"503 Busy", b"X-Not-Executed: 1\r\n", body=sized(OOPS)),
    "421": status(b"421 Other", b"X-Not-Executed: 1\r\n", body=sized(OOPS)),
    "204": status(b"204 None", SIGNED, body=b"\r\n"),
    "302": status(b"302 Else", SIGNED, b"Location: /\r\n", body=sized(OOPS)),
    "200 with text": status(b"200 OK", SIGNED, PLAIN, body=sized(OOPS)),
    "200 unsigned": status(b"200 OK", EVENT_STREAM, body=chunked(*EVENTS[SENT:])),
    "no answer at all": ERROR_TEXT.replace(b"HTTP", b"FTP"),
    "head cut": b"HTTP/1.1 200 OK\r\nX-Att",
    "event without an id": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=chunked(b"data: oops\n\n")
    ),
    "error text as events": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=chunked(ERROR_TEXT)
    ),
    "error text, sized": status(b"200 OK", SIGNED, EVENT_STREAM, body=sized(OOPS)),
    "error text, unframed": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=b"\r\n" + ERROR_TEXT
    ),
    EMPTY: status(b"200 OK", SIGNED, body=sized(b"")),
    "error text without a type": status(b"200 OK", SIGNED, body=sized(OOPS)),
    "error after an event": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=chunked(EVENTS[SENT], OOPS)
    ),
    "id that is no number": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=chunked(b"id: x\ndata: oops\n\n")
    ),
    "begins again and ends": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=chunked(EVENTS[0])
    ),
    "event left out": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=chunked(*EVENTS[SENT + 1 :])
    ),
    "event cut": status(
        b"200 OK", SIGNED, EVENT_STREAM, body=chunked(*EVENTS[SENT:9], EVENTS[9][:7])
    ),
}

CUTS = ["closed", "reset", "cut in an event"]


class ResumingTarget:
    """Cuts its first answer to each call; ``second`` answers resumed streams."""

    def __init__(self, name, cut, second):
        self.id = name
        self._cut = cut
        self._second = second
        self.server = self
        self.address = ""
        self.resumed = 0

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self.handle, listeners)

    async def handle(self, stream):
        try:
            request = b""
            while b"\r\n\r\n" not in request:
                part = await stream.receive_some()
                if not part:
                    return
                request += part
            attempt = ATTEMPT.search(request)[1]
            if LAST_EVENT.search(request):
                self.resumed += 1
                await stream.send_all(self._second.replace(b"%s", attempt))
                return
            head = status(b"200 OK", SIGNED, EVENT_STREAM) % attempt
            body = chunked(*EVENTS[:SENT]).removesuffix(b"0\r\n\r\n")
            if self._cut == "cut in an event":
                body += b"20\r\n" + EVENTS[SENT][:8]
            await stream.send_all(head + body)
            # The router reads what was sent before the connection ends.
            await trio.sleep(0.05)
            if self._cut == "reset":
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                stream.socket.close()
        except trio.BrokenResourceError:
            pass


def play(cut, second, *headers):
    """Return the answer to one call, and how often its stream was resumed."""
    targets = [ResumingTarget(name, cut, second) for name in ("t1", "t2")]
    answers = []

    @on_trio
    async def run():
        async with running_edge(*targets) as edge:
            history = edge.router._view.history
            history._horizon = history._first_listed_at = Milliseconds(-(10**9))
            answers.append(await edge.receive("POST", "/chat/a", b"x", *headers))

    run()
    return answers[0], sum(each.resumed for each in targets)


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("kind", FAULTY)
def test_answer_to_a_resumed_stream_that_does_not_go_on_is_left_out(kind, cut):
    answer, resumed = play(cut, FAULTY[kind])
    assert resumed == 1
    assert answer.status == 200
    assert not answer.complete
    assert b"".join(EVENTS).startswith(answer.body)
    assert answer.body.startswith(b"".join(EVENTS[:SENT]))


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("kind", SOUND)
def test_resumed_stream_that_goes_on_is_whole(kind, cut):
    answer, resumed = play(cut, SOUND[kind])
    assert resumed == 1
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body == b"".join(EVENTS)


TAKES_UP = ("Resumes: a0", f"Last-Event-Id: {SENT}")


@pytest.mark.parametrize("kind", [kind for kind in FAULTY if kind != EMPTY])
def test_answer_to_a_stream_that_was_taken_up_does_not_go_on_with_something_else(kind):
    """The caller adds what it gets to the events that it has."""
    answer, resumed = play(None, FAULTY[kind], *TAKES_UP)
    assert resumed >= 1
    if answer.headers.get(b"content-type", b"text/event-stream") != b"text/plain":
        assert b"oops" not in answer.body or answer.status >= 300
        assert not (answer.status == 200 and answer.complete)
        assert answer.status != 200 or b"".join(EVENTS[SENT:]).startswith(answer.body)


@pytest.mark.parametrize("kind", SOUND)
def test_stream_that_was_taken_up_holds_each_event_once(kind):
    answer, _ = play(None, SOUND[kind], *TAKES_UP)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body == b"".join(EVENTS[SENT:])
