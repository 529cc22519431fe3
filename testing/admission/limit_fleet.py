"""VMs that exchange limit messages over a lossy network in simulated time."""

from __future__ import annotations

import random

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.admission import AccountLimits
from yuccafold.admission import LimitSettings
from yuccafold.settings import Policy

ACCOUNT = AccountId("acme")
TICK_MS = 50


class LimitFleet:
    """Sends calls to VMs and counts those admitted, refused and in progress."""

    def __init__(self, vms, policy, seed=1, loss=0.0, delay_ms=20):
        self.now = Milliseconds(10_000)
        self.policy = policy
        self.rng = random.Random(seed)
        self.loss = loss
        self.delay_ms = delay_ms
        self.names = [VmId(f"vm-{number}") for number in range(vms)]
        self.vms = {name: self._start(name) for name in self.names}
        self.running = dict.fromkeys(self.names, 0)
        self.admitted = []
        self.refused = 0
        self._in_transit = []

    def _start(self, name):
        vm = AccountLimits(
            name, Incarnation(self.now), LimitSettings(), self.rng, self.now
        )
        vm.view_changed(tuple(self.names), self.now)
        return vm

    def restart(self, name):
        self.vms[name] = self._start(name)
        self.running[name] = 0

    def call(self, name, tokens=1):
        refusal = self.vms[name].admit(ACCOUNT, self.policy, tokens, self.now)
        if refusal is None:
            self.admitted.append(self.now)
            self.running[name] += 1
        else:
            self.refused += 1
        return refusal

    def finish(self, name):
        if self.running[name]:
            self.running[name] -= 1
            self.vms[name].finish(ACCOUNT, self.policy)

    def shares(self):
        return sum(vm.share(ACCOUNT, self.now) for vm in self.vms.values())

    def leased(self):
        leases = (vm.leased(ACCOUNT, self.now) for vm in self.vms.values())
        return sum(share or 0.0 for share in leases)

    def tick(self):
        """Advance the time by one tick."""
        self.now = Milliseconds(self.now + TICK_MS)
        arrived = [entry for entry in self._in_transit if entry[0] <= self.now]
        self._in_transit = [entry for entry in self._in_transit if entry[0] > self.now]
        for _, sender, sent in arrived:
            if sent.to in self.vms:
                answers = self.vms[sent.to].handle(sender, sent.message, self.now)
                self._send(sent.to, answers)
        for name, vm in self.vms.items():
            self._send(name, vm.tick(self.now))

    def _send(self, sender, outgoing):
        for sent in outgoing:
            if self.rng.random() >= self.loss:
                delay = self.rng.randint(1, self.delay_ms)
                self._in_transit.append((self.now + delay, sender, sent))


def run(fleet, seconds, calls_per_tick):
    """Send ``calls_per_tick(name)`` calls to each VM in each tick."""
    for _ in range(round(seconds * 1_000 / TICK_MS)):
        fleet.tick()
        for name in fleet.names:
            for _ in range(calls_per_tick(name)):
                fleet.call(name)
                fleet.finish(name)


RATE_LIMIT = Policy(requests_per_second=40.0)
