"""Simulates VMs that send calls to targets, some of which crash the targets."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from types import SimpleNamespace

from edge.builders import prompt
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold.edge._quarantine import Quarantine
from yuccafold.edge._quarantine import QuarantineSettings
from yuccafold.edge._quarantine import Standing
from yuccafold.edge._suspect_exchange import SuspectExchange
from yuccafold.edge._suspect_exchange import answer_suspects
from yuccafold.edge._suspects import crash_id

STEP_MS = 10
SEED_COUNT = 3
SEED_INTERVAL_MS = 250
CONTACT_MS = 3_000
RESTART_MS = 3_000
PREFILL_MS = 150
CRASH_MS = 60


def make_call(number, *parts, path="/chat/", body=b"", account="acme"):
    """Return a call whose last part is its own."""
    pairs = [(part, 100) for part in parts]
    own = [(f"own{number}", 10)] if parts else []
    return SimpleNamespace(
        head=SimpleNamespace(
            id=CallId(f"a{number}"),
            prompt=prompt(*pairs, *own),
            shared_parts=prompt(*pairs),
        ),
        admitted=SimpleNamespace(account=SimpleNamespace(id=account)),
        method=b"POST",
        target=path.encode(),
        body=body,
    )


@dataclass
class RunningCall:
    vm: SimulatedVm
    call: object
    started: int
    duration: int
    lethal: bool


@dataclass
class SimulatedVm:
    """One VM: its evidence and its exchanges with the seeds."""

    name: str
    seeds: list[SimulatedVm]
    interval: int
    cut_off: bool = False
    starts: int = 0
    quarantine: Quarantine = None
    exchanges: dict[str, SuspectExchange] = field(default_factory=dict)
    report_at: int = 0
    largest_message: int = 0

    def start(self, now):
        self.starts += 1
        settings = QuarantineSettings(
            makes_trials=self.seeds[0] is self,
            has_peers=True,
            epoch=f"{self.name}.{self.starts}",
        )
        self.quarantine = Quarantine(settings)
        self.exchanges = {
            seed.name: SuspectExchange(self.quarantine, seed.name)
            for seed in self.seeds
            if seed is not self
        }
        self.report_at = now

    def exchange(self, now):
        """Ask one seed, or on a seed all other seeds."""
        self.report_at = now + self.interval
        others = [seed for seed in self.seeds if seed is not self]
        if self not in self.seeds:
            others = [others[int(self.name[2:]) % len(others)]]
        for seed in others:
            if self.cut_off or seed.cut_off:
                continue
            query = self.exchanges[seed.name].query(now)
            fields = {name: str(value) for name, value in query.items()}
            answer = answer_suspects(seed.quarantine, fields | {"vm": self.name}, now)
            self.largest_message = max(
                self.largest_message, len(query["suspects"]), len(answer["suspects"])
            )
            self.exchanges[seed.name].record_answer(answer, now)


class QuarantineFleet:
    """VMs, targets that crash and start again, and callers."""

    def __init__(self, vm_count, target_count, seed=1, lethal_part="lethal"):
        self.rng = random.Random(seed)
        seeds = []
        interval = max(450, 5 * vm_count)
        self.vms = [
            SimulatedVm(f"vm{n}", seeds, SEED_INTERVAL_MS if n < 3 else interval)
            for n in range(vm_count)
        ]
        seeds += self.vms[:SEED_COUNT]
        for vm in self.vms:
            vm.start(0)
            vm.report_at = self.rng.randrange(vm.interval)
        self.lethal_part = lethal_part
        self.now = 0
        self.numbers = 0
        self.running = {f"t{n}": [] for n in range(target_count)}
        self.born = dict.fromkeys(self.running, 1)
        self.back_at = dict.fromkeys(self.running, 0)
        self.reached = []
        self.crashes = []
        self.lethal_crashes = []
        self.sound_sent = []
        self.sound_refused = []

    def run(self, duration_ms, sound_per_s=60, lethal_per_s=0.0, crashes_per_s=0.0):
        for _ in range(duration_ms // STEP_MS):
            self.now += STEP_MS
            for vm in self.vms:
                if vm.report_at <= self.now:
                    vm.exchange(self.now)
            for _ in range(self._arrivals(sound_per_s)):
                self.send_sound()
            for _ in range(self._arrivals(lethal_per_s)):
                self.send_lethal()
            for _ in range(self._arrivals(crashes_per_s)):
                self.crash(self.rng.choice(sorted(self._live())))
            self._finish_calls()

    def later_calls(self):
        """Return how many lethal calls reached targets once VMs had time to tell."""
        if len(self.lethal_crashes) < 5:
            return 0
        fifth = self.lethal_crashes[4]
        return sum(at > fifth + CONTACT_MS for at in self.reached)

    def send_sound(self):
        self.numbers += 1
        subject = f"subject{int(self.rng.expovariate(1 / 40))}"
        call = make_call(self.numbers, "first", subject)
        self.sound_sent.append(self.now)
        duration = self.rng.choice((200, 1_200, 2_500))
        self._send(call, duration, lethal=False)

    def send_lethal(self, vm=None, call=None):
        self.numbers += 1
        call = call or make_call(self.numbers, "first", self.lethal_part)
        return self._send(call, PREFILL_MS + CRASH_MS, lethal=True, vm=vm)

    def _send(self, call, duration, lethal, vm=None):
        vm = vm or self.rng.choice(self.vms)
        if vm.quarantine.standing(call, Milliseconds(self.now)) is Standing.QUARANTINED:
            vm.quarantine.record_refusal(call, Milliseconds(self.now))
            if not lethal:
                self.sound_refused.append(self.now)
            return False
        live = self._live()
        if live:
            target = self.rng.choice(sorted(live))
            self.running[target].append(
                RunningCall(vm, call, self.now, PREFILL_MS + duration, lethal)
            )
            if lethal:
                self.reached.append(self.now)
        return True

    def crash(self, target):
        crash = crash_id(target, self.born[target])
        for running in self.running[target]:
            answering = self.now - running.started - PREFILL_MS
            running.vm.quarantine.record_crash(
                running.call,
                crash,
                None if answering < 0 or running.lethal else Milliseconds(answering),
                Milliseconds(self.now),
            )
            running.vm.report_at = min(running.vm.report_at, self.now + 30)
        self.running[target] = []
        self.born[target] += 1
        self.back_at[target] = self.now + RESTART_MS
        self.crashes.append(self.now)

    def quarantined(self, vm):
        rows = vm.quarantine.rows(Milliseconds(self.now))
        return {row["what"] for row in rows if row["standing"] == "quarantined"}

    def _live(self):
        return [name for name, at in self.back_at.items() if at <= self.now]

    def _arrivals(self, per_second):
        expected = per_second * STEP_MS / 1_000
        return int(expected) + (self.rng.random() < expected % 1)

    def _finish_calls(self):
        for target, calls in self.running.items():
            if any(c.lethal and self.now >= c.started + c.duration for c in calls):
                self.crash(target)
                self.lethal_crashes.append(self.now)
                continue
            ended = [c for c in calls if self.now >= c.started + c.duration]
            for running in ended:
                running.vm.quarantine.record_sound(running.call, Milliseconds(self.now))
            if ended:
                self.running[target] = [c for c in calls if c not in ended]
