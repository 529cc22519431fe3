from __future__ import annotations

from random import Random

import pytest

from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.delivery import Fingerprint
from yuccafold.delivery import InFlightCall
from yuccafold.delivery import Member
from yuccafold.delivery import Quarantine
from yuccafold.delivery import Standing
from yuccafold.delivery import StrikesSpread
from yuccafold.delivery import TargetCrash
from yuccafold.delivery import TrialGranted
from yuccafold.delivery import View
from yuccafold.settings import Policy

VMS = tuple(VmId(f"vm-{number}") for number in range(4))
VIEW = View(Member(vm, "a") for vm in VMS)
SERVICE = ServiceId("menu")
POLICY = Policy(quarantine_ms=60_000)
LETHAL = Fingerprint(b"lethal")
HARMLESS = Fingerprint(b"bystander")


class Fleet:
    def __init__(self):
        self.now = 0
        self.unreachable = frozenset()
        self.outcomes = []
        self.quarantines = {vm: self.boot(vm) for vm in VMS}
        self.elapse(3_000)

    def boot(self, vm):
        quarantine = Quarantine(vm, 500, Random(f"{vm} {self.now}"), self.now)
        quarantine.confirm_view(VIEW, self.now)
        return quarantine

    def deliver(self, sender, outgoing):
        queue = [(sender, each) for each in outgoing]
        while queue:
            source, each = queue.pop(0)
            if each.to not in self.unreachable and source not in self.unreachable:
                replies = self.quarantines[each.to].handle(
                    source, each.message, self.now
                )
                queue += [(each.to, reply) for reply in replies]
        for quarantine in self.quarantines.values():
            self.outcomes += quarantine.pop_outcomes()

    def elapse(self, duration):
        for _ in range(duration // 100):
            self.now += 100
            for vm, quarantine in self.quarantines.items():
                quarantine.confirm_view(VIEW, self.now)
                self.deliver(vm, quarantine.tick(self.now))

    def crash_target(self, vm, target, *in_flight):
        crash = TargetCrash(
            SERVICE,
            TargetId(target),
            tuple(InFlightCall(CallId(call), each) for call, each in in_flight),
        )
        report = self.quarantines[vm].report_target_crash(crash, POLICY, self.now)
        self.deliver(vm, report.outgoing)
        return report.number

    def request_trial(self, vm, call, fingerprint, target):
        self.deliver(
            vm,
            self.quarantines[vm].request_trial(
                CallId(call), SERVICE, fingerprint, TargetId(target), 2_000, self.now
            ),
        )
        return TrialGranted(call) in self.outcomes

    def standings(self, fingerprint):
        return {
            quarantine.standing(fingerprint, self.now)
            for quarantine in self.quarantines.values()
        }


@pytest.fixture
def fleet():
    return Fleet()


def test_crash_is_known_to_all_vms_before_the_answer_is_sent(fleet):
    number = fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    assert StrikesSpread(number) in fleet.outcomes
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_answer_waits_a_bounded_time_for_an_unreachable_vm(fleet):
    fleet.unreachable = frozenset({"vm-3"})
    number = fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    assert StrikesSpread(number) not in fleet.outcomes
    fleet.elapse(600)
    assert StrikesSpread(number) in fleet.outcomes
    fleet.unreachable = frozenset()
    fleet.elapse(1_000)
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_second_crash_quarantines_until_the_strikes_expire(fleet):
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    assert fleet.request_trial("vm-0", "c1", LETHAL, "engine-2")
    fleet.crash_target("vm-0", "engine-2", ("c1", LETHAL))
    assert fleet.standings(LETHAL) == {Standing.QUARANTINED}
    assert fleet.quarantines["vm-2"].refusal(LETHAL, fleet.now).retry_after_ms > 0
    fleet.elapse(POLICY.quarantine_ms + 1_000)
    assert fleet.standings(LETHAL) == {Standing.CLEAR}


def test_crash_reported_by_many_vms_counts_as_one_strike(fleet):
    for vm in VMS:
        fleet.crash_target(vm, "engine-1", (f"c-{vm}", LETHAL))
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_suspect_request_has_one_trial_at_a_time_in_the_fleet(fleet):
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    assert fleet.request_trial("vm-0", "c1", LETHAL, "engine-2")
    assert not fleet.request_trial("vm-3", "c2", LETHAL, "engine-3")
    fleet.elapse(3_000)
    assert TrialGranted("c2") not in fleet.outcomes


def test_two_suspects_are_not_tried_on_one_target_at_once(fleet):
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL), ("c2", HARMLESS))
    assert fleet.request_trial("vm-0", "c1", LETHAL, "engine-2")
    assert not fleet.request_trial("vm-0", "c2", HARMLESS, "engine-2")
    fleet.crash_target("vm-0", "engine-2", ("c1", LETHAL))
    fleet.deliver("vm-0", fleet.quarantines["vm-0"].end_trial("c1", False, fleet.now))
    fleet.elapse(500)
    assert TrialGranted("c2") in fleet.outcomes
    assert fleet.standings(HARMLESS) == {Standing.SUSPECT}


def test_suspect_request_that_succeeds_is_cleared_on_all_vms(fleet):
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL), ("c2", HARMLESS))
    assert fleet.request_trial("vm-0", "c2", HARMLESS, "engine-2")
    fleet.deliver("vm-0", fleet.quarantines["vm-0"].end_trial("c2", True, fleet.now))
    assert fleet.standings(HARMLESS) == {Standing.CLEAR}
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_lifted_strikes_stay_cleared_despite_late_reports(fleet):
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    strikes = fleet.quarantines["vm-1"].suspects(fleet.now)
    assert [each.fingerprint for each in strikes] == [LETHAL]
    fleet.unreachable = frozenset({"vm-3"})
    fleet.deliver("vm-1", fleet.quarantines["vm-1"].lift(LETHAL, fleet.now))
    fleet.unreachable = frozenset()
    fleet.elapse(20_000)
    assert fleet.standings(LETHAL) == {Standing.CLEAR}


def test_restarted_vm_learns_the_strikes(fleet):
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    fleet.quarantines["vm-2"] = fleet.boot("vm-2")
    fleet.elapse(500)
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_suspect_request_is_not_sent_without_a_reachable_arbiter(fleet):
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    fleet.unreachable = frozenset({VIEW.vm_for(SERVICE.encode())})
    requester = next(vm for vm in VMS if vm not in fleet.unreachable)
    assert not fleet.request_trial(requester, "c1", LETHAL, "engine-2")
    fleet.elapse(2_500)
    assert [each.refusal.code for each in fleet.outcomes if hasattr(each, "refusal")]


def test_paused_vm_treats_requests_as_suspect_until_it_knows_the_strikes(fleet):
    fleet.unreachable = frozenset({"vm-2"})
    paused = fleet.quarantines.pop("vm-2")
    fleet.crash_target("vm-0", "engine-1", ("c1", LETHAL))
    fleet.elapse(6_000)
    fleet.quarantines["vm-2"], fleet.unreachable = paused, frozenset()
    assert paused.standing(LETHAL, fleet.now) is Standing.SUSPECT
    assert paused.standing(HARMLESS, fleet.now) is Standing.SUSPECT
    fleet.elapse(300)
    assert paused.standing(LETHAL, fleet.now) is Standing.SUSPECT
    assert paused.standing(HARMLESS, fleet.now) is Standing.CLEAR
