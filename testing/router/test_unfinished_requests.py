"""Requests of many callers that are never finished."""

from __future__ import annotations

from contextlib import AsyncExitStack

import h11
import trio

from router.fakes import KEY
from router.fakes import caller
from router.fakes import echo
from router.fakes import fleet
from router.fakes import read_request
from support.loopback import on_trio
from yuccafold.intake import BYTES_PER_MEGABYTE

PIECE = b"x" * 65_536
PIECES = 8
CROWD = 6
CHAT = b'{"model": "m", "messages": [{"role": "user", "content": "x"}]}'


def wait_long(tree):
    return tree.replace("first_byte_timeout_ms: 500", "first_byte_timeout_ms: 60000")


def begun_chat(body_bytes):
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: fleet\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    return head.encode()


@on_trio
async def test_large_bodies_of_a_crowd_are_refused_as_not_run_and_others_served():
    """Each body was within its limit, and all together ended the process."""
    async with AsyncExitStack() as stack:
        _, addresses, targets = await stack.enter_async_context(
            fleet(echo, caller_memory_mb=1)
        )
        crowd = []
        for _ in range(CROWD):
            client = await stack.enter_async_context(caller(addresses.callers))
            await client.send(begun_chat(PIECES * len(PIECE) + 1) + PIECE * PIECES)
            crowd.append(client)
            await trio.sleep(0.02)
        for client in crowd[:-2]:
            with trio.fail_after(10):
                status, headers, _, whole = await client.read_answer()
            assert (status, whole) == (503, True)
            assert headers["yuccafold-verdict"] == "not-run"
        async with caller(addresses.callers) as client:
            with trio.fail_after(10):
                status, _, _, _ = await client.call("POST", "/desk/search", b"small")
        assert status == 200
        assert len(targets[0].requests) == 1


@on_trio
async def test_silent_callers_give_way_to_a_new_one():
    """Callers that stayed open in the middle of a body took all places."""
    async with AsyncExitStack() as stack:
        _, addresses, _ = await stack.enter_async_context(
            fleet(echo, max_connections=CROWD)
        )
        for _ in range(2 * CROWD):
            client = await stack.enter_async_context(caller(addresses.callers))
            await client.send(begun_chat(PIECES))
        async with caller(addresses.callers) as client:
            with trio.fail_after(10):
                status, _, _, _ = await client.call("POST", "/desk/search", b"small")
        assert status == 200


async def never_answer(target, stream):
    await read_request(target, stream, h11.Connection(h11.SERVER))
    await trio.sleep_forever()


@on_trio
async def test_connection_whose_whole_request_gave_way_is_closed():
    """It was kept, and every later request on it was refused."""
    body_bytes = BYTES_PER_MEGABYTE // 2
    async with AsyncExitStack() as stack:
        _, addresses, targets = await stack.enter_async_context(
            fleet(never_answer, edit=wait_long, caller_memory_mb=1)
        )
        running = await stack.enter_async_context(caller(addresses.callers))
        client = await stack.enter_async_context(caller(addresses.callers))
        await running.send(begun_chat(body_bytes) + CHAT.ljust(body_bytes))
        with trio.fail_after(10):
            while not targets[0].requests:
                await trio.sleep(0.005)
        # The last byte is the one too many, so no part of the request is unread.
        await client.send(begun_chat(body_bytes + 1) + CHAT.ljust(body_bytes + 1))
        with trio.fail_after(10):
            status, headers, _, whole = await client.read_answer()
            assert (status, whole) == (503, True)
            assert headers["connection"] == "close"
            assert await client.stream.receive_some() == b""


@on_trio
async def test_heads_of_many_fields_count_as_held_by_their_requests():
    """Each field holds 100 bytes and more beside its text, for 4,096 connections."""
    fields = b"a:\r\n" * 7_000
    async with AsyncExitStack() as stack:
        _, addresses, _ = await stack.enter_async_context(
            fleet(echo, caller_memory_mb=1)
        )
        crowd = []
        for _ in range(CROWD):
            client = await stack.enter_async_context(caller(addresses.callers))
            await client.send(begun_chat(PIECES)[:-2] + fields + b"\r\n")
            crowd.append(client)
            await trio.sleep(0.02)
        with trio.fail_after(10):
            status, _, _, whole = await crowd[0].read_answer()
    assert (status, whole) == (503, True)


@on_trio
async def test_operators_are_answered_beside_silent_connections_at_their_port():
    """Silent connections took all places of the port."""
    places = 64
    async with AsyncExitStack() as stack:
        _, addresses, _ = await stack.enter_async_context(fleet(echo))
        for _ in range(places):
            await stack.enter_async_context(caller(addresses.operators))
        async with caller(addresses.operators) as client:
            with trio.fail_after(10):
                status, _, _, _ = await client.call("GET", "/ready")
    assert status
