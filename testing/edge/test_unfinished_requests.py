"""Requests that are large, slow or never finished, and what callers are told."""

from __future__ import annotations

import json
import socket
from contextlib import asynccontextmanager

import pytest
import trio

from edge.builders import KEY
from edge.builders import wire_config
from edge.loopback_edge import ROUTES
from edge.loopback_edge import parse_answer
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from support.loopback import read_to_end
from yuccafold._clock import Milliseconds
from yuccafold.edge import CallerLimits
from yuccafold.edge import _responder
from yuccafold.intake import SMALL_REQUEST_BYTES
from yuccafold.intake import IntakeLimits

MAX_BODY = CallerLimits().max_body
CHUNKED = ("Transfer-Encoding: chunked",)


@asynccontextmanager
async def running_intake(**limits):
    """Run an edge router with a target that takes bodies of the usual limit."""
    settings = {"intake": IntakeLimits(**limits)}
    async with running_edge(target(), settings=settings) as edge:
        config = json.loads(wire_config(*ROUTES, version=2))
        config["limits"] |= {"max_body_bytes": MAX_BODY}
        edge.store.put("op/config", json.dumps(config).encode())
        with trio.fail_after(10):
            while edge.router.limits.max_body < MAX_BODY:
                await trio.sleep(0.005)
        yield edge


async def begin(edge, *headers, path="/book/", call_id="late", key=KEY):
    """Send the head of a request on a connection of its own."""
    host, _, port = edge.address.partition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: fleet.example",
        f"X-Attempt-Id: {call_id}",
        f"X-Key: {key}",
        *headers,
    ]
    await stream.send_all("\r\n".join([*lines, "", ""]).encode())
    return stream


async def answer_of(stream):
    with trio.fail_after(20):
        return parse_answer(await read_to_end(stream))


async def send_without_end(stream, data):
    while True:
        await stream.send_all(data)


async def send_until_blocked(stream, data):
    """Send until nothing has been read for a second."""
    blocked = False
    while not blocked:
        with trio.move_on_after(1) as scope:
            await stream.send_all(data)
        blocked = scope.cancelled_caught


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@on_trio
async def test_body_that_is_announced_too_large_is_refused_unread():
    async with running_intake() as edge:
        stream = await begin(edge, f"Content-Length: {MAX_BODY + 1}")
        answer = await answer_of(stream)
    assert answer.status == 413
    assert answer.complete
    assert not edge.runs


@on_trio
async def test_caller_that_sends_on_reads_the_refusal_of_its_body():
    """A close while bytes arrive resets the connection, and the answer is lost."""
    async with running_intake() as edge:
        stream = await begin(edge, *CHUNKED)
        try:
            for _ in range(MAX_BODY // 65_536 + 4):
                await stream.send_all(chunk(bytes(65_536)))
        except trio.BrokenResourceError:
            pass
        answer = await answer_of(stream)
    assert answer.status == 413
    assert answer.complete
    assert not edge.runs


@pytest.mark.parametrize(
    ("changes", "status"), [({"path": "/none/"}, 404), ({"key": "other"}, 401)]
)
def test_request_that_no_body_makes_admissible_is_refused_before_its_end(
    changes, status
):
    @on_trio
    async def run():
        async with running_intake() as edge:
            stream = await begin(edge, *CHUNKED, **changes)
            await stream.send_all(chunk(bytes(SMALL_REQUEST_BYTES + 1)))
            answer = await answer_of(stream)
        assert answer.status == status
        assert not edge.runs

    run()


@pytest.mark.parametrize("path", ["/none/", "/book/"])
def test_connection_of_a_small_request_that_is_refused_is_kept(path):
    @on_trio
    async def run():
        async with running_intake() as edge:
            stream = await begin(edge, *CHUNKED, path=path, key="other")
            await stream.send_all(chunk(b"x" * 100) + b"0\r\n\r\n")
            answer = await stream.receive_some()
            assert b"connection: close" not in answer.lower()
            await stream.send_all(
                b"GET /look/ HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: n\r\n"
                b"X-Key: %s\r\n\r\n" % KEY.encode()
            )
            assert b"200" in (await stream.receive_some()).partition(b"\r\n")[0]

    run()


@on_trio
async def test_large_bodies_of_a_crowd_are_refused_as_not_run_and_others_served():
    """Each body was within its limit, and all together ended the process."""
    large = 4 * SMALL_REQUEST_BYTES
    async with running_intake(memory=20 * SMALL_REQUEST_BYTES) as edge:
        crowd = []
        for number in range(30):
            stream = await begin(edge, *CHUNKED, call_id=f"c{number}")
            await stream.send_all(chunk(bytes(large)))
            crowd.append(stream)
            await trio.sleep(0.005)
        status, _, _ = await edge.call("POST", "/book/", b"small")
        assert status == 200
        refused = []
        with trio.move_on_after(5):
            for stream in crowd:
                refused.append(await answer_of(stream))
        assert len(refused) >= 30 - 20 * SMALL_REQUEST_BYTES // large
        for answer in refused:
            assert answer.status == 503
            assert answer.complete
            assert float(answer.headers[b"retry-after"]) > 0
        for number, stream in enumerate(crowd[len(refused) :], len(refused)):
            await stream.send_all(b"0\r\n\r\n")
            data = await stream.receive_some()
            assert data.startswith(b"HTTP/1.1 200"), number
    assert not {f"c{number}" for number in range(len(refused))} & set(edge.runs)


@on_trio
async def test_call_that_another_vm_sends_here_is_told_that_it_did_not_run():
    async with running_intake(memory=SMALL_REQUEST_BYTES) as edge:
        streams = []
        for number in range(2):
            stream = await begin(edge, "X-Detour: 1", *CHUNKED, call_id=f"c{number}")
            await stream.send_all(chunk(bytes(2 * SMALL_REQUEST_BYTES)))
            streams.append(stream)
            await trio.sleep(0.01)
        answer = await answer_of(streams[0])
    assert answer.status == 503
    assert answer.headers[b"x-not-executed"] == b"1"


@on_trio
async def test_silent_callers_give_way_to_a_new_one():
    """Callers that stayed open in the middle of a body took all places."""
    async with running_intake(connections=4) as edge:
        silent = [await begin(edge, *CHUNKED, call_id=f"c{n}") for n in range(12)]
        for _ in range(3):
            with trio.fail_after(10):
                status, _, _ = await edge.call("POST", "/book/", b"ordinary")
            assert status == 200
        for stream in silent:
            await stream.aclose()


@on_trio
async def test_body_that_comes_slowly_is_served_in_calm():
    limits = CallerLimits()
    async with running_intake() as edge:
        stream = await begin(edge, *CHUNKED)
        for _ in range(4):
            await stream.send_all(chunk(b"x"))
            await trio.sleep(limits.head_timeout / 1_000 / 3)
        await stream.send_all(b"0\r\n\r\n")
        with trio.fail_after(10):
            data = await stream.receive_some()
    assert data.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_body_of_the_largest_size_arrives_whole(framing):
    body = bytes(range(256)) * (MAX_BODY // 256)

    @on_trio
    async def run():
        async with running_intake(memory=SMALL_REQUEST_BYTES) as edge:
            if framing == "length":
                stream = await begin(edge, f"Content-Length: {len(body)}")
                await stream.send_all(body)
            else:
                stream = await begin(edge, *CHUNKED)
                for start in range(0, len(body), 65_536):
                    await stream.send_all(chunk(body[start : start + 65_536]))
                await stream.send_all(b"0\r\n\r\n")
            with trio.fail_after(20):
                data = await stream.receive_some()
        assert data.startswith(b"HTTP/1.1 200")

    run()


@pytest.mark.parametrize("part", ["head", "trailers", "chunk-extension"])
def test_headers_without_end_are_refused(part):
    begun = {
        "head": b"",
        "trailers": b"1\r\nx\r\n0\r\n",
        "chunk-extension": b"1;",
    }[part]

    @on_trio
    async def run():
        async with running_intake() as edge:
            host, _, port = edge.address.partition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(
                b"POST /book/ HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: a\r\n"
                b"Transfer-Encoding: chunked\r\n" + (b"" if part == "head" else b"\r\n")
            )
            line = b"x" * 4_000 + (b"" if part == "chunk-extension" else b": y\r\n")
            await stream.send_all(begun + line * 6)
            with trio.fail_after(10):
                data = await stream.receive_some()
        assert data.startswith((b"HTTP/1.1 431", b"HTTP/1.1 400"))
        assert not edge.runs

    run()


@on_trio
async def test_caller_that_reads_no_refusals_does_not_keep_its_place(monkeypatch):
    monkeypatch.setattr(_responder, "REFUSAL_TIMEOUT", Milliseconds(200))
    request = b"GET /none/ HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: a\r\n\r\n"
    async with running_intake() as edge:
        host, _, port = edge.address.partition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        with trio.fail_after(30), pytest.raises(trio.BrokenResourceError):
            await send_without_end(stream, request * 1_000)


@on_trio
async def test_callers_that_read_no_refusals_give_way_to_a_new_one(monkeypatch):
    """They kept all places until their refusals were given up."""
    monkeypatch.setattr(_responder, "REFUSAL_TIMEOUT", Milliseconds(600_000))
    request = b"GET /none/ HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: a\r\n\r\n"
    async with running_intake(connections=2) as edge:
        host, _, port = edge.address.partition(":")
        crowd = [await trio.open_tcp_stream(host, int(port)) for _ in range(2)]
        for stream in crowd:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            with trio.fail_after(30):
                await send_until_blocked(stream, request * 100)
        with trio.fail_after(10):
            status, _, _ = await edge.call("POST", "/book/", b"ordinary")
    assert status == 200
