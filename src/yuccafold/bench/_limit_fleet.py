"""A surging account before VMs that share its limit, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.admission import AccountLimits
from yuccafold.admission import LimitSettings
from yuccafold.admission import register_messages
from yuccafold.fleet import encode
from yuccafold.settings import Policy

ACCOUNT = AccountId("acme")
LIMIT = 100.0
SURGE_FACTOR = 20.0
TICK_MS = 50
DELAY_MS = 80
WARM_UP_S = 45
SURGE_S = 40
HELD = 1.05
WINDOW_S = 5
"""Over how many seconds a mean is held against the limit."""


@final
@dataclass(frozen=True, slots=True)
class SurgeResult:
    """``worst`` and ``settled`` are multiples of the limit."""

    held_after_s: float
    worst: float
    settled: float
    bytes: float


@final
class _Fleet:
    """VMs on one virtual clock whose messages are late and may be lost."""

    def __init__(self, vms: int, loss: float, seed: int) -> None:
        self.now = Milliseconds(0)
        self.rng = random.Random(seed)
        self._loss = loss
        names = tuple(VmId(f"vm-{number}") for number in range(vms))
        self.vms = {
            name: AccountLimits(
                name, Incarnation(1), LimitSettings(), self.rng, self.now
            )
            for name in names
        }
        for vm in self.vms.values():
            vm.view_changed(names, self.now)
        self._late: list[tuple[int, VmId, Outgoing]] = []
        self.sent: Counter[VmId] = Counter()

    def tick(self) -> None:
        """Go on by one tick."""
        self.now = Milliseconds(self.now + TICK_MS)
        due = [late for late in self._late if late[0] <= self.now]
        self._late = [late for late in self._late if late[0] > self.now]
        for _, sender, sent in due:
            answers = self.vms[sent.to].handle(sender, sent.message, self.now)
            self._send(sent.to, answers)
        for name, vm in self.vms.items():
            self._send(name, vm.tick(self.now))

    def _send(self, sender: VmId, outgoing: list[Outgoing]) -> None:
        for sent in outgoing:
            self.sent[sender] += len(encode(sent.message))
            if self.rng.random() >= self._loss:
                at = self.now + self.rng.randint(1, DELAY_MS)
                self._late.append((at, sender, sent))


def run_surge(vms: int, loss: float, seed: int) -> SurgeResult:
    """Let an account go from half its limit to 20 times that, on all VMs."""
    register_messages()
    fleet = _Fleet(vms, loss, seed)
    policy = Policy(requests_per_second=LIMIT)
    names = tuple(fleet.vms)
    per_second: Counter[int] = Counter()
    for step in range((WARM_UP_S + SURGE_S) * MS_PER_SECOND // TICK_MS):
        if step * TICK_MS == WARM_UP_S * MS_PER_SECOND:
            fleet.sent.clear()
        fleet.tick()
        second = (step * TICK_MS) // MS_PER_SECOND
        factor = SURGE_FACTOR if second >= WARM_UP_S else 1.0
        expected = LIMIT / 2 * factor * TICK_MS / MS_PER_SECOND
        calls = int(expected) + (fleet.rng.random() < expected % 1)
        for _ in range(calls):
            vm = fleet.vms[fleet.rng.choice(names)]
            if vm.admit(ACCOUNT, policy, 1, fleet.now) is None:
                per_second[second] += 1
                vm.finish(ACCOUNT, policy)
    rates = [per_second[WARM_UP_S + second] / LIMIT for second in range(SURGE_S)]
    over = [
        second
        for second in range(SURGE_S - WINDOW_S + 1)
        if sum(rates[second : second + WINDOW_S]) > HELD * WINDOW_S
    ]
    busiest = max(fleet.sent.values(), default=0) / SURGE_S
    last = rates[SURGE_S // 2 :]
    return SurgeResult(
        float(max(over, default=-1) + 1), max(rates), sum(last) / len(last), busiest
    )
