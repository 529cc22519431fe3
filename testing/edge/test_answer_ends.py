from __future__ import annotations

import json
from itertools import count

import pytest
import trio

from edge.builders import wire_config
from edge.builders import wire_route
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from yuccafold.edge._relay import MAX_HELD_ANSWER_BYTES
from yuccafold.standins import Faults
from yuccafold.standins import TargetMode

EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 5)]
STARTS = [b"".join(EVENTS[:count]) for count in range(1, len(EVENTS) + 1)]
"""A stream up to the end of each of its events."""

STREAMS = [
    pytest.param("/chat/once/a", id="once"),
    pytest.param("/chat/a", id="resumable"),
]
CALLS = [pytest.param("/book/a", id="once"), pytest.param("/look/a", id="idempotent")]
UNFRAMED = [pytest.param(True, id="unframed"), pytest.param(False, id="framed")]


async def bodies_that_look_complete(edge, path, unframed, reset):
    """Return the bodies of complete answers whose target closes at each byte.

    The last one is the body of a response that the target completed.
    """
    whole = STARTS[-1] if path.startswith("/chat/") else b"question"
    ends = count(1)
    bodies = []
    while bodies[-1:] != [whole]:
        edge.targets[0].server.set_faults(
            Faults(unframed=unframed, close_at_response_byte=next(ends), reset=reset)
        )
        answer = await edge.receive("POST", path, b"question")
        if answer.complete and answer.status == 200:
            bodies.append(answer.body)
    return bodies


@pytest.mark.parametrize("path", STREAMS)
@pytest.mark.parametrize("unframed", UNFRAMED)
def test_stream_torn_inside_an_event_does_not_look_complete(path, unframed):
    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].server.set_faults(Faults(unframed=unframed))
            edge.targets[0].mode = TargetMode.TEARING
            answer = await edge.receive("POST", path, b"question")
            assert not answer.complete
            assert answer.body.startswith(EVENTS[0])
            assert len(edge.runs) == 1

    run()


@pytest.mark.parametrize("path", STREAMS)
def test_unframed_stream_that_ends_before_its_first_event_does_not_look_complete(path):
    @on_trio
    async def run():
        async with running_edge(target(events=0)) as edge:
            edge.targets[0].server.set_faults(Faults(unframed=True))
            answer = await edge.receive("POST", path, b"question")
            assert answer.status != 200 or not answer.complete
            assert len(edge.runs) == 1

    run()


@pytest.mark.parametrize("path", STREAMS)
@pytest.mark.parametrize("unframed", UNFRAMED)
def test_stream_cut_at_any_byte_does_not_look_complete(path, unframed):
    # The end of an unframed stream between two events is not distinguishable.
    allowed = STARTS if unframed else STARTS[-1:]

    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            bodies = await bodies_that_look_complete(edge, path, unframed, reset=False)
            assert [body for body in bodies if body not in allowed] == []

    run()


@pytest.mark.parametrize("path", STREAMS + CALLS)
@pytest.mark.parametrize("unframed", UNFRAMED)
def test_answer_reset_at_any_byte_does_not_look_complete(path, unframed):
    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            bodies = await bodies_that_look_complete(edge, path, unframed, reset=True)
            assert len(bodies) == 1

    run()


@pytest.mark.parametrize("path", STREAMS + CALLS)
def test_unframed_answer_is_relayed_whole(path):
    expected = STARTS[-1] if path.startswith("/chat/") else b"question"

    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].server.set_faults(Faults(unframed=True))
            answer = await edge.receive("POST", path, b"question")
            assert answer.complete
            assert (answer.status, answer.body) == (200, expected)

    run()


@on_trio
async def test_unframed_stream_torn_inside_an_event_resumes_at_another_target():
    async with running_edge(target("t1"), target("t2")) as edge:
        torn, whole = edge.targets
        torn.mode = TargetMode.TEARING_UNFRAMED
        for _ in range(6):
            answer = await edge.receive("POST", "/chat/a", b"question")
            assert (answer.complete, answer.body) == (True, STARTS[-1])
        assert set(torn.runs) & set(whole.runs)


@pytest.mark.parametrize("path", ["/tag/a", "/tag/once/a"], ids=["resumable", "once"])
@pytest.mark.parametrize(
    ("content_type", "complete"),
    [("application/json", True), ("text/event-stream; charset=utf-8", False)],
)
def test_only_answers_of_the_type_of_streams_have_to_end_an_event(
    path, content_type, complete
):
    @on_trio
    async def run():
        async with running_edge(target(content_type=content_type)) as edge:
            answer = await edge.receive("POST", path, b"{}")
            assert (answer.complete and answer.status == 200) is complete

    run()


@on_trio
async def test_unframed_answer_to_another_call_is_not_relayed():
    async with running_edge(target()) as edge:
        edge.targets[0].server.set_faults(Faults(unframed=True))
        edge.targets[0].mode = TargetMode.WRONG_ATTEMPT
        answer = await edge.receive("POST", "/book/a", b"question")
        assert answer.status == 502
        assert len(edge.runs) == 1


@on_trio
async def test_connection_of_an_unframed_answer_is_not_used_again():
    async with running_edge(target()) as edge:
        edge.targets[0].server.set_faults(Faults(unframed=True))
        for _ in range(3):
            answer = await edge.receive("GET", "/look/a")
            assert (answer.status, answer.body) == (200, b"found")
        assert edge.targets[0].server.connections == 3


@pytest.mark.parametrize("unframed", UNFRAMED)
def test_large_answer_reset_on_the_way_does_not_look_complete(unframed):
    body = b"x" * (MAX_HELD_ANSWER_BYTES + 1_000)
    booking = wire_route("/book/", "unsafe", max_attempts=1)

    @on_trio
    async def run():
        async with running_edge(target(), routes=(booking,)) as edge:
            config = json.loads(wire_config(booking, version=2))
            limits = config["limits"] | {"max_body_bytes": 2 * len(body)}
            config = json.dumps(config | {"limits": limits}).encode()
            edge.store.put("op/config", config)
            while edge.router.limits.max_body < len(body):
                await trio.sleep(0.005)
            faults = Faults(
                unframed=unframed, close_at_response_byte=len(body) - 500, reset=True
            )
            edge.targets[0].server.set_faults(faults)
            answer = await edge.receive("POST", "/book/b", body)
            assert not answer.complete or answer.status == 502

    run()
