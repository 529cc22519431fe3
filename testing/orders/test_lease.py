from __future__ import annotations

import pytest

from yuccafold._ids import VmId
from yuccafold.orders import LeaseAnswer
from yuccafold.orders import LeaseRequest
from yuccafold.orders import OrderOptions
from yuccafold.orders._lease import LeaseHolder
from yuccafold.orders._lease import LeaseVoter

A, B, C, D = (VmId(name) for name in "abcd")
OPTIONS = OrderOptions()
START = OPTIONS.abstain_ms


def vote(voter, sender, now, *, incarnation=1, term=0, floor=1, revision=1):
    return voter.vote(sender, LeaseRequest(incarnation, 1, term, floor), revision, now)


def holder(*vms):
    lease = LeaseHolder(A, 1, OPTIONS, 0)
    lease.set_list(vms or (A, B, C), 0)
    return lease


def grant(lease, now, voters, *, revision=1, term=0):
    """Start a round of requests and let ``voters`` grant it."""
    requests = lease.tick(True, revision, now)
    for vm in voters:
        number = requests[0].message.round
        lease.handle_answer(vm, LeaseAnswer(number, True, term, revision), now)
    return [entry.to for entry in requests]


def test_voter_grants_to_one_process_at_a_time():
    voter = LeaseVoter(OPTIONS, 0)
    assert vote(voter, A, START).granted
    assert vote(voter, A, START + 1).granted
    assert not vote(voter, B, START + 2).granted
    assert not vote(voter, A, START + 3, incarnation=2).granted
    assert vote(voter, B, START + 1 + OPTIONS.lease_ms).granted


def test_voter_abstains_right_after_its_start():
    voter = LeaseVoter(OPTIONS, 0)
    assert not vote(voter, A, START - 1).granted


def test_voter_reports_the_highest_term_and_revision():
    voter = LeaseVoter(OPTIONS, 0)
    vote(voter, A, START, term=7, floor=9)
    answer = vote(voter, B, START + OPTIONS.lease_ms, revision=8)
    assert (answer.term, answer.floor) == (7, 9)


def test_lease_needs_a_majority_and_expires():
    lease = holder()
    assert grant(lease, START - 1, ()) == []
    grant(lease, START, (A,))
    assert not lease.is_held(START)
    grant(lease, START + OPTIONS.renew_ms, (A, B))
    end = START + OPTIONS.renew_ms + OPTIONS.usable(OPTIONS.lease_ms)
    assert lease.is_held(end - 1)
    assert not lease.is_held(end)


def test_lease_time_counts_from_the_request():
    lease = holder()
    (number,) = {entry.message.round for entry in lease.tick(True, 1, START)}
    for vm in (A, B):
        lease.handle_answer(vm, LeaseAnswer(number, True, 0, 1), START + 900)
    end = START + OPTIONS.usable(OPTIONS.lease_ms)
    assert lease.is_held(end - 1)
    assert not lease.is_held(end)


def test_answer_to_an_earlier_round_is_ignored():
    lease = holder()
    lease.tick(True, 1, START)
    lease.tick(True, 1, START + OPTIONS.renew_ms)
    for vm in (A, B, C):
        lease.handle_answer(vm, LeaseAnswer(1, True, 0, 1), START + OPTIONS.renew_ms)
    assert not lease.is_held(START + OPTIONS.renew_ms)


def test_term_and_floor_count_once_a_majority_knows_them():
    lease = holder()
    grant(lease, START, (A, B), term=4, revision=9)
    assert (lease.term, lease.floor) == (0, 0)
    grant(lease, START, (A, B), term=4, revision=9)
    assert (lease.term, lease.floor) == (5, 9)


def test_majority_of_each_list_is_needed_while_two_may_be_in_use():
    lease = holder(A, B, C)
    now = START + 1
    lease.set_list((A, D), now)
    assert grant(lease, now, (A, D)) == [A, B, C, D]
    assert not lease.is_held(now)
    grant(lease, now + OPTIONS.renew_ms, (A, B, D))
    assert lease.is_held(now + OPTIONS.renew_ms)
    later = now + OPTIONS.abstain_ms + 1
    assert grant(lease, later, (A, D)) == [A, D]
    assert lease.is_held(later)


@pytest.mark.parametrize("vms", [9, 380])
def test_number_of_voters_is_limited(vms):
    names = [VmId(f"vm-{number}") for number in range(vms)]
    assert len(grant(holder(*names), START, ())) == OPTIONS.voters
