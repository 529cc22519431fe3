"""A scripted target and a simple caller for tests over real sockets."""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager

import h11
import trio

from yuccafold.router import Router
from yuccafold.settings import ClaimSettings
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SlotSettings

KEY = "secret"
TREE = """\
revision: {revision}
defaults: {{first_byte_timeout_ms: 500, connect_timeout_ms: 500,
  continue_timeout_ms: 300, stream_gap_timeout_ms: 500}}
services:
  chat:
    kind: model
    paths: [/v1]
    targets: [{targets}]
  desk:
    kind: plain
    paths: [/desk]
    targets: [{targets2}]
    routes:
      - {{method: POST, path: /desk/search, idempotent: true}}
accounts:
  acme:
    keys: [{digest}]
"""


class Target:
    """A target that runs ``script`` for each connection and records its requests."""

    def __init__(self, script: Callable[[Target, trio.SocketStream], Awaitable[None]]):
        self.script = script
        self.requests: list[tuple[h11.Request, bytes]] = []
        self.connections = 0
        self.address = ""

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        await trio.serve_listeners(self._connection, listeners, task_status=task_status)

    async def _connection(self, stream):
        self.connections += 1
        try:
            await self.script(self, stream)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)


async def read_request(target, stream, http):
    """Read one complete request; return ``None`` if the connection ends first."""
    head, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            if http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await stream.send_all(http.send(continue_response))
            http.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            target.requests.append((head, body))
            return head, body
        else:
            return None


async def echo(target, stream):
    """Answer every request with its path and body."""
    http = h11.Connection(h11.SERVER)
    while (request := await read_request(target, stream, http)) is not None:
        head, body = request
        content = json.dumps(
            {"path": head.target.decode(), "body": body.decode()}
        ).encode()
        answer = h11.Response(
            status_code=200, headers=[("Content-Length", str(len(content)))]
        )
        data = http.send(answer) + http.send(h11.Data(data=content))
        await stream.send_all(data + http.send(h11.EndOfMessage()))
        http.start_next_cycle()


async def stream_events(target, stream):
    """Answer with two events and the one that ends a stream."""
    http = h11.Connection(h11.SERVER)
    while await read_request(target, stream, http) is not None:
        head = h11.Response(
            status_code=200, headers=[("Content-Type", "text/event-stream")]
        )
        await stream.send_all(http.send(head))
        for event in (b"data: 1\n\n", b"data: 2\n\n", b"data: [DONE]\n\n"):
            await stream.send_all(http.send(h11.Data(data=event)))
        await stream.send_all(http.send(h11.EndOfMessage()))
        http.start_next_cycle()


class Caller:
    """A caller with one connection to a router."""

    def __init__(self, stream):
        self.stream = stream

    async def send(self, data: bytes):
        await self.stream.send_all(data)

    async def call(self, method, path, body=b"", headers=(), key=KEY):
        http = h11.Connection(h11.CLIENT)
        auth = [("Authorization", f"Bearer {key}")] if key else []
        sent = [("Host", "x"), *auth, ("Content-Length", str(len(body))), *headers]
        request = h11.Request(method=method, target=path, headers=sent)
        data = http.send(request) + http.send(h11.Data(data=body))
        await self.stream.send_all(data + http.send(h11.EndOfMessage()))
        return await self.read_answer(http)

    async def read_answer(self, http=None):
        """Return status, headers, body and whether the body ended cleanly."""
        http = http or _awaiting_answer()
        status, headers, body = 0, {}, b""
        while True:
            try:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await self.stream.receive_some(65536))
                    continue
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return status, headers, body, False
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return status, headers, body, True
            elif isinstance(event, h11.ConnectionClosed):
                return status, headers, body, False


def _awaiting_answer():
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    http.send(h11.EndOfMessage())
    return http


def tree(targets, revision=1, **changes):
    """Return a settings tree in which both services use ``targets``."""

    def listed(prefix):
        return ", ".join(
            f'{{id: {prefix}{number}, address: "{target.address}", zone: a}}'
            for number, target in enumerate(targets)
        )

    text = TREE.format(
        revision=revision,
        targets=listed("t"),
        targets2=listed("p"),
        digest=hashlib.sha256(KEY.encode()).hexdigest(),
    )
    for old, new in changes.items():
        text = text.replace(old, new)
    return text


def process(**changes):
    """Return process settings that listen on free ports."""
    local = "127.0.0.1:0"
    settings = ProcessSettings(
        vm="vm-1",
        zone="a",
        region="r",
        listen=local,
        operator=local,
        peer=local,
        drain_notice_ms=0,
        claims=ClaimSettings(
            first_start_unix_ms=time.time_ns() // 1_000_000, first_start_window_ms=50
        ),
        slots=SlotSettings(floor_lease_ms=50, list_lag_ms=50),
    )
    return settings.model_copy(update=changes)


@asynccontextmanager
async def fleet(*scripts, edit=lambda tree: tree, **changes):
    """Run a router in front of one target for each of ``scripts``."""
    targets = [Target(script) for script in scripts]
    async with trio.open_nursery() as nursery:
        for target in targets:
            await nursery.start(target.serve)
        router = Router(process(**changes), edit(tree(targets)), seed=1)
        addresses = await nursery.start(router.serve)
        await router.state.became_ready.wait()
        yield router, addresses, targets
        router.kill()
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def caller(address):
    """Open one connection to ``address``."""
    host, port = address.rsplit(":", 1)
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        yield Caller(stream)
