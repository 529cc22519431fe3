from __future__ import annotations

import functools
import inspect
import json
import select
from contextlib import asynccontextmanager

import trio

from yuccafold._clock import Milliseconds
from yuccafold.http import CallTimeouts

RELAXED_TIMEOUTS = CallTimeouts(
    connect_timeout=Milliseconds(10_000), silence_timeout=Milliseconds(10_000)
)
"""Limits so large that calls succeed even where the tests run slowly."""


def on_trio(function):
    """Run an async test on trio."""

    @functools.wraps(function)
    def run(**arguments):
        trio.run(functools.partial(function, **arguments))

    run.__signature__ = inspect.signature(function)
    return run


@asynccontextmanager
async def serving(*servers):
    """Start the servers in order; cancel them all at the end."""
    async with trio.open_nursery() as nursery:
        for server in servers:
            await nursery.start(server.serve)
        yield nursery
        nursery.cancel_scope.cancel()


async def until(predicate):
    """Let other tasks run until ``predicate`` holds."""
    while not predicate():
        await trio.lowlevel.checkpoint()


async def connect(server):
    """Open a connection to ``server``."""
    host, _, port = server.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


def message(method, target, body=b"", *headers):
    """Return the bytes of an HTTP request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: test",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_to_end(stream):
    """Return all bytes up to the end of the stream or a reset."""
    parts = []
    try:
        async for part in stream:
            parts.append(part)
    except trio.BrokenResourceError:
        pass
    return b"".join(parts)


async def exchange(server, method, target, body=b"", *headers):
    """Make one call on a new connection; return all bytes received."""
    async with await connect(server) as stream:
        data = message(method, target, body, "Connection: close", *headers)
        try:
            await stream.send_all(data)
        except trio.BrokenResourceError:
            pass
        return await read_to_end(stream)


async def call_json(server, method, target, value=None, *headers):
    """Make one call on a new connection; return its status and JSON body."""
    body = b"" if value is None else json.dumps(value).encode()
    raw = await exchange(server, method, target, body, *headers)
    head, _, answer = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(answer) if answer else None


def has_no_input(stream):
    """Return whether nothing can be read now, neither bytes nor the end."""
    return not select.select([stream.socket.fileno()], [], [], 0)[0]
