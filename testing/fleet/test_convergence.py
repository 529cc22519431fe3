from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from yuccafold import fleet
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.bench._virtual_fleet import Faults
from yuccafold.bench._virtual_fleet import VirtualFleet

SIZE = 6
HEALED_MS = 60_000
TARGET = TargetId("engine-1")
vms = st.integers(0, SIZE - 1)
groups = st.sets(vms, min_size=1, max_size=SIZE - 1)
durations = st.integers(50, 20_000)


# Rules inject faults and let time pass in any order. After they end, all running VMs
# must agree on which VMs and targets are alive.
class FaultyFleet(RuleBasedStateMachine):
    """Faults of every kind; once they end, all agree on the truth."""

    def __init__(self):
        super().__init__()
        self.known = {}

    def vm(self, number):
        return self.virtual.vms[number]

    def now(self):
        return Milliseconds(self.virtual.now)

    @initialize(seed=st.integers(0, 1_000), regions=st.integers(1, 3))
    def fleet_starts(self, seed, regions):
        self.virtual = VirtualFleet(SIZE, seed, regions)

    @rule(duration=durations)
    def time_passes(self, duration):
        self.virtual.run(duration)

    @rule(
        loss=st.sampled_from([0.0, 0.05, 0.4]),
        duplicates=st.sampled_from([0.0, 0.5]),
        longest=st.sampled_from([3, 400, 8_000]),
    )
    def messages_are_lost_doubled_and_reordered(self, loss, duplicates, longest):
        self.virtual.faults = Faults(
            loss, duplicates, (1, longest), self.virtual.faults.severed
        )

    @rule(numbers=groups)
    def fleet_is_parted(self, numbers):
        side = {self.vm(number) for number in numbers}
        self.virtual.faults.severed = lambda one, other: (
            (one in side) != (other in side)
        )

    @rule(number=vms, duration=st.sampled_from([500, 2_000, 9_000, 40_000]))
    def vm_sleeps(self, number, duration):
        self.virtual.pause(self.vm(number), duration)

    @rule(number=vms)
    def vm_stops(self, number):
        self.virtual.stop(self.vm(number))

    @rule(number=vms)
    def vm_restarts(self, number):
        vm = self.vm(number)
        self.virtual.stop(vm)
        self.virtual.run(1)
        self.virtual.start(vm)
        self.virtual.publish(to=[vm])

    @rule(reader=vms, missing=groups)
    def lists_disagree(self, reader, missing):
        snapshot = self.virtual.snapshot(without=map(self.vm, missing))
        member = self.virtual.virtual_vms[self.vm(reader)]
        member.membership.apply_vm_list(snapshot, self.now())

    @rule(number=vms, evidence=st.sampled_from(fleet.TargetEvidence))
    def target_is_seen(self, number, evidence):
        targets = self.virtual.virtual_vms[self.vm(number)].membership.targets
        targets.observe(TARGET, evidence, self.now())

    @rule(number=vms)
    def vm_says_goodbye(self, number):
        vm = self.vm(number)
        self.virtual.virtual_vms[vm].membership.announce_leaving()
        self.virtual.send(vm, self.virtual.virtual_vms[vm].membership.leave_messages())
        self.virtual.stop(vm)

    @invariant()
    def no_view_invents_or_forgets_an_incarnation(self):
        for vm, member in self.virtual.virtual_vms.items():
            assert vm in member.membership.view.reachable
            for other, truth in self.virtual.virtual_vms.items():
                seen = member.membership.view.incarnation(other)
                assert seen <= truth.incarnation
                before = self.known.get((vm, member.incarnation, other), 0)
                if other in member.membership.view.listed:
                    assert seen >= before
                    self.known[vm, member.incarnation, other] = seen

    def teardown(self):
        self.virtual.faults = Faults()
        for member in self.virtual.virtual_vms.values():
            member.paused_until = min(member.paused_until, self.virtual.now)
        self.virtual.publish()
        self.virtual.run(HEALED_MS)
        running = {
            vm for vm, member in self.virtual.virtual_vms.items() if member.running
        }
        for vm in running:
            membership = self.virtual.virtual_vms[vm].membership
            assert membership.view.reachable == running | {vm}
            assert membership.superseded_by is None
            assert membership.targets.not_live(self.now()) == {}
            for other in running:
                known = membership.view.incarnation(other)
                assert known == self.virtual.virtual_vms[other].incarnation


FaultyFleet.TestCase.settings = settings(max_examples=40, stateful_step_count=15)
TestFaultyFleet = FaultyFleet.TestCase
