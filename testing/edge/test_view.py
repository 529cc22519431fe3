from __future__ import annotations

from edge.builders import DESK
from edge.builders import catalogue
from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold.edge import TargetState
from yuccafold.edge._view import PlatformView

DRAIN = Milliseconds(2_000)


def view_of(*records, now=0):
    view = PlatformView(DRAIN)
    for record in records:
        view.put_target(record, Milliseconds(now))
    return view


def ready_ids(view, now):
    return [known.record.id for known in view.ready(DESK, Milliseconds(now))]


def test_draining_target_gets_no_new_calls():
    view = view_of(target("t1"), target("t2"))
    view.put_target(target("t1", state=TargetState.DRAINING), Milliseconds(10))
    assert ready_ids(view, 10) == ["t2"]


def test_target_whose_entry_was_removed_gets_no_new_calls():
    view = view_of(target("t1"), target("t2"))
    view.remove_target(target("t1").id, Milliseconds(10))
    assert ready_ids(view, 10) == ["t2"]


def test_entry_that_expired_in_an_outage_is_used_for_less_than_the_drain_bound():
    view = view_of(target("t1"))
    view.record_outage(Milliseconds(1_000))
    view.remove_target(target("t1").id, Milliseconds(1_100))
    assert ready_ids(view, 1_200) == ["t1"]
    assert ready_ids(view, 1_100 + DRAIN) == []


def test_grace_of_an_expired_entry_counts_from_its_last_confirmed_presence():
    view = view_of(target("t1"))
    view.confirm(Milliseconds(1_000))
    view.record_outage(Milliseconds(2_500))
    view.remove_target(target("t1").id, Milliseconds(2_600))
    # The target may have left right after the view was confirmed.
    assert ready_ids(view, 1_000 + DRAIN - 400) == []
    assert ready_ids(view, 1_000 + DRAIN) == []


def test_entry_that_expired_in_a_long_outage_keeps_its_grace():
    view = view_of(target("t1"))
    view.confirm(Milliseconds(1_000))
    view.record_outage(Milliseconds(8_000))
    view.remove_target(target("t1").id, Milliseconds(8_100))
    assert ready_ids(view, 9_000) == ["t1"]
    assert ready_ids(view, 8_100 + DRAIN) == []


def test_expired_entry_that_comes_back_is_ready_again():
    view = view_of(target("t1"))
    view.record_outage(Milliseconds(1_000))
    view.remove_target(target("t1").id, Milliseconds(1_100))
    view.put_target(target("t1"), Milliseconds(2_500))
    assert ready_ids(view, 60_000) == ["t1"]


def test_draining_target_whose_entry_expires_stays_unready():
    view = view_of(target("t1", state=TargetState.DRAINING))
    view.record_outage(Milliseconds(1_000))
    view.remove_target(target("t1").id, Milliseconds(1_100))
    assert ready_ids(view, 1_200) == []


def test_leaving_target_stays_present_as_a_fetch_source():
    view = view_of(target("t1"), target("t2"))
    view.remove_target(target("t1").id, Milliseconds(10))
    assert {known.record.id for known in view.present(DESK)} == {"t1", "t2"}
    assert view.forget_gone(Milliseconds(60_000)) == ["t1"]
    assert {known.record.id for known in view.present(DESK)} == {"t2"}


def test_no_call_is_sent_to_a_target_whose_address_changed():
    old = target("t1")
    view = view_of(old)
    view.put_target(target("t1", address="10.0.0.9:1", born_ms=2_000), Milliseconds(5))
    assert not view.may_send(old, Milliseconds(5))


def test_older_catalogue_is_rejected():
    view = PlatformView(DRAIN)
    assert view.apply(catalogue(version=5))
    assert not view.apply(catalogue(version=4))
    assert view.version == 5


def test_entry_of_an_earlier_start_is_ignored():
    view = view_of(target("t1", born_ms=2_000))
    assert not view.put_target(target("t1", born_ms=1_000), Milliseconds(5))
    assert view.born_ms(target("t1").id) == 2_000


def test_age_counts_from_the_start_of_the_call_that_confirmed_it():
    view = PlatformView(DRAIN)
    assert view.age(Milliseconds(50)) is None
    view.confirm(Milliseconds(100))
    view.confirm(Milliseconds(90))
    assert view.age(Milliseconds(150)) == 50
