"""Benchmark of links between VMs, over real TLS connections on loopback."""

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

PEER_COUNT = 60
MESSAGE_COUNT = 5_000
BATCH_SIZE = 50
MESSAGE_INTERVAL_S = 0.006
"""Longer than a link waits for more messages before it sends a frame."""
ANY_PORT = "127.0.0.1:0"
BYTES_PER_KB = 1024


def link_figures(options: BenchOptions) -> Iterator[Figure]:
    """Measure the memory of each end of a link, processor time and round trip."""
    with tempfile.TemporaryDirectory() as directory:
        yield from trio.run(_measure, options, Path(directory))


async def _measure(options: BenchOptions, directory: Path) -> list[Figure]:
    peers = 10 if options.quick else PEER_COUNT
    vms = _make_vms(peers + 1, options.seed, directory)
    async with trio.open_nursery() as nursery:
        for vm in vms:
            await nursery.start(vm.network.run)
        hub, *others = vms
        hub.network.set_peers({vm.id: vm.address for vm in others})
        kilobytes = await _link_memory_kb(hub, others)
        single_us = await _cpu_us(hub, others[0], 1)
        batched_us = await _cpu_us(hub, others[0], BATCH_SIZE)
        spaced_us = await _spaced_cpu_us(hub, others[0])
        round_trip_ms = await _median_round_trip_ms(hub, others[0])
        nursery.cancel_scope.cancel()
    return [
        Figure("fleet_link_kb_per_end", kilobytes / len(others) / 2, "KB"),
        Figure("fleet_link_cpu_us_spaced", spaced_us, "us"),
        Figure("fleet_link_cpu_us_single", single_us, "us"),
        Figure("fleet_link_cpu_us_batched", batched_us, "us"),
        Figure("fleet_link_round_trip_ms_p50", round_trip_ms, "ms"),
    ]


class _Vm:
    def __init__(self, name: str, tls: TlsFiles, seed: int) -> None:
        self.id = VmId(name)
        settings = ProcessSettings(
            vm=name,
            zone="z",
            region="r",
            listen=ANY_PORT,
            operator=ANY_PORT,
            peer=ANY_PORT,
            tls=tls,
        )
        inbox, self.received = trio.open_memory_channel[fleet.Received](2 * BATCH_SIZE)
        self.network = fleet.PeerNetwork(
            settings, Incarnation(1), MonotonicClock(), inbox, random.Random(seed)
        )

    @property
    def address(self) -> fleet.PeerAddress:
        return fleet.PeerAddress(
            self.id, self.network.address, ZoneId("z"), RegionId("r")
        )

    def send_ping(self, to: VmId, number: int) -> None:
        self.network.send(Outgoing(to, PingRequest(number, self.id)))


def _make_vms(count: int, seed: int, directory: Path) -> list[_Vm]:
    # Imported here because only tests and the benchmark issue certificates.
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


async def _link_memory_kb(hub: _Vm, others: list[_Vm]) -> float:
    kb_before = _resident_kb()
    for vm in others:
        hub.send_ping(vm.id, 0)
        await vm.received.receive()
    return _resident_kb() - kb_before


async def _cpu_us(hub: _Vm, other: _Vm, batch_size: int) -> float:
    """Return the processor time in microseconds of one message, for both ends."""
    rounds = MESSAGE_COUNT // batch_size
    cpu_before = time.process_time()
    for _ in range(rounds):
        for number in range(batch_size):
            hub.send_ping(other.id, number)
        for _ in range(batch_size):
            await other.received.receive()
    return (time.process_time() - cpu_before) / (rounds * batch_size) * 1e6


async def _spaced_cpu_us(hub: _Vm, other: _Vm) -> float:
    """Return the processor time of one message that isn't batched with others.

    Messages are sent further apart than a link waits for more; the processor
    time of the sleeps between them is subtracted.
    """
    rounds = MESSAGE_COUNT // 10
    cpu_before = time.process_time()
    for _ in range(rounds):
        await trio.sleep(MESSAGE_INTERVAL_S)
    sleep_cpu_seconds = time.process_time() - cpu_before
    cpu_before = time.process_time()
    for number in range(rounds):
        await trio.sleep(MESSAGE_INTERVAL_S)
        hub.send_ping(other.id, number)
        await other.received.receive()
    return (time.process_time() - cpu_before - sleep_cpu_seconds) / rounds * 1e6


async def _median_round_trip_ms(hub: _Vm, other: _Vm) -> float:
    times = []
    for number in range(200):
        started_at = time.perf_counter()
        hub.send_ping(other.id, number)
        await other.received.receive()
        other.send_ping(hub.id, number)
        await hub.received.receive()
        times.append((time.perf_counter() - started_at) * 1e3)
    return sorted(times)[len(times) // 2]


def _resident_kb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / BYTES_PER_KB
