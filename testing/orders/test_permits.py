from __future__ import annotations

from dataclasses import replace

import pytest

from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.bench._orders_world import orders_tree
from yuccafold.orders import Fence
from yuccafold.orders import LeaseAnswer
from yuccafold.orders import OrderOptions
from yuccafold.orders import PermitAsk
from yuccafold.orders import PermitRelease
from yuccafold.orders import Refused
from yuccafold.orders._lease import LeaseHolder
from yuccafold.orders._permits import PermitIssuer

A, B = VmId("a"), VmId("b")
ENGINES = [TargetId(f"e-{number}") for number in range(4)]
OPTIONS = OrderOptions(lease_ms=10_000_000, renew_ms=1_000)
START = OPTIONS.abstain_ms
QUIET_END = START + OPTIONS.permit_ms
VIEW = QUIET_END + OPTIONS.view_ms


class Issuing:
    """An issuer that holds the lease; requests are numbered as they come."""

    def __init__(self, rate=2, share=0.5, options=OPTIONS):
        self.lease = LeaseHolder(A, 1, options, 0)
        self.lease.set_list((A,), 0)
        self.issuer = PermitIssuer(self.lease, options)
        self.issuer.set_tree(orders_tree(5, 1, 4, rate, share))
        self.number = 0
        for now in (START, START + OPTIONS.renew_ms):
            self.renew(now)
        self.see(VIEW)

    def see(self, now, **serving):
        self.issuer.set_serving(serving, now)

    def renew(self, now, floor=5, revision=5):
        for entry in self.lease.tick(True, revision, now):
            answer = LeaseAnswer(entry.message.round, True, 0, floor)
            self.lease.take(A, answer, now)

    def ask(self, vm, engine, now=QUIET_END, **changes):
        self.number += 1
        fields = {"incarnation": 1, "revision": 5, "load": False, "seen": 0}
        ask = PermitAsk(ask=self.number, engine=engine, **(fields | changes))
        return self.issuer.answer(vm, ask, now)

    def release(self, vm, engine, number, *, serving=True):
        release = PermitRelease(1, engine, number, serving)
        self.issuer.release(vm, release, QUIET_END + 1)


def test_new_issuer_waits_until_earlier_permits_lapsed():
    issuing = Issuing()
    early = issuing.ask(A, ENGINES[0], QUIET_END - 1)
    assert early.refused is Refused.NOT_ISSUER
    assert issuing.ask(A, ENGINES[0]).refused is None


def test_engine_is_ordered_by_one_process_at_a_time():
    issuing = Issuing()
    first = issuing.ask(A, ENGINES[0])
    assert issuing.ask(B, ENGINES[0]).refused is Refused.BUSY
    assert issuing.ask(A, ENGINES[0], incarnation=2).refused is Refused.BUSY
    assert issuing.ask(A, ENGINES[0]).fence == first.fence
    lapsed = QUIET_END + OPTIONS.permit_ms
    assert issuing.ask(B, ENGINES[0], lapsed).fence > first.fence


def test_release_that_was_overtaken_gives_nothing_back():
    issuing = Issuing()
    issuing.ask(A, ENGINES[0])
    issuing.ask(A, ENGINES[0])
    issuing.release(A, ENGINES[0], 1)
    issuing.release(B, ENGINES[0], 9)
    assert issuing.ask(B, ENGINES[0]).refused is Refused.BUSY
    issuing.release(A, ENGINES[0], 4)
    assert issuing.ask(B, ENGINES[0]).refused is None


@pytest.mark.parametrize(
    "changes", [{"revision": 4}, {"revision": 6}, {"seen": Fence(6, 1, 1).number}]
)
def test_other_revision_gets_no_permit(changes):
    refused = Issuing().ask(A, ENGINES[0], **changes).refused
    assert refused is Refused.REVISION


def test_issuer_behind_a_voter_gives_no_permit():
    issuing = Issuing()
    issuing.renew(QUIET_END, floor=6)
    assert issuing.ask(A, ENGINES[0]).refused is Refused.REVISION


def test_share_of_the_engines_goes_on_serving():
    issuing = Issuing(share=0.5)
    issuing.see(VIEW, **{ENGINES[3]: False})
    assert issuing.ask(A, ENGINES[0]).refused is None
    assert issuing.ask(A, ENGINES[1]).refused is Refused.SHARE
    assert issuing.ask(A, ENGINES[3]).refused is None


def test_engine_left_out_of_service_counts_until_the_view_shows_it():
    issuing = Issuing(share=0.75)
    issuing.ask(A, ENGINES[0])
    issuing.release(A, ENGINES[0], 1, serving=False)
    assert issuing.ask(A, ENGINES[1]).refused is Refused.SHARE
    issuing.see(VIEW + 1)
    assert issuing.ask(A, ENGINES[1]).refused is None


def test_nothing_is_issued_under_a_view_from_before_earlier_permits_ended():
    issuing = Issuing()
    issuing.see(VIEW - OPTIONS.renew_ms - 1)
    assert issuing.ask(A, ENGINES[0]).refused is Refused.SHARE


def test_loads_are_spaced_so_that_no_minute_holds_too_many():
    issuing = Issuing(rate=2)
    assert issuing.ask(A, ENGINES[0], load=True).refused is None
    spacing = OPTIONS.load_spacing(2)
    early = QUIET_END + spacing - 1
    assert issuing.ask(A, ENGINES[1], early, load=True).refused is Refused.RATE
    assert issuing.ask(A, ENGINES[1], early + 1, load=True).refused is None
    assert 2 * spacing > 60_000 + OPTIONS.slot_ms + OPTIONS.wire_ms


def test_new_issuer_waits_a_minute_for_the_loads_of_the_earlier_one():
    short = replace(OPTIONS, order_ms=5_000, permit_ms=20_000)
    issuing = Issuing(rate=60, options=short)
    end = START + short.load_spacing(1)
    early = issuing.ask(A, ENGINES[0], end - 1, load=True)
    assert early.refused is Refused.RATE
    assert issuing.ask(A, ENGINES[0], end, load=True).refused is None


def test_permits_of_a_new_revision_wait_until_a_majority_knows_it():
    issuing = Issuing()
    issuing.issuer.set_tree(orders_tree(6, 1, 4, 2))
    refused = issuing.ask(A, ENGINES[0], revision=6).refused
    assert refused is Refused.NOT_ISSUER
    issuing.renew(QUIET_END, revision=6)
    assert issuing.ask(A, ENGINES[0], revision=6).refused is None


def test_lower_rate_waits_for_the_loads_of_the_higher_one():
    issuing = Issuing(rate=60)
    issuing.ask(A, ENGINES[0], load=True)
    issuing.issuer.set_tree(orders_tree(5, 1, 4, 2))
    later = QUIET_END + 60_000
    assert issuing.ask(A, ENGINES[0], later, load=True).refused is Refused.RATE


def test_term_moves_above_what_only_the_engine_remembers():
    issuing = Issuing()
    seen = Fence(5, 40, 3)
    refused = issuing.ask(A, ENGINES[0], seen=seen.number).refused
    assert refused is Refused.NOT_ISSUER
    issuing.renew(QUIET_END + OPTIONS.renew_ms)
    answer = issuing.ask(A, ENGINES[0], QUIET_END + OPTIONS.renew_ms, seen=seen.number)
    assert Fence.of(answer.fence) > seen
