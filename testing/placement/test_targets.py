from __future__ import annotations

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.placement import LedgerSettings
from yuccafold.placement import TargetState
from yuccafold.placement._open_targets import OpenTargets

SERVICE = ServiceId("chat")
LAG = 1_000
ONE, TWO = TargetId("one"), TargetId("two")


def view(*names):
    return {SERVICE: tuple(TargetState(name, ZoneId("a")) for name in names)}


def targets_at(now, *names):
    targets = OpenTargets(LedgerSettings(list_lag_ms=Milliseconds(LAG)))
    targets.view_changed(view(*names), Milliseconds(now))
    return targets


def test_joining_target_is_counted_at_once_and_open_after_the_lag():
    targets = targets_at(0, ONE)
    targets.view_changed(view(ONE, TWO), Milliseconds(5_000))
    assert targets.count(SERVICE, Milliseconds(5_000)) == 2
    assert not targets.is_open(TWO, Milliseconds(5_000 + LAG - 1))
    assert targets.is_open(TWO, Milliseconds(5_000 + LAG))


def test_leaving_target_closes_at_once_and_is_counted_for_twice_the_lag():
    targets = targets_at(0, ONE, TWO)
    targets.view_changed(view(ONE), Milliseconds(5_000))
    assert not targets.is_open(TWO, Milliseconds(5_000))
    assert targets.count(SERVICE, Milliseconds(5_000 + 2 * LAG - 1)) == 2
    assert targets.count(SERVICE, Milliseconds(5_000 + 2 * LAG)) == 1


def test_target_absent_for_less_than_the_lag_opens_again_at_once():
    targets = targets_at(0, ONE, TWO)
    targets.view_changed(view(ONE), Milliseconds(5_000))
    targets.view_changed(view(ONE, TWO), Milliseconds(5_000 + LAG - 1))
    assert targets.is_open(TWO, Milliseconds(5_000 + LAG - 1))
