from __future__ import annotations

import random

from result import Ok

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.control._commands import EnterTarget
from yuccafold.control._commands import LeaveTarget
from yuccafold.control._commands import ReportCrash
from yuccafold.control._quarantine import TargetGuard
from yuccafold.delivery import Member
from yuccafold.delivery import Quarantine
from yuccafold.delivery import Standing
from yuccafold.delivery import View
from yuccafold.delivery import fingerprint
from yuccafold.settings import Policy

NOW = Milliseconds(10_000)
DESK = ServiceId("desk")
FIRST = TargetId("t0")
SECOND = TargetId("t1")
FINGERPRINT = fingerprint("/desk", b"body")


def make_guard():
    vm = VmId("a")
    quarantine = Quarantine(vm, Milliseconds(1_000), random.Random(1), NOW)
    quarantine.confirm_view(View([Member(vm, ZoneId("z"))]), NOW)
    return TargetGuard(quarantine)


def enter(guard, call, target, now=NOW):
    command = EnterTarget(CallId(call), DESK, FINGERPRINT, target, 500)
    assert guard.enter(command, now) == []
    guard.settle()
    return command


def report_crash(guard, target, now=NOW):
    command = ReportCrash(DESK, target, Policy())
    guard.report(command, now)
    guard.quarantine.tick(now)
    guard.settle()
    return command


def test_admitted_request_that_becomes_suspect_may_not_be_sent():
    guard = make_guard()
    enter(guard, "one", FIRST)
    enter(guard, "two", SECOND)
    assert guard.may_send(CallId("two"), SECOND, NOW)
    assert report_crash(guard, FIRST).reply.value is True
    assert guard.quarantine.standing(FINGERPRINT, NOW) is Standing.SUSPECT
    assert not guard.may_send(CallId("two"), SECOND, NOW)


def test_suspect_request_is_cleared_by_an_answered_trial():
    guard = make_guard()
    enter(guard, "one", FIRST)
    report_crash(guard, FIRST)
    guard.leave(LeaveTarget(CallId("one"), FIRST, answered=False), NOW)
    trial = enter(guard, "two", SECOND)
    assert trial.reply.value == Ok(None)
    assert guard.may_send(CallId("two"), SECOND, NOW)
    guard.leave(LeaveTarget(CallId("two"), SECOND, answered=True), NOW)
    assert guard.quarantine.standing(FINGERPRINT, NOW) is Standing.CLEAR


def test_second_crash_quarantines_the_request():
    guard = make_guard()
    for call, target in (("one", FIRST), ("two", SECOND)):
        enter(guard, call, target)
        report_crash(guard, target)
        guard.leave(LeaveTarget(CallId(call), target, answered=False), NOW)
    refused = enter(guard, "three", TargetId("t2"))
    assert refused.reply.value.err_value.code == "quarantined"
