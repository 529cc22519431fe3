"""Stand-ins of the platform's store and of servers, and the router's processes.

Only the standard library is used. Everything listens on 127.0.0.1 with free ports.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = Path(os.environ.get("RIG_ROOT") or Path(__file__).resolve().parent.parent)
HOST = "127.0.0.1"
HISTORY_S = 20
STARTED = time.monotonic()


FIRST_PORT, LAST_PORT = 15_000, 31_999
"""Below the ports that the kernel gives to outgoing connections."""

_given: set[int] = set()


def free_port() -> int:
    """Return a port that nothing listens on."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given.add(port)
        return port


class Record:
    """The lines of ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f"{time.monotonic() - STARTED:8.3f} {text}"
        print(line, file=self._file, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its headers by lower-case name."""
    first = (await reader.readline()).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while first:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message that states a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: linearizable reads, watches, and one revision counter."""

    def __init__(self) -> None:
        self.port = 0
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self._written_at: list[float] = []
        self._forgotten = 0
        self._changed = asyncio.Condition()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, key: str, value: dict | None) -> int:
        """Write or remove an item; the return is the acknowledgement."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            known = self.items.get(key)
            event = {
                "key": key,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision,
                "create_rev": known["create_rev"] if known else self.revision,
                "lease": 0,
            }
            self.items[key] = event
        self.events.append(event)
        self._written_at.append(time.monotonic())
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, _ = await read_head(reader)
                if not first:
                    break
                status, answer = await self._answer(first.split()[1])
                await asyncio.sleep(0.004)
                body = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/-/kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            return 200, {"items": items, "more_pages": False, "as_of": self.revision}
        if parts.path == "/-/kv-watch":
            after = int(query.get("after", "0"))
            self._forget()
            if after < self._forgotten:
                return 410, {"as_of": self.revision}
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000

            def events() -> list[dict]:
                return [
                    event
                    for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]

            async with self._changed:
                while not events() and (left := until - time.monotonic()) > 0:
                    try:
                        await asyncio.wait_for(self._changed.wait(), left)
                    except TimeoutError:
                        break
            return 200, {"events": events(), "as_of": self.revision}
        return 404, {"as_of": self.revision}

    def forget_history(self) -> None:
        """Discard all of the history, sooner than ``history_s``."""
        self.events.clear()
        self._written_at.clear()
        self._forgotten = self.revision

    def _forget(self) -> None:
        """Drop the history that is older than the settings' ``history_s``."""
        while self.events and time.monotonic() - self._written_at[0] > HISTORY_S:
            self._forgotten = self.events.pop(0)["revision"]
            self._written_at.pop(0)


class Server:
    """A server of one service. ``respond`` writes the answer to one request."""

    def __init__(self, id: str, service: str, record: Record, respond) -> None:
        self.id, self.service = id, service
        self.runs: list[str] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self._record = record
        self._respond = respond
        self.port = 0
        self.version = "v1"
        self.born = int(time.time() * 1000) - 60_000

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End the process of the server: its connections and its listener close."""
        self._server.close()
        for writer in list(self.connections):
            writer.close()

    def entry(self, state: str = "ready", slots: int = 64) -> dict:
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                if not first:
                    break
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                if target == "/health":
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Engine-Id: "
                        + self.id.encode()
                        + b"\r\n\r\n"
                    )
                    await writer.drain()
                    continue
                if headers.get("x-expect-instance", self.id) != self.id:
                    attempt = headers.get("x-attempt-id", "")
                    writer.write(
                        "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                        f"X-Attempt-Id: {attempt}\r\nX-Engine-Id: {self.id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    await writer.drain()
                    continue
                if not await self._respond(self, method, target, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def run(self, headers: dict[str, str], note: str = "") -> str:
        """Record that a request runs; return its id."""
        attempt = headers.get("x-attempt-id", "-")
        self.runs.append(attempt)
        self._record.add(f"server {self.id} runs {attempt} {note}".rstrip())
        return attempt


class Link:
    """A way to ``target`` that can be cut: nothing passes then, and nothing is closed."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._open = asyncio.Event()
        self._open.set()
        self.port = 0

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        self.port = free_port()
        await asyncio.start_server(self._serve, HOST, self.port)

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    async def _serve(self, reader, writer) -> None:
        other = None
        try:
            await self._open.wait()
            back, other = await asyncio.open_connection(self._host, self._target_port)
            await asyncio.gather(self._pass(reader, other), self._pass(back, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if other is not None:
                other.close()

    async def _pass(self, reader, writer) -> None:
        while data := await reader.read(65_536):
            await self._open.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


def deploy_command() -> tuple[list[str], dict[str, str]]:
    """Return the words of ``run`` of the deploy file, and its ``env``."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    role = deploy["roles"]["router"]
    return shlex.split(role["run"]), role["env"]


class Router:
    """One machine's process, started as the deploy file says."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        self.metrics = free_port()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.settings = Path(self._folder.name) / "settings.conf"
        self.log_path = Path(self._folder.name) / "log.txt"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def control_address(self) -> str:
        return f"{HOST}:{self.control}"

    def write_settings(self, store: str, seeds: list[str]) -> None:
        lines = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": "front,control",
            "ip": HOST,
            "zone": "zone-a",
            "region": "south",
            "zones.zone-a": "south",
            "listen_addresses.front": f"{HOST}:{self.front}",
            "listen_addresses.readiness": f"{HOST}:{self.ready}",
            "listen_addresses.control": self.control_address,
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cpu_cores": "2",
            "limits.memory_mb": "300",
            "limits.max_file_descriptors": "4100",
            "limits.link_mbps": "1000.0",
            "heartbeat_interval_ms": "1200",
            "bounds.contact_ms": "3000",
            "bounds.drain_timeout_ms": "2000",
            "bounds.grace_period_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.fail_closed": "true",
            "bounds.revocation_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.retry_window_s": "10",
            "bounds.retry_budget_slack": "56",
            "bounds.recovery_s": "12",
            "bounds.cap_x": "2",
            "platform.address": store,
            "platform.form": "read",
            "platform.reads_per_s": "2000",
            "platform.history_s": str(HISTORY_S),
            "platform.value_bytes": "1048576",
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings.write_text(text)

    async def start(self) -> None:
        command, variables = deploy_command()
        listen = f"{HOST}:{self.front},{HOST}:{self.ready},{self.control_address}"
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "YUCCAFOLD_SETTINGS": str(self.settings),
            "YUCCAFOLD_LISTEN": listen,
            "YUCCAFOLD_METRICS_PORT": str(self.metrics),
        }
        assert set(variables) <= set(environment)
        self._log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self._record.add(f"machine {self.name} starts, process {self.process.pid}")

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first + " "
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, seconds: float = 15.0) -> None:
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                self._record.add(f"{self.name} logs: {self.log()[-2000:]}")
                raise CannotRun(f"{self.name} isn't ready in {seconds} s")
            await asyncio.sleep(0.1)

    def signal(self, number: int) -> None:
        self._record.add(f"machine {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")


class CannotRun(Exception):
    """The case could not be played."""


def run_case(folder: str, play) -> None:
    """Play a case and exit with its result: 1 broken, 0 held, 2 it couldn't run.

    ``play(record, trouble, routers)`` returns whether the rule was broken; it adds the
    processes that it starts to ``routers``.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    routers: list[Router] = []

    async def main() -> int:
        try:
            async with asyncio.timeout(110):
                broken = await play(record, trouble, routers)
            record.add("result: " + ("broken" if broken else "held"))
            return 1 if broken else 0
        except Exception as error:
            record.add(f"result: could not run, {error!r}")
            print(repr(error), file=sys.stderr)
            return 2
        finally:
            for router in routers:
                await router.end()
                if os.environ.get("KEEP_LOG"):
                    Path(os.environ["KEEP_LOG"]).write_text(router.log())

    sys.exit(asyncio.run(main()))
