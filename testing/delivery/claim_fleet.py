"""Ledgers of several VMs whose messages a test delivers, drops or duplicates."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.delivery import Granted
from yuccafold.delivery import Member
from yuccafold.delivery import OnceLedger
from yuccafold.delivery import View
from yuccafold.settings import ClaimSettings

SETTINGS = ClaimSettings(seats=3, key_lifetime_ms=8_000, list_lag_ms=2_000)
PAUSE_LIMIT = Milliseconds(500)
STEP_MS = 100


@dataclass(frozen=True)
class Envelope:
    sender: VmId
    to: VmId
    message: object


def view_of(*vms):
    return View(Member(VmId(vm), "abcd"[int(vm[-1]) % 4]) for vm in vms)


class ClaimFleet:
    def __init__(self, view, settings=SETTINGS, now=1_000_000):
        self.now = now
        self.settings = settings
        self.in_transit = []
        self.views = {}
        self.last_incarnation = 0
        self.ledgers = {}
        self.outcomes = {}
        self.granted = {}
        for vm in sorted(view.vms):
            self.boot(vm, view)

    def boot(self, vm, view):
        self.last_incarnation += 1
        self.ledgers[vm] = OnceLedger(
            vm,
            Incarnation(self.last_incarnation),
            self.settings,
            PAUSE_LIMIT,
            Random(self.last_incarnation),
            self.now,
        )
        self.views[vm] = view
        self.ledgers[vm].confirm_view(view, self.now)

    def post(self, sender, outgoing):
        self.in_transit += [
            Envelope(sender, each.to, each.message) for each in outgoing
        ]
        for outcome in self.ledgers[sender].pop_outcomes():
            self.outcomes[outcome.call] = outcome
            if isinstance(outcome, Granted):
                self.granted[outcome.call] = sender

    def start(self, call, vm, key=b"key", digest=b"body"):
        outgoing = self.ledgers[vm].start(CallId(call), key, digest, self.now)
        self.post(vm, outgoing)

    def deliver(self, envelope):
        if envelope.to in self.ledgers:
            ledger = self.ledgers[envelope.to]
            self.post(
                envelope.to,
                ledger.handle(envelope.sender, envelope.message, self.now),
            )

    def settle(self):
        """Deliver all messages in order, including those sent meanwhile."""
        while self.in_transit:
            self.deliver(self.in_transit.pop(0))

    def tick(self, vms=None):
        for vm in sorted(self.ledgers) if vms is None else vms:
            self.post(vm, self.ledgers[vm].tick(self.now))

    def run(self, duration, settle=True):
        """Let ``duration`` ms pass; every VM runs and confirms its VM list."""
        until = self.now + duration
        while self.now < until:
            self.now = min(until, self.now + STEP_MS)
            for vm, ledger in self.ledgers.items():
                ledger.confirm_view(self.views[vm], self.now)
            self.tick()
            if settle:
                self.settle()

    def run_past_hold(self):
        """Run until the claims that voters may have forgotten have expired."""
        self.run(self.ledgers[min(self.ledgers)].timing.hold + STEP_MS)
