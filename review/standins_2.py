"""Stand-ins for the platform's store, engines and clients, and router processes.

Used by the cases 6 to 10. Only the standard library is needed. The stand-ins run in
one asyncio process. The routers are processes of their own, started with the command
of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
CLIENT_HOST = "fleet.example"
LONGEST_RUN_S = 112
PAGE_ITEMS = 500
STORE_DELAY_S = 0.004
HISTORY_S = 20.0
"""How long the store remembers changes: ``platform.history_s`` of the settings."""
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"

Headers = list[tuple[str, str]]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()


class Request:
    """A request that a stand-in received."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The attempt id."""
        return self.headers.get("x-attempt-id", "")

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The first value of each field of the query."""
        fields = parse_qs(urlsplit(self.target).query)
        return {name: values[0] for name, values in fields.items()}


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return the headers by lower-case name."""
    pairs = (line.partition(":") for line in lines if ":" in line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = parse_headers(lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = f"HTTP/1.1 {status} Status\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Store:
    """The platform's metadata store: linearizable lists and watches.

    While ``away`` is set, its connections break off without an answer.
    """

    def __init__(self) -> None:
        self.port = 0
        self.era = 1
        self.away = False
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[str, int, bytes | None, float]] = []
        self._forgotten = 0
        self._revision = 10
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, value: object) -> None:
        """Write a key as JSON."""
        data = json.dumps(value).encode()
        self._revision += 1
        self._items[key] = (self._revision, data)
        self._note(key, data)

    def copy(self) -> tuple[dict, list, int]:
        """Return a copy of the present state."""
        return dict(self._items), list(self._history), self._revision

    def return_from(self, copy: tuple[dict, list, int]) -> None:
        """Come back in the next era from a copy: what was written since is lost."""
        items, history, self._revision = copy
        self._items, self._history = dict(items), list(history)
        self._forgotten = min(self._forgotten, self._revision)
        self.era += 1
        self.away = False

    def _note(self, key: str, value: bytes | None) -> None:
        self._history.append((key, self._revision, value, time.monotonic()))
        self._changed.set()
        self._changed = asyncio.Event()

    def _forget(self) -> None:
        """Drop the changes that are older than the history."""
        oldest = time.monotonic() - HISTORY_S
        while self._history and self._history[0][3] < oldest:
            self._forgotten = self._history.pop(0)[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                status, value = await self._answer(request)
                await asyncio.sleep(STORE_DELAY_S)
                if self.away:
                    break
                era = [("Store-Era", str(self.era))]
                writer.write(response(status, era, json.dumps(value).encode()))
                await writer.drain()
        reset(writer)

    async def _answer(self, request: Request) -> tuple[int, dict]:
        query = request.query
        prefix = query.get("prefix", "")
        if request.path == "/-/kv-range":
            return 200, self._page(prefix, query.get("after", ""))
        if request.path != "/-/kv-watch":
            return 404, {"error": "unknown call"}
        after = int(query.get("after", "0"))
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        self._forget()
        while self._forgotten <= after <= self._revision:
            events = [
                _item(*change[:3])
                for change in self._history
                if change[1] > after and change[0].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self._revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return 410, {"error": "the store has no history of this revision"}

    def _page(self, prefix: str, after: str) -> dict:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        items = [_item(key, *self._items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": items, "more_pages": more, "as_of": self._revision}


def _item(key: str, revision: int, value: bytes | None) -> dict:
    if value is None:
        return {"key": key, "revision": revision, "removed": True}
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "create_rev": revision,
        "lease": 0,
    }


class Engine:
    """An engine; it rejects requests that expect another one.

    ``runs`` holds each request that it began to run, with the time. ``answer`` writes
    the answer and may be replaced. It drops a request when its connection closes.
    """

    def __init__(
        self, record: Record, id: str, service: str, work_s: float = 0.03
    ) -> None:
        self.record = record
        self.id = id
        self.service = service
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.port = 0
        self.runs: list[tuple[float, Request]] = []
        self.answer = self._answer_plain
        self._work_s = work_s
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def entry(self) -> dict:
        """Return what the engine writes about itself into the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    def headers(self, request: Request) -> Headers:
        """Return the headers of an answer to a request that ran."""
        return [
            ("X-Attempt-Id", request.id),
            ("X-Response-Signature", f"{self.id}.{request.id}"),
            ("Keep-Alive", "timeout=20"),
        ]

    async def start(self) -> None:
        """Listen, after a crash on the same port and as a new start."""
        if self.port:
            self.born = int(time.time() * 1000)
            self._sequence = 0
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.record.write("engine_up", engine=self.id, service=self.service)

    def crash(self) -> None:
        """End at once: the listener is closed and all connections are reset."""
        if self._server is None:
            return
        self.record.write("engine_crashed", engine=self.id)
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                expected = request.headers.get("x-expect-instance", self.id)
                if expected != self.id:
                    refusal = [("X-Attempt-Id", request.id), ("X-Not-Executed", "1")]
                    writer.write(response(421, refusal))
                elif request.path == "/health":
                    writer.write(response(200, [("X-Engine-Id", self.id)]))
                else:
                    self.runs.append((self.record.now(), request))
                    self.record.write(
                        "run", id=request.id, engine=self.id, service=self.service
                    )
                    await self.answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_plain(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self._work_s)
        body = f"{self.service} answers {request.id} ".encode().ljust(800, b".")
        writer.write(response(200, self.headers(request), body))


def start_stream(engine: Engine, request: Request) -> bytes:
    """Return the head of an event stream in chunks."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in engine.headers(request))
    framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    return f"HTTP/1.1 200 OK\r\n{lines}{framing}".encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body; an empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def service(name: str) -> dict:
    """Return the configuration of a service."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 370,
        "engine": {"slots": 64, "kv_cache_tokens": 589_131},
    }


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return the configuration of a route."""
    return {
        "name": name,
        "host": CLIENT_HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 1_500,
        "target_latency_ms": 200,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
        **more,
    }


def configuration(
    version: int, routes: list[dict], services: list[str], keys: list[str]
) -> dict:
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [service(name) for name in services],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 30_000,
        },
        "tenants": [{"name": "acme", "api_keys": keys, "priority": 1}],
    }


class Router:
    """One router process, on loopback ports of its own."""

    def __init__(self, fleet: Fleet, number: int, ports: list[int]) -> None:
        self.name = f"front-{number}"
        self._fleet = fleet
        names = ("front", "readiness", "control", "metrics")
        self._ports = dict(zip(names, ports, strict=True))
        self._process: subprocess.Popen | None = None

    @property
    def port(self) -> int:
        """The port for clients."""
        return self._ports["front"]

    @property
    def control(self) -> str:
        """The address for other machines."""
        return f"{HOST}:{self._ports['control']}"

    def _listen_addresses(self) -> dict[str, str]:
        names = ("front", "readiness", "control")
        return {name: f"{HOST}:{self._ports[name]}" for name in names}

    def write_settings(self) -> Path:
        """Write the settings file in the platform's format."""
        listen = self._listen_addresses()
        fields = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": "front,control",
            "ip": HOST,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            **{f"listen_addresses.{name}": listen[name] for name in listen},
            "seeds": ",".join(self._fleet.seeds),
            "bootstrap": "true",
            "limits.memory_mb": 300,
            "limits.max_file_descriptors": 4_100,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": 1_200,
            "bounds.seed_lag_s": 3,
            "bounds.reuse_after_s": 2,
            "bounds.contact_ms": 3_000,
            "bounds.ack_timeout_ms": 4_000,
            "bounds.catch_up_s": 4,
            "bounds.drain_timeout_ms": 2_000,
            "bounds.grace_period_s": 8,
            "bounds.loss_slack_ms": 200,
            "bounds.config_apply_ms": 2_000,
            "bounds.rollback_slack_ms": 250,
            "bounds.max_extension_ms": 5_000,
            "bounds.fail_closed": "true",
            "bounds.revocation_ms": 5_000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_window_s": 10,
            "bounds.retry_budget_slack": 56,
            "bounds.recovery_s": 12,
            "bounds.pass_ms": 120,
            "bounds.again_s": 10,
            "bounds.cap_x": 2,
            "platform.address": f"{HOST}:{self._fleet.store.port}",
            "platform.form": "read",
            "platform.reads_per_s": 2_000,
            "platform.history_s": 20,
            "platform.value_bytes": 1_048_576,
        }
        path = self._fleet.folder / f"{self.name}.conf"
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        path.write_text(text, encoding="utf-8")
        return path

    def start(self) -> None:
        """Start the process with the command and variables of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "YUCCAFOLD_SETTINGS": str(self.write_settings()),
            "YUCCAFOLD_LISTEN": ",".join(self._listen_addresses().values()),
            "YUCCAFOLD_METRICS_PORT": str(self._ports["metrics"]),
        }
        with (self._fleet.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._fleet.record.write("router_started", router=self.name)

    async def is_ready(self) -> bool:
        """Return whether the readiness page answers 200."""
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await call(
                    self._ports["readiness"], "GET", "/-/readiness", {}
                )
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self._fleet.record.write("router_killed", router=self.name)
        self.end()

    def end(self) -> None:
        """End the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Fleet:
    """Router processes of which the first three are seeds."""

    def __init__(self, record: Record, store: Store, folder: Path, count: int) -> None:
        self.record = record
        self.store = store
        self.folder = folder
        ports = _free_ports(count * 4)
        self.routers = [
            Router(self, number, ports[4 * number : 4 * number + 4])
            for number in range(count)
        ]
        self.seeds = [router.control for router in self.routers[:3]]

    async def start(self) -> None:
        """Start all processes, and wait until they are ready and in touch."""
        for router in self.routers:
            router.start()
        async with asyncio.timeout(20):
            for router in self.routers:
                while not await router.is_ready():
                    await asyncio.sleep(0.1)
        # A machine is in touch once it has run for ``contact_ms``.
        await asyncio.sleep(3.2)

    def end(self) -> None:
        """End all processes that still run."""
        for router in self.routers:
            router.end()


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Connection:
    """A client's connection, which it may keep for several requests."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, headers: dict[str, object], body: bytes = b""
    ) -> None:
        """Send a request; a new connection is opened within a second."""
        if self._writer is None:
            async with asyncio.timeout(1.0):
                opened = await asyncio.open_connection(HOST, self._port)
            self._reader, self._writer = opened
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if method == "POST":
            lines += f"Content-Length: {len(body)}\r\n"
        head = f"{method} {path} HTTP/1.1\r\nHost: {CLIENT_HOST}\r\n{lines}\r\n"
        self._writer.write(head.encode("latin-1") + body)
        await self._writer.drain()

    async def head(self) -> tuple[int, dict[str, str]]:
        """Return the status and headers of the answer."""
        text = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = text.decode("latin-1").split("\r\n")
        return int(first.split(" ")[1]), parse_headers(lines)

    async def pieces(self, headers: dict[str, str]) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; raises ``EOFError`` if it breaks off."""
        if "content-length" in headers:
            yield await self._reader.readexactly(int(headers["content-length"]))
            return
        while True:
            size = int(await self._line(), 16)
            if size:
                yield await self._reader.readexactly(size)
            await self._line()
            if not size:
                return

    async def _line(self) -> bytes:
        line = await self._reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("the answer breaks off")
        return line

    async def call(
        self, method: str, path: str, headers: dict[str, object], body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return its whole answer."""
        await self.send(method, path, headers, body)
        status, answer = await self.head()
        data = b"".join([piece async for piece in self.pieces(answer)])
        if answer.get("connection", "").lower() == "close":
            self.close()
        return status, answer, data

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def call(
    port: int, method: str, path: str, headers: dict[str, object], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Make one call on a connection of its own."""
    connection = Connection(port)
    try:
        return await connection.call(method, path, headers, body)
    finally:
        connection.close()


CALL_ERRORS = (OSError, EOFError, TimeoutError)
"""What a client sees if there is no whole answer in time."""

Case = Callable[[Record, Fleet, Store, bool], Awaitable[bool]]


def run_case(folder: Path, routers: int, case: Case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    With ``TROUBLE=0`` the case is told to leave out its disruption.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        is_broken = asyncio.run(_run(record, scratch, routers, case, trouble))
        record.write("result", trouble=trouble, rule_broken=is_broken)
        print("rule broken" if is_broken else "rule held")
        code = 1 if is_broken else 0
    except BaseException as error:
        record.write("could_not_run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    sys.stderr.flush()
    # Without the destructors of connections that are still open.
    os._exit(code)


async def _run(
    record: Record, scratch: Path, routers: int, case: Case, trouble: bool
) -> bool:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    store = Store()
    await store.start()
    fleet = Fleet(record, store, scratch, routers)
    try:
        async with asyncio.timeout(LONGEST_RUN_S):
            return await case(record, fleet, store, trouble)
    finally:
        fleet.end()
