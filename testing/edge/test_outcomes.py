from __future__ import annotations

import random

import pytest

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._outcomes import OutcomeCounts
from yuccafold.edge._outcomes import RecentOutcomes
from yuccafold.edge._outcomes import add_outcomes
from yuccafold.edge._outcomes import format_outcomes
from yuccafold.edge._outcomes import parse_outcomes
from yuccafold.edge._outcomes import summarize_failing

T1, T2 = TargetId("t1"), TargetId("t2")
REPORT_INTERVAL_MS = 700
DURATION_S = 7


def lost_share(
    vms,
    failing_share,
    reporting,
    targets=70,
    calls_per_second=350,
    disconnected_share=0.0,
):
    """Return the share of calls that are lost, and the share of targets avoided.

    ``failing_share`` of the targets fail all calls. Calls go to random targets that
    aren't known to be unhealthy. ``disconnected_share`` of the VMs reach no target
    at all; their calls don't count.
    """
    rng = random.Random(5)
    names = [TargetId(f"t{n}") for n in range(targets)]
    failing_ids = set(names[: round(failing_share * targets)])
    fleet = [RecentOutcomes() for _ in range(vms)]
    disconnected = round(disconnected_share * vms)
    calls = lost = left_out = 0
    for now in range(0, DURATION_S * 1_000, 1_000 // calls_per_second):
        sent_at = Milliseconds(now)
        if reporting and now % REPORT_INTERVAL_MS < 1_000 // calls_per_second:
            tables = [vm.local_outcomes(sent_at) for vm in fleet]
            total = summarize_failing(add_outcomes(tables))
            for vm, own in zip(fleet, tables, strict=True):
                vm.record_fleet_report(total, own, sent_at)
        number = rng.randrange(vms)
        vm = fleet[number]
        avoided = vm.unhealthy(names, sent_at)
        target = rng.choice([name for name in names if name not in avoided])
        is_good = target not in failing_ids and number >= disconnected
        vm.record_outcome(target, is_good, sent_at)
        if number >= disconnected:
            calls += 1
            lost += not is_good
            left_out += len(avoided)
    return lost / calls, left_out / (calls * targets)


@pytest.mark.parametrize("vms", [8, 85])
def test_fleet_reports_halve_the_calls_lost_to_failing_targets(vms):
    without_reports, _ = lost_share(vms, 0.13, reporting=False)
    with_reports, _ = lost_share(vms, 0.13, reporting=True)
    assert without_reports > 0.1
    assert with_reports < without_reports / 2


def test_disconnected_vms_make_no_target_unhealthy_for_the_others():
    _, left_out = lost_share(20, 0.0, reporting=True, disconnected_share=0.3)
    assert left_out < 0.01
    outcomes = RecentOutcomes()
    table = {TargetId(f"t{n}"): OutcomeCounts(5.0, 3.0) for n in range(20)}
    outcomes.record_fleet_report(summarize_failing(table), {}, Milliseconds(0))
    assert outcomes.unhealthy(list(table), Milliseconds(0)) == set()


def test_no_target_is_unhealthy_where_all_fail():
    outcomes = RecentOutcomes()
    table = {TargetId(f"t{n}"): OutcomeCounts(1.0, 20.0) for n in range(4)}
    outcomes.record_fleet_report(summarize_failing(table), {}, Milliseconds(0))
    assert outcomes.unhealthy(list(table), Milliseconds(0)) == set()


def test_target_is_healthy_again_after_seconds_without_failures():
    outcomes = RecentOutcomes()
    reported = summarize_failing(
        {T1: OutcomeCounts(0.0, 6.0), T2: OutcomeCounts(30.0, 0.0)}
    )
    outcomes.record_fleet_report(reported, {}, Milliseconds(0))
    assert outcomes.unhealthy([T1, T2], Milliseconds(100)) == {T1}
    assert outcomes.unhealthy([T1, T2], Milliseconds(1_900)) == set()


def test_failing_target_is_newly_failing_only_once():
    outcomes = RecentOutcomes()
    reported = summarize_failing(
        {T1: OutcomeCounts(0.0, 6.0), T2: OutcomeCounts(30.0, 2.0)}
    )
    assert outcomes.newly_failing(reported) == {T1}
    outcomes.record_fleet_report(reported, {}, Milliseconds(0))
    assert outcomes.newly_failing(reported) == set()


def test_outcomes_of_other_vms_expire():
    outcomes = RecentOutcomes()
    outcomes.record_fleet_report({T1: OutcomeCounts(0.0, 1_000.0)}, {}, Milliseconds(0))
    assert outcomes.unhealthy([T1], Milliseconds(2_000)) == {T1}
    assert outcomes.unhealthy([T1], Milliseconds(2_001)) == set()


def test_local_calls_are_not_counted_twice():
    outcomes = RecentOutcomes()
    for _ in range(2):
        outcomes.record_outcome(T1, False, Milliseconds(0))
    own = outcomes.local_outcomes(Milliseconds(0))
    outcomes.record_fleet_report(own, own, Milliseconds(0))
    assert outcomes.unhealthy([T1], Milliseconds(0)) == set()


def test_outcomes_are_dropped_when_old_or_of_gone_targets():
    outcomes = RecentOutcomes()
    outcomes.record_outcome(T1, False, Milliseconds(0))
    assert outcomes.local_outcomes(Milliseconds(60_000)) == {}
    outcomes.record_outcome(T1, False, Milliseconds(60_000))
    outcomes.forget(T1)
    assert outcomes._local == {}


def test_parsing_inverts_formatting():
    table = {T1: OutcomeCounts(1.5, 0.3), T2: OutcomeCounts(0.0, 12.0)}
    assert parse_outcomes(format_outcomes(table)) == table


@pytest.mark.parametrize("text", ["t1", "t1:2", "t1:x:1"])
def test_malformed_outcomes_are_an_error(text):
    with pytest.raises(ValueError, match="."):
        parse_outcomes(text)
