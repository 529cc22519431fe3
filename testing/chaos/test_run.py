from __future__ import annotations

import pytest

from yuccafold.chaos import PROTECTIONS
from yuccafold.chaos import ChaosRun
from yuccafold.chaos import Load
from yuccafold.chaos import run_without


@pytest.mark.parametrize("seed", [1, 5, 9])
def test_seed_is_green_under_two_faults_at_a_time(seed):
    result = ChaosRun(seed).run()
    assert result.violations == ()
    assert result.answered > 0
    assert result.refused_not_run > 0
    assert result.may_have_run > 0


def test_seed_decides_everything():
    load = Load(bookings=30, lookups=5, chats=5)
    assert ChaosRun(7, load).run() == ChaosRun(7, load).run()


def test_without_faults_every_operation_is_answered_and_no_engine_is_lost_twice():
    load = Load(bookings=40, lookups=10, chats=10, lethal=1)
    result = ChaosRun(3, load).run(with_faults=False)
    assert result.violations == ()
    assert result.engines_lost <= 2


@pytest.mark.parametrize("name", ["claim-majority", "stream-end"])
def test_run_notices_a_missing_protection(name):
    assert run_without(name, PROTECTIONS[name].seed).violations
