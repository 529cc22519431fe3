"""Bench part ``fleet``: failure detection, membership bytes and links.

Detection and bytes come from membership objects in one process under virtual
time, with every message through the real codec and 60 bytes added per frame.
Links are real loopback TLS sockets.
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
LOSS = 0.05
PAUSE_MS = 2_000
MS_PER_S = 1_000
NODE_BYTES_PER_S = 6_144.0
"""What a VM may spend on all control traffic."""


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Measure links while the heap is fresh, then detection and bytes."""
    yield from link_figures(options)
    yield from _detection(options)
    for size in QUICK_SIZES if options.quick else SIZES:
        yield from _bytes(size, options.seed)


def _detection(options: BenchOptions) -> Iterator[Figure]:
    """Stop VMs one by one, under loss, while others pause now and then."""
    fleet = VirtualFleet(16, options.seed, faults=Faults(loss=LOSS))
    fleet.run(30 * MS_PER_S)
    fleet.events.clear()
    first, last, wrong, pauses = [], [], 0, 0
    for round_number in range(4 if options.quick else 40):
        victim = fleet.vms[round_number % len(fleet.vms)]
        deaths = _stop_and_watch(fleet, victim)
        pauses += 4
        wrong += sum(vm != victim for vm, _ in deaths)
        times = sorted(waited for vm, waited in deaths if vm == victim)
        first.append(times[0])
        last.append(times[-1])
        fleet.start(victim)
        fleet.publish(to=[victim])
        fleet.run(20 * MS_PER_S)
        fleet.events.clear()
    yield Figure("fleet_detection_first_ms_p50", statistics.median(first), "ms")
    yield Figure("fleet_detection_all_ms_p50", statistics.median(last), "ms")
    yield Figure("fleet_detection_all_ms_max", max(last), "ms")
    yield Figure("fleet_false_deaths", wrong, "views")
    yield Figure("fleet_pauses_of_2s", pauses, "pauses")


def _stop_and_watch(fleet: VirtualFleet, victim: VmId) -> list[tuple[VmId, int]]:
    """Return who was held dead, by each other VM, and how long after the stop."""
    stopped_at = fleet.now
    fleet.stop(victim)
    others = [vm for vm in fleet.vms if vm != victim]
    for sleeper in fleet.rng.sample(others, 4):
        fleet.pause(sleeper, PAUSE_MS)
        fleet.run(5 * MS_PER_S)
    return [
        (event.vm, event.at - stopped_at)
        for _, event in fleet.events
        if event.change is MemberChange.DEAD
    ]


def _bytes(size: int, seed: int) -> Iterator[Figure]:
    """Measure the sent bytes of a start, of rest and of a restart."""
    fleet = VirtualFleet(size, seed)
    name = f"fleet_membership_bytes_per_s_{size}"
    cold = _rate(fleet, 20)
    fleet.run(45 * MS_PER_S)
    began = time.process_time()
    idle = _rate(fleet, 20)
    spent = time.process_time() - began
    restarted = fleet.vms[0]
    fleet.stop(restarted)
    fleet.start(restarted)
    fleet.publish(to=[restarted])
    churn = _rate(fleet, 20)
    yield Figure(f"{name}_idle", idle, "B/s", NODE_BYTES_PER_S)
    yield Figure(f"{name}_restart", churn, "B/s", NODE_BYTES_PER_S)
    yield Figure(f"{name}_all_start", cold, "B/s", NODE_BYTES_PER_S)
    share = 100 * spent / 20 / size
    yield Figure(f"fleet_membership_cpu_percent_{size}", share, "%", 4.5)


def _rate(fleet: VirtualFleet, seconds: int) -> float:
    before = fleet.bytes_sent.total()
    fleet.run(seconds * MS_PER_S)
    sent = fleet.bytes_sent.total() - before
    return sent / seconds / len(fleet.vms)
