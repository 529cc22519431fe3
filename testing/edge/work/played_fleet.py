"""A small queue model of targets, and VMs that place a played load on them.

A target reads prompts one after the other and writes answers side by side in its
slots. VMs know each other's calls by reports that come late or are lost.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections import deque
from dataclasses import dataclass

from edge.builders import ENGINES
from edge.builders import ZONE
from edge.builders import catalogue
from edge.builders import prompt
from edge.builders import route
from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import CallId
from yuccafold.edge import Account
from yuccafold.edge import TargetLoad
from yuccafold.edge._call import Call
from yuccafold.edge._gate import Admitted
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import RouteName
from yuccafold.edge._placement import HolderMemory
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._placement import PlainPlacement
from yuccafold.edge._placement import PromptPlacement
from yuccafold.edge._view import KnownTarget
from yuccafold.edge._vm_reports import RunningCallsTopic
from yuccafold.edge.reports import Topics
from yuccafold.edge.work import MovesTopic
from yuccafold.edge.work import WorkBalance

TOKENS_A_MS = 64.2
STEP_MS = 4.23
EVENT_TOKENS = 7
EVENT_BYTES = 40
FETCH_SPEEDUP = 4
"""How much faster a prompt is fetched than read."""

REPORT_MS = 600
TOTAL_MS = 250
LOST_REPORTS = 0.05
LOAD_MULTIPLE = 2.0


@dataclass(frozen=True)
class Kind:
    """One kind of calls: tokens in, events out, calls a second and aim."""

    name: str
    shared: int
    own: int
    events: int
    rate: float
    aim: int
    prompts: int = 80

    @property
    def route(self):
        return route(
            f"/{self.name}/",
            ENGINES,
            name=RouteName(self.name),
            streams=bool(self.shared),
            latency_objective=Milliseconds(self.aim),
        )


REVIEWS = Kind("reviews", 10_512, 1_300, 55, 32.9, 1_019)
NOTES = Kind("notes", 699, 130, 42, 76.8, 1_008)
TAGS = Kind("tags", 2_041, 360, 3, 66.7, 1_509)
MIX = (REVIEWS, NOTES, TAGS)


def long_tail(rng):
    """Return a factor with median 1; some calls cost ten times as much as others."""
    return min(10.0, rng.lognormvariate(0, 0.7))


def as_usual(target, now):
    return 1.0


def slow_third(target, now):
    return 1.0 if target % 3 else 2.5 + target % 2 * 1.5


def by_turns(target, now):
    return 2.5 if (now // 600 + target) % 2 else 1.0


class PlayedTarget:
    """Slots, a queue, and what was read."""

    def __init__(self, number, slots, pace):
        self.number = number
        self.slots = slots
        self.pace = pace
        self.running = 0
        self.queue = deque()
        self.reads_until = 0.0
        self.held = set()

    def after(self, start, work):
        """Return when ``work`` that begins at ``start`` is done."""
        while True:
            pace = self.pace(self.number, int(start))
            until = (start // 100 + 1) * 100
            if work * pace <= until - start:
                return start + work * pace
            work -= (until - start) / pace
            start = until


@dataclass
class PlayedCall:
    call: Call
    kind: Kind
    vm: object
    sent_at: int
    events: float
    reads: float = 0.0
    placement: object = None
    first_at: float = 0.0
    ends_at: float = 0.0


class PlayedVm:
    """What one process of a VM knows."""

    def __init__(self, rng, tells_moves=True):
        self.loads, holders = LoadTable(), HolderMemory()
        self.holders = holders
        self.prompts = PromptPlacement(self.loads, holders, LOAD_MULTIPLE, rng)
        self.plain = PlainPlacement(self.loads, ZONE, rng)
        self.balance = WorkBalance(self.loads, holders, rng)
        topics = [RunningCallsTopic(self.loads), *self.balance.topics()]
        if tells_moves:
            topics.append(MovesTopic(self.balance.moved))
        self.topics = Topics(topics)


class PlayedFleet:
    """Plays a load for one way of choosing: ``today``, ``work`` or ``perfect``."""

    def __init__(
        self,
        choice,
        vms,
        kinds=MIX,
        factor=1.0,
        pace=as_usual,
        targets=30,
        slots=32,
        seed=1,
        restarts=True,
        states=True,
        tells_moves=True,
    ):
        self.choice, self.kinds, self.factor = choice, kinds, factor
        self.restarts, self.states = restarts, states
        self.tells_moves = tells_moves
        self.read_again = 0
        self.rng = random.Random(seed)
        self.known = [
            KnownTarget(
                target(f"t{n}", ENGINES, slots=slots, address=f"10.0.0.{n}:1"),
                Milliseconds(0),
            )
            for n in range(targets)
        ]
        self.targets = [PlayedTarget(n, slots, pace) for n in range(targets)]
        self.vms = [
            PlayedVm(random.Random(f"{seed} {n}"), tells_moves) for n in range(vms)
        ]
        self.reports = {}
        self.total = None
        self.heap = []
        self.order = itertools.count()
        self.ids = itertools.count()
        self.catalogue = catalogue(*(kind.route for kind in kinds))
        self.done, self.started, self.chosen = [], Counter(), []
        self.calls = self.above_bound = 0
        self.unevenness = []

    def at(self, when, what, *args):
        heapq.heappush(self.heap, (when, next(self.order), what, args))

    def run(self, duration, warm_up=3_000):
        self.warm_up, self.duration = warm_up, duration
        for kind in self.kinds:
            self.at(self.rng.random() * 50, self.arrive, kind)
        for n in range(len(self.vms)):
            self.at(self.rng.random() * REPORT_MS, self.report, n)
        self.at(TOTAL_MS, self.add_up)
        while self.heap and self.heap[0][0] < duration:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
        return self

    def report(self, n):
        now, vm = Milliseconds(int(self.now)), self.vms[n]
        local = vm.topics.local_report(now)
        if self.rng.random() >= LOST_REPORTS:
            self.reports[n] = (local, self.now)
        if self.total is not None and self.rng.random() >= LOST_REPORTS:
            vm.topics.record(self.total, local, now)
        self.at(self.now + self.rng.uniform(450, 750), self.report, n)

    def add_up(self):
        fresh = [
            (report, Milliseconds(int(self.now - sent_at)))
            for report, sent_at in self.reports.values()
            if self.now - sent_at <= 1_800
        ]
        if fresh:
            self.total = self.vms[0].topics.merge(fresh)
        if self.restarts and self.rng.random() < 0.2:
            n = self.rng.randrange(len(self.vms))
            rng = random.Random(f"{self.now} {n}")
            self.vms[n] = PlayedVm(rng, self.tells_moves)
        loads = [each.running + len(each.queue) for each in self.targets]
        if self.now > self.warm_up:
            self.unevenness.append(max(loads) - sum(loads) / len(loads))
        self.at(self.now + TOTAL_MS, self.add_up)

    def new_call(self, kind):
        rng = self.rng
        events = max(1.0, kind.events * long_tail(rng))
        parts = ()
        if kind.shared:
            shared = min(rng.randrange(kind.prompts), rng.randrange(kind.prompts))
            parts = prompt(
                (f"{kind.name}{shared}", kind.shared),
                (f"own{next(self.ids)}", max(1, int(kind.own * rng.uniform(0.5, 1.5)))),
            )
        tokens = events * EVENT_TOKENS
        head = CallHead(
            id=CallId(f"c{next(self.ids)}"),
            deadline=Milliseconds(0),
            api_key=None,
            prompt=parts,
            output_tokens=int(kind.events * EVENT_TOKENS * 10),
            length_hint=max(1, int(tokens * rng.lognormvariate(0, 0.5))),
        )
        account = Account(AccountId(f"a{rng.randrange(24)}"))
        admitted = Admitted(self.catalogue, kind.route, account)
        now = Milliseconds(int(self.now))
        call = Call(head, admitted, ENGINES, b"POST", b"/", (), b"", now, now)
        return call, events

    def arrive(self, kind):
        gap = self.rng.expovariate(kind.rate * self.factor / 1_000)
        self.at(self.now + gap, self.arrive, kind)
        call, events = self.new_call(kind)
        vm = self.rng.choice(self.vms)
        played = PlayedCall(call, kind, vm, int(self.now), events)
        now = Milliseconds(int(self.now))
        if self.choice == "perfect":
            for each in self.targets:
                known = self.known[each.number].record.id
                vm.balance.paces.record_stated(known, each.pace(each.number, now), now)
        options = {}
        if self.choice != "today":
            options["order"] = vm.balance.order(call, self.known, now)
        parts = call.head.prompt
        if parts:
            found = vm.prompts.choose(parts, self.known, self.known, now, **options)
        else:
            found = vm.plain.choose(self.known, now, **options)
        chosen = self.targets[self.known.index(found.target)]
        self.chosen.append(chosen.number)
        if self.now > self.warm_up:
            loads = [each.running + len(each.queue) for each in self.targets]
            bound = LOAD_MULTIPLE * sum(loads) / len(loads) + 3
            self.calls += 1
            self.above_bound += loads[chosen.number] > bound
            self.started[chosen.number] += 1
            self.done.append(played)
        vm.loads.start(found.target.record.id)
        vm.balance.start(call, found, now)
        played.placement = found
        played.reads = self.read_ms(chosen, played)
        if chosen.running < chosen.slots:
            self.begin(chosen, played)
        else:
            chosen.queue.append(played)

    def read_ms(self, chosen, played):
        parts = played.call.head.prompt
        if not parts:
            return 0.0
        shared, own = parts
        source = played.placement.fetch_from
        missing = 0.0
        if shared.id not in chosen.held:
            missing = shared.tokens / TOKENS_A_MS
            if source is not None:
                other = self.targets[self.known.index(source)]
                missing /= FETCH_SPEEDUP if shared.id in other.held else 1
            is_fetched = source is not None and shared.id in other.held
            is_held = any(shared.id in each.held for each in self.targets)
            self.read_again += is_held and not is_fetched and self.now > self.warm_up
        chosen.held.add(shared.id)
        return missing + own.tokens / TOKENS_A_MS

    def begin(self, chosen, played):
        chosen.running += 1
        writes = played.events * EVENT_TOKENS * STEP_MS
        if played.call.head.prompt:
            start = max(self.now, chosen.reads_until)
            chosen.reads_until = chosen.after(start, played.reads)
            played.first_at = chosen.after(chosen.reads_until, STEP_MS)
        else:
            played.first_at = self.now
            writes = played.events
        played.ends_at = chosen.after(played.first_at, writes)
        self.at(played.first_at, self.first_event, chosen, played)
        self.at(played.ends_at, self.end, chosen, played)

    def first_event(self, chosen, played):
        if played.call.head.prompt:
            now = Milliseconds(int(self.now))
            known = self.known[chosen.number].record.id
            played.vm.balance.record_first_event(played.call, known, now)
            played.vm.holders.record_read(played.call.head.prompt, known, now)
            self.hear(chosen, played, now)

    def hear(self, chosen, played, now):
        """Record the load that an answer states."""
        slowdown = chosen.pace(chosen.number, now) if self.states else None
        load = TargetLoad(chosen.running, len(chosen.queue), chosen.slots, slowdown)
        known = self.known[chosen.number].record.id
        played.vm.loads.record_target_report(known, load, now)
        played.vm.balance.record_load(known, load, now)

    def end(self, chosen, played):
        now = Milliseconds(int(self.now))
        known = self.known[chosen.number].record.id
        chosen.running -= 1
        if not played.call.head.prompt:
            self.hear(chosen, played, now)
        played.vm.loads.finish(known)
        size = int(played.events * EVENT_BYTES)
        played.vm.balance.finish(played.call, known, size, now)
        if chosen.queue:
            self.begin(chosen, chosen.queue.popleft())

    def in_time(self, kind=None):
        """Return the share of first events (plain: answers) within the aim.

        Calls count whose aim ended within the play.
        """
        counted = [
            played
            for played in self.done
            if (kind is None or played.kind is kind)
            and played.sent_at + played.kind.aim < self.duration
        ]
        return sum(self._is_in_time(played) for played in counted) / len(counted)

    @staticmethod
    def _is_in_time(played):
        ended = played.first_at if played.call.head.prompt else played.ends_at
        return 0 < ended <= played.sent_at + played.kind.aim
