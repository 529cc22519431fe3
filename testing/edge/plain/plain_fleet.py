"""Simulates VMs that send calls to a few targets, which turn slow by turns."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from math import exp

from edge.builders import DESK
from edge.builders import catalogue
from edge.builders import edge_settings
from edge.builders import route
from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ZoneId
from yuccafold.edge._call import Call
from yuccafold.edge._gate import Admitted
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._placement import PlainPlacement
from yuccafold.edge._reader import REPORT_INTERVAL
from yuccafold.edge._retries import Retries
from yuccafold.edge._router import REPORT_SHARING_INTERVAL
from yuccafold.edge._view import KnownTarget
from yuccafold.edge._vm_reports import RunningCallsTopic
from yuccafold.edge.plain import AnswerPaces
from yuccafold.edge.plain import AnswerPacesTopic
from yuccafold.edge.plain import NoRoom
from yuccafold.edge.plain import SmallServices
from yuccafold.edge.reports import FleetReports
from yuccafold.edge.reports import Topics

SLOTS = 6
ZONES = 3
SEEDS = 3
WORK_MS = 22.5
WORK_SIGMA = 0.8
AIM_MS = 150
DEADLINE_MS = 600
SLOWDOWN = 2.5
SLOW_MS = 600
ONCE_SHARE = 2 / 3
RETRY_RATIO, RETRY_SLACK = 0.2, 166.0
MAX_CONNECTIONS = 440

ONCE = route("/once/", latency_objective=Milliseconds(AIM_MS), max_attempts=1)
SAFE = route("/safe/", latency_objective=Milliseconds(AIM_MS))
CATALOGUE = catalogue(ONCE, SAFE)


@dataclass(eq=False)
class SimCall:
    route: object
    arrived_at: float
    work: float
    vm: object
    sends: int = 0
    runs: list = field(default_factory=list)
    ended_at: float | None = None
    refused: bool = False

    @property
    def as_seen(self):
        """What the router knows of the call."""
        head = CallHead(CallId(str(id(self))), Milliseconds(DEADLINE_MS), None)
        admitted = Admitted(CATALOGUE, self.route, None)
        arrived_at = Milliseconds(int(self.arrived_at))
        deadline = Milliseconds(arrived_at + DEADLINE_MS)
        return Call(head, admitted, DESK, b"GET", b"/", (), b"", arrived_at, deadline)

    @property
    def in_time(self):
        return self.ended_at is not None and self.ended_at - self.arrived_at <= AIM_MS

    @property
    def served(self):
        spent = None if self.ended_at is None else self.ended_at - self.arrived_at
        return spent is not None and spent <= DEADLINE_MS


@dataclass(eq=False)
class Run:
    """One attempt of a call at a target; dropped once it is given up."""

    call: SimCall
    target: object
    sent_at: float
    dropped: bool = False


class SimTarget:
    def __init__(self, fleet, number):
        self.fleet = fleet
        record = target(f"t{number}", zone=ZoneId(f"z{number % ZONES}"), slots=SLOTS)
        self.known = KnownTarget(record, Milliseconds(0))
        self.running = []
        self.queue = []
        self.is_gone = False

    @property
    def in_flight(self):
        return len(self.running) + len(self.queue)

    def slowdown(self, now):
        """Half of the targets are slow, others in each turn."""
        if not self.fleet.turns_slow:
            return 1.0
        turn = int(now // self.fleet.slow_ms)
        order = random.Random(f"{self.fleet.seed} {turn}")
        slow = order.sample(range(len(self.fleet.targets)), len(self.fleet.targets))
        half = len(slow) / 2
        slow_count = int(half) + (order.random() < half % 1)
        return SLOWDOWN if self.fleet.targets.index(self) in slow[:slow_count] else 1.0

    def accept(self, run):
        self.queue.append(run)
        self.begin()

    def begin(self):
        while self.queue and len(self.running) < SLOTS:
            run = self.queue.pop(0)
            self.running.append(run)
            now = self.fleet.now
            self.fleet.at(now + run.call.work * self.slowdown(now), self.end, run)

    def end(self, run):
        if run in self.running and not run.dropped:
            self.running.remove(run)
            self.begin()
            self.fleet.answered(run)

    def state_load(self, vm):
        """State the load and the pace in an answer to ``vm``."""
        slowdown = self.slowdown(self.fleet.now)
        load = TargetLoad(len(self.running), len(self.queue), SLOTS, slowdown)
        record, now = self.known.record, self.fleet.time
        vm.loads.record_target_report(record.id, load, now)
        vm.services.record_stated(record, slowdown, now)

    def drop(self, run):
        for runs in (self.running, self.queue):
            if run in runs:
                runs.remove(run)
        self.begin()


class SimVm:
    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.zone = ZoneId(f"z{number % ZONES}")
        self.starts = count()
        self.start()

    def start(self):
        """Start with an empty memory."""
        rng = random.Random(f"{self.fleet.seed} {self.number} {next(self.starts)}")
        self.loads, self.paces = LoadTable(), AnswerPaces()
        self.services = SmallServices(
            self.loads, self.paces, self.zone, rng, self.fleet.settings
        )
        self.plain = PlainPlacement(self.loads, self.zone, rng)
        self.retries = Retries(
            edge_settings(retry_ratio=RETRY_RATIO, retry_slack=RETRY_SLACK), self.loads
        )
        self.topics = Topics(
            [RunningCallsTopic(self.loads), AnswerPacesTopic(self.paces)]
        )
        self.reports = FleetReports(self.topics)

    def place(self, usable, call, now):
        records = [known.record for known in self.fleet.listed]
        self.services.update(DESK, records, states_slowdown=True)
        if not self.services.places(DESK):
            return self.plain.choose(usable, now)
        return self.services.choose(call.as_seen, usable, {}, now)


class PlainFleet:
    """``calls`` holds the calls, ``busy`` the samples of calls in flight."""

    def __init__(
        self,
        vms,
        seed=1,
        targets=3,
        turns_slow=True,
        settings=None,
        sees_all=False,
        slow_ms=SLOW_MS,
        skew=0.0,
    ):
        self.seed, self.turns_slow, self.settings = seed, turns_slow, settings
        self.sees_all, self.slow_ms, self.skew = sees_all, slow_ms, skew
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events, self.order = [], count()
        self.targets = [SimTarget(self, number) for number in range(targets)]
        self.listed = [sim.known for sim in self.targets]
        self.vms = [SimVm(self, number) for number in range(vms)]
        self.calls, self.busy = [], []
        self.hedges = 0
        self.reports_lost = False
        for vm in self.vms:
            self.at(self.rng.uniform(0, REPORT_INTERVAL), self.report, vm)
        for seed_vm in self.vms[:SEEDS]:
            self.at(self.rng.uniform(0, REPORT_SHARING_INTERVAL), self.share, seed_vm)

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.order), action, args))

    def run(self, duration, calls_per_second):
        self.rate = calls_per_second / 1_000
        self.ends_at = self.now + duration
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        self.at(self.now + 10, self.sample)
        while self.events and self.events[0][0] <= self.ends_at + DEADLINE_MS:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)

    @property
    def time(self):
        return Milliseconds(int(self.now))

    def report(self, vm):
        """Exchange a report with a seed, as VMs do once or twice a second."""
        self.at(self.now + REPORT_INTERVAL * self.rng.uniform(1, 1.6), self.report, vm)
        if self.reports_lost:
            return
        seed_vm = self.vms[vm.number % SEEDS]
        local = vm.topics.local_report(self.time)
        if vm is not seed_vm:
            fields = vm.topics.format(local, self.time)
            received = seed_vm.topics.parse(fields, self.time)
            seed_vm.reports.record_vm_report(str(vm.number), received, self.time)
        own = seed_vm.topics.local_report(self.time)
        total = seed_vm.reports.total(own, self.time)
        fields = seed_vm.topics.format(total, self.time)
        vm.topics.record(vm.topics.parse(fields, self.time), local, self.time)

    def share(self, seed_vm):
        """Have the other seeds learn the sum of a seed."""
        self.at(self.now + REPORT_SHARING_INTERVAL, self.share, seed_vm)
        if self.reports_lost:
            return
        own = seed_vm.topics.local_report(self.time)
        fields = seed_vm.topics.format(
            seed_vm.reports.seed_total(own, self.time), self.time
        )
        for other in self.vms[:SEEDS]:
            if other is not seed_vm:
                report = other.topics.parse(fields, self.time)
                other.reports.record_seed_report(str(seed_vm.number), report, self.time)

    def arrive(self):
        if self.now < self.ends_at:
            self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        mu = -(WORK_SIGMA**2) / 2
        work = WORK_MS * exp(self.rng.gauss(mu, WORK_SIGMA))
        chosen = ONCE if self.rng.random() < ONCE_SHARE else SAFE
        vms = self.vms[::ZONES] if self.rng.random() < self.skew else self.vms
        call = SimCall(chosen, self.now, work, self.rng.choice(vms))
        self.calls.append(call)
        call.vm.retries.record_call(DESK)
        self.send(call, ())

    def send(self, call, tried):
        usable = [known for known in self.listed if known.record.id not in tried]
        placed = self.perfect(usable) if self.sees_all else None
        placed = placed or call.vm.place(usable, call, self.time)
        if placed is None or isinstance(placed, NoRoom):
            call.refused = not call.runs
            return
        known = placed.target
        chosen = next(sim for sim in self.targets if sim.known is known)
        if chosen.is_gone:
            # A connection to a target that is gone is refused at once.
            call.vm.services.finish(call.as_seen, known.record.id)
            if not call.runs:
                self.send(call, (*tried, known.record.id))
            return
        call.sends += 1
        run = Run(call, chosen, self.now)
        call.runs.append(run)
        call.vm.loads.start(known.record.id)
        chosen.accept(run)
        if call.route is SAFE and call.sends == 1:
            left = Milliseconds(int(call.arrived_at + DEADLINE_MS - self.now))
            delay = call.vm.services.hedge_delay(DESK, SAFE, left)
            if delay is not None:
                self.at(self.now + delay, self.hedge, run)
        self.at(call.arrived_at + DEADLINE_MS, self.give_up, run)

    def perfect(self, usable):
        """Choose by the true state of all targets."""

        def expected(known):
            sim = next(sim for sim in self.targets if sim.known is known)
            wait = max(0, sim.in_flight + 1 - SLOTS) / SLOTS
            return sim.slowdown(self.now) * (1 + wait), self.rng.random()

        class Chosen:
            target = min(usable, key=expected)

        return Chosen

    def hedge(self, run):
        """Send a call to a second target; the first runs on."""
        call = run.call
        if run.dropped or not call.vm.retries.may_hedge(DESK):
            return
        self.send(call, (run.target.known.record.id,))
        if call.sends > 1:
            call.vm.retries.spend(DESK)
            self.hedges += 1

    def answered(self, run):
        call, record = run.call, run.target.known.record
        call.ended_at = self.now
        run.target.state_load(call.vm)
        self.finish(run)
        spent = self.spent(run)
        call.vm.services.record_duration(record, call.route, spent, self.time)
        for slower in call.runs:
            if not slower.dropped:
                self.finish(slower)
                slower.target.drop(slower)
                record, spent = slower.target.known.record, self.spent(slower)
                call.vm.services.record_silence(record, call.route, spent, self.time)

    def give_up(self, run):
        if run.call.ended_at is None and not run.dropped:
            self.finish(run)
            run.target.drop(run)

    def finish(self, run):
        """Count the end of an attempt at its VM."""
        run.dropped = True
        vm, record = run.call.vm, run.target.known.record
        vm.loads.finish(record.id)
        vm.services.finish(run.call.as_seen, record.id)

    def spent(self, run):
        return Milliseconds(int(self.now - run.sent_at))

    def sample(self):
        if self.now < self.ends_at:
            self.at(self.now + 10, self.sample)
            self.busy.extend(sim.in_flight for sim in self.targets)

    def lose_target(self):
        """Have a target vanish with its calls; it is unlisted a second later."""
        gone = self.targets[0]
        gone.is_gone = True
        for run in (*gone.running, *gone.queue):
            self.finish(run)
        gone.running, gone.queue = [], []
        self.at(self.now + 1_000, self.listed.remove, gone.known)

    def restart(self, vms):
        """Have VMs lose their memory and their calls."""
        for vm in vms:
            for sim in self.targets:
                for run in (*sim.running, *sim.queue):
                    if run.call.vm is vm:
                        self.calls.remove(run.call)
                        run.dropped = True
                        sim.drop(run)
            vm.start()

    def share_of(self, holds):
        return sum(map(holds, self.calls)) / len(self.calls)
