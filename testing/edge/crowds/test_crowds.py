"""Crowds of clients that keep to no limits, at one VM with little memory."""

from __future__ import annotations

from itertools import repeat

import pytest

from edge.crowds.crowd_vm import KB
from edge.crowds.crowd_vm import MAX_BODY
from edge.crowds.crowd_vm import MAX_HEAD
from edge.crowds.crowd_vm import Crowd
from edge.crowds.crowd_vm import chunk
from edge.crowds.crowd_vm import request_head
from edge.crowds.crowd_vm import running_vm
from support.loopback import on_trio

CHUNKED = "Transfer-Encoding: chunked"
LARGE_PIECE = bytes(64 * KB)
LARGE_CHUNK = chunk(LARGE_PIECE)
SMALL_CHUNKS = chunk(b"x") * 1_000
EXTENDED_CHUNKS = chunk(b"x", b";" + b"a" * 4_000) * 16
TINY_LINES = b"a:\r\n" * 30_000
LONG_LINE = b"a: " + b"a" * 120_000
LAST_CHUNK = b"0\r\n"
GIGABYTE = KB * KB * KB


def chunks_of_64_kb(path="/echo/", key="key-1"):
    yield request_head(path, CHUNKED, key=key)
    yield from repeat(LARGE_CHUNK, MAX_BODY // len(LARGE_PIECE) - 1)


def chunks_of_a_byte():
    yield request_head("/echo/", CHUNKED)
    yield from repeat(SMALL_CHUNKS, 100)


def chunks_with_long_extensions():
    yield request_head("/echo/", CHUNKED)
    yield from repeat(EXTENDED_CHUNKS)


def chunks_without_end():
    yield request_head("/echo/", CHUNKED)
    yield from repeat(LARGE_CHUNK)


def length_just_short():
    yield request_head("/echo/", f"Content-Length: {MAX_BODY}")
    yield from repeat(LARGE_PIECE, MAX_BODY // len(LARGE_PIECE) - 1)
    yield LARGE_PIECE[1:]


def length_of_a_gigabyte():
    yield request_head("/echo/", f"Content-Length: {GIGABYTE}")
    yield from repeat(LARGE_PIECE)


def head_that_grows():
    yield request_head("/look/").removesuffix(b"\r\n")
    yield from repeat(b"a: b\r\n")


def head_just_short_of_its_end():
    head = request_head("/look/", "a: ").removesuffix(b"\r\n\r\n")
    yield head + b"a" * (MAX_HEAD - len(head))


def head_without_end():
    yield request_head("/look/").removesuffix(b"\r\n") + LONG_LINE


def heads_of_tiny_lines():
    head = request_head("/look/", "Content-Length: 0").removesuffix(b"\r\n")
    yield from repeat(head + TINY_LINES + b"\r\n")


def trailers_of_tiny_lines():
    head = request_head("/look/", CHUNKED)
    yield from repeat(head + LAST_CHUNK + TINY_LINES + b"\r\n")


def trailers_without_end():
    yield request_head("/look/", CHUNKED) + LAST_CHUNK
    yield from repeat(LONG_LINE + b"\r\n")


def requests_behind_a_stream():
    yield request_head("/chat/", "Content-Length: 0")
    yield from repeat(request_head("/look/", "Content-Length: 0") * 20)


def requests_that_are_refused():
    yield from repeat(request_head("/none/", "Content-Length: 0") * 20)


def answers_of_a_megabyte():
    yield request_head("/echo/", f"Content-Length: {KB * KB}") + bytes(KB * KB)


def nothing():
    return ()


def start_of_a_body():
    yield request_head("/echo/", f"Content-Length: {64 * KB}") + bytes(KB)


def half_silent_within_a_body():
    """Return the pieces of clients of which every other one sends nothing at all."""
    turns = iter(range(1_000))
    return lambda: nothing() if next(turns) % 2 else start_of_a_body()


CROWDS = {
    "chunks-of-64-kb": Crowd(100, chunks_of_64_kb),
    "chunks-of-64-kb-without-a-key": Crowd(100, lambda: chunks_of_64_kb(key="")),
    "chunks-of-64-kb-with-an-unknown-key": Crowd(
        100, lambda: chunks_of_64_kb(key="another")
    ),
    "chunks-of-64-kb-without-a-route": Crowd(100, lambda: chunks_of_64_kb("/none/")),
    "chunks-of-a-byte": Crowd(150, chunks_of_a_byte),
    "chunks-with-long-extensions": Crowd(100, chunks_with_long_extensions),
    "chunks-without-end": Crowd(100, chunks_without_end),
    "chunks-without-end-again": Crowd(100, chunks_without_end, comes_again=True),
    "length-just-short": Crowd(100, length_just_short),
    "length-of-a-gigabyte": Crowd(100, length_of_a_gigabyte),
    "head-that-grows": Crowd(100, head_that_grows),
    "head-just-short-of-its-end": Crowd(150, head_just_short_of_its_end),
    "head-without-end": Crowd(150, head_without_end),
    "heads-of-tiny-lines": Crowd(100, heads_of_tiny_lines),
    "heads-of-tiny-lines-again": Crowd(100, heads_of_tiny_lines, comes_again=True),
    "trailers-of-tiny-lines": Crowd(100, trailers_of_tiny_lines, reads=True),
    "trailers-without-end": Crowd(100, trailers_without_end),
    "requests-behind-a-stream": Crowd(150, requests_behind_a_stream),
    "requests-that-are-refused": Crowd(100, requests_that_are_refused, reads=True),
    "answers-that-nobody-reads": Crowd(
        100, answers_of_a_megabyte, receive_buffer=4 * KB
    ),
    "silent": Crowd(240, half_silent_within_a_body()),
}

PAGE_CROWDS = {
    "chunks-without-end": Crowd(100, chunks_without_end, comes_again=True),
    "chunks-of-a-byte": Crowd(150, chunks_of_a_byte, comes_again=True),
    "heads-of-tiny-lines": Crowd(100, heads_of_tiny_lines, comes_again=True),
    "silent": Crowd(240, nothing),
}


@pytest.mark.parametrize("name", CROWDS)
@on_trio
async def test_crowd_neither_ends_nor_hangs_a_process(name, tmp_path):
    async with running_vm(tmp_path) as vm:
        async with CROWDS[name].connected(vm.callers):
            answered = await vm.serves()
        (await vm.outcome(answered)).check()


@pytest.mark.parametrize("address", ["control", "readiness", "metrics"])
@pytest.mark.parametrize("name", PAGE_CROWDS)
@on_trio
async def test_crowd_at_another_address_neither_ends_nor_hangs_a_process(
    name, address, tmp_path
):
    async with running_vm(tmp_path) as vm:
        async with PAGE_CROWDS[name].connected(getattr(vm, address)):
            answered = await vm.serves()
        (await vm.outcome(answered)).check()


@pytest.mark.parametrize("name", ["chunks-of-64-kb", "chunks-of-a-byte", "silent"])
@on_trio
async def test_process_beside_a_crowd_stops_by_one_signal(name, tmp_path):
    async with running_vm(tmp_path) as vm:
        async with CROWDS[name].connected(vm.callers):
            assert await vm.process.stop()
