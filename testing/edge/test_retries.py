from __future__ import annotations

import random

import pytest

from edge.builders import DESK
from edge.builders import edge_settings
from yuccafold._clock import Milliseconds
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._retries import Retries

RATIO = 0.2
SLACK = 204.0
WINDOW_S = 10


def retries_of(vms, told):
    """Return how often VMs send once more while all targets reject everything.

    Each VM was idle before; 700 calls a second come to random VMs.
    """
    fleet = []
    for _ in range(vms):
        loads = LoadTable()
        if told:
            loads.note_fleet({}, {}, vms, Milliseconds(0))
        settings = edge_settings(retry_ratio=RATIO, retry_slack=SLACK)
        fleet.append(Retries(settings, loads))
    rng = random.Random(1)
    calls, again = 700 * WINDOW_S, 0
    for _ in range(calls):
        vm = rng.choice(fleet)
        vm.note_call(DESK)
        while vm.has_token(DESK):
            vm.spend(DESK)
            again += 1
    return calls, again


@pytest.mark.parametrize("vms", [1, 8, 85, 204])
def test_retries_of_all_vms_stay_in_the_budget_when_all_targets_reject(vms):
    calls, again = retries_of(vms, told=True)
    assert again <= RATIO * calls + SLACK


def test_vms_that_were_told_nothing_keep_to_a_cautious_part():
    calls, again = retries_of(8, told=False)
    assert again <= RATIO * calls + SLACK


def test_idle_vm_may_still_retry_once():
    loads = LoadTable()
    loads.note_fleet({}, {}, 300, Milliseconds(0))
    vm = Retries(edge_settings(retry_ratio=RATIO, retry_slack=SLACK), loads)
    assert vm.has_token(DESK)
    vm.spend(DESK)
    assert not vm.has_token(DESK)
