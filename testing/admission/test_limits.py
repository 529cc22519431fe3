from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from admission.limit_fleet import ACCOUNT
from admission.limit_fleet import RATE_LIMIT
from admission.limit_fleet import LimitFleet
from admission.limit_fleet import run
from yuccafold._verdict import Verdict
from yuccafold.admission import home_of
from yuccafold.settings import Policy

LIMIT = RATE_LIMIT.requests_per_second
VMS = st.integers(0, 5)


class Limits(RuleBasedStateMachine):
    """No interleaving of lost and late messages lets more than the bound in."""

    @initialize(
        vms=st.integers(1, 6),
        seed=st.integers(0, 1_000),
        loss=st.sampled_from((0.0, 0.3, 1.0)),
        delay=st.sampled_from((20, 900, 6_000)),
    )
    def start(self, vms, seed, loss, delay):
        self.fleet = LimitFleet(vms, RATE_LIMIT, seed, loss, delay)
        self.began = self.fleet.now

    @rule(first=VMS, count=st.integers(1, 6), calls=st.integers(1, 8))
    def surge(self, first, count, calls):
        chosen = self.fleet.names[first % len(self.fleet.names) :][:count]
        run(self.fleet, 1.0, lambda name: calls if name in chosen else 0)

    @rule(seconds=st.sampled_from((0.05, 0.5, 5.0)))
    def rest(self, seconds):
        run(self.fleet, seconds, lambda name: 0)

    @rule(index=VMS)
    def restart(self, index):
        self.fleet.restart(self.fleet.names[index % len(self.fleet.names)])

    @invariant()
    def within_the_bound(self):
        vms = len(self.fleet.names)
        assert self.fleet.leased() <= 1.0 + 1e-9
        assert self.fleet.shares() <= 2.0 + 1e-9
        for seconds in (1, 5):
            start = self.fleet.now - seconds * 1_000
            recent = sum(at > start for at in self.fleet.admitted)
            # Twice the limit, a full bucket each, and one call after a restart.
            assert recent <= 2 * LIMIT * seconds + 2 * LIMIT + 2 * vms


TestLimits = Limits.TestCase
TestLimits.settings = settings(max_examples=25, stateful_step_count=15)


def rate(fleet, seconds, calls_per_tick):
    before = len(fleet.admitted)
    run(fleet, seconds, calls_per_tick)
    return (len(fleet.admitted) - before) / seconds


def test_load_on_all_vms_is_admitted_up_to_the_limit():
    fleet = LimitFleet(8, RATE_LIMIT)
    run(fleet, 3, lambda name: 2)
    assert 0.9 * LIMIT <= rate(fleet, 10, lambda name: 2) <= 1.05 * LIMIT


def test_one_vm_may_use_the_whole_limit():
    fleet = LimitFleet(8, RATE_LIMIT)
    busy = fleet.names[3]
    run(fleet, 6, lambda name: 4 if name == busy else 0)
    reached = rate(fleet, 10, lambda name: 4 if name == busy else 0)
    assert 0.9 * LIMIT <= reached <= 1.05 * LIMIT


def test_shares_follow_load_that_moves_to_another_vm():
    fleet = LimitFleet(8, RATE_LIMIT)
    first, second = fleet.names[:2]
    run(fleet, 6, lambda name: 4 if name == first else 0)
    run(fleet, 8, lambda name: 4 if name == second else 0)
    assert rate(fleet, 5, lambda name: 4 if name == second else 0) >= 0.9 * LIMIT


def test_restarted_home_grants_no_share_that_may_still_be_in_use():
    fleet = LimitFleet(8, RATE_LIMIT)
    home = home_of(ACCOUNT, fleet.names)
    busy, *others = (name for name in fleet.names if name != home)
    run(fleet, 6, lambda name: 4 if name == busy else 0)
    assert fleet.vms[busy].leased(ACCOUNT, fleet.now) >= 0.9
    fleet.restart(home)
    for _ in range(100):
        run(fleet, 0.05, lambda name: 0 if name == busy else 4)
        assert fleet.leased() <= 1.0 + 1e-9
    assert fleet.vms[others[0]].leased(ACCOUNT, fleet.now) is not None


def test_vms_without_a_lease_use_their_even_share():
    fleet = LimitFleet(8, RATE_LIMIT, loss=1.0)
    run(fleet, 6, lambda name: 2)
    for name in fleet.names:
        home = fleet.vms[name].home
        assert home.total_share(ACCOUNT, fleet.now) <= 1.0
    # Only the home holds a lease; all other VMs use their even share.
    assert rate(fleet, 10, lambda name: 2) <= 2.0 * LIMIT


def test_refusal_is_not_run_with_a_retry_time():
    fleet = LimitFleet(1, Policy(requests_per_second=1.0))
    assert fleet.call(fleet.names[0]) is None
    refusal = fleet.call(fleet.names[0])
    assert (refusal.status, refusal.verdict) == (429, Verdict.NOT_RUN)
    assert refusal.code == "rate-limited"
    assert refusal.retry_after_ms >= 1_000


def test_finished_call_makes_room_for_another():
    fleet = LimitFleet(1, Policy(concurrent_requests=2))
    name = fleet.names[0]
    assert [fleet.call(name) is None for _ in range(3)] == [True, True, False]
    fleet.finish(name)
    assert fleet.call(name) is None


def test_unlimited_call_does_not_release_a_limited_one():
    fleet = LimitFleet(1, Policy(concurrent_requests=1))
    vm = fleet.vms[fleet.names[0]]
    free = Policy()
    assert fleet.call(fleet.names[0]) is None
    assert vm.admit(ACCOUNT, free, 1, fleet.now) is None
    vm.finish(ACCOUNT, free)
    assert fleet.call(fleet.names[0]) is not None


def test_token_debt_is_refilled_before_the_next_call():
    fleet = LimitFleet(1, Policy(tokens_per_second=100.0))
    name = fleet.names[0]
    assert fleet.call(name, tokens=500) is None
    run(fleet, 4.5, lambda name: 0)
    assert fleet.call(name) is not None
    run(fleet, 1, lambda name: 0)
    assert fleet.call(name) is None
