"""Claims of several VMs with lost, late, duplicated and reordered messages.

Guards against a key whose call runs twice within the key's lifetime.
"""

from __future__ import annotations

from itertools import combinations
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from delivery.claim_fleet import SETTINGS
from delivery.claim_fleet import STEP_MS
from delivery.claim_fleet import ClaimFleet
from delivery.claim_fleet import view_of
from yuccafold._verdict import Verdict
from yuccafold.delivery import StoredAnswer

VMS = tuple(f"vm-{number}" for number in range(6))
LIST_LAG_MS = SETTINGS.list_lag_ms
INDEX = st.integers(0, 10_000)
VM = st.sampled_from(VMS)
SOME_VMS = st.sets(VM, max_size=3)
KEY = st.sampled_from((b"key-a", b"key-b"))
ORDER = st.randoms(use_true_random=False)


class ClaimsMachine(RuleBasedStateMachine):
    """Six VMs, of which the platform's VM list names four to six."""

    def __init__(self):
        super().__init__()
        self.fleet = ClaimFleet(view_of(*VMS[:5]))
        # Start of each list's publication; each is current for at least the list lag.
        self.published_lists = [(0, view_of(*VMS[:5]))]
        self.calls = {}
        self.authorized = []
        self.runs = []

    @initialize()
    def start_past_hold(self):
        self.fleet.run_past_hold()

    def published(self, instant):
        return [view for since, view in self.published_lists if since <= instant][-1]

    @rule(vm=VM, key=KEY)
    def call(self, vm, key):
        self.begin(vm, key)

    @rule(vm=VM, key=KEY, cut=SOME_VMS, order=ORDER)
    def call_and_send(self, vm, key, cut, order):
        """Make and send one call while ``cut`` is partitioned from the other VMs."""
        name = self.begin(vm, key)
        self.deliver(cut, order)
        if self.fleet.granted.get(name) == vm:
            self.send(name)
            self.end(len(self.authorized) - 1, Verdict.MAY_HAVE_RUN)

    def begin(self, vm, key):
        if vm not in self.fleet.ledgers:
            return None
        name = f"call-{len(self.calls)}"
        self.calls[name] = (self.fleet.now, key)
        self.fleet.start(name, vm, key)
        return name

    @rule(cut=SOME_VMS, order=ORDER)
    def deliver_all(self, cut, order):
        self.deliver(cut, order)

    def deliver(self, cut, order):
        """Deliver messages within each side of the partition in any order.

        Six rounds also deliver the messages that are sent in response.
        """
        for _ in range(6):
            batch, self.fleet.in_transit = self.fleet.in_transit, []
            order.shuffle(batch)
            for each in batch:
                if (each.sender in cut) == (each.to in cut):
                    self.fleet.deliver(each)
                else:
                    self.fleet.in_transit.append(each)

    @precondition(lambda self: self.fleet.in_transit)
    @rule(index=INDEX, again=st.booleans())
    def deliver_one(self, index, again):
        envelope = self.fleet.in_transit.pop(index % len(self.fleet.in_transit))
        if again:
            self.fleet.in_transit.append(envelope)
        self.fleet.deliver(envelope)

    @precondition(lambda self: self.fleet.in_transit)
    @rule(seed=INDEX, share=st.sampled_from((0.2, 0.5, 1.0)))
    def lose(self, seed, share):
        rng = Random(seed)
        self.fleet.in_transit = [
            each for each in self.fleet.in_transit if rng.random() >= share
        ]

    @rule(
        duration=st.sampled_from((100, 300, 1_500, 3_000)),
        paused=SOME_VMS,
        stale=st.integers(0, LIST_LAG_MS // 2),
        cut=SOME_VMS,
        order=ORDER,
    )
    def elapse(self, duration, paused, stale, cut, order):
        until = self.fleet.now + duration
        while self.fleet.now < until:
            self.fleet.now += STEP_MS
            self._run_step(paused, stale)
            self.deliver(cut, order)

    def _run_step(self, paused, stale):
        for vm in sorted(self.fleet.ledgers):
            if vm in paused:
                continue
            # Half of the VMs read the VM list from a replica that lags.
            behind = stale if int(vm[-1]) % 2 else 0
            view = self.published(self.fleet.now - behind)
            self.fleet.ledgers[vm].confirm_view(view, self.fleet.now)
            self.fleet.tick((vm,))

    @precondition(lambda self: self.fleet.granted)
    @rule(index=INDEX)
    def authorize(self, index):
        self.send(sorted(self.fleet.granted)[index % len(self.fleet.granted)])

    def send(self, call):
        vm = self.fleet.granted.pop(call)
        ledger = self.fleet.ledgers[vm]
        if ledger.authorize_send(call, self.fleet.now) is None:
            self.authorized.append((call, vm, ledger))
        else:
            self.fleet.post(
                vm, ledger.finish(call, Verdict.NOT_RUN, None, self.fleet.now)
            )

    @precondition(lambda self: self.authorized)
    @rule(index=INDEX, verdict=st.sampled_from(Verdict))
    def write(self, index, verdict):
        self.end(index % len(self.authorized), verdict)

    def end(self, index, verdict):
        call, vm, ledger = self.authorized.pop(index)
        if self.fleet.ledgers[vm] is not ledger:
            return
        if verdict is not Verdict.NOT_RUN:
            self.runs.append(call)
        else:
            ledger.rearm(call)
        answer = StoredAnswer(200, (), b"") if verdict is Verdict.COMPLETE else None
        self.fleet.post(vm, ledger.finish(call, verdict, answer, self.fleet.now))

    @rule(vms=SOME_VMS)
    def restart(self, vms):
        for vm in sorted(vms & self.fleet.ledgers.keys()):
            self.fleet.boot(vm, self.published(self.fleet.now))
            self.fleet.granted = {
                call: at for call, at in self.fleet.granted.items() if at != vm
            }

    @rule(vm=VM)
    def change_list(self, vm):
        since, view = self.published_lists[-1]
        vms = set(view.vms) ^ {vm}
        if len(vms) < 4 or self.fleet.now - since < LIST_LAG_MS:
            return
        self.published_lists.append((self.fleet.now, view_of(*vms)))
        if vm not in self.fleet.ledgers:
            self.fleet.boot(vm, view_of(*vms))

    @invariant()
    def no_key_ran_twice_within_its_lifetime(self):
        for one, other in combinations(self.runs, 2):
            (first, key), (second, other_key) = self.calls[one], self.calls[other]
            apart = abs(first - second)
            assert key != other_key or apart >= SETTINGS.key_lifetime_ms, (one, other)

    @invariant()
    def voters_hold_a_bounded_number_of_claims(self):
        for ledger in self.fleet.ledgers.values():
            assert ledger.held <= len(self.calls)


ClaimsMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=50)
TestClaims = ClaimsMachine.TestCase
