"""Calls that reach a VM while it stops are answered whole or refused, never cut.

Guards against a long call that was taken in the notice period and cut as the process
exited at the end of its grace period.
"""

from __future__ import annotations

from contextlib import suppress
from itertools import count

import h11
import pytest
import trio

from edge.builders import KEY
from edge.builders import wire_route
from edge.loopback_edge import ReceivedAnswer
from edge.loopback_edge import parse_answer
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from support.loopback import read_to_end
from yuccafold._clock import Milliseconds
from yuccafold.http import HttpStream

ROUTES = (
    wire_route("/look/", "safe", timeout_ms=20_000),
    wire_route("/book/", "unsafe", timeout_ms=400),
    wire_route("/chat/", "streaming", resumable=True, timeout_ms=20_000),
)
SETTINGS = {"grace_period": Milliseconds(4_000)}
LATE = 2.8
"""Seconds after a stop began at which a call isn't exempt: callers may be cut at the
end of the grace period only if they sent their calls well before 3 s."""


def long_target():
    """Return a target whose streams last longer than what is left when it is late."""
    return target(events=20, event_pause_ms=100)


@on_trio
async def test_long_call_sent_late_in_a_stop_is_refused_as_not_run():
    async with running_edge(long_target(), settings=SETTINGS, routes=ROUTES) as edge:
        edge.router.drain()
        await trio.sleep(LATE)
        stream = await edge.send("POST", "/chat/a", b"x")
        async with stream:
            answer = parse_answer(await read_to_end(stream))
        assert (answer.status, answer.complete) == (503, True)
        assert answer.headers[b"connection"] == b"close"
        assert 0 < float(answer.headers[b"retry-after"]) < 1
        assert edge.runs == []


@on_trio
async def test_long_call_read_whole_after_the_notice_is_refused_as_not_run():
    """Its connection was accepted, and its head read, before the stop began."""
    async with running_edge(long_target(), settings=SETTINGS, routes=ROUTES) as edge:
        host, _, port = edge.address.partition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(
                b"POST /chat/a HTTP/1.1\r\nHost: fleet.example\r\nX-Key: key-1\r\n"
                b"X-Attempt-Id: slow\r\nContent-Length: 2\r\n\r\nx"
            )
            await trio.sleep(0.1)
            edge.router.drain()
            await trio.sleep(3.4)
            await stream.send_all(b"x")
            answer = parse_answer(await read_to_end(stream))
        assert (answer.status, answer.complete) == (503, True)
        assert edge.runs == []


@on_trio
async def test_short_call_sent_late_in_a_stop_is_served():
    async with running_edge(target(), settings=SETTINGS, routes=ROUTES) as edge:
        edge.router.drain()
        await trio.sleep(LATE)
        answer = await edge.receive("POST", "/book/a", b"two places")
        assert (answer.status, answer.body) == (200, b"two places")


@on_trio
async def test_call_that_its_target_has_not_answered_at_the_end_gets_an_answer():
    """It was sent before the stop, so it had to be taken."""
    async with running_edge(
        target(work_ms=10_000), settings=SETTINGS, routes=ROUTES
    ) as edge:
        stream = await edge.send("GET", "/look/a")
        async with stream:
            await trio.sleep(0.1)
            edge.router.drain()
            answer = parse_answer(await read_to_end(stream), "GET")
        assert (answer.status, answer.complete) == (504, True)


EXEMPT_S = 3.0
"""Callers accept that a call is cut which they sent this soon after the signal, if its
target is still at work in the last sixth of the grace period."""


@pytest.mark.parametrize("work_ms", [100, 1_800])
@pytest.mark.parametrize("path", ["/task/once/", "/task/safe/", "/chat/once/"])
def test_no_call_that_comes_during_a_stop_runs_and_is_cut(path, work_ms):
    """Calls that came late were passed on, and cut at the end of the grace period."""
    routes = (
        wire_route("/task/once/", "unsafe", timeout_ms=6_000, max_attempts=1),
        wire_route("/task/safe/", "safe", timeout_ms=6_000),
        wire_route("/chat/once/", "streaming", resumable=False, timeout_ms=6_000),
    )
    served = target(work_ms=work_ms, events=4, event_pause_ms=work_ms // 4)
    sent_at, answers = {}, {}

    async def call_on_new_connection(edge):
        with suppress(OSError, trio.BrokenResourceError):
            attempt = f"a{edge._attempts + 1}"
            stream = await edge.send("POST", path, b"x", "Connection: close")
            sent_at[attempt] = trio.current_time()
            async with stream:
                answers[attempt] = parse_answer(await read_to_end(stream))

    async def call_on_kept_connection(edge, name):
        """Send calls on one connection until the router closes it."""
        host, _, port = edge.address.partition(":")
        caller = HttpStream(
            await trio.open_tcp_stream(host, int(port)), h11.CLIENT, 16_384
        )
        headers = [("Host", "fleet.example"), ("X-Key", KEY), ("Content-Length", "1")]
        with suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            for number in count():
                attempt = f"{name}-{number}"
                named = [*headers, ("X-Attempt-Id", attempt)]
                await caller.send(
                    h11.Request(method="POST", target=path, headers=named),
                    h11.Data(data=b"x"),
                    h11.EndOfMessage(),
                )
                sent_at[attempt] = trio.current_time()
                head = await caller.next_event()
                while isinstance(event := await caller.next_event(), h11.Data):
                    pass
                if not isinstance(event, h11.EndOfMessage):
                    return
                answers[attempt] = ReceivedAnswer(head.status_code, {}, b"", True)
                if caller.protocol.their_state is not h11.DONE:
                    return
                caller.protocol.start_next_cycle()

    @on_trio
    async def run():
        async with running_edge(served, settings=SETTINGS, routes=routes) as edge:
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(call_on_kept_connection, edge, f"kept{number}")
                await trio.sleep(0.3)
                stopped_at = trio.current_time()
                edge.router.drain()
                while trio.current_time() < stopped_at + 4.2:
                    nursery.start_soon(call_on_new_connection, edge)
                    await trio.sleep(0.04)
            late_runs = [
                attempt
                for attempt in edge.runs
                if sent_at.get(attempt, stopped_at + 9) > stopped_at + EXEMPT_S
            ]
            whole = {attempt for attempt, each in answers.items() if each.complete}
            assert [attempt for attempt in late_runs if attempt not in whole] == []
            refused = {name for name, each in answers.items() if each.status == 503}
            assert not refused.intersection(edge.runs)
            assert any(at > stopped_at + EXEMPT_S for at in sent_at.values())

    run()
