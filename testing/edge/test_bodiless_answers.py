from __future__ import annotations

import pytest
import trio
import trio.testing

from edge.builders import KEY
from edge.loopback_edge import parse_answer
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from support.loopback import read_to_end
from yuccafold._clock import MonotonicClock
from yuccafold.edge._pages import PageServer
from yuccafold.standins import TargetMode


async def heads_on_one_connection(edge, *paths):
    """Send HEAD requests on one connection; return the bytes of all answers."""
    host, _, port = edge.address.partition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        for number, path in enumerate(paths):
            close = "Connection: close\r\n" if number == len(paths) - 1 else ""
            head = (
                f"HEAD {path} HTTP/1.1\r\nHost: fleet.example\r\n"
                f"X-Attempt-Id: h{number}\r\nX-Key: {KEY}\r\n{close}\r\n"
            )
            await stream.send_all(head.encode())
        return await read_to_end(stream)


def test_answer_to_head_keeps_the_length_that_the_target_states():
    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            answer = await edge.receive("HEAD", "/look/a")
            assert (answer.status, answer.complete) == (200, True)
            assert answer.headers[b"content-length"] == b"5"

    run()


@pytest.mark.parametrize("status", [204, 304])
def test_answer_without_a_body_states_no_length_of_the_router(status):
    @on_trio
    async def run():
        async with running_edge(target(status=status)) as edge:
            answer = await edge.receive("GET", "/look/a")
            assert (answer.status, answer.complete) == (status, True)
            assert b"content-length" not in answer.headers
            assert b"transfer-encoding" not in answer.headers

    run()


@pytest.mark.parametrize("path", ["/nowhere/", "/look/a"], ids=["no-route", "refused"])
def test_refused_head_gets_its_answer_and_keeps_its_connection(path):
    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].mode = TargetMode.FULL
            data = await heads_on_one_connection(edge, path, path)
            first, second = data.split(b"\r\n\r\n")[:2]
            assert parse_answer(first + b"\r\n\r\n", "HEAD").complete
            assert first.split()[1] == second.split()[1] != b"200"

    run()


def test_error_that_was_held_back_for_head_is_answered():
    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].mode = TargetMode.FAILING
            answer = await edge.receive("HEAD", "/look/a")
            assert (answer.status, answer.complete) == (500, True)

    run()


@on_trio
async def test_page_answers_head_without_its_body():
    balancer, vm = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            PageServer(lambda target: (200, "ready"), MonotonicClock()).serve, vm
        )
        await balancer.send_all(b"HEAD / HTTP/1.1\r\nHost: vm\r\n\r\n")
        answer = parse_answer(await balancer.receive_some(), "HEAD")
        assert (answer.status, answer.complete) == (200, True)
        assert answer.headers[b"content-length"] == b"5"
        await balancer.aclose()
