from __future__ import annotations

import random

from yuccafold._ids import VmId
from yuccafold.readers import CallPacer
from yuccafold.readers import ReadOutcome
from yuccafold.readers import WatchOptions
from yuccafold.readers import calls_per_second
from yuccafold.readers import chosen_watchers

SERVICE_LIMIT_CALLS_PER_SECOND = 2_000


def test_backoff_grows_to_its_limit_and_resets_after_an_answer():
    options = WatchOptions()
    pacer = CallPacer(options, random.Random(1))
    pauses = [pacer.pause_after(ReadOutcome.FAILED, watches=True) for _ in range(20)]
    assert pauses[0] <= options.first_backoff_ms
    assert options.max_backoff_ms / 2 <= pauses[-1] <= options.max_backoff_ms
    pacer.pause_after(ReadOutcome.NEWER, watches=True)
    again = pacer.pause_after(ReadOutcome.FAILED, watches=True)
    assert again <= options.first_backoff_ms


def test_every_vm_chooses_the_same_watchers():
    vms = [VmId(f"vm-{number}") for number in range(380)]
    chosen = chosen_watchers(vms, 8)
    assert len(chosen) == 8
    assert chosen == chosen_watchers(reversed(vms), 8)
    assert chosen_watchers(vms[:3], 8) == frozenset(vms[:3])


def test_fleet_of_380_vms_stays_far_below_the_service_rate():
    calls = calls_per_second(380, WatchOptions(), changes_per_day=1_500)
    assert calls < SERVICE_LIMIT_CALLS_PER_SECOND / 10
