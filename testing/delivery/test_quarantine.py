from __future__ import annotations

from random import Random

import pytest

from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.delivery import Fingerprint
from yuccafold.delivery import InFlight
from yuccafold.delivery import Member
from yuccafold.delivery import Quarantine
from yuccafold.delivery import Standing
from yuccafold.delivery import StrikesSpread
from yuccafold.delivery import TargetDeath
from yuccafold.delivery import TrialGranted
from yuccafold.delivery import View
from yuccafold.settings import Policy

VMS = tuple(VmId(f"vm-{number}") for number in range(4))
VIEW = View(Member(vm, "a") for vm in VMS)
SERVICE = ServiceId("menu")
POLICY = Policy(quarantine_ms=60_000)
LETHAL = Fingerprint(b"lethal")
BYSTANDER = Fingerprint(b"bystander")


class Fleet:
    def __init__(self):
        self.now = 0
        self.lost = frozenset()
        self.outcomes = []
        self.nodes = {vm: self.boot(vm) for vm in VMS}
        self.elapse(3_000)

    def boot(self, vm):
        node = Quarantine(vm, 500, Random(f"{vm} {self.now}"), self.now)
        node.confirm_view(VIEW, self.now)
        return node

    def carry(self, sender, outgoing):
        queue = [(sender, each) for each in outgoing]
        while queue:
            source, each = queue.pop(0)
            if each.to not in self.lost and source not in self.lost:
                replies = self.nodes[each.to].handle(source, each.message, self.now)
                queue += [(each.to, reply) for reply in replies]
        for node in self.nodes.values():
            self.outcomes += node.take_outcomes()

    def elapse(self, duration):
        for _ in range(duration // 100):
            self.now += 100
            for vm, node in self.nodes.items():
                node.confirm_view(VIEW, self.now)
                self.carry(vm, node.tick(self.now))

    def kill(self, vm, target, *in_flight):
        death = TargetDeath(
            SERVICE,
            TargetId(target),
            tuple(InFlight(CallId(call), each) for call, each in in_flight),
        )
        report = self.nodes[vm].target_died(death, POLICY, self.now)
        self.carry(vm, report.outgoing)
        return report.number

    def ask_trial(self, vm, call, fingerprint, target):
        self.carry(
            vm,
            self.nodes[vm].request_trial(
                CallId(call), SERVICE, fingerprint, TargetId(target), 2_000, self.now
            ),
        )
        return TrialGranted(call) in self.outcomes

    def standings(self, fingerprint):
        return {node.standing(fingerprint, self.now) for node in self.nodes.values()}


@pytest.fixture
def fleet():
    return Fleet()


def test_death_is_known_everywhere_before_the_answer_goes_out(fleet):
    number = fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    assert StrikesSpread(number) in fleet.outcomes
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_answer_waits_a_bounded_time_for_a_silent_vm(fleet):
    fleet.lost = frozenset({"vm-3"})
    number = fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    assert StrikesSpread(number) not in fleet.outcomes
    fleet.elapse(600)
    assert StrikesSpread(number) in fleet.outcomes
    fleet.lost = frozenset()
    fleet.elapse(1_000)
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_second_death_quarantines_for_a_while(fleet):
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    assert fleet.ask_trial("vm-0", "c1", LETHAL, "engine-2")
    fleet.kill("vm-0", "engine-2", ("c1", LETHAL))
    assert fleet.standings(LETHAL) == {Standing.QUARANTINED}
    assert fleet.nodes["vm-2"].refusal(LETHAL, fleet.now).retry_after_ms > 0
    fleet.elapse(POLICY.quarantine_ms + 1_000)
    assert fleet.standings(LETHAL) == {Standing.CLEAR}


def test_one_death_seen_by_many_vms_is_one_strike(fleet):
    for vm in VMS:
        fleet.kill(vm, "engine-1", (f"c-{vm}", LETHAL))
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_a_suspect_has_one_trial_at_a_time_over_the_fleet(fleet):
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    assert fleet.ask_trial("vm-0", "c1", LETHAL, "engine-2")
    assert not fleet.ask_trial("vm-3", "c2", LETHAL, "engine-3")
    fleet.elapse(3_000)
    assert TrialGranted("c2") not in fleet.outcomes


def test_two_suspects_are_not_tried_on_one_target(fleet):
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL), ("c2", BYSTANDER))
    assert fleet.ask_trial("vm-0", "c1", LETHAL, "engine-2")
    assert not fleet.ask_trial("vm-0", "c2", BYSTANDER, "engine-2")
    fleet.kill("vm-0", "engine-2", ("c1", LETHAL))
    fleet.carry("vm-0", fleet.nodes["vm-0"].trial_ended("c1", False, fleet.now))
    fleet.elapse(500)
    assert TrialGranted("c2") in fleet.outcomes
    assert fleet.standings(BYSTANDER) == {Standing.SUSPECT}


def test_bystander_that_succeeds_is_cleared_everywhere(fleet):
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL), ("c2", BYSTANDER))
    assert fleet.ask_trial("vm-0", "c2", BYSTANDER, "engine-2")
    fleet.carry("vm-0", fleet.nodes["vm-0"].trial_ended("c2", True, fleet.now))
    assert fleet.standings(BYSTANDER) == {Standing.CLEAR}
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_lift_and_late_reports(fleet):
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    strikes = fleet.nodes["vm-1"].suspects(fleet.now)
    assert [each.fingerprint for each in strikes] == [LETHAL]
    fleet.lost = frozenset({"vm-3"})
    fleet.carry("vm-1", fleet.nodes["vm-1"].lift(LETHAL, fleet.now))
    fleet.lost = frozenset()
    fleet.elapse(20_000)
    assert fleet.standings(LETHAL) == {Standing.CLEAR}


def test_restarted_vm_learns_the_strikes(fleet):
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    fleet.nodes["vm-2"] = fleet.boot("vm-2")
    fleet.elapse(500)
    assert fleet.standings(LETHAL) == {Standing.SUSPECT}


def test_unreachable_arbiter_means_no_second_try(fleet):
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    fleet.lost = frozenset({VIEW.home(SERVICE.encode())})
    asker = next(vm for vm in VMS if vm not in fleet.lost)
    assert not fleet.ask_trial(asker, "c1", LETHAL, "engine-2")
    fleet.elapse(2_500)
    assert [each.refusal.code for each in fleet.outcomes if hasattr(each, "refusal")]


def test_woken_vm_asks_the_arbiter_until_it_knows_the_strikes(fleet):
    fleet.lost = frozenset({"vm-2"})
    sleeper = fleet.nodes.pop("vm-2")
    fleet.kill("vm-0", "engine-1", ("c1", LETHAL))
    fleet.elapse(6_000)
    fleet.nodes["vm-2"], fleet.lost = sleeper, frozenset()
    assert sleeper.standing(LETHAL, fleet.now) is Standing.SUSPECT
    assert sleeper.standing(BYSTANDER, fleet.now) is Standing.SUSPECT
    fleet.elapse(300)
    assert sleeper.standing(LETHAL, fleet.now) is Standing.SUSPECT
    assert sleeper.standing(BYSTANDER, fleet.now) is Standing.CLEAR
