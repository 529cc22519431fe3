"""Plays one VM through random troubles of its targets, without a network."""

from __future__ import annotations

import pickle
import random
from urllib.parse import urlencode

from edge.builders import DESK
from edge.builders import ENGINES
from edge.builders import catalogue
from edge.builders import edge_settings
from edge.builders import prompt
from edge.builders import route
from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import ZoneId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge import Account
from yuccafold.edge import AnswerFacts
from yuccafold.edge import CallHead
from yuccafold.edge import Catalogue
from yuccafold.edge import FeatureMode
from yuccafold.edge import Repeatability
from yuccafold.edge import ServiceSpec
from yuccafold.edge import SocketAddress
from yuccafold.edge import SoftwareVersion
from yuccafold.edge import TargetLoad
from yuccafold.edge import TargetState
from yuccafold.edge._attempts import cut_off
from yuccafold.edge._attempts import not_admitted
from yuccafold.edge._attempts import origin_unknown
from yuccafold.edge._attempts import quarantined
from yuccafold.edge._attempts import stopping
from yuccafold.edge._call import receive_call
from yuccafold.edge._gate import Gate
from yuccafold.edge._health import Outcome
from yuccafold.edge._outcomes import OutcomeCounts
from yuccafold.edge._placement import Placement
from yuccafold.edge._quarantine import Standing
from yuccafold.edge._streams import OriginSource
from yuccafold.edge._suspects import crash_id
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView
from yuccafold.edge.explain import Explainer
from yuccafold.edge.explain import parse_question
from yuccafold.edge.sharing._demand import AccountDemand
from yuccafold.edge.sharing._demand import Work
from yuccafold.edge.sharing._work import ServiceWork

KEYS = {"secret-of-acme": "acme", "secret-of-bulk": "bulk"}
HOST = "fleet.example"
SPOTS = ServiceId("spots")
ZONES = tuple(map(ZoneId, "abc"))
VERSIONS = tuple(map(SoftwareVersion, ("v1", "v2")))
SEED = SocketAddress("10.0.0.9", 90)
BUSY = ServiceWork({0: 40, 4: 90}, 90_000.0, 90.0, 90_000.0, 270_000.0, 90_000.0, 90.0)

ROUTES = (
    route(
        "/chat/",
        ENGINES,
        Repeatability.RESUMABLE,
        streams=True,
        timeout=15_000,
        priority=0,
    ),
    route("/look/", DESK, Repeatability.IDEMPOTENT),
    route("/book/", SPOTS),
    route("/any/", DESK, services=((DESK, 2.0), (SPOTS, 1.0)), public=True),
)


def shared_catalogue():
    accounts = {key: Account(AccountId(name)) for key, name in KEYS.items()}
    base = catalogue(*ROUTES, accounts=accounts)
    services = {
        name: ServiceSpec(name, "/health", 100, 8, cold_rate=10.0)
        for name in (DESK, ENGINES, SPOTS)
    }
    return Catalogue(1, base.routes, services, base.limits, accounts, base.by_host)


class PlayedVm:
    """The decisions of one VM, and what happens to it; ``takes`` is false in a stop."""

    def __init__(self, seed, now=10_000):
        self.play = random.Random(seed)
        self.now = Milliseconds(now)
        self.takes = True
        self.rng = random.Random(seed)
        self.settings = edge_settings(
            seeds=(SEED,),
            peers=SEED,
            cold_multiple=1.5,
            cold_slack=5.0,
            evacuate_within=Milliseconds(2_000),
            placing_by_work=self.play.choice([FeatureMode.AUTO, FeatureMode.OFF]),
        )
        self.view = PlatformView(
            Milliseconds(2_000), evacuate_within=Milliseconds(2_000)
        )
        self.targets = Targets(self.view, self.settings, self.rng)
        self.gate = Gate(self.view, self.settings, self.rng)
        self.explainer = Explainer(
            self.view, self.targets, self.settings, self.rng, lambda _: self.takes
        )
        self.running = []
        self.calls = 0
        self.view.apply(shared_catalogue())
        self.confirm()
        for number, service in enumerate([ENGINES] * 8 + [DESK] * 4 + [SPOTS] * 3):
            self.put(number, service, VERSIONS[0])
        self.sample = self.receive(
            {
                "path": "/chat/a",
                "account": "acme",
                "call": "c",
                "prompt": "p0:800,own:50",
            }
        )
        self.wait(5_000)

    @property
    def state(self):
        """All that decisions go by and change, as bytes."""
        return pickle.dumps((self.targets, self.view, self.rng))

    def put(self, number, service, software, **changes):
        zone = ZONES[number % len(ZONES)]
        values = {"zone": zone, "software": software, "slots": 2, **changes}
        self.view.put_target(target(f"t{number}", service, **values), self.now)

    def confirm(self):
        self.view.confirm(self.now)

    def wait(self, duration):
        self.now = Milliseconds(self.now + duration)
        self.targets.record_vm_count(self.now)
        if self.play.random() < 0.9:
            self.confirm()

    def some(self, service=None):
        """Return some target of a service."""
        service = service or self.play.choice([ENGINES, DESK, SPOTS])
        return self.play.choice(self.view.present(service)).record

    def question(self):
        """Return the parameters of a question about a random call."""
        path, account = self.play.choice(
            [
                *[("/chat/a", "acme")] * 6,
                *[("/look/a", "acme")] * 3,
                *[("/book/a", "bulk")] * 3,
                ("/any/a", None),
                ("/chat/a", "nobody"),
                ("/lost", "acme"),
            ]
        )
        value = {"host": HOST, "path": path, "call": f"c{self.calls}"}
        self.calls += 1
        if account is not None:
            value["account"] = account
        if path == "/chat/a":
            value["prompt"] = f"p{self.play.randrange(4)}:800,own{self.calls}:50"
            value |= {"output_tokens": 400, "length_hint": self.play.randrange(10, 300)}
            value["deadline_ms"] = self.play.choice([15_000, 15_000, 12_000])
            if self.play.random() < 0.1:
                value |= {"resumes": f"c{self.play.randrange(self.calls)}"}
                value |= {"deadline_ms": self.play.randrange(2_000, 14_900)}
        return value

    def explain(self, question):
        return self.explainer.explain(parse_question(urlencode(question)), self.now)

    def receive(self, question):
        """Return the call of a question as it is received, or why it is refused."""
        names = {name: key for key, name in KEYS.items()}
        timeout = next(
            (
                each.timeout
                for each in ROUTES
                if question["path"].startswith(each.prefix)
            ),
            0,
        )
        parts = question.get("prompt", "").split(",") if "prompt" in question else ()
        head = CallHead(
            CallId(question["call"]),
            Milliseconds(question.get("deadline_ms", timeout)),
            names.get(question.get("account")),
            prompt(*((part, int(n)) for part, n in (p.split(":") for p in parts))),
            question.get("output_tokens", 0),
            question.get("resumes"),
            length_hint=question.get("length_hint"),
        )
        return receive_call(
            head,
            b"POST",
            question["path"].encode(),
            ((b"host", HOST.encode()),),
            b"",
            self.gate,
            self.now,
            self.targets.streams.choose_service,
        )

    def decide(self, question):
        """Take the steps of a call up to its first attempt, as the router does."""
        call = self.receive(question)
        if isinstance(call, Refusal):
            return None, call
        if not self.takes:
            return None, stopping(self.rng)
        evidence = self.targets.evidence
        evidence.quarantine.begin_trial(call, self.now)
        origin = self.targets.streams.origin(call, self.now)
        if origin.source is OriginSource.UNKNOWN:
            known_in = self.targets.streams.origin_known_in(call, self.now)
            return call, origin_unknown(known_in, self.rng)
        admission = self.targets.admit(call, self.now)
        if admission.reason is not None:
            return call, not_admitted(admission)
        if evidence.quarantine.standing(call, self.now) is Standing.QUARANTINED:
            reason = evidence.quarantine.record_refusal(call, self.now)
            return call, quarantined(reason, Verdict.NOT_RUN)
        if evidence.reach.is_cut_off(call.service):
            via = evidence.helpers.choose(call.service, (), self.now)
            return call, cut_off(self.rng) if via is None else via
        placed = self.targets.place(call, (), self.now, origin.version)
        if isinstance(placed, Placement):
            return call, placed
        return call, self.targets.refuse_without_target(
            call, placed, origin.version, self.now, self.rng
        )

    def run(self, call, decision):
        """Send a call that was placed; it ends later."""
        if not isinstance(decision, Placement):
            if call is not None:
                self.end(call, reached_target=False)
            return
        record = decision.target.record
        self.targets.start(record.id)
        self.targets.evidence.work.start(call, decision, self.now)
        self.targets.may_send(record, self.now)
        self.targets.record_prompt(call, record.id, self.now)
        self.targets.streams.begin(call, record, self.now)
        self.running.append((call, record))

    def end(self, call, reached_target):
        self.targets.evidence.quarantine.end_trial(call, reached_target)
        self.targets.end_admission(call, self.now)
        self.targets.streams.end(call, False, self.now)

    def begin_some(self):
        """Let the answer to a running call begin."""
        if self.running:
            call, record = self.play.choice(self.running)
            self.targets.evidence.work.record_first_event(call, record.id, self.now)

    def end_some(self):
        """End a running call, well or not."""
        if not self.running:
            return
        call, record = self.running.pop(self.play.randrange(len(self.running)))
        outcome = Outcome.GOOD if self.play.random() < 0.85 else Outcome.FAILED
        duration = Milliseconds(self.play.randrange(50, 900))
        if outcome is Outcome.GOOD:
            self.targets.record_duration(call, record, duration, self.now)
        self.targets.finish(call, record, outcome, self.now)
        self.targets.evidence.work.finish(call, record.id, 900, self.now)
        self.end(call, reached_target=True)

    def trouble(self):
        """Let something happen to targets, to other VMs or to the store."""
        self.play.choice(TROUBLES)(self)


def state_load(vm):
    for known in vm.view.present(ENGINES) + vm.view.present(SPOTS):
        slowdown = vm.play.choice([1.0, 1.0, 2.5])
        load = TargetLoad(vm.play.randrange(3), vm.play.randrange(2), 2, slowdown)
        vm.targets.record_load(known.record, load, vm.now)


def report_calls(vm):
    total = {
        known.record.id: vm.play.randrange(9) for known in vm.view.present(ENGINES)
    }
    vm.targets.evidence.loads.record_fleet_report(total, {}, 30, vm.now)


def leave(vm):
    facts = AnswerFacts(None, True, False, leaving=True)
    vm.targets.record_notices(vm.some(), facts, vm.sample.head.id, vm.now)


def drain(vm):
    record = vm.some()
    number = int(record.id[1:])
    vm.put(number, record.service, record.software, state=TargetState.DRAINING)


def restart(vm):
    record = vm.some()
    software = vm.play.choice(VERSIONS)
    born = record.born_ms + 10_000
    cold = Milliseconds(vm.play.choice([0, 3_000]))
    vm.targets.forget(record.id, vm.now)
    vm.put(int(record.id[1:]), record.service, software, born_ms=born, cold_for=cold)


def evacuate(vm):
    zone = vm.play.choice(ZONES)
    if vm.play.random() < 0.5 or not vm.view.evacuate(zone, vm.now):
        for each in ZONES:
            vm.view.restore_zone(each, vm.now)


def evacuate_all(vm):
    for zone in ZONES:
        vm.view.evacuate(zone, vm.now)


def cool_down(vm):
    service = vm.some().service
    for known in vm.view.present(service):
        record = known.record
        vm.put(
            int(record.id[1:]), service, record.software, cold_for=Milliseconds(4_000)
        )


def fail(vm):
    record = vm.some()
    for _ in range(3):
        vm.targets.record_timeout(vm.sample, record, vm.now)


def report_failures(vm):
    counts = {vm.some().id: OutcomeCounts(0.0, 5.0)}
    vm.targets.evidence.outcomes.record_fleet_report(counts, {}, vm.now)


def limit(vm):
    record = vm.some()
    facts = AnswerFacts(None, True, False, limit=vm.play.choice([None, 0.5, 5.0]))
    vm.targets.record_limits(vm.sample, record, facts, False, vm.now)


def ask_for_a_pause(vm):
    facts = AnswerFacts(None, True, False, pause=Milliseconds(1_000))
    some = vm.some()
    alike = [known.record for known in vm.view.present(some.service)]
    for record in alike if vm.play.random() < 0.5 else [some]:
        vm.targets.record_notices(record, facts, vm.sample.head.id, vm.now)
        vm.targets.record_limits(vm.sample, record, facts, True, vm.now)


def be_brittle(vm):
    record = vm.some(SPOTS)
    facts = AnswerFacts(None, True, False, brittle=5)
    vm.targets.record_limits(vm.sample, record, facts, False, vm.now)


def crash(vm):
    call = vm.sample
    for known in vm.play.sample(vm.view.present(ENGINES), 3):
        crashed = crash_id(known.record.id, known.record.born_ms)
        vm.targets.evidence.quarantine.record_crash(call, crashed, None, vm.now)
        vm.wait(50)


def be_cut_off(vm):
    for known in list(vm.view.present(DESK)):
        vm.targets.record_unreached(known.record, vm.now)


def learn_of_helpers(vm):
    vm.targets.evidence.helpers.record_reported({"10.0.0.7:80": {DESK}}, vm.now)


def reach(vm):
    vm.targets.record_contact(DESK, vm.now)


def crowd(vm):
    sharing = vm.targets.evidence.sharing
    demand = AccountDemand({0: Work(4_000.0), 4: Work(20_000.0)}, 900.0)
    total = {service: {AccountId("acme"): demand} for service in (ENGINES, SPOTS)}
    sharing.record_fleet_demand(total, {}, 30, vm.now)
    sharing.record_fleet_work({ENGINES: BUSY, SPOTS: BUSY}, {}, vm.now)


def lose_the_store(vm):
    vm.now = Milliseconds(vm.now + 7_000)


def stop(vm):
    vm.takes = vm.play.random() < 0.7


TROUBLES = (
    *[state_load, report_calls, crowd] * 3,
    *[leave, drain, restart, evacuate, evacuate_all, cool_down] * 2,
    *[
        fail,
        report_failures,
        limit,
        ask_for_a_pause,
        be_brittle,
        crash,
        be_cut_off,
        learn_of_helpers,
    ],
    *[reach, lose_the_store, stop],
)
