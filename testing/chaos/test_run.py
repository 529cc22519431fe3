from __future__ import annotations

import pytest

from yuccafold.chaos import LETHAL_WITHOUT_FAULTS
from yuccafold.chaos import PROTECTIONS
from yuccafold.chaos import ChaosRun
from yuccafold.chaos import Load
from yuccafold.chaos import Scenario
from yuccafold.chaos import prove


@pytest.mark.parametrize("seed", [1, 5, 9])
def test_seed_has_no_violations_under_two_concurrent_faults(seed):
    result = ChaosRun(seed).run()
    assert result.violations == ()
    assert result.answered > 0
    assert result.refused_not_run > 0
    assert result.may_have_run > 0


def test_same_seed_gives_the_same_result():
    scenario = Scenario(Load(bookings=30, lookups=5, chats=5))
    assert ChaosRun(7, scenario).run() == ChaosRun(7, scenario).run()


def test_lethal_request_sent_by_eight_callers_crashes_only_two_engines():
    result = ChaosRun(3, LETHAL_WITHOUT_FAULTS).run()
    assert result.violations == ()
    assert result.engines_lost == 2


@pytest.mark.parametrize("name", ["claim-majority", "stream-end", "trial-arbiter"])
def test_run_detects_a_disabled_protection(name):
    assert prove(PROTECTIONS[name]).violations
