from __future__ import annotations

import pytest

from yuccafold.chaos import CALM_LETHAL
from yuccafold.chaos import PROTECTIONS
from yuccafold.chaos import ChaosRun
from yuccafold.chaos import Load
from yuccafold.chaos import Scenario
from yuccafold.chaos import prove


@pytest.mark.parametrize("seed", [1, 5, 9])
def test_seed_is_green_under_two_faults_at_a_time(seed):
    result = ChaosRun(seed).run()
    assert result.violations == ()
    assert result.answered > 0
    assert result.refused_not_run > 0
    assert result.may_have_run > 0


def test_seed_decides_everything():
    scenario = Scenario(Load(bookings=30, lookups=5, chats=5))
    assert ChaosRun(7, scenario).run() == ChaosRun(7, scenario).run()


def test_request_sent_by_eight_callers_ends_two_engines_at_most():
    result = ChaosRun(3, CALM_LETHAL).run()
    assert result.violations == ()
    assert result.engines_lost == 2


@pytest.mark.parametrize("name", ["claim-majority", "stream-end", "trial-arbiter"])
def test_run_notices_a_missing_protection(name):
    assert prove(PROTECTIONS[name]).violations
