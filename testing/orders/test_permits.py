from __future__ import annotations

from dataclasses import replace

import pytest

from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.bench._orders_world import orders_tree
from yuccafold.orders import Fence
from yuccafold.orders import LeaseAnswer
from yuccafold.orders import OrderOptions
from yuccafold.orders import PermitRefusal
from yuccafold.orders import PermitRelease
from yuccafold.orders import PermitRequest
from yuccafold.orders._lease import LeaseHolder
from yuccafold.orders._permits import PermitIssuer

A, B = VmId("a"), VmId("b")
ENGINES = [TargetId(f"e-{number}") for number in range(4)]
OPTIONS = OrderOptions(lease_ms=10_000_000, renew_ms=1_000)
START = OPTIONS.abstain_ms
WAITING_PERIOD_END = START + OPTIONS.permit_ms
VIEW_RECEIVED_AT = WAITING_PERIOD_END + OPTIONS.serving_view_lag_ms


class IssuerHarness:
    """An issuer that holds the lease; requests are numbered in order."""

    def __init__(self, rate=2, share=0.5, options=OPTIONS):
        self.lease = LeaseHolder(A, 1, options, 0)
        self.lease.set_list((A,), 0)
        self.issuer = PermitIssuer(self.lease, options)
        self.issuer.set_tree(orders_tree(5, 1, 4, rate, share))
        self.number = 0
        for now in (START, START + OPTIONS.renew_ms):
            self.renew(now)
        self.set_serving(VIEW_RECEIVED_AT)

    def set_serving(self, now, **serving):
        self.issuer.set_serving(serving, now)

    def renew(self, now, floor=5, revision=5):
        for entry in self.lease.tick(True, revision, now):
            answer = LeaseAnswer(entry.message.round, True, 0, floor)
            self.lease.handle_answer(A, answer, now)

    def request(self, vm, engine, now=WAITING_PERIOD_END, **changes):
        self.number += 1
        fields = {"incarnation": 1, "revision": 5, "load": False, "engine_fence": 0}
        request = PermitRequest(number=self.number, engine=engine, **(fields | changes))
        return self.issuer.answer(vm, request, now)

    def release(self, vm, engine, number, *, serving=True):
        release = PermitRelease(1, engine, number, serving)
        self.issuer.release(vm, release, WAITING_PERIOD_END + 1)


def test_new_issuer_waits_until_earlier_permits_expired():
    harness = IssuerHarness()
    early = harness.request(A, ENGINES[0], WAITING_PERIOD_END - 1)
    assert early.refused is PermitRefusal.NOT_ISSUER
    assert harness.request(A, ENGINES[0]).refused is None


def test_engine_is_ordered_by_one_process_at_a_time():
    harness = IssuerHarness()
    first = harness.request(A, ENGINES[0])
    assert harness.request(B, ENGINES[0]).refused is PermitRefusal.BUSY
    assert harness.request(A, ENGINES[0], incarnation=2).refused is PermitRefusal.BUSY
    assert harness.request(A, ENGINES[0]).fence == first.fence
    expired = WAITING_PERIOD_END + OPTIONS.permit_ms
    assert harness.request(B, ENGINES[0], expired).fence > first.fence


def test_release_overtaken_by_a_request_is_ignored():
    harness = IssuerHarness()
    harness.request(A, ENGINES[0])
    harness.request(A, ENGINES[0])
    harness.release(A, ENGINES[0], 1)
    harness.release(B, ENGINES[0], 9)
    assert harness.request(B, ENGINES[0]).refused is PermitRefusal.BUSY
    harness.release(A, ENGINES[0], 4)
    assert harness.request(B, ENGINES[0]).refused is None


@pytest.mark.parametrize(
    "changes",
    [{"revision": 4}, {"revision": 6}, {"engine_fence": Fence(6, 1, 1).number}],
)
def test_request_with_another_revision_is_refused(changes):
    refused = IssuerHarness().request(A, ENGINES[0], **changes).refused
    assert refused is PermitRefusal.REVISION


def test_issuer_with_an_older_revision_than_a_voter_refuses():
    harness = IssuerHarness()
    harness.renew(WAITING_PERIOD_END, floor=6)
    assert harness.request(A, ENGINES[0]).refused is PermitRefusal.REVISION


def test_minimum_share_of_engines_keeps_serving():
    harness = IssuerHarness(share=0.5)
    harness.set_serving(VIEW_RECEIVED_AT, **{ENGINES[3]: False})
    assert harness.request(A, ENGINES[0]).refused is None
    assert harness.request(A, ENGINES[1]).refused is PermitRefusal.SHARE
    assert harness.request(A, ENGINES[3]).refused is None


def test_engine_left_out_of_service_counts_until_the_view_shows_it():
    harness = IssuerHarness(share=0.75)
    harness.request(A, ENGINES[0])
    harness.release(A, ENGINES[0], 1, serving=False)
    assert harness.request(A, ENGINES[1]).refused is PermitRefusal.SHARE
    harness.set_serving(VIEW_RECEIVED_AT + 1)
    assert harness.request(A, ENGINES[1]).refused is None


def test_no_permit_is_issued_on_a_view_older_than_the_end_of_earlier_permits():
    harness = IssuerHarness()
    harness.set_serving(VIEW_RECEIVED_AT - OPTIONS.renew_ms - 1)
    assert harness.request(A, ENGINES[0]).refused is PermitRefusal.SHARE


def test_loads_are_spaced_so_that_no_minute_exceeds_the_rate():
    harness = IssuerHarness(rate=2)
    assert harness.request(A, ENGINES[0], load=True).refused is None
    spacing = OPTIONS.load_spacing(2)
    early = WAITING_PERIOD_END + spacing - 1
    assert (
        harness.request(A, ENGINES[1], early, load=True).refused is PermitRefusal.RATE
    )
    assert harness.request(A, ENGINES[1], early + 1, load=True).refused is None
    assert 2 * spacing > 60_000 + OPTIONS.load_slot_ms + OPTIONS.order_delivery_ms


def test_new_issuer_waits_a_minute_for_the_loads_of_the_earlier_one():
    short = replace(OPTIONS, order_effect_ms=5_000, permit_ms=20_000)
    harness = IssuerHarness(rate=60, options=short)
    end = START + short.load_spacing(1)
    early = harness.request(A, ENGINES[0], end - 1, load=True)
    assert early.refused is PermitRefusal.RATE
    assert harness.request(A, ENGINES[0], end, load=True).refused is None


def test_permits_of_a_new_revision_wait_until_a_majority_knows_it():
    harness = IssuerHarness()
    harness.issuer.set_tree(orders_tree(6, 1, 4, 2))
    refused = harness.request(A, ENGINES[0], revision=6).refused
    assert refused is PermitRefusal.NOT_ISSUER
    harness.renew(WAITING_PERIOD_END, revision=6)
    assert harness.request(A, ENGINES[0], revision=6).refused is None


def test_lower_rate_waits_for_the_loads_of_the_higher_one():
    harness = IssuerHarness(rate=60)
    harness.request(A, ENGINES[0], load=True)
    harness.issuer.set_tree(orders_tree(5, 1, 4, 2))
    later = WAITING_PERIOD_END + 60_000
    assert (
        harness.request(A, ENGINES[0], later, load=True).refused is PermitRefusal.RATE
    )


def test_term_rises_above_one_that_only_the_engine_remembers():
    harness = IssuerHarness()
    seen = Fence(5, 40, 3)
    refused = harness.request(A, ENGINES[0], engine_fence=seen.number).refused
    assert refused is PermitRefusal.NOT_ISSUER
    harness.renew(WAITING_PERIOD_END + OPTIONS.renew_ms)
    answer = harness.request(
        A, ENGINES[0], WAITING_PERIOD_END + OPTIONS.renew_ms, engine_fence=seen.number
    )
    assert Fence.from_number(answer.fence) > seen
