"""Stand-ins of store, engines and clients, and the deployed routers as processes.

Only the standard library is used. Everything listens on 127.0.0.1 at free ports. What
is sent, answered and run is written to the record of the case, one line an event.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
REPOSITORY = Path(__file__).resolve().parents[1]
ROUTE_HOST = "ficu95.example"

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_extension_ms": 5000,
    "fail_closed": "true",
    "revocation_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 56,
    "recovery_s": 12,
    "pass_ms": 120,
    "again_s": 10,
    "cap_x": 2,
}
"""The bounds of the deployment langar-south."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """The record of a case: events with the time since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {event} {text}\n")
        self._file.flush()

    def say(self, event: str, **fields: Any) -> None:
        """Write one event and print it."""
        self.write(event, **fields)
        print(event, " ".join(f"{name}={value}" for name, value in fields.items()))


@dataclass
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


async def read_head(reader: asyncio.StreamReader) -> list[str] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    lines = await read_head(reader)
    if not lines:
        return None
    method, target, _ = lines[0].split(" ", 2)
    headers = parse_headers(lines[1:])
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def answer(
    status: int,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b"",
    length: bool = True,
) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers or []]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ---------------------------------------------------------------------------- store


@dataclass
class Change:
    key: str
    revision: int
    value: bytes | None

    def as_json(self, created: int) -> dict[str, Any]:
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "removed": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create_rev": created,
            "lease": 0,
        }


class Store:
    """The platform's store: linearizable, never loses what it has acknowledged."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, Change] = {}
        self.created: dict[str, int] = {}
        self.history: list[Change] = []
        self.compacted = 0
        self.revision = 1
        self.deaf_watches = False
        self.lists = 0
        self.asked_at = 0.0
        self.era: int | None = None
        self.server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._wake = asyncio.Event()
        self._watching: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen, on the same port as before after ``go_away``."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def go_away(self) -> None:
        """Refuse connections, and reset those that are open, until ``start``."""
        self.record.write("store_away")
        self.server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def copy(self) -> tuple[Any, ...]:
        """Return a copy of the state, to come back from."""
        self.record.write("store_copied", revision=self.revision)
        return dict(self.items), dict(self.created), list(self.history), self.revision

    def load(self, copy: tuple[Any, ...]) -> None:
        """Take the state of an older copy, and begin the next era."""
        self.items, self.created, self.history, self.revision = copy
        self.era += 1
        self.record.write("store_back", era=self.era, revision=self.revision)

    def put(self, key: str, value: Any) -> float:
        """Write a key; return when it was acknowledged."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        change = Change(key, self.revision, data)
        self.items[key] = change
        self.created.setdefault(key, self.revision)
        self._add(change)
        self.record.write("store_put", key=key, revision=self.revision, size=len(data))
        return self.record.now

    def remove(self, key: str) -> float:
        """Remove a key; return when it was acknowledged."""
        self.revision += 1
        self.items.pop(key)
        self.created.pop(key, None)
        self._add(Change(key, self.revision, None))
        self.record.write("store_remove", key=key, revision=self.revision)
        return self.record.now

    def forget_history(self) -> None:
        """Discard the history, and cut the watches that wait."""
        self.history.clear()
        self.compacted = self.revision
        self.record.write("store_history_dropped", revision=self.revision)
        self.cut_watches()

    def cut_watches(self) -> None:
        for writer in list(self._watching):
            writer.transport.abort()

    def wake(self) -> None:
        self._wake.set()
        self._wake = asyncio.Event()

    def _add(self, change: Change) -> None:
        self.history.append(change)
        self.wake()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, value = await self._answer(request, writer)
                headers = [("Content-Type", "application/json")]
                if self.era is not None:
                    headers.append(("Store-Era", str(self.era)))
                writer.write(answer(status, headers, json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watching.discard(writer)
            self._connections.discard(writer)
            writer.close()

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> tuple[int, dict[str, Any]]:
        from urllib.parse import parse_qs

        _, _, query_text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        await asyncio.sleep(0.004)
        if request.path == "/-/kv-range":
            return self._range(query)
        if request.path == "/-/kv-watch":
            return await self._watch(query, writer)
        if request.path == "/-/kv-key":
            change = self.items.get(query.get("key", ""))
            if change is None:
                return 404, {"as_of": self.revision}
            found = change.as_json(self.created[change.key])
            return 200, found | {"as_of": self.revision}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        self.lists += 1
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        page = [self.items[key].as_json(self.created[key]) for key in keys[:500]]
        return 200, {
            "items": page,
            "more_pages": len(keys) > 500,
            "as_of": self.revision,
        }

    async def _watch(
        self, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        wait = min(30_000, int(query.get("wait_ms", "0"))) / 1000
        until = time.monotonic() + wait
        self._watching.add(writer)
        if not wait:
            self.asked_at = self.record.now
        while True:
            if not self.compacted <= after <= self.revision:
                return 410, {}
            events = [
                change
                for change in self.history
                if change.revision > after and change.key.startswith(prefix)
            ]
            is_deaf = self.deaf_watches and wait > 0
            left = until - time.monotonic()
            if (events and not is_deaf) or left <= 0:
                break
            try:
                await asyncio.wait_for(self._wake.wait(), left)
            except asyncio.TimeoutError:
                pass
        self._watching.discard(writer)
        shown = [change.as_json(self.created.get(change.key, 0)) for change in events]
        return 200, {"events": shown, "as_of": self.revision}


# -------------------------------------------------------------------------- engines


@dataclass
class Run:
    attempt: str
    engine: str
    at: float
    tenant: str | None
    path: str
    headers: dict[str, str] = field(default_factory=dict)


class Engine:
    """An engine of a plain service, which answers after ``work_s``."""

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        work_s: float = 0.03,
        zone: str = "zone-atl",
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    @property
    def key(self) -> str:
        return f"servers/{self.name}"

    def entry(self, state: str = "ready", **fields: Any) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        } | fields

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End: close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if request.path == "/health":
                    headers = [("X-Engine-Id", self.name)]
                    writer.write(answer(200, headers, b"ok"))
                    await writer.drain()
                    continue
                attempt = request.headers.get("x-attempt-id")
                base = [("X-Attempt-Id", attempt)] if attempt else []
                expected = request.headers.get("x-expect-instance")
                if expected not in (None, self.name):
                    self.record.write("misdirected", engine=self.name, attempt=attempt)
                    headers = [*base, ("X-Engine-Id", self.name), ("X-Not-Executed", "1")]
                    writer.write(answer(421, headers))
                    await writer.drain()
                    continue
                if not await self.handle(request, base, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def note_run(self, request: Request) -> None:
        """Record that the engine began to work on a request."""
        attempt = request.headers.get("x-attempt-id", "")
        tenant = request.headers.get("x-tenant")
        run = Run(
            attempt, self.name, self.record.now, tenant, request.path, request.headers
        )
        self.runs.append(run)
        self.record.write("run", attempt=attempt, engine=self.name, tenant=tenant)

    async def handle(
        self,
        request: Request,
        base: list[tuple[str, str]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and answer it; return whether the connection is kept."""
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        body = f"{self.name} ran {request.headers.get('x-attempt-id')}".encode()
        headers = [*base, ("X-Response-Signature", "3e1b.07.5a2"), ("Keep-Alive", "timeout=5")]
        writer.write(answer(200, headers, body))
        await writer.drain()
        return True


# ------------------------------------------------------------------------------ VMs


RESERVATIONS: list[socket.socket] = []


def free_port() -> int:
    """Return a free port that no other socket gets as a free one.

    The router can listen there all the same, as both allow to reuse the address.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    RESERVATIONS.append(reservation)
    return reservation.getsockname()[1]


class Vm:
    """One machine with the deployed router, started by the line of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, store: str) -> None:
        self.record = record
        self.folder = folder
        self.name = name
        self.store = store
        self.front, self.readiness, self.control, self.metrics = (
            free_port() for _ in range(4)
        )
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def settings_path(self) -> Path:
        return self.folder / f"{self.name}.conf"

    @property
    def log_path(self) -> Path:
        return self.folder / f"{self.name}.log"

    def write_settings(self, seeds: list[str], zone: str = "zone-atl") -> None:
        listen = {
            "front": self.front,
            "readiness": self.readiness,
            "control": self.control,
        }
        lines = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": "front,control",
            "ip": HOST,
            "zone": zone,
            "region": "us-southeast",
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "limits.memory_mb": 300,
            "limits.max_file_descriptors": 4100,
            "discovery": "platform",
            "heartbeat_interval_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "platform.address": self.store,
            "platform.form": "read",
            "platform.reads_per_s": 2000,
            "platform.history_s": 20,
            "platform.value_bytes": 1048576,
        }
        lines |= {f"listen_addresses.{k}": f"{HOST}:{p}" for k, p in listen.items()}
        lines |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings_path.write_text(text)

    def start(self) -> None:
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        words = shlex.split(role["run"])
        listen = f"{HOST}:{self.front},{HOST}:{self.readiness},{HOST}:{self.control}"
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        } | {
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "YUCCAFOLD_SETTINGS": str(self.settings_path),
            "YUCCAFOLD_LISTEN": listen,
            "YUCCAFOLD_METRICS_PORT": str(self.metrics),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("vm_started", vm=self.name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.write("signal", vm=self.name, signal=number.name)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        if self.is_running:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            lines = await asyncio.wait_for(read_head(reader), 1.0)
            return bool(lines) and " 200 " in lines[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


# -------------------------------------------------------------------------- clients


@dataclass
class Answer:
    """What a client got; ``status`` is 0 if the connection ended without an answer."""

    attempt: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0


class Client:
    """A client that keeps a connection for many requests, or opens one for each."""

    def __init__(self, record: Record, vm: Vm, host: str = ROUTE_HOST) -> None:
        self.record = record
        self.vm = vm
        self.host = host
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self,
        method: str,
        path: str,
        key: str | None,
        deadline_ms: int = 1500,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
        keep: bool = False,
        attempt: str | None = None,
    ) -> Answer:
        """Send a request and return its answer; waits a second past the deadline."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        result = Answer(attempt, 0, sent_at=self.record.now)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}"]
        lines.append(f"X-Attempt-Id: {attempt}")
        lines.append(f"X-Deadline-Ms: {deadline_ms}")
        if key is not None:
            lines.append(f"X-Key: {key}")
        lines += [f"{name}: {value}" for name, value in headers or []]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        HOST, self.vm.front
                    )
                result.sent_at = self.record.now
                self.record.write(
                    "sent", attempt=attempt, vm=self.vm.name, path=path, key=key
                )
                self.writer.write(data)
                await self.writer.drain()
                await self._receive(result, method)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        result.ended_at = self.record.now
        self.record.write(
            "answered",
            attempt=attempt,
            vm=self.vm.name,
            status=result.status,
            whole=result.whole,
            body=result.body[:60],
        )
        is_last = result.headers.get("connection", "").lower() == "close"
        if not keep or not result.whole or is_last:
            self.close()
        return result

    async def _receive(self, result: Answer, method: str) -> None:
        lines = await read_head(self.reader)
        while lines and lines[0].split(" ")[1] == "100":
            lines = await read_head(self.reader)
        if not lines:
            return
        result.status = int(lines[0].split(" ")[1])
        result.headers = parse_headers(lines[1:])
        if "chunked" in result.headers.get("transfer-encoding", ""):
            while True:
                line = (await self.reader.readline()).strip()
                if not line:
                    return
                size = int(line, 16)
                chunk = await self.reader.readexactly(size) if size else b""
                result.body += chunk
                await self.reader.readline()
                if not size:
                    break
        else:
            length = int(result.headers.get("content-length", "0"))
            result.body = await self.reader.readexactly(length) if length else b""
        result.whole = True


# ---------------------------------------------------------------------------- fleet


@dataclass
class Route:
    name: str
    prefix: str
    kind: str
    service: str
    max_attempts: int = 2
    timeout_ms: int = 1500
    target_latency_ms: int = 200
    host: str = ROUTE_HOST
    extra: dict[str, Any] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "host": self.host,
            "prefix": self.prefix,
            "kind": self.kind,
            "timeout_ms": self.timeout_ms,
            "target_latency_ms": self.target_latency_ms,
            "priority": 2,
            "service": self.service,
            "max_attempts": self.max_attempts,
            "public": False,
        } | self.extra


def configuration(
    version: int, routes: list[Route], tenants: dict[str, list[str]], **limits: int
) -> dict[str, Any]:
    services = sorted({route.service for route in routes})
    return {
        "version": version,
        "routes": [route.as_json() for route in routes],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        | limits,
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1}
            for name, keys in tenants.items()
        ],
    }


class Fleet:
    """The routers of a case; ends them, and only them, at the end of the case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.vms: list[Vm] = []

    def add(self, name: str, store_port: int) -> Vm:
        vm = Vm(self.record, self.folder, name, f"{HOST}:{store_port}")
        self.vms.append(vm)
        return vm

    def start(self, seeds: list[Vm]) -> None:
        addresses = [f"{HOST}:{seed.control}" for seed in seeds]
        for vm in self.vms:
            vm.write_settings(addresses)
        for vm in self.vms:
            vm.start()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        until = time.monotonic() + timeout_s
        for vm in self.vms:
            while not await vm.is_ready():
                if time.monotonic() > until or not vm.is_running:
                    raise CannotRunError(f"{vm.name} is not ready")
                await asyncio.sleep(0.1)
            if not vm.is_running:
                raise CannotRunError(f"{vm.name} has ended")

    def close(self) -> None:
        for vm in self.vms:
            vm.kill()


def run_case(folder: Path, main: Any) -> None:
    """Run ``main(record, fleet)``, which returns whether the rule held; exit by it."""
    record = Record(folder / "record.txt")
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    # So that the routers are ended, too, if the case is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    logs = os.environ.get("LOGS")
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(record, Path(logs or temporary))
        try:
            held = asyncio.run(_limited(main, record, fleet))
        except (CannotRunError, OSError, asyncio.TimeoutError) as error:
            record.say("cannot_run", error=repr(error))
            fleet.close()
            sys.exit(2)
        finally:
            fleet.close()
    record.say("result", rule="held" if held else "broken", trouble=TROUBLE)
    sys.exit(0 if held else 1)


async def _limited(main: Any, record: Record, fleet: Fleet) -> bool:
    async with asyncio.timeout(110):
        return await main(record, fleet)
