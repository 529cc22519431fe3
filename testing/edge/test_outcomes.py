from __future__ import annotations

import random

import pytest

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._outcomes import RecentOutcomes
from yuccafold.edge._outcomes import Seen
from yuccafold.edge._outcomes import add_outcomes
from yuccafold.edge._outcomes import failing
from yuccafold.edge._outcomes import read_outcomes
from yuccafold.edge._outcomes import write_outcomes

T1, T2 = TargetId("t1"), TargetId("t2")
TELL_EVERY = 700
TROUBLE_S = 7


def lost_share(vms, sick_share, told, targets=70, calls_a_second=350, cut=0.0):
    """Return which share of the calls is lost while targets fail all they get, and
    which share of the choices of a target is left out.

    Calls go to any target that is not known as sick. ``cut`` is the share of VMs
    that reach no target at all, and whose calls do not count.
    """
    rng = random.Random(5)
    names = [TargetId(f"t{n}") for n in range(targets)]
    sick = set(names[: round(sick_share * targets)])
    fleet = [RecentOutcomes() for _ in range(vms)]
    blind = round(cut * vms)
    calls = lost = left_out = 0
    for now in range(0, TROUBLE_S * 1_000, 1_000 // calls_a_second):
        at = Milliseconds(now)
        if told and now % TELL_EVERY < 1_000 // calls_a_second:
            tables = [vm.own(at) for vm in fleet]
            total = failing(add_outcomes(tables))
            for vm, own in zip(fleet, tables, strict=True):
                vm.note_fleet(total, own, at)
        number = rng.randrange(vms)
        vm = fleet[number]
        avoided = vm.sick(names, at)
        target = rng.choice([name for name in names if name not in avoided])
        is_good = target not in sick and number >= blind
        vm.note(target, is_good, at)
        if number >= blind:
            calls += 1
            lost += not is_good
            left_out += len(avoided)
    return lost / calls, left_out / (calls * targets)


@pytest.mark.parametrize("vms", [8, 85])
def test_calls_are_lost_to_failing_targets_for_a_short_time_only(vms):
    alone, _ = lost_share(vms, 0.13, told=False)
    told, _ = lost_share(vms, 0.13, told=True)
    assert alone > 0.1
    assert told < alone / 2


def test_vms_that_reach_nothing_make_no_target_sick_for_the_others():
    _, left_out = lost_share(20, 0.0, told=True, cut=0.3)
    assert left_out < 0.01
    outcomes = RecentOutcomes()
    table = {TargetId(f"t{n}"): Seen(5.0, 3.0) for n in range(20)}
    outcomes.note_fleet(failing(table), {}, Milliseconds(0))
    assert outcomes.sick(list(table), Milliseconds(0)) == set()


def test_service_whose_targets_all_fail_has_no_sick_one():
    outcomes = RecentOutcomes()
    table = {TargetId(f"t{n}"): Seen(1.0, 20.0) for n in range(4)}
    outcomes.note_fleet(failing(table), {}, Milliseconds(0))
    assert outcomes.sick(list(table), Milliseconds(0)) == set()


def test_target_is_tried_again_once_nobody_saw_it_fail_for_seconds():
    outcomes = RecentOutcomes()
    told = failing({T1: Seen(0.0, 6.0), T2: Seen(30.0, 0.0)})
    outcomes.note_fleet(told, {}, Milliseconds(0))
    assert outcomes.sick([T1, T2], Milliseconds(100)) == {T1}
    assert outcomes.sick([T1, T2], Milliseconds(1_900)) == set()


def test_failing_target_is_new_only_once():
    outcomes = RecentOutcomes()
    told = failing({T1: Seen(0.0, 6.0), T2: Seen(30.0, 2.0)})
    assert outcomes.newly_told(told) == {T1}
    outcomes.note_fleet(told, {}, Milliseconds(0))
    assert outcomes.newly_told(told) == set()


def test_word_of_other_vms_is_forgotten():
    outcomes = RecentOutcomes()
    outcomes.note_fleet({T1: Seen(0.0, 1_000.0)}, {}, Milliseconds(0))
    assert outcomes.sick([T1], Milliseconds(2_000)) == {T1}
    assert outcomes.sick([T1], Milliseconds(2_001)) == set()


def test_own_calls_are_not_counted_twice():
    outcomes = RecentOutcomes()
    for _ in range(2):
        outcomes.note(T1, False, Milliseconds(0))
    own = outcomes.own(Milliseconds(0))
    outcomes.note_fleet(own, own, Milliseconds(0))
    assert outcomes.sick([T1], Milliseconds(0)) == set()


def test_outcomes_of_long_ago_and_of_gone_targets_are_dropped():
    outcomes = RecentOutcomes()
    outcomes.note(T1, False, Milliseconds(0))
    assert outcomes.own(Milliseconds(60_000)) == {}
    outcomes.note(T1, False, Milliseconds(60_000))
    outcomes.forget(T1)
    assert outcomes._own == {}


def test_outcomes_travel_as_text():
    table = {T1: Seen(1.5, 0.3), T2: Seen(0.0, 12.0)}
    assert read_outcomes(write_outcomes(table)) == table


@pytest.mark.parametrize("text", ["t1", "t1:2", "t1:x:1"])
def test_malformed_outcomes_are_an_error(text):
    with pytest.raises(ValueError, match="."):
        read_outcomes(text)
