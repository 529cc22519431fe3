"""Plays targets that stop in the head of an answer, and close or reset the connection.

Guards against callers who get a success with an empty or short body that looks whole,
and against calls that are said not to have run.
"""

from __future__ import annotations

import re
import socket
import struct
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate
from typing import NamedTuple

import h11
import pytest
import trio

from edge.builders import DESK
from edge.builders import wire_route
from edge.log_lines import LogCapture
from edge.loopback_edge import running_edge
from support.loopback import on_trio
from support.loopback import serving
from yuccafold._clock import Milliseconds
from yuccafold.edge._reach import Reach
from yuccafold.edge._reach import ServiceContact
from yuccafold.edge._targets import Targets
from yuccafold.soak._process import reserve_port

ATTEMPT = re.compile(rb"^x-attempt-id: (\S+)\r\n", re.IGNORECASE | re.MULTILINE)
LAST_EVENT = re.compile(rb"^last-event-id: (\d+)\r\n", re.IGNORECASE | re.MULTILINE)
MANY_RETRIES = {"retry_slack": 1e6}
TAKES_UP = ("Resumes: a0", "Last-Event-Id: 5")
SENT = 5
"""Events that a target sends before its stream breaks off."""

EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 9)]
ROUTES = (
    wire_route("/look/", "safe"),
    wire_route("/book/", "unsafe", max_attempts=1),
    wire_route("/chat/", "streaming", resumable=True, max_attempts=3),
    wire_route("/chat/once/", "streaming", resumable=False),
    wire_route("/tag/", "streaming", resumable=True),
    wire_route("/tag/once/", "streaming", resumable=False),
)
PATHS = [route["prefix"] for route in ROUTES]
REPEATABLE = ["/look/", "/chat/", "/tag/"]
ONCE = [path for path in PATHS if path not in REPEATABLE]


class Ending(Enum):
    """What becomes of the connection after the bytes of a target."""

    CLOSED = "closed"
    RESET = "reset"
    KEPT = "kept"


BREAKS = [Ending.CLOSED, Ending.RESET]


class Framing(Enum):
    """How the body of an answer is framed."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNFRAMED = "unframed"


class Answer(NamedTuple):
    """An answer in which ``%s`` stands for the id of its call."""

    head: bytes
    body: bytes = b""


def content_of(path):
    """Return the whole body of an answer in its parts."""
    return EVENTS if path.startswith("/chat/") else [b"an", b"swer"]


def answer_to(path, framing, skipped=0):
    """Return a whole answer, without the first events of a stream."""
    parts = content_of(path)[skipped:]
    body = b"".join(parts)
    kind = b"text/event-stream" if path.startswith("/chat/") else b"application/json"
    lines = [
        b"HTTP/1.1 200 OK",
        b"X-Attempt-Id: %s",
        b"X-Response-Signature: s",
        b"Keep-Alive: timeout=5",
        b"Content-Type: " + kind,
    ]
    if framing is Framing.LENGTH:
        lines.append(b"Content-Length: %d" % len(body))
    elif framing is Framing.CHUNKED:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        body += b"0\r\n\r\n"
    return Answer(b"\r\n".join([*lines, b"", b""]), body)


def places(head):
    """Return where to cut a head: within each line, in its end and after it."""
    ends = list(accumulate(len(line) for line in head.splitlines(keepends=True)))
    starts = [0, *ends[:-1]]
    middles = [(start + end) // 2 for start, end in zip(starts, ends, strict=True)]
    around = [0, *(end + offset for end in ends for offset in (-1, 0))]
    return sorted({cut for cut in middles + around if cut < len(head)})


def every_second_place(head):
    """Return half of the places, which still are of each kind."""
    return places(head)[::2]


@dataclass
class Received:
    """A call as a target receives it.

    ``turn`` counts how often targets received it, ``place`` its place on its
    connection; both begin at 0.
    """

    attempt: bytes
    resumes: bool
    turn: int
    place: int


class Reply(NamedTuple):
    """The bytes that a target sends, and what becomes of the connection then."""

    data: bytes
    ending: Ending


Script = Callable[[Received], Awaitable[Reply]]


class ScriptedTarget:
    """Answers calls by a script that targets share; ``seen`` counts calls by id."""

    def __init__(self, name: str, script: Script, seen: Counter) -> None:
        self.id = name
        self.server = self
        self.address = ""
        self.runs = []
        self._script = script
        self._seen = seen

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, stream):
        ending, place = Ending.KEPT, 0
        with suppress(trio.BrokenResourceError):
            while ending is Ending.KEPT and (request := await self._receive(stream)):
                ending = await self._answer(stream, request, place)
                place += 1

    async def _receive(self, stream):
        request = b""
        while b"\r\n\r\n" not in request:
            part = await stream.receive_some()
            if not part:
                return b""
            request += part
        return request

    async def _answer(self, stream, request, place):
        found = ATTEMPT.search(request)
        if found is None:
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return Ending.KEPT
        attempt = found[1]
        self.runs.append(attempt)
        turn = self._seen[attempt]
        self._seen[attempt] += 1
        resumes = LAST_EVENT.search(request) is not None
        reply = await self._script(Received(attempt, resumes, turn, place))
        await stream.send_all(reply.data.replace(b"%s", attempt))
        if reply.ending is Ending.RESET:
            # What was sent is read before the reset discards it.
            await trio.sleep(0.002)
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()
        return reply.ending


def scripted(count, script):
    seen = Counter()
    return [ScriptedTarget(f"t{number}", script, seen) for number in range(count)]


class Cuts:
    """Cuts the head of an answer elsewhere for each call, until all cuts are played."""

    def __init__(self, answer, ending, cuts=None):
        self._head = answer.head
        self._left = list(every_second_place(answer.head) if cuts is None else cuts)
        self._ending = ending
        self.count = len(self._left)

    @property
    def are_played(self):
        return not self._left

    def next(self):
        return Reply(self._head[: self._left.pop()], self._ending)


def running(*targets):
    return running_edge(*targets, settings=MANY_RETRIES, routes=ROUTES)


def complete_history(edge):
    """Have the VM know its targets as if it had run for a long time."""
    history = edge.router._view.history
    history._horizon = history._first_listed_at = Milliseconds(-(10**9))


def assert_failed(answer):
    """The call may have run, and nothing of the answer is passed on."""
    assert (answer.status, answer.complete) == (502, True)
    assert b"x-response-signature" not in answer.headers


def assert_served(answer, path, skipped=0):
    assert (answer.status, answer.complete) == (200, True)
    assert answer.headers[b"x-response-signature"] == b"s"
    assert answer.body == b"".join(content_of(path)[skipped:])


def assert_not_whole(answer, path):
    """Nothing but the beginning of the answer came, and it doesn't look whole."""
    assert not (answer.status == 200 and answer.complete)
    assert answer.status in (200, 502)
    if answer.status == 200:
        assert b"".join(content_of(path)).startswith(answer.body)


both_endings = pytest.mark.parametrize("ending", BREAKS)
all_framings = pytest.mark.parametrize("framing", list(Framing))


@both_endings
@all_framings
@pytest.mark.parametrize("path", PATHS)
def test_head_that_is_cut_is_no_answer(path, framing, ending):
    whole = answer_to(path, framing)
    cuts = Cuts(whole, ending, places(whole.head))

    async def script(call):
        return cuts.next()

    @on_trio
    async def run():
        targets = scripted(1, script)
        async with running(*targets) as edge:
            for _ in range(cuts.count):
                assert_failed(await edge.receive("POST", path, b"x"))
            assert len(set(targets[0].runs)) == cuts.count

    run()


HEADS = {
    "plain": answer_to("/look/", Framing.LENGTH),
    "line feeds alone": Answer(
        answer_to("/look/", Framing.LENGTH).head.replace(b"\r\n", b"\n"), b"answer"
    ),
    "folded line": Answer(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
        b"X-More: a\r\n b\r\n\tc\r\n\r\n"
    ),
    "interim responses": Answer(
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %s\r\nLink: a\r\n\r\n"
        + answer_to("/look/", Framing.UNFRAMED).head
    ),
    "answer to another call first": Answer(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Signature: s\r\n"
        b"Content-Length: 2\r\n\r\nok" + answer_to("/look/", Framing.CHUNKED).head
    ),
    "earlier protocol version": Answer(
        b"HTTP/1.0 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n\r\n"
    ),
    "no content": Answer(
        b"HTTP/1.1 204 None\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n\r\n"
    ),
    "server error": Answer(
        b"HTTP/1.1 500 Error\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    "refusal": Answer(
        b"HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    "other instance": Answer(
        b"HTTP/1.1 421 Other\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
}


@pytest.mark.parametrize("kind", HEADS)
def test_end_of_the_connection_within_a_head_gives_the_parser_no_response(kind):
    data = HEADS[kind].head.replace(b"%s", b"a1")
    for cut in range(len(data)):
        connection = h11.Connection(h11.CLIENT)
        connection.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        connection.send(h11.EndOfMessage())
        connection.receive_data(data[:cut])
        connection.receive_data(b"")
        events = [None]
        with suppress(h11.RemoteProtocolError):
            while (
                events[-1] is not h11.PAUSED
                and connection.their_state is not h11.CLOSED
            ):
                events.append(connection.next_event())
        responses = [event for event in events if isinstance(event, h11.Response)]
        own = [
            event for event in responses if (b"x-attempt-id", b"a1") in event.headers
        ]
        assert own == []


@both_endings
@pytest.mark.parametrize("path", ["/look/", "/book/", "/chat/"])
@pytest.mark.parametrize("kind", HEADS)
def test_head_of_any_kind_that_is_cut_is_no_answer(kind, path, ending):
    is_each_byte = (path, ending) == ("/book/", Ending.CLOSED)
    every_byte = range(len(HEADS[kind].head))
    cuts = Cuts(HEADS[kind], ending, every_byte if is_each_byte else None)

    async def script(call):
        return cuts.next()

    @on_trio
    async def run():
        async with running(*scripted(1, script)) as edge:
            for _ in range(cuts.count):
                assert_failed(await edge.receive("POST", path, b"x"))

    run()


@both_endings
@pytest.mark.parametrize("method", ["GET", "HEAD", "DELETE"])
def test_head_that_is_cut_is_no_answer_to_a_call_without_a_body(method, ending):
    cuts = Cuts(HEADS["plain"], ending)

    async def script(call):
        return cuts.next()

    @on_trio
    async def run():
        async with running(*scripted(1, script)) as edge:
            for _ in range(cuts.count):
                assert_failed(await edge.receive(method, "/look/"))

    run()


@both_endings
@all_framings
@pytest.mark.parametrize("path", PATHS)
def test_head_that_is_cut_on_a_kept_connection_is_no_answer(path, framing, ending):
    cuts = Cuts(answer_to(path, framing), ending)

    async def script(call):
        if call.place == 0:
            return Reply(b"".join(answer_to(path, Framing.LENGTH)), Ending.KEPT)
        return cuts.next()

    @on_trio
    async def run():
        async with running(*scripted(1, script)) as edge:
            failed = 0
            while not cuts.are_played:
                answer = await edge.receive("POST", path, b"x")
                if answer.status == 200:
                    assert_served(answer, path)
                else:
                    failed += 1
                    assert_failed(answer)
            assert failed == cuts.count

    run()


@both_endings
@all_framings
@pytest.mark.parametrize("path", PATHS)
def test_call_whose_answer_was_cut_in_its_head_is_repeated_if_it_may_be(
    path, framing, ending
):
    whole = answer_to(path, framing)
    cuts = Cuts(whole, ending)

    async def script(call):
        return Reply(b"".join(whole), Ending.CLOSED) if call.turn else cuts.next()

    @on_trio
    async def run():
        targets = scripted(2, script)
        async with running(*targets) as edge:
            for _ in range(cuts.count):
                answer = await edge.receive("POST", path, b"x")
                if path in REPEATABLE:
                    assert_served(answer, path)
                else:
                    assert_failed(answer)
            runs = Counter(targets[0].runs + targets[1].runs)
            assert set(runs.values()) == {2 if path in REPEATABLE else 1}

    run()


def broken_off_stream(cut, ending):
    """Return the beginning of a stream that ends after an event, or in the next one."""
    head, _ = answer_to("/chat/", Framing.CHUNKED)
    parts = [*EVENTS[:SENT], EVENTS[SENT][:cut]]
    chunks = (b"%x\r\n%s\r\n" % (len(part), part) for part in parts if part)
    return Reply(head + b"".join(chunks), ending)


@both_endings
@all_framings
@pytest.mark.parametrize("cut", [0, 7], ids=["between events", "in an event"])
def test_stream_does_not_go_on_with_a_head_that_is_cut(cut, framing, ending):
    cuts = Cuts(answer_to("/chat/", framing, SENT), ending)
    resumed = []

    async def script(call):
        if call.turn == 0:
            return broken_off_stream(cut, ending)
        resumed.append(call.resumes)
        return cuts.next()

    @on_trio
    async def run():
        async with running(*scripted(2, script)) as edge:
            complete_history(edge)
            for _ in range(cuts.count):
                answer = await edge.receive("POST", "/chat/", b"x")
                assert_not_whole(answer, "/chat/")

    run()
    assert any(resumed)


@both_endings
@all_framings
def test_stream_goes_on_at_a_third_target_after_a_head_that_was_cut(framing, ending):
    cuts = Cuts(answer_to("/chat/", framing, SENT), ending)
    resumed = []

    async def script(call):
        if call.turn == 0:
            return broken_off_stream(7, ending)
        resumed.append(call.resumes)
        if call.turn == 1:
            return cuts.next()
        skipped = SENT if call.resumes else 0
        return Reply(b"".join(answer_to("/chat/", framing, skipped)), Ending.CLOSED)

    @on_trio
    async def run():
        async with running(*scripted(3, script)) as edge:
            complete_history(edge)
            for _ in range(cuts.count):
                assert_served(await edge.receive("POST", "/chat/", b"x"), "/chat/")

    run()
    assert any(resumed)


@both_endings
@all_framings
@pytest.mark.parametrize("others", [0, 1])
def test_stream_that_is_taken_up_does_not_begin_with_a_head_that_is_cut(
    others, framing, ending
):
    whole = answer_to("/chat/", framing, SENT)
    cuts = Cuts(whole, ending)

    async def script(call):
        assert call.resumes
        return Reply(b"".join(whole), Ending.CLOSED) if call.turn else cuts.next()

    @on_trio
    async def run():
        async with running(*scripted(1 + others, script)) as edge:
            complete_history(edge)
            for _ in range(cuts.count):
                answer = await edge.receive("POST", "/chat/", b"x", *TAKES_UP)
                if others:
                    assert_served(answer, "/chat/", SENT)
                else:
                    assert_failed(answer)

    run()


class UnreachedTarget:
    """A target at whose address nothing listens."""

    id = "t9"

    def __init__(self):
        self.server = self
        self._reservation = reserve_port()
        self.address = f"127.0.0.1:{self._reservation.getsockname()[1]}"

    async def serve(self, *, task_status):
        task_status.started()
        with self._reservation:
            await trio.sleep_forever()


def report_helpers(edge, *helpers):
    """Have the VM know of others that reach the targets."""
    reported = {helper.address: frozenset({DESK}) for helper in helpers}
    evidence = edge.router._targets.evidence
    evidence.helpers.record_reported(reported, edge.router._clock.now())


@both_endings
@all_framings
@pytest.mark.parametrize("path", PATHS)
def test_head_that_is_cut_by_a_vm_that_helps_is_no_answer(path, framing, ending):
    cuts = Cuts(answer_to(path, framing), ending)

    async def script(call):
        return cuts.next()

    @on_trio
    async def run():
        (helper,) = scripted(1, script)
        async with serving(helper), running(UnreachedTarget()) as edge:
            for _ in range(cuts.count):
                report_helpers(edge, helper)
                assert_failed(await edge.receive("POST", path, b"x"))
            assert len(set(helper.runs)) == cuts.count

    run()


@both_endings
@all_framings
def test_stream_does_not_go_on_with_a_head_that_a_vm_that_helps_cuts(
    monkeypatch, framing, ending
):
    monkeypatch.setattr(Reach, "record_contact", lambda *_: None)
    cuts = Cuts(answer_to("/chat/", framing, SENT), ending)
    reach, resumed = [], []

    async def script(call):
        if call.turn == 0:
            # The VM is cut off from targets while it relays the stream.
            reach[0]._services[DESK].is_cut_off = True
            return broken_off_stream(0, ending)
        resumed.append(call.resumes)
        return cuts.next()

    @on_trio
    async def run():
        target, helper = scripted(2, script)
        async with serving(helper), running(target) as edge:
            complete_history(edge)
            reach.append(edge.router._targets.evidence.reach)
            for _ in range(cuts.count):
                reach[0]._services[DESK] = ServiceContact()
                report_helpers(edge, helper)
                answer = await edge.receive("POST", "/chat/", b"x")
                assert_not_whole(answer, "/chat/")
            assert cuts.are_played

    run()
    assert any(resumed)


class CutAttempt(Enum):
    """Which attempts of a hedged call are cut in the heads of their answers."""

    FIRST = "first"
    HEDGE = "hedge"
    BOTH = "both"
    FIRST_WITHOUT_END = "first, which stays open"


@both_endings
@all_framings
@pytest.mark.parametrize("cut", list(CutAttempt))
def test_head_that_is_cut_beside_a_hedge_is_no_answer(
    monkeypatch, cut, framing, ending
):
    log = LogCapture(monkeypatch)
    monkeypatch.setattr(Targets, "hedge_delay", lambda *_: Milliseconds(10))
    whole = Reply(b"".join(answer_to("/look/", framing)), Ending.CLOSED)
    cuts = Cuts(answer_to("/look/", framing), ending)
    hedged, is_cut = {}, {}

    async def script(call):
        if call.turn == 0:
            hedged[call.attempt], is_cut[call.attempt] = trio.Event(), trio.Event()
            await hedged[call.attempt].wait()
            if cut is CutAttempt.HEDGE:
                await is_cut[call.attempt].wait()
                return whole
            is_cut[call.attempt].set()
            reply = cuts.next()
            if cut is CutAttempt.FIRST_WITHOUT_END:
                return Reply(reply.data, Ending.KEPT)
            return reply
        hedged[call.attempt].set()
        if cut is CutAttempt.HEDGE:
            is_cut[call.attempt].set()
            return cuts.next()
        await is_cut[call.attempt].wait()
        await trio.sleep(0.005)
        return cuts.next() if cut is CutAttempt.BOTH else whole

    @on_trio
    async def run():
        async with running(*scripted(2, script)) as edge:
            for _ in range(cuts.count // 2 if cut is CutAttempt.BOTH else cuts.count):
                answer = await edge.receive("POST", "/look/", b"x")
                if cut is CutAttempt.BOTH:
                    assert_failed(answer)
                else:
                    assert_served(answer, "/look/")

    run()
    assert log.fields("call_hedged")


NO_BODY_YET = [
    pytest.param(path, ending, id=f"{path}-{ending.value}")
    for path in PATHS
    for ending in BREAKS
]


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize(("path", "ending"), NO_BODY_YET)
def test_unframed_answer_whose_body_never_came_is_no_answer(path, ending, is_kept):
    unframed = answer_to(path, Framing.UNFRAMED)

    async def script(call):
        if call.place == 0 and is_kept:
            return Reply(b"".join(answer_to(path, Framing.LENGTH)), Ending.KEPT)
        return Reply(unframed.head, ending)

    @on_trio
    async def run():
        async with running(*scripted(1, script)) as edge:
            answers = [await edge.receive("POST", path, b"x") for _ in range(6)]
            failed = [answer for answer in answers if answer.status != 200]
            assert len(failed) == (3 if is_kept else 6)
            for answer in failed:
                assert_failed(answer)

    run()


@both_endings
@pytest.mark.parametrize("others", [0, 1])
def test_stream_does_not_end_with_an_unframed_answer_whose_body_never_came(
    others, ending
):
    unframed = answer_to("/chat/", Framing.UNFRAMED, SENT)
    resumed = []

    async def script(call):
        if call.turn == 0:
            return broken_off_stream(0, ending)
        resumed.append(call.resumes)
        if call.turn == 1:
            return Reply(unframed.head, ending)
        skipped = SENT if call.resumes else 0
        whole = answer_to("/chat/", Framing.UNFRAMED, skipped)
        return Reply(b"".join(whole), Ending.CLOSED)

    @on_trio
    async def run():
        async with running(*scripted(2 + others, script)) as edge:
            complete_history(edge)
            for _ in range(6):
                answer = await edge.receive("POST", "/chat/", b"x")
                if others:
                    assert_served(answer, "/chat/")
                else:
                    assert_not_whole(answer, "/chat/")

    run()
    assert any(resumed)
