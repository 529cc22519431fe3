"""Simulates a surging account on VMs that share its limit, in virtual time."""

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
MAX_DELAY_MS = 80
WARM_UP_S = 45
SURGE_S = 40
LIMIT_TOLERANCE = 1.05
WINDOW_S = 5
"""Length of the sliding window whose mean rate is compared with the limit."""


@final
@dataclass(frozen=True, slots=True)
class SurgeResult:
    """How the rate of admitted calls compares with the limit during the surge.

    ``seconds_over_limit`` is the time from the start of the surge until no window
    exceeds ``LIMIT_TOLERANCE`` times the limit. ``worst_second`` and
    ``settled_rate`` (the mean of the second half) are multiples of the limit.
    """

    seconds_over_limit: float
    worst_second: float
    settled_rate: float
    busiest_vm_bytes_per_s: float


@final
class _LimitFleet:
    """VMs on one virtual clock whose messages are delayed and may be lost."""

    def __init__(self, vms: int, loss: float, seed: int) -> None:
        self.now = Milliseconds(0)
        self.rng = random.Random(seed)
        self._loss = loss
        vm_ids = tuple(VmId(f"vm-{number}") for number in range(vms))
        self.vms = {
            vm_id: AccountLimits(
                vm_id, Incarnation(1), LimitSettings(), self.rng, self.now
            )
            for vm_id in vm_ids
        }
        for vm in self.vms.values():
            vm.view_changed(vm_ids, self.now)
        self._in_transit: list[tuple[int, VmId, Outgoing]] = []
        self.sent: Counter[VmId] = Counter()

    def tick(self) -> None:
        """Advance the clock by one tick, deliver due messages and tick every VM."""
        self.now = Milliseconds(self.now + TICK_MS)
        due = [entry for entry in self._in_transit if entry[0] <= self.now]
        self._in_transit = [entry for entry in self._in_transit if entry[0] > self.now]
        for _, sender, outgoing in due:
            replies = self.vms[outgoing.to].handle(sender, outgoing.message, self.now)
            self._send(outgoing.to, replies)
        for name, vm in self.vms.items():
            self._send(name, vm.tick(self.now))

    def _send(self, sender: VmId, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            self.sent[sender] += len(encode(item.message))
            if self.rng.random() >= self._loss:
                arrives_at = self.now + self.rng.randint(1, MAX_DELAY_MS)
                self._in_transit.append((arrives_at, sender, item))


def run_surge(vms: int, loss: float, seed: int) -> SurgeResult:
    """Raise an account's rate from half its limit to 20 times that, over all VMs."""
    register_messages()
    fleet = _LimitFleet(vms, loss, seed)
    policy = Policy(requests_per_second=LIMIT)
    vm_ids = tuple(fleet.vms)
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
            vm = fleet.vms[fleet.rng.choice(vm_ids)]
            if vm.admit(ACCOUNT, policy, 1, fleet.now) is None:
                per_second[second] += 1
                vm.finish(ACCOUNT, policy)
    rates = [per_second[WARM_UP_S + second] / LIMIT for second in range(SURGE_S)]
    seconds_over = [
        second
        for second in range(SURGE_S - WINDOW_S + 1)
        if sum(rates[second : second + WINDOW_S]) > LIMIT_TOLERANCE * WINDOW_S
    ]
    busiest_bytes_per_s = max(fleet.sent.values(), default=0) / SURGE_S
    last_rates = rates[SURGE_S // 2 :]
    return SurgeResult(
        float(max(seconds_over, default=-1) + 1),
        max(rates),
        sum(last_rates) / len(last_rates),
        busiest_bytes_per_s,
    )
