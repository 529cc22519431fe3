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
from yuccafold.placement import SlotGranted
from yuccafold.placement import SlotSpec
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


class Network:
    def __init__(self, vms: int, targets: int):
        self.now = 1_000
        self.names = [VmId(f"vm-{n}") for n in range(vms)]
        self.view = view_of(self.names, targets)
        self.ledgers = {
            vm: LoadLedger(vm, Incarnation(1), SETTINGS, Milliseconds(self.now))
            for vm in self.names
        }
        self.in_transit: list = []
        for vm, ledger in self.ledgers.items():
            self.send(vm, ledger.view_changed(self.view, self.now))

    def send(self, sender, outgoing):
        self.in_transit += [(sender, out.to, out.message) for out in outgoing]

    def flush(self):
        while self.in_transit:
            sender, to, message = self.in_transit.pop(0)
            self.send(to, self.ledgers[to].handle(sender, message, self.now))

    def run(self, duration, step=50):
        for _ in range(0, duration, step):
            self.now += step
            for vm, ledger in self.ledgers.items():
                self.send(vm, ledger.tick(self.now))
            self.flush()

    def request_slot(self, vm, target, multiple=1.25, lifetime=10_000):
        spec = SlotSpec(SERVICE, TargetId(target), Milliseconds(lifetime), multiple)
        _, out = self.ledgers[vm].request_slot(spec, self.now)
        self.send(vm, out)
        self.flush()
        (outcome,) = self.ledgers[vm].pop_outcomes()
        return outcome


def test_every_vm_gets_slots_on_every_target_after_takeover():
    network = Network(4, 5)
    network.run(3_000)
    for vm in network.names:
        for n in range(5):
            outcome = network.request_slot(vm, f"engine-{n}", multiple=10.0)
            assert isinstance(outcome, SlotGranted)
        # Raised floors, which raise the bound, are only sent after the floor interval.
        network.run(300)


def test_target_is_full_at_the_bound_until_a_release():
    network = Network(4, 5)
    network.run(3_000)
    first = network.request_slot(network.names[0], "engine-0")
    assert isinstance(first, SlotGranted)
    second = network.request_slot(network.names[1], "engine-0")
    assert not isinstance(second, SlotGranted)
    network.send(
        network.names[0],
        network.ledgers[network.names[0]].release(first.number, network.now),
    )
    network.run(200)
    assert isinstance(network.request_slot(network.names[1], "engine-0"), SlotGranted)


def test_bound_grows_with_the_floors_of_the_service():
    network = Network(4, 5)
    network.run(3_000)
    rng = random.Random(1)
    granted = 0
    for _ in range(200):
        order = rng.sample(range(5), 5)
        vm = rng.choice(network.names)
        granted += any(
            isinstance(network.request_slot(vm, f"engine-{n}"), SlotGranted)
            for n in order
        )
        network.run(100)
        if granted >= 40:
            break
    assert granted >= 40


def test_leave_notice_is_sent_only_when_no_slot_record_is_needed():
    network = Network(3, 5)
    network.run(3_000)
    leaving = network.names[0]
    held = network.request_slot(leaving, "engine-0")
    assert network.ledgers[leaving].leave(network.now) == []
    remaining = view_of(network.names[1:], 5)
    for vm, ledger in network.ledgers.items():
        network.send(vm, ledger.view_changed(remaining, network.now))
    network.run(4_000)
    assert network.ledgers[leaving].leave(network.now) == []
    network.send(leaving, network.ledgers[leaving].release(held.number, network.now))
    network.run(3_000)
    notices = network.ledgers[leaving].leave(network.now)
    assert {out.to for out in notices} == set(network.names[1:])


def test_request_longer_than_the_slot_lifetime_is_rejected():
    network = Network(2, 2)
    with pytest.raises(ValueError, match="lifetime of at most 20000 ms, got 20001"):
        network.request_slot(network.names[0], "engine-0", lifetime=20_001)
