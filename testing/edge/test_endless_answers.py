"""Plays targets that send bytes without end until the router closes the connection.

Guards against memory and time that grow with them, connections that stay open, targets
that go on counting as healthy, and callers who get no true verdict.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from contextlib import asynccontextmanager
from contextlib import suppress

import pytest
import trio

from edge.builders import edge_settings
from edge.builders import wire_config
from edge.builders import wire_route
from edge.builders import wire_target
from edge.loopback_edge import Edge
from edge.loopback_edge import target as loopback_target
from support.endless import EndlessServer
from support.loopback import on_trio
from support.loopback import serving
from yuccafold._clock import MonotonicClock
from yuccafold.edge import EdgeRouter
from yuccafold.edge import SocketAddress
from yuccafold.platform import HeaderTranslator
from yuccafold.platform import StoreSource
from yuccafold.platform import decode
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings

TIMEOUT_MS = 400
MAX_TIME_S = 5.0
"""Far above the timeout of the route, for a busy machine."""

MAX_MEMORY_BYTES = 8_388_608
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
ERROR = HEAD.replace(b"200 OK", b"500 Error")
NOT_RUN = HEAD.replace(b"200 OK", b"503 Full") + b"X-Not-Executed: 1\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
BYTE_CHUNKS = b"1\r\nz\r\n" * 8_192
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
EVENT = b"id: 1\ndata: t\n\n"
EVENT_CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)

ENDLESS = {
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "header lines": (HEAD, b"X-More: %s\r\n" % (b"x" * 500)),
    "header line": (HEAD + b"X-More: ", b"x" * 1024),
    "chunked body": (HEAD + CHUNKED, CHUNK),
    "unframed body": (HEAD + b"\r\n", b"x" * 1024),
    "chunk size": (HEAD + CHUNKED, b"0" * 1024),
    "trailers": (HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", b"X-More: x\r\n"),
    "server error": (ERROR + CHUNKED, CHUNK),
    "rejected answer": (NOT_RUN + CHUNKED, CHUNK),
    "skipped answer": (FOREIGN + CHUNKED, CHUNK),
    "skipped answers": (b"", FOREIGN + b"Content-Length: 0\r\n\r\n"),
    "chunks of a byte": (HEAD + CHUNKED, BYTE_CHUNKS),
    "server error by bytes": (ERROR + CHUNKED, BYTE_CHUNKS),
    "rejected by bytes": (NOT_RUN + CHUNKED, BYTE_CHUNKS),
    "skipped by bytes": (FOREIGN + CHUNKED, BYTE_CHUNKS),
    "short trailers": (HEAD + CHUNKED + b"0\r\n", b"x:y\r\n" * 8_192),
    "short interim responses": (b"", b"HTTP/1.1 102 x\r\n\r\n" * 512),
    "event": (HEAD + EVENTS + CHUNKED, CHUNK),
    "events": (HEAD + EVENTS + CHUNKED, EVENT_CHUNK),
}


class EndlessTarget(EndlessServer):
    """A target that answers so."""

    id = "t1"


@asynccontextmanager
async def edge_before(target, *others, timeout_ms=TIMEOUT_MS):
    """Run a router in front of ``target``, and ``others`` of another service."""
    store = PlatformStore(PlatformStoreSettings())
    routes = [
        wire_route("/look/", "safe", timeout_ms=timeout_ms),
        wire_route("/chat/", "streaming", resumable=True, timeout_ms=timeout_ms),
        wire_route("/chat/once/", "streaming", timeout_ms=timeout_ms),
        wire_route("/other/", "safe", service="other"),
    ]
    async with serving(store, target, *others) as nursery:
        store.put("op/config", wire_config(*routes))
        store.put(f"servers/{target.id}", wire_target(target.address))
        for other in others:
            entry = wire_target(other.server.address, service="other")
            store.put(f"servers/{other.id}", entry)
        address = SocketAddress.parse(store.server.address)
        router = EdgeRouter(
            edge_settings(platform=address),
            StoreSource(address),
            decode,
            HeaderTranslator(),
            MonotonicClock(),
            random.Random(1),
        )
        edge = Edge(store, (), router)
        edge.address = await nursery.start(router.run)
        while not router.ready:
            await trio.sleep(0.005)
        yield edge


@pytest.mark.parametrize("path", ["/look/a", "/chat/a", "/chat/once/a"])
@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_are_bounded_and_end_their_connection(kind, path):
    target = EndlessTarget(*ENDLESS[kind])

    @on_trio
    async def run():
        async with edge_before(target) as edge:
            tracemalloc.start()
            started = time.monotonic()
            stream = await edge.send("POST", path, b"x", "Connection: close")
            async with stream:
                received, head = 0, b""
                try:
                    async for part in stream:
                        head = head or part[:200]
                        received += len(part)
                except trio.BrokenResourceError:
                    pass
            assert time.monotonic() - started < MAX_TIME_S
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            assert peak < MAX_MEMORY_BYTES
            await target.wait_closed(MAX_TIME_S)
            status = int(head.split()[1]) if head else 0
            # What has begun is broken off; a call that may have run isn't refused.
            is_rejected = kind.startswith("rejected")
            assert status in ((503,) if is_rejected else (0, 200, 502, 504))
            if status == 200:
                assert received > 0
            score = edge.router._targets._health._scores["t1"]
            assert score.failed > 0
            assert score.good == 0

    run()


OTHER_CALLS = 30
OTHER_CALLERS_WAIT_MS = 2_000


@pytest.mark.parametrize(
    "kind", [kind for kind in ENDLESS if "by" in kind or "short" in kind]
)
def test_calls_of_others_are_served_beside_endless_pieces(kind):
    """They got no answer in two seconds: each piece took as much work as an answer."""
    endless, sound = EndlessTarget(*ENDLESS[kind]), loopback_target("t2")

    @on_trio
    async def run():
        statuses = []

        async def call_endless(edge):
            stream = await edge.send("POST", "/look/a", b"x", "Connection: close")
            async with stream:
                with suppress(trio.BrokenResourceError):
                    async for _ in stream:
                        pass

        async def call_other(edge):
            with trio.move_on_after(OTHER_CALLERS_WAIT_MS / 1000):
                status, _, _ = await edge.call(
                    "POST", "/other/a", b"x", f"X-Deadline-Ms: {OTHER_CALLERS_WAIT_MS}"
                )
                statuses.append(status)

        async with edge_before(endless, sound, timeout_ms=4_000) as edge:
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(call_endless, edge)
                await trio.sleep(0.2)
                async with trio.open_nursery() as others:
                    for _ in range(OTHER_CALLS):
                        others.start_soon(call_other, edge)
                        await trio.sleep(0.02)
                nursery.cancel_scope.cancel()
        assert statuses == [200] * OTHER_CALLS

    run()
