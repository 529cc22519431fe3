"""Simulates VMs that send identical whole calls to a plain service with few targets."""

from __future__ import annotations

from edge.quarantine_fleet import STEP_MS
from edge.quarantine_fleet import QuarantineFleet
from edge.quarantine_fleet import RunningCall
from edge.quarantine_fleet import make_call
from yuccafold._clock import Milliseconds
from yuccafold.edge._quarantine import Standing
from yuccafold.edge._suspects import crash_id

CRASHES_BEFORE = 3
"""Crashes of one call from which the users' pages count, once VMs had time to tell."""

SOUND_MS = (20, 150)
CRASH_MS = 60
RESTART_MS = 3_300
MAX_ATTEMPTS = 2


class PlainCallFleet(QuarantineFleet):
    """Callers send one sound call, always alike, and one that crashes its target.

    VMs retry calls as the router does. ``served`` and ``refused`` hold the times of
    sound calls; those that found no target count as neither. Targets answer the share
    ``failing`` of all calls with an error instead of running them.
    """

    def __init__(self, vm_count, target_count, seed=1, failing=0.0):
        super().__init__(vm_count, target_count, seed)
        self.failing = failing
        self.served = []
        self.refused = []
        self.attempts = {}

    def run(self, duration_ms, sound_per_s=0.0, lethal_per_s=0.0):
        for _ in range(duration_ms // STEP_MS):
            self.now += STEP_MS
            for vm in self.vms:
                if vm.report_at <= self.now:
                    vm.exchange(self.now)
                    vm.quarantine.record_vm_count(len(self.vms))
            for _ in range(self._arrivals(sound_per_s)):
                self.call(b"sound", self.rng.choice(self.vms))
            for _ in range(self._arrivals(lethal_per_s)):
                self.call(b"lethal", self.rng.choice(self.vms))
            self._finish_calls()

    def burst(self, count=None):
        """Send the lethal call at many VMs in the same tenth of a second."""
        vms = self.rng.sample(self.vms, min(len(self.vms), count or len(self.vms)))
        for vm in vms:
            self.call(b"lethal", vm)
            if self.rng.random() < 0.5:
                self.run(STEP_MS)

    def later_calls(self):
        """Return how many lethal calls reached targets once VMs had time to tell."""
        if len(self.lethal_crashes) < CRASHES_BEFORE:
            return 0
        known_from = self.lethal_crashes[CRASHES_BEFORE - 1] + 3_000
        return sum(at > known_from for at in self.reached)

    def share_served(self, begin):
        served = sum(at >= begin for at in self.served)
        refused = sum(at >= begin for at in self.refused)
        return served / max(1, served + refused)

    def call(self, body, vm):
        self.numbers += 1
        call = make_call(self.numbers, path="/plain/same", body=body)
        vm.quarantine.begin_trial(call, Milliseconds(self.now))
        self._place(call, vm, body == b"lethal", frozenset())

    def answer_whole(self, body, vm):
        """Have a call of a VM get its whole answer."""
        call = make_call("sound", path="/plain/same", body=body)
        vm.quarantine.record_sound(call, Milliseconds(self.now))

    def _place(self, call, vm, lethal, tried):
        now = Milliseconds(self.now)
        if vm.quarantine.standing(call, now) is Standing.QUARANTINED:
            vm.quarantine.record_refusal(call, now)
            vm.quarantine.end_trial(call, reached_target=False)
            if not lethal:
                self.refused.append(self.now)
            return
        live = sorted(set(self._live()) - tried)
        if not live:
            vm.quarantine.end_trial(call, reached_target=False)
            return
        target = self.rng.choice(live)
        duration = CRASH_MS if lethal else self.rng.randint(*SOUND_MS)
        self.attempts[call.head.id] = tried | {target}
        self.running[target].append(RunningCall(vm, call, self.now, duration, lethal))
        if lethal:
            self.reached.append(self.now)

    def crash(self, target):
        crash = crash_id(target, self.born[target])
        broken, self.running[target] = self.running[target], []
        self.born[target] += 1
        self.back_at[target] = self.now + RESTART_MS
        now = Milliseconds(self.now)
        for running in broken:
            running.vm.quarantine.record_crash(running.call, crash, None, now)
            running.vm.report_at = min(running.vm.report_at, self.now + 30)
        for running in broken:
            quarantine = running.vm.quarantine
            tried = self.attempts.pop(running.call.head.id)
            is_clear = quarantine.standing(running.call, now) is Standing.CLEAR
            if is_clear and len(tried) < MAX_ATTEMPTS:
                self._place(running.call, running.vm, running.lethal, tried)
            else:
                quarantine.end_trial(running.call, reached_target=True)

    def _finish_calls(self):
        for target in sorted(self.running):
            ended = [
                running
                for running in self.running[target]
                if self.now >= running.started + running.duration
            ]
            for running in ended:
                if self.rng.random() < self.failing:
                    running.vm.quarantine.end_trial(running.call, reached_target=True)
                    self.attempts.pop(running.call.head.id)
                    self.running[target].remove(running)
            ended = [call for call in ended if call in self.running[target]]
            if any(running.lethal for running in ended):
                self.lethal_crashes.append(self.now)
                self.crash(target)
                continue
            for running in ended:
                now = Milliseconds(self.now)
                running.vm.quarantine.record_sound(running.call, now)
                running.vm.quarantine.end_trial(running.call, reached_target=True)
                self.attempts.pop(running.call.head.id)
                self.served.append(self.now)
                self.running[target].remove(running)
