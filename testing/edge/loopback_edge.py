"""Runs an edge router with a store and targets, all on loopback."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11
import trio

from edge.builders import KEY
from edge.builders import edge_settings
from edge.builders import wire_config
from edge.builders import wire_route
from edge.builders import wire_target
from support.loopback import read_to_end
from support.loopback import serving
from yuccafold._clock import Milliseconds
from yuccafold._clock import MonotonicClock
from yuccafold.edge import EdgeRouter
from yuccafold.edge import SocketAddress
from yuccafold.platform import HeaderTranslator
from yuccafold.platform import StoreSource
from yuccafold.platform import decode
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings
from yuccafold.standins import PlatformTarget
from yuccafold.standins import PlatformTargetSettings

ROUTES = (
    wire_route("/look/", "safe"),
    wire_route("/book/", "unsafe", max_attempts=1),
    wire_route("/chat/", "streaming", resumable=True),
    wire_route("/chat/once/", "streaming", resumable=False),
    wire_route("/tag/", "streaming", resumable=True),
    wire_route("/tag/once/", "streaming", resumable=False),
    wire_route("/short/", "unsafe", timeout_ms=150),
)


class Edge:
    """An edge router with a store and targets, all on loopback."""

    def __init__(self, store, targets, router):
        self.store = store
        self.targets = targets
        self.router = router
        self.address = ""
        self._attempts = 0

    async def send(self, method, path, body=b"", *headers, key=KEY, attempt=None):
        """Send one call on a connection of its own; return the connection."""
        self._attempts += attempt is None
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: fleet.example",
            f"X-Attempt-Id: {attempt or f'a{self._attempts}'}",
            f"Content-Length: {len(body)}",
            *([f"X-Key: {key}"] if key else []),
            *headers,
        ]
        host, _, port = self.address.partition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)
        return stream

    async def call(self, method, path, body=b"", *headers, key=KEY):
        """Make one call; return status, headers as text and the raw body."""
        stream = await self.send(
            method, path, body, *headers, "Connection: close", key=key
        )
        async with stream:
            raw = await read_to_end(stream)
        head, _, rest = raw.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.decode(), rest

    async def receive(self, method, path, body=b"", *headers, attempt=None):
        """Make one call and return its answer as a caller parses it."""
        stream = await self.send(
            method, path, body, *headers, "Connection: close", attempt=attempt
        )
        async with stream:
            return parse_answer(await read_to_end(stream), method)

    @property
    def runs(self):
        return [run for target in self.targets for run in target.runs]


@asynccontextmanager
async def running_edge(*targets, settings=None, routes=ROUTES, reachable=True):
    store = PlatformStore(PlatformStoreSettings())
    async with serving(store, *targets) as nursery:
        store.put("op/config", wire_config(*routes))
        store.refuse_with = None if reachable else 503
        for target in targets:
            store.put(f"servers/{target.id}", wire_target(target.server.address))
        address = SocketAddress.parse(store.server.address)
        values = {"platform": address, "key_lifetime": Milliseconds(1_000)}
        router = EdgeRouter(
            edge_settings(**(values | (settings or {}))),
            StoreSource(address),
            decode,
            HeaderTranslator(),
            MonotonicClock(),
            random.Random(1),
        )
        edge = Edge(store, targets, router)
        edge.address = await nursery.start(router.run)
        while reachable and not router.ready:
            await trio.sleep(0.005)
        yield edge


def target(name="t1", **changes):
    return PlatformTarget(PlatformTargetSettings(name, **changes))


@dataclass
class ReceivedAnswer:
    """An answer as a caller parses it; ``complete`` says whether its end came."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool


def parse_answer(raw, method="POST"):
    """Parse the bytes of one answer, which may break off anywhere."""
    caller = h11.Connection(h11.CLIENT)
    caller.send(h11.Request(method=method, target="/", headers=[("Host", "caller")]))
    caller.send(h11.EndOfMessage())
    if raw:
        caller.receive_data(raw)
    answer = ReceivedAnswer(0, {}, b"", False)
    while True:
        event = caller.next_event()
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            answer.body += event.data
        else:
            answer.complete = isinstance(event, h11.EndOfMessage)
            return answer
