"""Measure a fleet of real router processes on loopback, with mutual TLS.

Each size starts that many processes before stand-in targets and platform
services, and prints figures in the bench's form: what control costs a VM when
idle and under load, and how long a setting takes to be in force everywhere.
The faults of ``--faults`` are shown at its size: a process is killed, one is
stopped for a while and continued, and the links to two VMs go silent, while
calls with idempotency keys go through all VMs; ``--restarts`` kills and restarts
more than half of its processes one after the other. It exits with 1 when a call
was lost, cut or doubled.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import trio
import trustme
import yaml
from result import Err

from yuccafold._ids import RegionId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.bench import Figure
from yuccafold.load import CallerSettings
from yuccafold.load import ChatSettings
from yuccafold.load import LoadReport
from yuccafold.load import LoadSettings
from yuccafold.load import Outcome
from yuccafold.load import PlainCallerSettings
from yuccafold.load import run_load
from yuccafold.readers import HttpLimits
from yuccafold.readers import HttpRequest
from yuccafold.readers import call
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import GenerationSettings
from yuccafold.standins import ListedTarget
from yuccafold.standins import ListedVm
from yuccafold.standins import ModelEngine
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import Relay
from yuccafold.standins import SettingsService
from yuccafold.standins import SettingsServiceSettings
from yuccafold.standins import VmList
from yuccafold.standins import VmListSettings

KEY = "fleet-key"
ZONES = ("a", "b", "c", "d")
REGION = "south"
FIRST_PORT = 20_000
START_SECONDS = 200.0
STOP_SECONDS = 20.0
WINDOW_SECONDS = 10.0
FIRST_START_MS = 10_000
FIRST_START_MS_PER_NODE = 1_000
"""Every process has to start within the window, and claims wait for its end."""
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
NOWHERE = "127.0.0.1:9"
"""An address where nothing listens."""


@dataclass
class Node:
    """One router process."""

    vm: str
    zone: str
    listen: str
    operator: str
    peer: str
    relay: Relay
    process: subprocess.Popen[bytes] | None = None
    output: Path | None = None


@dataclass
class Usage:
    """What the nodes used up to one moment, in all."""

    cpu_seconds: float
    sent: Counter[str]
    wire_sent: int
    taken_at: float


@dataclass
class Fleet:
    """Everything of one run."""

    directory: Path
    service: SettingsService
    vm_list: VmList
    engines: list[ModelEngine]
    plains: list[PlainService]
    nodes: list[Node] = field(default_factory=list)
    revision: int = 0

    def publish(self) -> None:
        """Publish the settings as a new revision, and the VM list."""
        self.revision += 1
        self.service.publish(self._text(), self.revision)

    def publish_list(self) -> None:
        """Publish all VMs, each at its relay's address."""
        vms = (
            ListedVm(VmId(n.vm), n.relay.address, ZoneId(n.zone), RegionId(REGION))
            for n in self.nodes
        )
        names = [f"chat-{n}" for n in range(len(self.engines))]
        names += [f"plain-{n}" for n in range(len(self.plains))]
        targets = (ListedTarget(TargetId(name)) for name in names)
        self.vm_list.publish(tuple(vms), tuple(targets))

    def _text(self) -> str:
        def listed(prefix: str, targets: Sequence[Any]) -> list[dict[str, str]]:
            return [
                {
                    "id": f"{prefix}-{n}",
                    "address": target.server.address,
                    "zone": ZONES[n % len(ZONES)],
                }
                for n, target in enumerate(targets)
            ]

        return yaml.safe_dump(
            {
                "revision": self.revision,
                "services": {
                    "chat": {
                        "kind": "model",
                        "paths": ["/v1"],
                        "targets": listed("chat", self.engines),
                    },
                    "desk": {
                        "kind": "plain",
                        "paths": ["/reservations"],
                        "targets": listed("plain", self.plains),
                    },
                },
                "accounts": {
                    "acme": {"keys": [hashlib.sha256(KEY.encode()).hexdigest()]}
                },
            }
        )

    def running(self) -> list[Node]:
        """Return the nodes whose process runs."""
        return [n for n in self.nodes if n.process is not None]


async def operator_page(node: Node, path: str) -> Any:
    """Return a page of a node's operator port, or ``None``."""
    called = await call(HttpRequest(node.operator, path), HttpLimits(), 0)
    if isinstance(called, Err) or called.ok_value.status != 200:
        return None
    return json.loads(called.ok_value.body)


@asynccontextmanager
async def fleet(size: int, one_reader: bool = False) -> AsyncIterator[Fleet]:
    """Run ``size`` routers; with ``one_reader`` only the first sees the service."""
    with tempfile.TemporaryDirectory() as name:
        async with trio.open_nursery() as nursery:
            made = await _start_standins(Path(name), nursery)
            try:
                await _start_nodes(made, size, one_reader, nursery)
                yield made
            finally:
                for node in made.running():
                    _end(node)
            nursery.cancel_scope.cancel()


async def _start_standins(directory: Path, nursery: trio.Nursery) -> Fleet:
    generation = GenerationSettings(cost=CostModel(time_scale=0.2))
    made = Fleet(
        directory,
        SettingsService(SettingsServiceSettings()),
        VmList(VmListSettings(lag_ms=500)),
        [ModelEngine(EngineSettings(generation=generation)) for _ in range(10)],
        [PlainService(PlainSettings(name=f"plain-{n}")) for n in range(4)],
    )
    for server in (made.service, made.vm_list, *made.engines, *made.plains):
        await nursery.start(server.serve)
    return made


async def _start_nodes(
    made: Fleet, size: int, one_reader: bool, nursery: trio.Nursery
) -> None:
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(made.directory / "ca.pem"))
    for number in range(size):
        port = FIRST_PORT + 3 * number
        listen, operator, peer = (f"127.0.0.1:{port + n}" for n in range(3))
        relay = Relay(peer)
        await nursery.start(relay.serve)
        zone = ZONES[number % len(ZONES)]
        made.nodes.append(Node(f"vm-{number}", zone, listen, operator, peer, relay))
    made.publish()
    made.publish_list()
    first_start = time.time_ns() // 1_000_000
    for number, node in enumerate(made.nodes):
        sees_service = number == 0 or not one_reader
        _write_settings(made, node, authority, first_start, sees_service)
        start(made, node)
    await wait_ready(made)


def _write_settings(
    made: Fleet, node: Node, authority: trustme.CA, first_start: int, sees: bool
) -> None:
    certificate = authority.issue_cert(node.vm, common_name=node.vm)
    stem = made.directory / node.vm
    certificate.private_key_pem.write_to_path(f"{stem}.key")
    chain = certificate.cert_chain_pems[0]
    chain.write_to_path(f"{stem}.pem")
    service = made.service.server.address if sees else NOWHERE
    window = FIRST_START_MS + FIRST_START_MS_PER_NODE * len(made.nodes)
    settings = {
        "vm": node.vm,
        "zone": node.zone,
        "region": REGION,
        "listen": node.listen,
        "operator": node.operator,
        "peer": node.peer,
        "tls": {
            "ca": str(made.directory / "ca.pem"),
            "certificate": f"{stem}.pem",
            "key": f"{stem}.key",
        },
        "platform": {
            "settings_service": service,
            "vm_list": made.vm_list.server.address,
        },
        "claims": {
            "first_start_unix_ms": first_start,
            "first_start_window_ms": window,
        },
        "drain_notice_ms": 0,
        "drain_limit_ms": 1_000,
    }
    Path(f"{stem}.yaml").write_text(yaml.safe_dump(settings))


def start(made: Fleet, node: Node) -> None:
    """Start the process of ``node``."""
    node.output = made.directory / f"{node.vm}.log"
    command = [sys.executable, "-m", "yuccafold", "router"]
    command.append(f"--settings={made.directory / node.vm}.yaml")
    with node.output.open("ab") as output:
        node.process = subprocess.Popen(command, stdout=output, stderr=output)


async def wait_ready(made: Fleet) -> None:
    """Wait until every running node serves, keys included."""
    with trio.fail_after(START_SECONDS):
        for node in made.running():
            while True:
                status = await operator_page(node, "/status")
                if status and status["ready"] and not status["claims_recovering"]:
                    break
                await trio.sleep(0.2)


def _end(node: Node) -> None:
    if node.process is None:
        return
    node.process.send_signal(signal.SIGCONT)
    node.process.kill()
    node.process.wait()
    node.process = None


async def usage(made: Fleet) -> Usage:
    """Return what the running nodes used so far."""
    cpu, sent, wire = 0.0, Counter[str](), 0
    for node in made.running():
        if node.process is None:
            continue
        stat = Path(f"/proc/{node.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        cpu += (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
        page = await operator_page(node, "/peers")
        if page is not None:
            sent.update(page["links"]["bytes_sent"])
            wire += page["links"]["wire_sent"]
    return Usage(cpu, sent, wire, trio.current_time())


def rss_mb(made: Fleet) -> float:
    """Return the largest resident memory of a node."""
    sizes = []
    for node in made.running():
        if node.process is not None:
            text = Path(f"/proc/{node.process.pid}/status").read_text()
            sizes.append(int(text.partition("VmRSS:")[2].split()[0]) / 1024)
    return max(sizes)


def print_usage(name: str, size: int, before: Usage, after: Usage) -> None:
    """Print bytes and processor time of one node in a second."""
    node_seconds = size * (after.taken_at - before.taken_at)
    wire = (after.wire_sent - before.wire_sent) / node_seconds
    cpu = 100 * (after.cpu_seconds - before.cpu_seconds) / node_seconds
    print(Figure(f"control_wire_bytes_{name}_{size}", wire, "B/s", 6_144), flush=True)
    print(Figure(f"cpu_{name}_{size}", cpu, "%", 4.5), flush=True)
    for kind, total in sorted(after.sent.items()):
        rate = (total - before.sent[kind]) / node_seconds
        print(Figure(f"control_{kind}_bytes_{name}_{size}", rate, "B/s"), flush=True)


def load_of(made: Fleet, chats: int, calls: int, rate: float) -> LoadSettings:
    """Return load through all nodes."""
    addresses = tuple(node.listen for node in made.nodes)
    caller = CallerSettings(addresses, KEY, attempts=30)
    return LoadSettings(
        ChatSettings(caller),
        PlainCallerSettings(caller),
        chats=chats,
        turns=3,
        calls=calls,
        rate=rate,
    )


async def measure_settings(made: Fleet, name: str) -> None:
    """Print how long a new revision takes to be in force on every node."""
    times: list[float] = []
    started = trio.current_time()
    made.publish()

    async def watch(node: Node) -> None:
        while True:
            status = await operator_page(node, "/status")
            if status and status["revision"] >= made.revision:
                times.append(trio.current_time() - started)
                return
            await trio.sleep(0.05)

    with trio.move_on_after(60):
        async with trio.open_nursery() as nursery:
            for node in made.running():
                nursery.start_soon(watch, node)
    times.sort()
    size = len(made.running())
    print(Figure(f"setting_{name}_nodes_{size}", len(times), "nodes", size))
    print(Figure(f"setting_{name}_p50_s_{size}", times[len(times) // 2], "s", 10))
    print(Figure(f"setting_{name}_max_s_{size}", times[-1], "s", 10), flush=True)


async def measure_size(size: int) -> None:
    """Print the figures of one fleet without faults."""
    async with fleet(size) as made:
        before = await usage(made)
        await trio.sleep(WINDOW_SECONDS)
        print_usage("idle", size, before, await usage(made))
        before = await usage(made)
        report = LoadReport()
        await run_load(load_of(made, chats=40, calls=100, rate=20), report)
        print_usage("load", size, before, await usage(made))
        print(Figure(f"rss_{size}", rss_mb(made), "MB", 128), flush=True)
        await measure_settings(made, "service_up")


async def measure_one_reader(size: int) -> None:
    """Print the spread of a setting when one node alone sees the service."""
    async with fleet(size, one_reader=True) as made:
        await measure_settings(made, "one_reader")


async def show_faults(size: int) -> bool:
    """Return whether every call ended whole and ran once, under the faults."""
    async with fleet(size) as made:
        report = LoadReport()
        before = await usage(made)
        async with trio.open_nursery() as nursery:
            settings = load_of(made, chats=40, calls=200, rate=8)
            nursery.start_soon(run_load, settings, report)
            await trio.sleep(3)
            _end(made.nodes[1])
            stopped = made.nodes[2].process
            if stopped is not None:
                stopped.send_signal(signal.SIGSTOP)
            await trio.sleep(5)
            made.nodes[3].relay.forget()
            made.nodes[4].relay.forget()
            await trio.sleep(15)
            if stopped is not None:
                stopped.send_signal(signal.SIGCONT)
        print_usage("churn", size - 1, before, await usage(made))
        return _judge(made, report)


async def show_restarts(size: int) -> bool:
    """Kill and restart processes one after the other under load; judge the calls."""
    async with fleet(size) as made:
        report = LoadReport()
        async with trio.open_nursery() as nursery:
            settings = load_of(made, chats=30, calls=150, rate=4)
            nursery.start_soon(run_load, settings, report)
            await trio.sleep(2)
            for node in made.nodes[: size // 2 + 1]:
                started = trio.current_time()
                _end(node)
                start(made, node)
                await wait_ready(made)
                seconds = trio.current_time() - started
                print(Figure(f"restart_{node.vm}_of_{size}", seconds, "s"), flush=True)
        return _judge(made, report)


def _judge(made: Fleet, report: LoadReport) -> bool:
    runs: Counter[str] = Counter()
    for plain in made.plains:
        runs.update(plain.runs_by_key)
    doubled = sum(count > 1 for count in runs.values())
    for name, value in report.rows():
        print(f"{name:22} {value}")
    print(Figure("faults_runs_of_more_than_one", doubled, "calls", 0))
    whole = report.call_outcomes[Outcome.WHOLE]
    lost = sum(report.call_outcomes.values()) - whole
    print(Figure("faults_calls_not_whole", lost, "calls", 0))
    turns = sum(report.turns.values()) - report.turns[Outcome.WHOLE]
    print(Figure("faults_turns_not_whole", turns, "turns", 0), flush=True)
    return doubled == 0 and lost == 0 and turns == 0


def main() -> int:
    """Run what the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[4, 8, 16, 32])
    parser.add_argument("--one-reader", type=int, default=16)
    parser.add_argument("--faults", type=int, default=16)
    parser.add_argument("--restarts", type=int, default=5)
    arguments = parser.parse_args()
    for size in arguments.sizes:
        trio.run(measure_size, size)
    if arguments.one_reader:
        trio.run(measure_one_reader, arguments.one_reader)
    sound = not arguments.faults or trio.run(show_faults, arguments.faults)
    restarted = not arguments.restarts or trio.run(show_restarts, arguments.restarts)
    return int(not (sound and restarted))


if __name__ == "__main__":
    sys.exit(main())
