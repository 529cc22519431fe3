"""Plays VMs with sharing, callers that honour retry delays, and targets with slots."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass
from itertools import count

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState
from yuccafold.edge.reports import FleetReports
from yuccafold.edge.reports import Topics
from yuccafold.edge.reports import VmReport
from yuccafold.edge.sharing import AdmissionPolicy
from yuccafold.edge.sharing import ReturnDetector
from yuccafold.edge.sharing import sharing_topics

SERVICE = ServiceId("s")
STEP_MS = 20
TARGETS = 30
SLOTS = 32
MEMORY_TOKENS = 348_970
FULL_STRETCH = 5.0
CAPACITY_MS = TARGETS * SLOTS * 1_000 / FULL_STRETCH
QUEUE = 16
NETWORK_MS = 20


@dataclass(frozen=True)
class Kind:
    """One kind of call: urgency, rate, work at an idle target, limits of callers."""

    level: int
    rate: float
    cost_ms: float
    tokens: int
    deadline: int
    objective: int


REVIEWS = Kind(0, 32.9, 1_800, 11_800, 15_300, 1_019)
NOTES = Kind(1, 76.8, 1_300, 830, 12_000, 1_008)
TAGS = Kind(2, 66.7, 100, 2_400, 3_000, 1_509)
KINDS = (REVIEWS, NOTES, TAGS)
USUAL_MS = sum(kind.rate * kind.cost_ms for kind in KINDS)


class Job:
    """A call at or on its way to a target."""

    numbers = count()

    def __init__(self, kind, account, size, now):
        self.number = next(self.numbers)
        self.kind = kind
        self.account = account
        self.cost_ms = kind.cost_ms * size
        self.size = size
        self.left = self.cost_ms
        self.began_at = now
        self.deadline = now + kind.deadline
        self.attempts = 0
        self.promised = False
        self.was_admitted = False
        self.back_at = None
        self.outcome = None
        self.first_event = None
        self.vm = None
        self.admission = None

    def __lt__(self, other):
        return self.number < other.number


class Target:
    """A target that queues by urgency, and is slower the more calls run."""

    def __init__(self, number):
        self.record = TargetRecord(
            TargetId(f"t{number}"),
            SERVICE,
            f"10.0.0.{number}:80",
            ZoneId("z"),
            SLOTS,
            TargetState.READY,
        )
        self.running = []
        self.queue = []
        self.memory = 0

    @property
    def load(self):
        return TargetLoad(len(self.running), len(self.queue), SLOTS, 1.0)

    def offer(self, job, now):
        if len(self.queue) >= QUEUE:
            return False
        heapq.heappush(self.queue, (job.kind.level, job.number, job, now))
        return True

    def step(self, now):
        """Return the calls that began and those that ended."""
        begun, ended = [], []
        while self.queue and len(self.running) < SLOTS:
            job, at = self.queue[0][2:]
            if self.memory + job.kind.tokens > MEMORY_TOKENS and job.deadline > now:
                break
            heapq.heappop(self.queue)
            if job.deadline <= now:
                ended.append((job, None))
                continue
            self.memory += job.kind.tokens
            self.running.append((job, at))
            job.first_event = now
            begun.append(job)
        progress = STEP_MS / (1 + (FULL_STRETCH - 1) * len(self.running) / SLOTS)
        kept = []
        for job, at in self.running:
            job.left -= progress
            if job.left > 0 and job.deadline > now:
                kept.append((job, at))
                continue
            self.memory -= job.kind.tokens
            ended.append((job, now - at if job.left <= 0 else None))
        self.running = kept
        return begun, ended


class Vm:
    """One VM: its policy and its topics."""

    def __init__(self, name):
        self.policy = AdmissionPolicy(random.Random(name))
        self.returns = ReturnDetector()
        self.topics = Topics(sharing_topics(self.policy))
        self.running = set()


class SharedService:
    """A fleet of VMs before one service, with callers by kind and account."""

    def __init__(self, vms, seed, accounts=24, kinds=KINDS, skewed=False):
        self.rng = random.Random(seed)
        self.now = 0
        self.kinds = kinds
        self.names = [AccountId(f"a{number:02}") for number in range(accounts)]
        # A few accounts are large.
        self.accounts = {
            name: 1.0 / (1 + number) ** 0.8 for number, name in enumerate(self.names)
        }
        self.usual_weight = sum(self.accounts.values())
        self.vms = {}
        self.report_at = {}
        self.reports_lost = 0.0
        self.cut_off = set()
        self.targets = [Target(number) for number in range(TARGETS)]
        self.gone = []
        self.arriving = []
        self.jobs = []
        self.admitted = []
        self.in_flight = []
        self.kinds_of = {}
        self.impatient = frozenset()
        for number in range(vms):
            self.start(number)
            self.report_at[number] = self.rng.randrange(600)
        self.weights = [10.0 if skewed and n % 8 == 0 else 1.0 for n in range(vms)]
        self.seed = FleetReports(self.vms[0].topics)
        self.max_size = 3.0

    def start(self, number):
        """Start a VM, or start it again without its memory."""
        self.vms[number] = Vm(f"{number} {self.now}")
        self.report_at[number] = self.now + self.rng.randrange(200)

    def run(self, duration_ms, factor=1.0):
        """Let callers send ``factor`` times their usual rates."""
        for _ in range(duration_ms // STEP_MS):
            self.now += STEP_MS
            now = Milliseconds(self.now)
            for number, at in self.report_at.items():
                if at <= self.now:
                    self.report_at[number] = self.now + self.rng.randrange(450, 750)
                    if number not in self.cut_off:
                        self._report(number, now)
            self._send_calls(factor)
            while self.arriving and self.arriving[0][0] <= self.now:
                self._arrive(heapq.heappop(self.arriving)[1], now)
            for target in self.targets:
                begun, ended = target.step(self.now)
                for job in begun:
                    self._begin(job, target, now)
                for job, held in ended:
                    self._end(job, target, held, now)
            calls = sum(len(t.running) + len(t.queue) for t in self.targets)
            self.in_flight.append((self.now, calls))

    def lose_targets(self, part):
        """Take a part of the targets away at once, with their calls."""
        number = round(part * len(self.targets))
        self.gone, self.targets = self.targets[:number], self.targets[number:]
        for target in self.gone:
            for job, *_ in target.running:
                self._end(job, target, None, Milliseconds(self.now))
            for *_, job, _ in target.queue:
                self._end(job, target, None, Milliseconds(self.now))

    def return_targets(self):
        """Bring the lost targets back without calls."""
        for target in self.gone:
            target.running, target.queue, target.memory = [], [], 0
        self.targets, self.gone = self.targets + self.gone, []

    def admitted_rate(self, begin, end, account=None):
        """Return the milliseconds of work a second admitted between two times."""
        admitted = (
            job.cost_ms
            for at, job in self.admitted
            if begin <= at < end and account in (None, job.account)
        )
        return sum(admitted) / ((end - begin) / 1_000)

    def served(self, begin, end, wanted=lambda job: True):
        """Return the share of calls that began between two times that were served."""
        jobs = [j for j in self.jobs if begin <= j.began_at < end and wanted(j)]
        return sum(job.outcome == "served" for job in jobs) / max(1, len(jobs))

    def admitted_share(self, begin, end, wanted):
        """Return the share of calls that began between two times and got in."""
        jobs = [j for j in self.jobs if begin <= j.began_at < end and wanted(j)]
        return sum(job.was_admitted for job in jobs) / max(1, len(jobs))

    def refused(self, begin, end):
        """Return how many calls that began between two times were ever refused."""
        return sum(
            job.attempts > 1 or job.outcome == "refused"
            for job in self.jobs
            if begin <= job.began_at < end
        )

    def _report(self, number, now):
        vm = self.vms[number]
        report = vm.topics.local_report(now)
        if self.rng.random() >= self.reports_lost:
            self.seed.record_vm_report(f"vm{number}", report, now)
        if self.rng.random() >= self.reports_lost:
            total = self.seed.total(VmReport(vms=0), now)
            vm.topics.record(vm.topics.summarize(total), report, now)

    def _send_calls(self, factor):
        total = sum(self.accounts.values())
        for kind in self.kinds:
            rate = kind.rate * factor * total / self.usual_weight * STEP_MS / 1_000
            calls = int(rate) + (self.rng.random() < rate % 1)
            for _ in range(calls):
                account = self.rng.choices(self.names, self.accounts.values())[0]
                if kind not in self.kinds_of.get(account, self.kinds):
                    continue
                size = min(self.max_size, self.rng.lognormvariate(-0.125, 0.5))
                job = Job(kind, account, size, self.now)
                self.jobs.append(job)
                heapq.heappush(self.arriving, (self.now, job))

    def _arrive(self, job, now):
        number = self.rng.choices(range(len(self.weights)), self.weights)[0]
        vm = self.vms[number]
        job.attempts += 1
        left = Milliseconds(job.deadline - self.now)
        vm.policy.record_targets(SERVICE, [t.record for t in self.targets], now)
        admission = vm.policy.admit(
            SERVICE,
            job.kind.level,
            job.account,
            job.cost_ms,
            now,
            left,
            vm.returns.is_return(job.kind, left),
            now,
        )
        if admission.admitted:
            self._place(job, vm, admission, now)
        elif admission.retry_after is not None and job.attempts == 1:
            job.promised = True
            delay = admission.retry_after
            job.back_at = self.now + delay
            assert delay <= left / 3
            job.outcome = "refused"
            heapq.heappush(self.arriving, (self.now + delay + NETWORK_MS, job))
        elif job.account in self.impatient and job.attempts < 4:
            heapq.heappush(self.arriving, (self.now + NETWORK_MS, job))
        else:
            job.outcome = "refused"

    def _place(self, job, vm, admission, now):
        job.vm, job.admission, job.was_admitted = vm, admission, True
        self.admitted.append((self.now, job))
        target = min(
            self.rng.sample(self.targets, 4),
            key=lambda target: len(target.running) + len(target.queue),
        )
        if not target.offer(job, self.now):
            job.outcome = "rejected"
            vm.policy.record_rejection(admission, now)
            vm.policy.record_load(SERVICE, target.record.id, target.load, now)
            vm.policy.end(admission, None, now)

    def _begin(self, job, target, now):
        policy = job.vm.policy
        policy.record_load(SERVICE, target.record.id, target.load, now)
        policy.record_first_event(
            job.admission,
            Milliseconds(self.now - job.began_at),
            Milliseconds(job.kind.objective),
            now,
        )

    def _end(self, job, target, held, now):
        job.outcome = "failed" if held is None else "served"
        job.vm.policy.end(job.admission, held, now)


def shares_by(jobs, key):
    """Return the share of calls that were served by ``key``."""
    served, total = defaultdict(int), defaultdict(int)
    for job in jobs:
        total[key(job)] += 1
        served[key(job)] += job.outcome == "served"
    return {value: served[value] / total[value] for value in total}
