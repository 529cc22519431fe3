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
FIRST_START_MS_PER_VM = 1_000
"""Added to ``FIRST_START_MS`` for each VM. Every process must start within the
resulting window, and claims wait for its end."""
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
NOWHERE = "127.0.0.1:9"
"""An address where nothing listens."""


@dataclass
class VmProcess:
    """One router process."""

    id: str
    zone: str
    listen: str
    operator: str
    peer: str
    relay: Relay
    process: subprocess.Popen[bytes] | None = None
    output: Path | None = None


@dataclass
class Usage:
    """The total resource use of the running VMs up to ``measured_at``."""

    cpu_seconds: float
    sent: Counter[str]
    wire_sent: int
    measured_at: float


@dataclass
class Fleet:
    """The router processes and stand-ins of one run."""

    directory: Path
    service: SettingsService
    vm_list: VmList
    engines: list[ModelEngine]
    plains: list[PlainService]
    vms: list[VmProcess] = field(default_factory=list)
    revision: int = 0

    def publish(self) -> None:
        """Publish the settings as a new revision."""
        self.revision += 1
        self.service.publish(self._text(), self.revision)

    def publish_list(self) -> None:
        """Publish the list of all VMs, at their relays' addresses, and of targets."""
        vms = (
            ListedVm(VmId(vm.id), vm.relay.address, ZoneId(vm.zone), RegionId(REGION))
            for vm in self.vms
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

    def running(self) -> list[VmProcess]:
        """Return the VMs whose process runs."""
        return [vm for vm in self.vms if vm.process is not None]


async def operator_page(vm: VmProcess, path: str) -> Any:
    """Return a JSON page of a VM's operator port, or ``None`` if it failed."""
    response = await call(HttpRequest(vm.operator, path), HttpLimits(), 0)
    if isinstance(response, Err) or response.ok_value.status != 200:
        return None
    return json.loads(response.ok_value.body)


@asynccontextmanager
async def running_fleet(size: int, one_reader: bool = False) -> AsyncIterator[Fleet]:
    """Run ``size`` routers.

    With ``one_reader`` only the first one reaches the settings service.
    """
    with tempfile.TemporaryDirectory() as name:
        async with trio.open_nursery() as nursery:
            fleet = await _start_standins(Path(name), nursery)
            try:
                await _start_vms(fleet, size, one_reader, nursery)
                yield fleet
            finally:
                for vm in fleet.running():
                    _kill(vm)
            nursery.cancel_scope.cancel()


async def _start_standins(directory: Path, nursery: trio.Nursery) -> Fleet:
    generation = GenerationSettings(cost=CostModel(time_scale=0.2))
    fleet = Fleet(
        directory,
        SettingsService(SettingsServiceSettings()),
        VmList(VmListSettings(lag_ms=500)),
        [ModelEngine(EngineSettings(generation=generation)) for _ in range(10)],
        [PlainService(PlainSettings(name=f"plain-{n}")) for n in range(4)],
    )
    for server in (fleet.service, fleet.vm_list, *fleet.engines, *fleet.plains):
        await nursery.start(server.serve)
    return fleet


async def _start_vms(
    fleet: Fleet, size: int, one_reader: bool, nursery: trio.Nursery
) -> None:
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(fleet.directory / "ca.pem"))
    for number in range(size):
        port = FIRST_PORT + 3 * number
        listen, operator, peer = (f"127.0.0.1:{port + n}" for n in range(3))
        relay = Relay(peer)
        await nursery.start(relay.serve)
        zone = ZONES[number % len(ZONES)]
        fleet.vms.append(VmProcess(f"vm-{number}", zone, listen, operator, peer, relay))
    fleet.publish()
    fleet.publish_list()
    first_start_ms = time.time_ns() // 1_000_000
    for number, vm in enumerate(fleet.vms):
        sees_service = number == 0 or not one_reader
        _write_settings(fleet, vm, authority, first_start_ms, sees_service)
        start(fleet, vm)
    await wait_ready(fleet)


def _write_settings(
    fleet: Fleet,
    vm: VmProcess,
    authority: trustme.CA,
    first_start_ms: int,
    sees_service: bool,
) -> None:
    certificate = authority.issue_cert(vm.id, common_name=vm.id)
    stem = fleet.directory / vm.id
    certificate.private_key_pem.write_to_path(f"{stem}.key")
    chain = certificate.cert_chain_pems[0]
    chain.write_to_path(f"{stem}.pem")
    service = fleet.service.server.address if sees_service else NOWHERE
    window = FIRST_START_MS + FIRST_START_MS_PER_VM * len(fleet.vms)
    settings = {
        "vm": vm.id,
        "zone": vm.zone,
        "region": REGION,
        "listen": vm.listen,
        "operator": vm.operator,
        "peer": vm.peer,
        "tls": {
            "ca": str(fleet.directory / "ca.pem"),
            "certificate": f"{stem}.pem",
            "key": f"{stem}.key",
        },
        "platform": {
            "settings_service": service,
            "vm_list": fleet.vm_list.server.address,
        },
        "claims": {
            "first_start_unix_ms": first_start_ms,
            "first_start_window_ms": window,
        },
        "drain_notice_ms": 0,
        "drain_limit_ms": 1_000,
    }
    Path(f"{stem}.yaml").write_text(yaml.safe_dump(settings))


def start(fleet: Fleet, vm: VmProcess) -> None:
    """Start the process of ``vm``."""
    vm.output = fleet.directory / f"{vm.id}.log"
    command = [sys.executable, "-m", "yuccafold", "router"]
    command.append(f"--settings={fleet.directory / vm.id}.yaml")
    with vm.output.open("ab") as output:
        vm.process = subprocess.Popen(command, stdout=output, stderr=output)


async def wait_ready(fleet: Fleet) -> None:
    """Wait until every running VM serves, including calls with keys."""
    with trio.fail_after(START_SECONDS):
        for vm in fleet.running():
            while True:
                status = await operator_page(vm, "/status")
                if status and status["ready"] and not status["claims_recovering"]:
                    break
                await trio.sleep(0.2)


def _kill(vm: VmProcess) -> None:
    if vm.process is None:
        return
    vm.process.send_signal(signal.SIGCONT)
    vm.process.kill()
    vm.process.wait()
    vm.process = None


async def usage(fleet: Fleet) -> Usage:
    """Return what the running VMs have used so far."""
    cpu_seconds, bytes_sent, wire_sent = 0.0, Counter[str](), 0
    for vm in fleet.running():
        if vm.process is None:
            continue
        stat = Path(f"/proc/{vm.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        cpu_seconds += (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
        page = await operator_page(vm, "/peers")
        if page is not None:
            bytes_sent.update(page["links"]["bytes_sent"])
            wire_sent += page["links"]["wire_sent"]
    return Usage(cpu_seconds, bytes_sent, wire_sent, trio.current_time())


def rss_mb(fleet: Fleet) -> float:
    """Return the largest resident memory of a running VM."""
    sizes_mb = []
    for vm in fleet.running():
        if vm.process is not None:
            text = Path(f"/proc/{vm.process.pid}/status").read_text()
            sizes_mb.append(int(text.partition("VmRSS:")[2].split()[0]) / 1024)
    return max(sizes_mb)


def print_usage(name: str, size: int, before: Usage, after: Usage) -> None:
    """Print the bytes and processor time of one VM per second."""
    vm_seconds = size * (after.measured_at - before.measured_at)
    wire = (after.wire_sent - before.wire_sent) / vm_seconds
    cpu = 100 * (after.cpu_seconds - before.cpu_seconds) / vm_seconds
    print(Figure(f"control_wire_bytes_{name}_{size}", wire, "B/s", 6_144), flush=True)
    print(Figure(f"cpu_{name}_{size}", cpu, "%", 4.5), flush=True)
    for kind, total in sorted(after.sent.items()):
        rate = (total - before.sent[kind]) / vm_seconds
        print(Figure(f"control_{kind}_bytes_{name}_{size}", rate, "B/s"), flush=True)


def load_through(fleet: Fleet, chats: int, calls: int, rate: float) -> LoadSettings:
    """Return the settings of a load that goes through all VMs."""
    addresses = tuple(vm.listen for vm in fleet.vms)
    caller = CallerSettings(addresses, KEY, attempts=30)
    return LoadSettings(
        ChatSettings(caller),
        PlainCallerSettings(caller),
        chats=chats,
        turns=3,
        calls=calls,
        rate=rate,
    )


async def measure_settings(fleet: Fleet, name: str) -> None:
    """Print how long a new revision takes to be in force on every VM."""
    times: list[float] = []
    started = trio.current_time()
    fleet.publish()

    async def watch(vm: VmProcess) -> None:
        while True:
            status = await operator_page(vm, "/status")
            if status and status["revision"] >= fleet.revision:
                times.append(trio.current_time() - started)
                return
            await trio.sleep(0.05)

    with trio.move_on_after(60):
        async with trio.open_nursery() as nursery:
            for vm in fleet.running():
                nursery.start_soon(watch, vm)
    times.sort()
    size = len(fleet.running())
    print(Figure(f"setting_{name}_nodes_{size}", len(times), "nodes", size))
    print(Figure(f"setting_{name}_p50_s_{size}", times[len(times) // 2], "s", 10))
    print(Figure(f"setting_{name}_max_s_{size}", times[-1], "s", 10), flush=True)


async def measure_size(size: int) -> None:
    """Print the figures of one fleet without faults."""
    async with running_fleet(size) as fleet:
        before = await usage(fleet)
        await trio.sleep(WINDOW_SECONDS)
        print_usage("idle", size, before, await usage(fleet))
        before = await usage(fleet)
        report = LoadReport()
        await run_load(load_through(fleet, chats=40, calls=100, rate=20), report)
        print_usage("load", size, before, await usage(fleet))
        print(Figure(f"rss_{size}", rss_mb(fleet), "MB", 128), flush=True)
        await measure_settings(fleet, "service_up")


async def measure_one_reader(size: int) -> None:
    """Print how long a revision takes if one VM alone reaches the settings service."""
    async with running_fleet(size, one_reader=True) as fleet:
        await measure_settings(fleet, "one_reader")


async def show_faults(size: int) -> bool:
    """Run calls under the faults; return whether all were whole and ran once."""
    async with running_fleet(size) as fleet:
        report = LoadReport()
        before = await usage(fleet)
        async with trio.open_nursery() as nursery:
            settings = load_through(fleet, chats=40, calls=200, rate=8)
            nursery.start_soon(run_load, settings, report)
            await trio.sleep(3)
            _kill(fleet.vms[1])
            stopped = fleet.vms[2].process
            if stopped is not None:
                stopped.send_signal(signal.SIGSTOP)
            await trio.sleep(5)
            fleet.vms[3].relay.silence()
            fleet.vms[4].relay.silence()
            await trio.sleep(15)
            if stopped is not None:
                stopped.send_signal(signal.SIGCONT)
        print_usage("churn", size - 1, before, await usage(fleet))
        return _check_calls(fleet, report)


async def show_restarts(size: int) -> bool:
    """Kill and restart more than half of the VMs, one after the other, under load.

    Return whether all calls were whole and ran once.
    """
    async with running_fleet(size) as fleet:
        report = LoadReport()
        async with trio.open_nursery() as nursery:
            settings = load_through(fleet, chats=30, calls=150, rate=4)
            nursery.start_soon(run_load, settings, report)
            await trio.sleep(2)
            for vm in fleet.vms[: size // 2 + 1]:
                started = trio.current_time()
                _kill(vm)
                start(fleet, vm)
                await wait_ready(fleet)
                seconds = trio.current_time() - started
                print(Figure(f"restart_{vm.id}_of_{size}", seconds, "s"), flush=True)
        return _check_calls(fleet, report)


def _check_calls(fleet: Fleet, report: LoadReport) -> bool:
    runs: Counter[str] = Counter()
    for plain in fleet.plains:
        runs.update(plain.runs_by_key)
    doubled = sum(count > 1 for count in runs.values())
    for name, value in report.rows():
        print(f"{name:22} {value}")
    print(Figure("faults_runs_of_more_than_one", doubled, "calls", 0))
    whole = report.call_outcomes[Outcome.WHOLE]
    lost = sum(report.call_outcomes.values()) - whole
    print(Figure("faults_calls_not_whole", lost, "calls", 0))
    turns_not_whole = sum(report.turns.values()) - report.turns[Outcome.WHOLE]
    print(Figure("faults_turns_not_whole", turns_not_whole, "turns", 0), flush=True)
    return doubled == 0 and lost == 0 and turns_not_whole == 0


def main() -> int:
    """Run the measurements that the arguments request."""
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
    calls_whole = not arguments.faults or trio.run(show_faults, arguments.faults)
    restarted = not arguments.restarts or trio.run(show_restarts, arguments.restarts)
    return int(not (calls_whole and restarted))


if __name__ == "__main__":
    sys.exit(main())
