"""Plays targets that write the refusal of a call once more when the call is sent again.

Guards against a call that runs while its copied refusal is believed: its caller is told
that it has not run, or it runs at a second target.
"""

from __future__ import annotations

import re
from itertools import cycle
from itertools import repeat

import pytest
import trio

from edge.builders import wire_route
from edge.builders import wire_target
from edge.log_lines import LogCapture
from edge.loopback_edge import running_edge
from edge.test_second_copies import ATTEMPT
from edge.test_second_copies import CopyingTarget
from support.loopback import on_trio
from yuccafold.http._pool import MAX_FAILED_CALLS

ROUNDS = 8
LATE_S = 0.03
PROMISES_NOT_RUN = (408, 421, 429, 503)
EXPECTED = re.compile(rb"x-expect-instance: (\S+)\r\n", re.IGNORECASE)

UNSAFE, STREAM, RESUMABLE, SAFE = "/book/", "/chat/once/", "/chat/", "/look/"
ROUTES = (
    wire_route(UNSAFE, "unsafe", max_attempts=6),
    wire_route(STREAM, "streaming", resumable=False, max_attempts=6),
    wire_route(RESUMABLE, "streaming", resumable=True, max_attempts=6),
    wire_route(SAFE, "safe", max_attempts=6),
)
PATHS = [UNSAFE, STREAM, RESUMABLE, SAFE]
MANY_RETRIES = {"retry_ratio": 9.0, "retry_slack": 1_000.0}


def refusal_with(status, body=b""):
    """Return the refusal of a call with ``status``, which names the call."""
    return (
        b"HTTP/1.1 %d No\r\nX-Attempt-Id: %%s\r\nX-Not-Executed: 1\r\n"
        b"Keep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%b"
        % (status, len(body), body)
    )


def answer_with(status, body):
    """Return the answer to a call that ran, which names the call."""
    return (
        b"HTTP/1.1 %d Done\r\nX-Attempt-Id: %%s\r\nX-Response-Signature: s\r\n"
        b"Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
    )


EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
DONE = answer_with(200, EVENTS)
TORN = answer_with(200, EVENTS[:-1])
FAILED = answer_with(500, b"failed")
REFUSALS = {str(status): refusal_with(status) for status in (421, 429, 503)} | {
    "503-with-a-body": refusal_with(503, b"full")
}
MOMENTS = ("with-it", "while-idle", "before-the-answer", "some-time-before-it")


class Copier(CopyingTarget):
    """Refuses a call or runs it, as ``_first_answer`` says.

    On a connection that carried a refusal, the last one is sent once more at
    ``moment``: with it, after it, or before each answer that follows.
    """

    def __init__(self, name, moment):
        super().__init__(moment)
        self.id = name
        self.server = self
        self.runs = []
        self.connections = 0

    async def _first_answer(self, attempt, expected):
        """Return the answer to a call that doesn't run now, ``None`` to run it."""
        raise NotImplementedError

    async def handle(self, stream):
        self.connections += 1
        copy = b""
        try:
            while head := await receive_head(stream):
                attempt = ATTEMPT.search(head)[1]
                expected = EXPECTED.search(head)[1].decode()
                first_answer = await self._first_answer(attempt, expected)
                if first_answer is None:
                    self.runs.append(attempt)
                    await self._send_answer(stream, DONE % attempt, copy)
                else:
                    copy = first_answer % attempt
                    await self._send_refusal(stream, copy)
        except trio.BrokenResourceError:
            pass

    async def _send_refusal(self, stream, data):
        await stream.send_all(data * 2 if self._moment == "with-it" else data)
        if self._moment == "while-idle":
            await trio.sleep(LATE_S)
            await stream.send_all(data)

    async def _send_answer(self, stream, data, copy):
        if self._moment == "before-the-answer":
            await stream.send_all(copy + data)
        elif self._moment == "some-time-before-it":
            await stream.send_all(copy)
            await trio.sleep(LATE_S)
            await stream.send_all(data)
        else:
            await stream.send_all(data)


async def receive_head(stream):
    """Return the head of the next call, or what came before the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some()
        if not part:
            return b""
        data += part
    return data


class RestartingTarget(Copier):
    """Starts again under a new id at its address when a call comes to the present one.

    That call is turned away once the router has listed the new id, and runs if it comes
    to that one. The entry before is gone with the next start.
    """

    def __init__(self, first_answers, moment, log):
        super().__init__("t1", moment)
        self._first_answers = first_answers
        self._log = log
        self._asked = set()
        self.starts = 1
        self.store = None

    async def _first_answer(self, attempt, expected):
        if expected != self.id:
            return REFUSALS["421"]
        if attempt in self._asked:
            return None
        self._asked.add(attempt)
        await self._start_again()
        return next(self._first_answers)

    async def _start_again(self):
        if self.starts > 1:
            self.store.remove(f"servers/t{self.starts - 1}")
        self.starts += 1
        new_id = f"t{self.starts}"
        self.store.put(f"servers/{new_id}", wire_target(self.address))
        while not any(line["target"] == new_id for line in self._log()):
            await trio.sleep(0.002)
        self.id = new_id


class FullTarget(Copier):
    """Has no room for a call until another target has run it."""

    def __init__(self, name, moment, others_runs):
        super().__init__(name, moment)
        self._others_runs = others_runs

    async def _first_answer(self, attempt, expected):
        return None if attempt in self._others_runs else REFUSALS["503"]


class FullAtFirst(Copier):
    """Refuses each call whose id begins with ``repeated`` when it first comes."""

    def __init__(self, moment):
        super().__init__("t1", moment)
        self._refusals = cycle(REFUSALS.values())
        self.asked = set()

    async def _first_answer(self, attempt, expected):
        if attempt in self.asked or not attempt.startswith(b"repeated"):
            return None
        self.asked.add(attempt)
        return next(self._refusals)


async def check_restarts(monkeypatch, path, first_answers, moment, others):
    """Send calls one after the other; the target of each one starts again under it."""
    log = LogCapture(monkeypatch)
    restarting = RestartingTarget(
        first_answers, moment, lambda: log.fields("target_listed")
    )
    full = [
        FullTarget(f"other-{number}", moment, restarting.runs)
        for number in range(others)
    ]
    async with running_edge(
        restarting, *full, routes=ROUTES, settings=MANY_RETRIES
    ) as edge:
        restarting.store = edge.store
        for number in range(1, ROUNDS + 1):
            with trio.fail_after(5):
                answer = await edge.receive("GET", path)
            check_answer(answer, edge.runs.count(b"a%d" % number))
    assert restarting.starts == ROUNDS + 1


def check_answer(answer, runs):
    """Check that a call has run once and that its caller got the answer of the run."""
    assert runs < 2
    assert not (runs and answer.status in PROMISES_NOT_RUN)
    assert (answer.status, runs, answer.complete) == (200, 1, True)
    assert answer.body == EVENTS


@pytest.mark.parametrize("others", [0, 2])
@pytest.mark.parametrize("moment", MOMENTS)
def test_call_refused_before_its_target_started_again_runs_once(
    moment, others, monkeypatch
):
    for path in PATHS:
        copied = cycle(REFUSALS.values())
        trio.run(check_restarts, monkeypatch, path, copied, moment, others)


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize(
    ("path", "copied"),
    [(RESUMABLE, TORN), (SAFE, FAILED)],
    ids=["stream-that-broke-off", "server-error"],
)
def test_copied_failure_is_not_taken_for_the_answer_of_the_next_attempt(
    path, copied, moment, monkeypatch
):
    trio.run(check_restarts, monkeypatch, path, repeat(copied), moment, 0)


DETOURED = ("X-Detour: 1",)


@pytest.mark.parametrize("between", [0, 5])
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize(
    "first_headers", [(), DETOURED], ids=["from-its-client", "through-a-vm"]
)
def test_call_that_comes_again_after_a_refusal_runs_once(
    first_headers, moment, between
):
    full = FullAtFirst(moment)

    @on_trio
    async def run():
        async with running_edge(full, routes=ROUTES, settings=MANY_RETRIES) as edge:
            for number, path in enumerate([UNSAFE, STREAM] * len(REFUSALS)):
                attempt = f"repeated-{number}"
                headers = first_headers
                while attempt.encode() not in full.runs:
                    answer = await edge.receive(
                        "GET", path, b"", *headers, attempt=attempt
                    )
                    headers = ()
                    for _ in range(between):
                        await edge.receive("GET", path)
                check_answer(answer, full.runs.count(attempt.encode()))

    run()


@on_trio
async def test_connection_of_a_refused_call_carries_the_next_one():
    full = FullAtFirst("before-the-answer")
    async with running_edge(full, routes=ROUTES) as edge:
        for number in range(MAX_FAILED_CALLS):
            attempt = f"repeated-{number}"
            while attempt.encode() not in full.asked:
                refused = await edge.receive("GET", UNSAFE, attempt=attempt)
            assert refused.status == 503
            while (await edge.receive("GET", UNSAFE)).status != 200:
                await trio.sleep(LATE_S)
    assert full.connections == 1
