"""Benchmark of settings: parsing them and bringing them into force on all VMs."""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from functools import partial
from typing import Any

import yaml

from yuccafold._ids import VmId
from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._settings_tree import CHANGES_PER_DAY
from yuccafold.bench._settings_tree import LARGE_SIZE
from yuccafold.bench._settings_tree import SECONDS_PER_DAY
from yuccafold.bench._settings_tree import SMALL_SIZE
from yuccafold.bench._settings_tree import TreeSize
from yuccafold.bench._settings_tree import tree_text
from yuccafold.bench._settings_world import SettingsWorld
from yuccafold.bench._virtual_network import VirtualNetwork
from yuccafold.fleet import encode
from yuccafold.readers import CallPacer
from yuccafold.readers import ReadOutcome
from yuccafold.readers import WatchOptions
from yuccafold.readers import chosen_watchers
from yuccafold.replica import Readiness
from yuccafold.replica import read_revision
from yuccafold.replica import register_messages
from yuccafold.replica._revision import apply_change
from yuccafold.replica._revision import change_between

PARTNER_COUNT = 6
CHANGE_INTERVAL_MS = 1_000 * SECONDS_PER_DAY // CHANGES_PER_DAY
IN_FORCE_LIMIT_MS = 10_000
BYTES_PER_SECOND_LIMIT = 6_144
SERVICE_CALLS_LIMIT = 2_000
MEMORY_LIMIT_MB = 128
STEP_MS = 50
SERVICE_ANSWER_MS = 3
"""Time that the settings service takes to answer a watch request."""


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of settings."""
    register_messages()
    yield from _parsing()
    sizes = (8,) if options.quick else (8, 380)
    for vms in sizes:
        yield from _in_force(vms, options)
        yield from _control_bytes(vms, options)
        yield _service_calls(vms, options)
    yield from _start_from_peers(options)


def _parsing() -> Iterator[Figure]:
    """Measure the text of a whole tree and one change to it, at the large size."""
    text = tree_text(LARGE_SIZE, 1)
    old = read_revision(text).unwrap()
    new = read_revision(tree_text(LARGE_SIZE, 2)).unwrap()
    change = change_between(old, new)
    yield Figure("settings_tree_bytes", len(text), "bytes", 1_048_576)
    yield Figure("settings_parse_ms", _median_ms(lambda: read_revision(text)), "ms")
    python_ms = _median_ms(lambda: list(yaml.parse(text, Loader=yaml.SafeLoader)), 1)
    c_library_ms = _median_ms(lambda: list(yaml.parse(text, Loader=yaml.CSafeLoader)))
    yield Figure("settings_yaml_events_ms", c_library_ms, "ms", python_ms)
    yield Figure("settings_change_bytes", len(change.patch), "bytes", len(text))
    apply_ms = _median_ms(lambda: apply_change(old, change))
    yield Figure("settings_apply_change_ms", apply_ms, "ms")
    held_mb, peak_mb = _memory_mb(lambda: read_revision(text))
    yield Figure("settings_held_mb", held_mb, "MB", MEMORY_LIMIT_MB)
    yield Figure("settings_parse_peak_mb", peak_mb, "MB", MEMORY_LIMIT_MB)


def _median_ms(action: Callable[[], Any], times: int = 5) -> float:
    durations = []
    for _ in range(times):
        started_at = time.perf_counter()
        action()
        durations.append(1_000 * (time.perf_counter() - started_at))
    return statistics.median(durations)


def _memory_mb(make: Callable[[], Any]) -> tuple[float, float]:
    """Return the memory of the result of ``make``, and the peak while it was made."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return held / 1e6, peak / 1e6


def _serving_world(
    vms: int,
    seed: int,
    size: TreeSize,
    on_send: Callable[[VmId, Any], None] | None = None,
) -> SettingsWorld:
    """Return a fleet that serves with revision 1 in force."""
    names = tuple(VmId(f"vm-{number}") for number in range(vms))
    world = SettingsWorld(names, PARTNER_COUNT, seed, on_send=on_send)
    world.serve(tree_text(size, 1))
    return world


def _in_force(vms: int, options: BenchOptions) -> Iterator[Figure]:
    """Measure the time from publishing a revision until it is in force on each VM."""
    changes = 5 if options.quick else 20
    watchers = {
        "service_up": chosen_watchers,
        "one_reader": lambda names, _: list(names)[:1],
    }
    for name, choose in watchers.items():
        world = _serving_world(vms, options.seed, SMALL_SIZE)
        delays: list[int] = []
        for revision in range(2, 2 + changes):
            published = world.now
            text = tree_text(SMALL_SIZE, revision)
            for vm in choose(world.vms, WatchOptions().watchers):
                due = world.now + SERVICE_ANSWER_MS
                world.network.call_at(due, partial(world.offer, vm, text))
            while world.now - published < IN_FORCE_LIMIT_MS and not all(
                revision in world.in_force_at[vm] for vm in world.vms
            ):
                world.advance(STEP_MS)
            limit = published + IN_FORCE_LIMIT_MS
            applied_at = (
                world.in_force_at[vm].get(revision, limit) for vm in world.vms
            )
            delays += [applied - published for applied in applied_at]
        prefix = f"settings_in_force_{name}_{vms}_vms"
        yield Figure(f"{prefix}_ms_p50", statistics.median(delays), "ms")
        yield Figure(f"{prefix}_ms_max", max(delays), "ms", IN_FORCE_LIMIT_MS)


def _control_bytes(vms: int, options: BenchOptions) -> Iterator[Figure]:
    """Measure the bytes that each VM sends for settings at ``CHANGES_PER_DAY``."""
    sent: Counter[VmId] = Counter()

    def count(sender: VmId, message: Any) -> None:
        sent[sender] += len(encode(message))

    changes = 2 if options.quick or vms > 100 else 20
    # The size of a change doesn't depend on the size of the tree, so the large
    # fleet is measured with a small tree.
    world = _serving_world(
        vms, options.seed, SMALL_SIZE if vms > 100 else LARGE_SIZE, count
    )
    size = SMALL_SIZE if vms > 100 else LARGE_SIZE
    world.advance(30_000)
    sent.clear()
    started_at = world.now
    for revision in range(2, 2 + changes):
        world.offer(world.vms[0], tree_text(size, revision))
        world.advance(CHANGE_INTERVAL_MS)
    seconds = (world.now - started_at) / 1_000
    rates = [sent[vm] / seconds for vm in world.vms]
    prefix = f"settings_bytes_per_second_{vms}_vms"
    yield Figure(
        f"{prefix}_mean", statistics.mean(rates), "bytes/s", BYTES_PER_SECOND_LIMIT
    )
    yield Figure(f"{prefix}_max", max(rates), "bytes/s", BYTES_PER_SECOND_LIMIT)


def _service_calls(vms: int, options: BenchOptions) -> Figure:
    """Count the calls that the fleet makes to the settings service in one hour."""
    rng = random.Random(options.seed)
    network = VirtualNetwork(rng)
    watch = WatchOptions()
    calls = 0

    def call(pacer: CallPacer, watches: bool) -> None:
        nonlocal calls
        calls += 1
        now = network.clock.now()
        until_change = CHANGE_INTERVAL_MS - now % CHANGE_INTERVAL_MS
        wait_ms = min(watch.wait_ms, until_change) if watches else 0
        has_change = until_change <= watch.wait_ms
        answer = ReadOutcome.NEWER if has_change else ReadOutcome.NOTHING_NEWER
        pause = pacer.pause_after(answer, watches)
        network.call_at(now + wait_ms + pause, partial(call, pacer, watches))

    for number in range(vms):
        pacer = CallPacer(watch, rng)
        first_call = partial(call, pacer, number < watch.watchers)
        network.call_at(rng.randrange(watch.poll_interval_ms), first_call)
    network.advance(3_600_000)
    name = f"settings_service_calls_per_second_{vms}_vms"
    return Figure(name, calls / 3_600, "calls/s", SERVICE_CALLS_LIMIT)


def _start_from_peers(options: BenchOptions) -> Iterator[Figure]:
    """Measure a VM that starts while the service is down, at the large size."""
    sent: Counter[VmId] = Counter()

    def count(sender: VmId, message: Any) -> None:
        sent[sender] += len(encode(message))

    world = _serving_world(8, options.seed, LARGE_SIZE, count)
    world.advance(5_000)
    sent.clear()
    vm = world.vms[3]
    world.restart(vm)
    started_at = world.now
    while world.replicas[vm].readiness(world.now) is not Readiness.READY:
        world.advance(100)
    seconds = (world.now - started_at) / 1_000
    yield Figure("settings_start_from_peers_s", seconds, "s")
    yield Figure("settings_start_from_peers_bytes", sent.total(), "bytes")
    rates = [sent[other] / seconds for other in world.vms if other != vm]
    name = "settings_start_from_peers_bytes_per_second_max"
    yield Figure(name, max(rates), "bytes/s", BYTES_PER_SECOND_LIMIT)
