from __future__ import annotations

import random

import pytest

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.placement import FleetView
from yuccafold.placement import LedgerSettings
from yuccafold.placement import LoadLedger
from yuccafold.placement import SlotAsk
from yuccafold.placement import SlotGranted
from yuccafold.placement import TargetState

SERVICE = ServiceId("chat")
SETTINGS = LedgerSettings(
    list_lag_ms=Milliseconds(1_000), slot_lifetime_ms=Milliseconds(20_000)
)


def view_of(vms: list[VmId], targets: int) -> FleetView:
    states = tuple(
        TargetState(TargetId(f"engine-{n}"), ZoneId("a")) for n in range(targets)
    )
    return FleetView(tuple(vms), {SERVICE: states})


class Net:
    def __init__(self, vms: int, targets: int):
        self.now = 1_000
        self.names = [VmId(f"vm-{n}") for n in range(vms)]
        self.view = view_of(self.names, targets)
        self.ledgers = {
            vm: LoadLedger(vm, Incarnation(1), SETTINGS, Milliseconds(self.now))
            for vm in self.names
        }
        self.wire: list = []
        for vm, ledger in self.ledgers.items():
            self.send(vm, ledger.view_changed(self.view, self.now))

    def send(self, sender, outgoing):
        self.wire += [(sender, out.to, out.message) for out in outgoing]

    def flush(self):
        while self.wire:
            sender, to, message = self.wire.pop(0)
            self.send(to, self.ledgers[to].handle(sender, message, self.now))

    def run(self, duration, step=50):
        for _ in range(0, duration, step):
            self.now += step
            for vm, ledger in self.ledgers.items():
                self.send(vm, ledger.tick(self.now))
            self.flush()

    def ask(self, vm, target, multiple=1.25, lifetime=10_000):
        ask = SlotAsk(SERVICE, TargetId(target), Milliseconds(lifetime), multiple)
        _, out = self.ledgers[vm].request_slot(ask, self.now)
        self.send(vm, out)
        self.flush()
        (outcome,) = self.ledgers[vm].take_outcomes()
        return outcome


def test_every_vm_gets_slots_on_every_target_once_takeover_ended():
    net = Net(4, 5)
    net.run(3_000)
    for vm in net.names:
        for n in range(5):
            outcome = net.ask(vm, f"engine-{n}", multiple=10.0)
            assert isinstance(outcome, SlotGranted)
        # Higher floors, which raise the bound, wait for the interval.
        net.run(300)


def test_target_is_full_at_the_bound_and_open_again_after_release():
    net = Net(4, 5)
    net.run(3_000)
    first = net.ask(net.names[0], "engine-0")
    assert isinstance(first, SlotGranted)
    second = net.ask(net.names[1], "engine-0")
    assert not isinstance(second, SlotGranted)
    net.send(net.names[0], net.ledgers[net.names[0]].release(first.number, net.now))
    net.run(200)
    assert isinstance(net.ask(net.names[1], "engine-0"), SlotGranted)


def test_floors_let_the_bound_grow_with_the_service():
    net = Net(4, 5)
    net.run(3_000)
    rng = random.Random(1)
    granted = 0
    for _ in range(200):
        order = rng.sample(range(5), 5)
        vm = rng.choice(net.names)
        granted += any(
            isinstance(net.ask(vm, f"engine-{n}"), SlotGranted) for n in order
        )
        net.run(100)
        if granted >= 40:
            break
    assert granted >= 40


def test_leaving_vm_says_farewell_only_when_nothing_would_be_missed():
    net = Net(3, 5)
    net.run(3_000)
    leaving = net.names[0]
    held = net.ask(leaving, "engine-0")
    assert net.ledgers[leaving].leave(net.now) == []
    remaining = view_of(net.names[1:], 5)
    for vm, ledger in net.ledgers.items():
        net.send(vm, ledger.view_changed(remaining, net.now))
    net.run(4_000)
    assert net.ledgers[leaving].leave(net.now) == []
    net.send(leaving, net.ledgers[leaving].release(held.number, net.now))
    net.run(3_000)
    farewells = net.ledgers[leaving].leave(net.now)
    assert {out.to for out in farewells} == set(net.names[1:])


def test_request_may_not_outlast_the_slots():
    net = Net(2, 2)
    with pytest.raises(ValueError, match="lifetime of at most 20000 ms, got 20001"):
        net.ask(net.names[0], "engine-0", lifetime=20_001)
