"""Benchmark of the fleet: failure detection, membership traffic and links.

Failure detection and traffic are measured with membership objects in one process
and virtual time. Every message is encoded by the real codec, and 60 bytes are added
for each frame. Links are real TLS connections over loopback.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterator

from yuccafold._ids import VmId
from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._fleet_links import link_figures
from yuccafold.bench._virtual_fleet import Faults
from yuccafold.bench._virtual_fleet import VirtualFleet
from yuccafold.fleet import MemberChange

SIZES = (4, 8, 16, 32, 64, 380)
QUICK_SIZES = (4, 16)
LOSS_RATE = 0.05
PAUSE_MS = 2_000
MS_PER_S = 1_000
CONTROL_LIMIT_BYTES_PER_S = 6_144.0
"""Upper limit of all control traffic that one VM sends."""


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Measure links, then failure detection and membership traffic.

    Links come first because their memory is measured, which needs a process that
    has allocated little.
    """
    yield from link_figures(options)
    yield from _detection(options)
    for size in QUICK_SIZES if options.quick else SIZES:
        yield from _membership_bytes(size, options.seed)


def _detection(options: BenchOptions) -> Iterator[Figure]:
    """Stop one VM after another, with lost messages and with pauses of other VMs."""
    fleet = VirtualFleet(16, options.seed, faults=Faults(loss=LOSS_RATE))
    fleet.run(30 * MS_PER_S)
    fleet.events.clear()
    first_times, last_times, false_reports, pause_count = [], [], 0, 0
    for round_number in range(4 if options.quick else 40):
        stopped = fleet.vms[round_number % len(fleet.vms)]
        reports = _detect_stop(fleet, stopped)
        pause_count += 4
        false_reports += sum(vm != stopped for vm, _ in reports)
        detection_times = sorted(
            detected_after for vm, detected_after in reports if vm == stopped
        )
        first_times.append(detection_times[0])
        last_times.append(detection_times[-1])
        fleet.start(stopped)
        fleet.publish(to=[stopped])
        fleet.run(20 * MS_PER_S)
        fleet.events.clear()
    yield Figure("fleet_detection_first_ms_p50", statistics.median(first_times), "ms")
    yield Figure("fleet_detection_all_ms_p50", statistics.median(last_times), "ms")
    yield Figure("fleet_detection_all_ms_max", max(last_times), "ms")
    yield Figure("fleet_false_deaths", false_reports, "views")
    yield Figure("fleet_pauses_of_2s", pause_count, "pauses")


def _detect_stop(fleet: VirtualFleet, stopped: VmId) -> list[tuple[VmId, int]]:
    """Return each report of a VM as dead, and its time after the stop.

    Four other VMs pause meanwhile; a report of one of them is a false one.
    """
    stopped_at = fleet.now
    fleet.stop(stopped)
    others = [vm for vm in fleet.vms if vm != stopped]
    for paused in fleet.rng.sample(others, 4):
        fleet.pause(paused, PAUSE_MS)
        fleet.run(5 * MS_PER_S)
    return [
        (event.vm, event.changed_at - stopped_at)
        for _, event in fleet.events
        if event.change is MemberChange.DEAD
    ]


def _membership_bytes(size: int, seed: int) -> Iterator[Figure]:
    """Measure the bytes sent when all VMs start, when idle and in one VM's restart."""
    fleet = VirtualFleet(size, seed)
    prefix = f"fleet_membership_bytes_per_s_{size}"
    start_rate = _bytes_per_second(fleet, 20)
    fleet.run(45 * MS_PER_S)
    cpu_before = time.process_time()
    idle_rate = _bytes_per_second(fleet, 20)
    cpu_seconds = time.process_time() - cpu_before
    restarted = fleet.vms[0]
    fleet.stop(restarted)
    fleet.start(restarted)
    fleet.publish(to=[restarted])
    restart_rate = _bytes_per_second(fleet, 20)
    yield Figure(f"{prefix}_idle", idle_rate, "B/s", CONTROL_LIMIT_BYTES_PER_S)
    yield Figure(f"{prefix}_restart", restart_rate, "B/s", CONTROL_LIMIT_BYTES_PER_S)
    yield Figure(f"{prefix}_all_start", start_rate, "B/s", CONTROL_LIMIT_BYTES_PER_S)
    cpu_percent = 100 * cpu_seconds / 20 / size
    yield Figure(f"fleet_membership_cpu_percent_{size}", cpu_percent, "%", 4.5)


def _bytes_per_second(fleet: VirtualFleet, seconds: int) -> float:
    before = fleet.bytes_sent.total()
    fleet.run(seconds * MS_PER_S)
    sent = fleet.bytes_sent.total() - before
    return sent / seconds / len(fleet.vms)
