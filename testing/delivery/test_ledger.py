from __future__ import annotations

import pytest

from delivery.claim_fleet import STEP_MS
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
    fleet.run_past_hold()
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


def test_fleet_that_just_started_refuses_claims():
    fleet = ClaimFleet(VIEW)
    fleet.run(3_000)
    refusal = claim(fleet, "c1", "vm-0").refusal
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms > 0


def test_finished_call_is_replayed_to_a_repeat_elsewhere(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.COMPLETE, ANSWER)
    assert claim(fleet, "c2", "vm-3") == Replay("c2", ANSWER)


def test_repeat_of_a_running_call_is_refused_as_may_have_run(fleet):
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
    fleet.run_past_hold()
    assert isinstance(claim(fleet, "c2", "vm-1"), Granted)


def test_repeat_after_the_answer_was_lost_is_refused_as_complete(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.COMPLETE, ANSWER)
    fleet.boot("vm-0", VIEW)
    refusal = claim(fleet, "c2", "vm-3").refusal
    assert (refusal.code, refusal.verdict) == ("answer-gone", Verdict.COMPLETE)


def test_restarted_voter_recovers_its_claims_and_votes_again(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.MAY_HAVE_RUN)
    for vm in ("vm-1", "vm-2", "vm-3", "vm-4", "vm-0"):
        fleet.boot(vm, VIEW)
        assert fleet.ledgers[vm].is_recovering(fleet.now)
        fleet.run(2 * fleet.ledgers[vm].timing.window)
        assert not fleet.ledgers[vm].is_recovering(fleet.now)
    assert claim(fleet, "c2", "vm-2").refusal.code == "key-uncertain"
    assert isinstance(claim(fleet, "c3", "vm-2", key=b"unused"), Granted)


def test_pause_invalidates_a_granted_claim_and_the_vm_list(fleet):
    claim(fleet, "c1", "vm-0")
    fleet.now += 2_000
    refusal = fleet.ledgers["vm-0"].authorize_send("c1", fleet.now)
    assert refusal.verdict is Verdict.NOT_RUN
    assert claim(fleet, "c2", "vm-0", key=b"new").refusal.code == "vm-list-stale"


def test_claim_without_reachable_voters_is_refused_when_the_window_ends(fleet):
    fleet.start("c1", "vm-0")
    fleet.in_transit.clear()
    fleet.run(fleet.ledgers["vm-0"].timing.window + 200, settle=False)
    assert fleet.outcomes["c1"].refusal.code == "claim-unreachable"


def test_claim_whose_release_was_lost_is_released_by_the_next_call(fleet):
    fleet.start("c1", "vm-0")
    fleet.settle()
    fleet.ledgers["vm-0"].finish("c1", Verdict.NOT_RUN, None, fleet.now)
    assert claim(fleet, "c2", "vm-1").refusal.code == "claim-contended"
    assert isinstance(claim(fleet, "c3", "vm-1"), Granted)


def test_claims_under_two_vm_lists_conflict(fleet):
    run_call(fleet, "c1", "vm-0", Verdict.MAY_HAVE_RUN)
    grown = view_of(*(f"vm-{number}" for number in range(10)))
    for number in range(5, 10):
        fleet.boot(f"vm-{number}", grown)
    for vm in ("vm-3", "vm-4"):
        fleet.views[vm] = grown
    fleet.run(2_000)
    for vm in ("vm-1", "vm-4", "vm-9"):
        assert claim(fleet, f"from-{vm}", vm).refusal.code == "key-uncertain"


def test_votes_count_only_within_the_window(fleet):
    fleet.start("c1", "vm-0")
    for _ in range(3):
        fleet.now += 400
        for ledger in fleet.ledgers.values():
            ledger.confirm_view(VIEW, fleet.now)
    fleet.settle()
    assert not isinstance(fleet.outcomes["c1"], Granted)


def test_restarted_voter_reads_others_only_after_a_claim_window(fleet):
    ledger = fleet.ledgers["vm-1"]
    fleet.boot("vm-1", VIEW)
    restarted_at = fleet.now
    requested_at = []
    while fleet.now < restarted_at + 2 * ledger.timing.window:
        fleet.now += 50
        outgoing = fleet.ledgers["vm-1"].tick(fleet.now)
        requested_at += [fleet.now for each in outgoing]
    assert min(requested_at) > restarted_at + ledger.timing.window


def test_vote_before_a_restart_is_not_forgotten_while_others_still_vote(fleet):
    """Guards against a restarted voter that forgets its vote on a claim.

    The claim's majority consists of a voter that restarts after its vote and of
    one that votes only after that restart. If the restarted voter read the claims
    of the other before that vote, it would miss the claim.
    """
    fleet.start("c1", "vm-0")
    restarts, votes_late, _ = sorted({each.to for each in fleet.in_transit})
    late = [each for each in fleet.in_transit if each.to == votes_late]
    fleet.in_transit = [each for each in fleet.in_transit if each.to == restarts]
    fleet.settle()
    fleet.boot(restarts, VIEW)
    ticking = [vm for vm in fleet.ledgers if vm != "vm-0"]
    for _ in range(4):
        fleet.now += STEP_MS
        fleet.ledgers["vm-0"].observe_pause(fleet.now)
        fleet.tick(ticking)
        fleet.settle()
    fleet.in_transit = late
    fleet.settle()
    assert isinstance(fleet.outcomes["c1"], Granted)
    fleet.run(3_000)
    for vm in ("vm-3", "vm-4"):
        assert claim(fleet, f"from-{vm}", vm).refusal.code == "key-in-use"


def test_restarted_voter_that_reads_too_few_others_abstains(fleet):
    fleet.start("c1", "vm-0")
    voters = sorted({each.to for each in fleet.in_transit})
    fleet.settle()
    fleet.boot(voters[0], VIEW)
    del fleet.ledgers[voters[1]]
    fleet.run(3_000)
    assert fleet.ledgers[voters[0]].is_recovering(fleet.now)
    caller = next(vm for vm in fleet.ledgers if vm not in voters)
    assert not isinstance(claim(fleet, "c2", caller), Granted)


def test_granted_claim_allows_sending_until_send_validity_ends(fleet):
    claim(fleet, "c1", "vm-0")
    fleet.run(fleet.ledgers["vm-0"].timing.send_validity + 100)
    refusal = fleet.ledgers["vm-0"].authorize_send("c1", fleet.now)
    assert (refusal.code, refusal.verdict) == ("claim-void", Verdict.NOT_RUN)


def test_full_voter_abstains_and_evicts_no_claim(fleet, monkeypatch):
    run_call(fleet, "c1", "vm-0", Verdict.MAY_HAVE_RUN)
    for ledger in fleet.ledgers.values():
        monkeypatch.setattr(ledger._voter, "_limit", ledger.held)
    assert claim(fleet, "c2", "vm-1", key=b"new").refusal.code == "claim-unreachable"
    assert claim(fleet, "c3", "vm-1").refusal.code == "key-uncertain"


def test_sent_call_cannot_end_as_not_run(fleet):
    claim(fleet, "c1", "vm-0")
    ledger = fleet.ledgers["vm-0"]
    ledger.authorize_send("c1", fleet.now)
    with pytest.raises(AssertionError):
        ledger.finish("c1", Verdict.NOT_RUN, None, fleet.now)
    ledger.rearm("c1")
    assert ledger.finish("c1", Verdict.NOT_RUN, None, fleet.now)


def test_late_request_for_a_released_claim_is_not_held(fleet):
    fleet.start("c1", "vm-0")
    requests = list(fleet.in_transit)
    fleet.settle()
    outgoing = fleet.ledgers["vm-0"].finish("c1", Verdict.NOT_RUN, None, fleet.now)
    fleet.post("vm-0", outgoing)
    fleet.settle()
    fleet.in_transit = requests
    fleet.settle()
    assert {ledger.held for ledger in fleet.ledgers.values()} == {0}
