"""Runs a router as a process on loopback, on a small machine, and crowds of clients."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import pytest
import trio

from edge.builders import KEY
from edge.builders import wire_config
from edge.builders import wire_route
from edge.builders import wire_target
from edge.loopback_edge import parse_answer
from support.loopback import read_to_end
from support.loopback import serving
from yuccafold.soak import EdgeProcess
from yuccafold.soak import SoakSettings
from yuccafold.soak._process import HOST
from yuccafold.soak._process import reserve_port
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings
from yuccafold.standins import PlatformTarget
from yuccafold.standins import PlatformTargetSettings
from yuccafold.standins import Relay

KB = 1_024
MAX_BODY = 4 * KB * KB
MAX_HEAD = 16 * KB
HEAD_TIMEOUT_MS = 500
GRACE_MS = 3_000

KEY_LIFETIME_MS = 300
"""For how long a VM accepts keys that nobody confirms to it. One whose tasks wait for
their turn longer than that refuses every call with a key."""

MEMORY_MB = 120
"""The memory of the VM's machine, by its settings file."""

MAX_DESCRIPTORS = 400
DESCRIPTORS_OF_FILES = 200
"""Descriptors of the machine that sockets and pipes can't have."""

MAX_CALLERS = 60
"""Caller connections that the VM holds open at once, by its settings file."""

ROUTES = (
    wire_route("/look/", "safe"),
    wire_route("/echo/", "safe", service="echo", timeout_ms=60_000),
    wire_route("/chat/", "streaming", service="chat", timeout_ms=60_000),
)

ANSWER_GUARD_S = 25.0
"""Only so that a process that hangs doesn't hang the test."""

TRY_PAUSE_S = 0.5
START_GUARD_S = 30.0
SETTLE_S = 2.5
"""How long an ordinary call waits for a crowd that hasn't sent all it has."""

RECONNECT_PAUSE_S = 0.1
SAMPLE_PAUSE_S = 0.1

Pieces = Callable[[], Iterable[bytes]]
"""Returns what one client sends, piece by piece; it may have no end."""


def request_head(path, *headers, key=KEY):
    """Return the head of a POST request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: fleet.example",
        f"X-Attempt-Id: a{next(_attempts)}",
        "X-Deadline-Ms: 60000",
        *([f"X-Key: {key}"] if key else []),
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


_attempts = count(1)


def chunk(data, extension=b""):
    """Return one chunk of a chunked body."""
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


@dataclass(frozen=True)
class Outcome:
    """What is left of a VM after a crowd, and what callers beside it got."""

    same_process: bool
    peak_mb: float
    most_descriptors: int
    most_sockets: int
    answered_beside: bool
    answered_afterwards: bool

    def check(self):
        """Check what must hold whatever clients do."""
        print(self)
        assert self.same_process, self
        assert self.answered_beside, self
        assert self.answered_afterwards, self
        assert self.peak_mb <= MEMORY_MB, self
        assert self.most_descriptors <= MAX_DESCRIPTORS, self
        assert self.most_sockets <= MAX_DESCRIPTORS - DESCRIPTORS_OF_FILES, self


class CrowdVm:
    """One router process with a store and targets, all on loopback."""

    def __init__(self, process, readiness, metrics):
        self.process = process
        self.callers = process.caller_address
        host, _, port = process.control_address.rpartition(":")
        self.control = (host, int(port))
        self.readiness = readiness
        self.metrics = metrics
        self._pid = process.pid
        self._most_descriptors = 0
        self._most_sockets = 0

    @property
    def lives(self):
        return not self.process.has_exited() and self.process.pid == self._pid

    @property
    def peak_mb(self):
        """The most memory that the process had, 0 if it has ended."""
        status = Path(f"/proc/{self._pid}/status")
        with suppress(OSError):
            for line in status.read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / KB
        return 0.0

    async def watch(self):
        """Record the most descriptors that the process has open."""
        while True:
            self._count_descriptors()
            await trio.sleep(SAMPLE_PAUSE_S)

    def _count_descriptors(self):
        with suppress(OSError):
            links = self._descriptors()
            self._most_descriptors = max(self._most_descriptors, len(links))
            sockets = sum(not link.startswith("/") for link in links)
            self._most_sockets = max(self._most_sockets, sockets)

    def _descriptors(self):
        links = []
        for descriptor in Path(f"/proc/{self._pid}/fd").iterdir():
            with suppress(FileNotFoundError):
                links.append(os.readlink(descriptor))
        return links

    async def wait_until_ready(self):
        with trio.fail_after(START_GUARD_S):
            while b" 200 " not in await self._readiness_page():
                await trio.sleep(0.05)

    async def _readiness_page(self):
        request = b"GET /-/readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n"
        with suppress(OSError):
            async with await trio.open_tcp_stream(*self.readiness) as stream:
                await stream.send_all(request)
                return (await read_to_end(stream))[:20]
        return b""

    async def serves(self, guard_s=ANSWER_GUARD_S):
        """Return whether an ordinary call is answered.

        Callers come again on new connections, as they do after a refusal.
        """
        answered = False

        async def try_once(scope):
            nonlocal answered
            body = b"hello"
            head = request_head(
                "/look/item", "Connection: close", f"Content-Length: {len(body)}"
            )
            answer = await exchange(self.callers, [head + body])
            if answer.status == 200 and answer.complete and answer.body == body:
                answered = True
                scope.cancel()

        with trio.move_on_after(guard_s):
            async with trio.open_nursery() as nursery:
                while self.lives:
                    nursery.start_soon(try_once, nursery.cancel_scope)
                    await trio.sleep(TRY_PAUSE_S)
                nursery.cancel_scope.cancel()
        self._count_descriptors()
        return answered

    async def outcome(self, answered_beside):
        """Return the outcome of a crowd that has left."""
        answered_afterwards = answered_beside and await self.serves()
        return Outcome(
            self.lives,
            self.peak_mb,
            self._most_descriptors,
            self._most_sockets,
            answered_beside,
            answered_afterwards,
        )


async def exchange(address, pieces, pause_s=0.0):
    """Make one call on a new connection; return its answer as a caller parses it."""
    raw = b""
    with suppress(OSError, trio.BrokenResourceError):
        async with await trio.open_tcp_stream(*address) as stream:
            with suppress(OSError, trio.BrokenResourceError):
                for piece in pieces:
                    await stream.send_all(piece)
                    await trio.sleep(pause_s)
            raw = await read_to_end(stream)
    return parse_answer(raw)


@dataclass(frozen=True)
class Crowd:
    """Clients that each send the same and stay open.

    ``pause_s`` is how long they wait between two pieces, so that the stand-ins, which
    run in the same process, have their turn. Those with ``comes_again``
    connect anew when their connection is closed.
    """

    clients: int
    pieces: Pieces
    reads: bool = False
    pause_s: float = 0.03
    receive_buffer: int | None = None
    comes_again: bool = False

    @asynccontextmanager
    async def connected(self, address):
        """Connect and send; go on once all was sent, at the latest after a while."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(SETTLE_S):
                async with trio.open_nursery() as senders:
                    for _ in range(self.clients):
                        sent = trio.Event()
                        nursery.start_soon(self._run, address, sent)
                        senders.start_soon(sent.wait)
            yield
            nursery.cancel_scope.cancel()

    async def _run(self, address, sent):
        while True:
            await self._send(address, sent)
            if not self.comes_again:
                await trio.sleep_forever()
            await trio.sleep(RECONNECT_PAUSE_S)

    async def _send(self, address, sent):
        """Send all and stay open; return when the other side closes meanwhile."""
        with trio.socket.socket() as client:
            if self.receive_buffer is not None:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
                )
            stream = trio.SocketStream(client)
            async with trio.open_nursery() as nursery:
                with suppress(OSError, trio.BrokenResourceError):
                    await client.connect(address)
                    if self.reads:
                        nursery.start_soon(_discard, stream)
                    for piece in self.pieces():
                        await stream.send_all(piece)
                        await trio.sleep(self.pause_s)
                    sent.set()
                    await trio.sleep_forever()
                sent.set()
                nursery.cancel_scope.cancel()


async def _discard(stream):
    with suppress(OSError, trio.BrokenResourceError):
        while await stream.receive_some(KB * KB):
            pass


@asynccontextmanager
async def running_vm(folder, key_lifetime_ms=KEY_LIFETIME_MS):
    """Run a VM beside a seed from which it gets its view of the store.

    Yields the VM that is no seed.
    """
    store = PlatformStore(PlatformStoreSettings())
    targets = {
        "desk": PlatformTarget(PlatformTargetSettings("t1")),
        "echo": PlatformTarget(PlatformTargetSettings("t2")),
        "chat": PlatformTarget(PlatformTargetSettings("t3", event_pause_ms=15_000)),
    }
    async with AsyncExitStack() as stack:
        processes = [
            EdgeProcess(n, SoakSettings(grace_ms=GRACE_MS), folder) for n in (1, 2)
        ]
        for process in processes:
            stack.callback(process.close)
        nursery = await stack.enter_async_context(serving(store, *targets.values()))
        store.put("op/config", _configuration())
        for service, target in targets.items():
            entry = wire_target(target.server.address, service=service, slots=400)
            store.put(f"servers/{target.id}", entry)
        relay = Relay(store.server.address)
        await nursery.start(relay.serve)
        vms = []
        for process in processes:
            process.relay = relay
            process.write_settings([processes[0].control_address])
            ports = [stack.enter_context(reserve_port()) for _ in range(2)]
            readiness, metrics = (port.getsockname() for port in ports)
            more = {
                "listen_addresses.readiness": f"{HOST}:{readiness[1]}",
                "bounds.revocation_ms": key_lifetime_ms,
                "limits.memory_mb": MEMORY_MB,
                "limits.max_file_descriptors": MAX_DESCRIPTORS,
                "callers.connections": MAX_CALLERS,
            }
            with (folder / f"{process.name}.conf").open("a") as conf:
                conf.writelines(f"{name}={value}\n" for name, value in more.items())
            with pytest.MonkeyPatch.context() as environment:
                environment.setenv("YUCCAFOLD_METRICS_PORT", str(metrics[1]))
                process.start()
            vms.append(CrowdVm(process, readiness, metrics))
            await vms[-1].wait_until_ready()
        nursery.start_soon(vms[-1].watch)
        yield vms[-1]


def _configuration():
    value = wire_config(*ROUTES)
    limits = {
        "max_header_bytes": MAX_HEAD,
        "max_body_bytes": MAX_BODY,
        "header_timeout_ms": HEAD_TIMEOUT_MS,
        "idle_timeout_ms": 15_000,
    }
    return json.dumps(json.loads(value) | {"limits": limits}).encode()
