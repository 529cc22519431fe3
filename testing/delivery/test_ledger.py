from __future__ import annotations

import pytest

from delivery.claim_fleet import ClaimFleet
from delivery.claim_fleet import view_of
from yuccafold._verdict import Verdict
from yuccafold.delivery import Conflict
from yuccafold.delivery import Granted
from yuccafold.delivery import Replay
from yuccafold.delivery import StoredAnswer

VIEW = view_of("vm-0", "vm-1", "vm-2", "vm-3", "vm-4")
ANSWER = StoredAnswer(201, (), b"booked")


@pytest.fixture
def fleet():
    fleet = ClaimFleet(VIEW)
    fleet.warm()
    return fleet


def claim(fleet, call, vm, **kwargs):
    fleet.start(call, vm, **kwargs)
    fleet.settle()
    return fleet.outcomes[call]


def run_call(fleet, call, vm, verdict, answer=None):
    assert isinstance(claim(fleet, call, vm), Granted)
    assert fleet.ledgers[vm].authorize_send(call, fleet.now) is None
    fleet.post(vm, fleet.ledgers[vm].finish(call, verdict, answer, fleet.now))
    fleet.settle()


def test_fleet_that_forgot_everything_refuses():
    fleet = ClaimFleet(VIEW)
    fleet.run(3_000)
    refusal = claim(fleet, "c1", "vm-0").refusal
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms > 0


def test_finished_call_is_replayed_to_a_repeat_elsewhere(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.COMPLETE, ANSWER)
    assert claim(fleet, "c2", "vm-3") == Replay("c2", ANSWER)


def test_repeat_of_a_running_call_is_told_that_it_may_have_run(fleet):
    claim(fleet, "c1", "vm-0")
    refusal = claim(fleet, "c2", "vm-1").refusal
    assert (refusal.code, refusal.verdict) == ("key-in-use", Verdict.MAY_HAVE_RUN)
    assert refusal.retry_after_ms > 0


def test_key_with_another_body_is_a_conflict(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.COMPLETE, ANSWER)
    assert isinstance(claim(fleet, "c2", "vm-1", digest=b"other"), Conflict)


def test_call_that_did_not_run_frees_its_key(fleet):
    claim(fleet, "c1", "vm-0")
    outgoing = fleet.ledgers["vm-0"].finish("c1", Verdict.NOT_RUN, None, fleet.now)
    fleet.post("vm-0", outgoing)
    fleet.settle()
    assert isinstance(claim(fleet, "c2", "vm-1"), Granted)


def test_uncertain_call_keeps_its_key_for_the_lifetime(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.MAY_HAVE_RUN)
    fleet.run(fleet.settings.key_lifetime_ms)
    assert claim(fleet, "c2", "vm-1").refusal.code == "key-uncertain"


def test_claim_can_be_made_again_after_the_lifetime(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.MAY_HAVE_RUN)
    fleet.warm()
    assert isinstance(claim(fleet, "c2", "vm-1"), Granted)


def test_answer_lost_with_its_vm_is_said_to_be_complete(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.COMPLETE, ANSWER)
    fleet.boot("vm-0", VIEW)
    refusal = claim(fleet, "c2", "vm-3").refusal
    assert (refusal.code, refusal.verdict) == ("answer-gone", Verdict.COMPLETE)


def test_restarted_seat_learns_its_claims_and_votes_again(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.MAY_HAVE_RUN)
    for vm in ("vm-1", "vm-2", "vm-3", "vm-4", "vm-0"):
        fleet.boot(vm, VIEW)
        assert fleet.ledgers[vm].is_recovering(fleet.now)
        fleet.run(2 * fleet.ledgers[vm].timing.window)
        assert not fleet.ledgers[vm].is_recovering(fleet.now)
    assert claim(fleet, "c2", "vm-2").refusal.code == "key-uncertain"
    assert isinstance(claim(fleet, "c3", "vm-2", key=b"unused"), Granted)


def test_pause_voids_a_granted_claim_and_the_list(fleet):
    claim(fleet, "c1", "vm-0")
    fleet.now += 2_000
    refusal = fleet.ledgers["vm-0"].authorize_send("c1", fleet.now)
    assert refusal.verdict is Verdict.NOT_RUN
    assert claim(fleet, "c2", "vm-0", key=b"new").refusal.code == "vm-list-stale"


def test_unreachable_seats_are_refused_when_the_window_ends(fleet):
    fleet.start("c1", "vm-0")
    fleet.pool.clear()
    fleet.run(fleet.ledgers["vm-0"].timing.window + 200, settle=False)
    assert fleet.outcomes["c1"].refusal.code == "claim-unreachable"


def test_lost_release_is_healed_by_the_next_caller(fleet):
    fleet.start("c1", "vm-0")
    fleet.settle()
    fleet.ledgers["vm-0"].finish("c1", Verdict.NOT_RUN, None, fleet.now)
    assert claim(fleet, "c2", "vm-1").refusal.code == "claim-contended"
    assert isinstance(claim(fleet, "c3", "vm-1"), Granted)


def test_claims_under_two_lists_meet(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.MAY_HAVE_RUN)
    grown = view_of(*(f"vm-{number}" for number in range(10)))
    for number in range(5, 10):
        fleet.boot(f"vm-{number}", grown)
    for vm in ("vm-3", "vm-4"):
        fleet.views[vm] = grown
    fleet.run(2_000)
    for vm in ("vm-1", "vm-4", "vm-9"):
        assert claim(fleet, f"from-{vm}", vm).refusal.code == "key-uncertain"
