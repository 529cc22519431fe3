"""Measures links over real loopback TLS sockets."""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import trio

from yuccafold import fleet
from yuccafold._clock import MonotonicClock
from yuccafold._ids import Incarnation
from yuccafold._ids import RegionId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._outgoing import Outgoing
from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.fleet._messages import PingRequest
from yuccafold.settings import ProcessSettings
from yuccafold.settings import TlsFiles

PEERS = 60
MESSAGES = 5_000
BATCH = 50
GAP_S = 0.006
"""Longer than a link waits for more messages."""
PORT_0 = "127.0.0.1:0"
BYTES_PER_KB = 1024


def link_figures(options: BenchOptions) -> Iterator[Figure]:
    """Measure memory per link end, and processor time per message."""
    with tempfile.TemporaryDirectory() as directory:
        yield from trio.run(_measure, options, Path(directory))


async def _measure(options: BenchOptions, directory: Path) -> list[Figure]:
    peers = 10 if options.quick else PEERS
    vms = _make_vms(peers + 1, options.seed, directory)
    async with trio.open_nursery() as nursery:
        for vm in vms:
            await nursery.start(vm.network.run)
        hub, *others = vms
        hub.network.set_peers({vm.id: vm.address for vm in others})
        kilobytes = await _memory_of_links(hub, others)
        single = await _cpu(hub, others[0], 1)
        batched = await _cpu(hub, others[0], BATCH)
        spaced = await _spaced_cpu(hub, others[0])
        round_trip = await _round_trip(hub, others[0])
        nursery.cancel_scope.cancel()
    return [
        Figure("fleet_link_kb_per_end", kilobytes / len(others) / 2, "KB"),
        Figure("fleet_link_cpu_us_spaced", spaced, "us"),
        Figure("fleet_link_cpu_us_single", single, "us"),
        Figure("fleet_link_cpu_us_batched", batched, "us"),
        Figure("fleet_link_round_trip_ms_p50", round_trip, "ms"),
    ]


class _Vm:
    def __init__(self, name: str, tls: TlsFiles, seed: int) -> None:
        self.id = VmId(name)
        settings = ProcessSettings(
            vm=name,
            zone="z",
            region="r",
            listen=PORT_0,
            operator=PORT_0,
            peer=PORT_0,
            tls=tls,
        )
        inbox, self.received = trio.open_memory_channel[fleet.Received](2 * BATCH)
        self.network = fleet.PeerNetwork(
            settings, Incarnation(1), MonotonicClock(), inbox, random.Random(seed)
        )

    @property
    def address(self) -> fleet.PeerAddress:
        return fleet.PeerAddress(
            self.id, self.network.address, ZoneId("z"), RegionId("r")
        )

    def say(self, to: VmId, number: int) -> None:
        self.network.send(Outgoing(to, PingRequest(number, self.id)))


def _make_vms(count: int, seed: int, directory: Path) -> list[_Vm]:
    # Certificates are made for tests and the bench only.
    import trustme

    authority = trustme.CA()
    authority_file = directory / "ca.pem"
    authority.cert_pem.write_to_path(str(authority_file))
    vms = []
    for number in range(count):
        name = f"vm-{number}"
        issued = authority.issue_cert(name)
        certificate, key = directory / f"{name}.pem", directory / f"{name}.key"
        issued.cert_chain_pems[0].write_to_path(str(certificate))
        issued.private_key_pem.write_to_path(str(key))
        tls = TlsFiles(
            ca=str(authority_file), certificate=str(certificate), key=str(key)
        )
        vms.append(_Vm(name, tls, seed + number))
    return vms


async def _memory_of_links(hub: _Vm, others: list[_Vm]) -> float:
    before = _resident_kb()
    for vm in others:
        hub.say(vm.id, 0)
        await vm.received.receive()
    return _resident_kb() - before


async def _cpu(hub: _Vm, other: _Vm, batch: int) -> float:
    """Return microseconds of both ends together for one message."""
    rounds = MESSAGES // batch
    began = time.process_time()
    for _ in range(rounds):
        for number in range(batch):
            hub.say(other.id, number)
        for _ in range(batch):
            await other.received.receive()
    return (time.process_time() - began) / (rounds * batch) * 1e6


async def _spaced_cpu(hub: _Vm, other: _Vm) -> float:
    """Return the same for messages too far apart to wait for one another."""
    rounds = MESSAGES // 10
    began = time.process_time()
    for _ in range(rounds):
        await trio.sleep(GAP_S)
    pauses = time.process_time() - began
    began = time.process_time()
    for number in range(rounds):
        await trio.sleep(GAP_S)
        hub.say(other.id, number)
        await other.received.receive()
    return (time.process_time() - began - pauses) / rounds * 1e6


async def _round_trip(hub: _Vm, other: _Vm) -> float:
    times = []
    for number in range(200):
        began = time.perf_counter()
        hub.say(other.id, number)
        await other.received.receive()
        other.say(hub.id, number)
        await hub.received.receive()
        times.append((time.perf_counter() - began) * 1e3)
    return sorted(times)[len(times) // 2]


def _resident_kb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / BYTES_PER_KB
