from __future__ import annotations

import random

import pytest
from result import Err
from result import Ok

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._verdict import Verdict
from yuccafold.admission import AccountLimits
from yuccafold.admission import LimitSettings
from yuccafold.control._call_placer import CallPlacer
from yuccafold.control._commands import PlaceCall
from yuccafold.placement import FleetView
from yuccafold.placement import LedgerSettings
from yuccafold.placement import LoadLedger
from yuccafold.placement import TargetState
from yuccafold.settings import Policy

CHAT = ServiceId("chat")
ZONE = ZoneId("zone-a")
LONG_QUEUE_DEADLINE = Policy(queue_deadline_ms=60_000)


class Vm:
    """A VM that owns two engines and does not grant slots right after its start."""

    def __init__(self):
        self.now = Milliseconds(10_000)
        rng = random.Random(1)
        vm = VmId("vm-0")
        slots = LedgerSettings(list_lag_ms=Milliseconds(1_000))
        ledger = LoadLedger(vm, Incarnation(1), slots, self.now)
        limits = AccountLimits(vm, Incarnation(1), LimitSettings(), rng, self.now)
        self.placer = CallPlacer(ZONE, ledger, slots, limits, rng)
        engines = tuple(TargetState(TargetId(f"engine-{n}"), ZONE) for n in range(2))
        self.placer.view_changed(FleetView((vm,), {CHAT: engines}), self.now)

    def place(self, policy, number=1):
        command = PlaceCall(
            CallId(f"call-{number}"),
            AccountId("acme"),
            CHAT,
            None,
            (),
            False,
            frozenset(),
            policy,
            Milliseconds(self.now + 300_000),
        )
        self.placer.place(command, self.now)
        return command

    def run(self, duration):
        for _ in range(duration // 50):
            self.now = Milliseconds(self.now + 50)
            self.placer.ledger.tick(self.now)
            self.placer.tick(self.now)


def test_call_waits_until_the_owner_grants_slots():
    vm = Vm()
    command = vm.place(LONG_QUEUE_DEADLINE)
    assert not command.reply.is_set
    assert vm.placer.queue_length == 1
    vm.run(30_000)
    assert isinstance(command.reply.value, Ok)
    assert vm.placer.queue_length == vm.placer.waiting == 0


def test_call_is_refused_as_not_run_after_its_queue_deadline():
    vm = Vm()
    command = vm.place(Policy(queue_deadline_ms=200))
    vm.run(150)
    assert not command.reply.is_set
    vm.run(50)
    assert isinstance(command.reply.value, Err)
    refusal = command.reply.value.err_value
    assert (refusal.status, refusal.code) == (503, "no-capacity")
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms > 0


def test_full_queue_refuses_at_once():
    vm = Vm()
    policy = Policy(queue_deadline_ms=60_000, queue_length=1)
    waiting, refused = vm.place(policy, 1), vm.place(policy, 2)
    assert not waiting.reply.is_set
    assert isinstance(refused.reply.value, Err)


def test_cancelled_call_gets_no_slot():
    vm = Vm()
    command = vm.place(LONG_QUEUE_DEADLINE)
    vm.placer.cancel(command, vm.now)
    assert vm.placer.queue_length == 0
    vm.run(30_000)
    assert not command.reply.is_set
    assert vm.placer.ledger.pop_outcomes() == []


@pytest.mark.parametrize("end", ["released", "cancelled", "refused"])
def test_call_counts_against_its_account_until_it_ends(end):
    vm = Vm()
    policy = Policy(queue_deadline_ms=20_000, concurrent_requests=1)
    first = vm.place(policy, 1)
    assert vm.place(policy, 2).reply.value.err_value.code == "rate-limited"
    if end == "refused":
        vm.placer.view_changed(FleetView((), {CHAT: ()}), vm.now)
    vm.run(30_000 if end != "cancelled" else 0)
    if end == "released":
        vm.placer.release(first.reply.value.ok_value.number, vm.now)
    elif end == "cancelled":
        vm.placer.cancel(first, vm.now)
    else:
        assert isinstance(first.reply.value, Err)
    third = vm.place(policy, 3).reply.value
    assert third is None or isinstance(third, Ok)
