from __future__ import annotations

import pytest

from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._leaving import MAX_NOTICES
from yuccafold.edge._leaving import NOTICE_RETENTION
from yuccafold.edge._leaving import TELL_TIME
from yuccafold.edge._leaving import LeavingNotice
from yuccafold.edge._leaving import LeavingTargets
from yuccafold.edge._leaving import format_leaving
from yuccafold.edge._leaving import latest_notices
from yuccafold.edge._leaving import parse_leaving

T1 = TargetId("t1")
OLD_START = target("t1", born_ms=1_000)
NEW_START = target("t1", born_ms=2_000)


def at(ms):
    return Milliseconds(ms)


def test_later_start_of_a_target_begins_without_a_notice():
    leaving = LeavingTargets()
    assert leaving.record_answer(OLD_START, "a1", at(10))
    assert not leaving.record_answer(OLD_START, "a2", at(20))
    assert leaving.is_leaving(OLD_START)
    assert not leaving.is_leaving(NEW_START)


@pytest.mark.parametrize("later_born", [500, 2_000], ids=["clock back", "clock on"])
def test_notice_of_a_later_start_replaces_the_earlier_one(later_born):
    leaving = LeavingTargets()
    leaving.record_answer(OLD_START, "a1", at(10))
    later_start = target("t1", born_ms=later_born)
    leaving.record_reported({T1: LeavingNotice(later_born, at(400))}, at(500))
    assert leaving.is_leaving(later_start)
    leaving.record_reported({T1: LeavingNotice(1_000, at(10))}, at(600))
    assert leaving.is_leaving(later_start)


def test_notices_of_other_vms_are_not_passed_on_as_own():
    leaving = LeavingTargets()
    leaving.record_reported({T1: LeavingNotice(1_000, at(10))}, at(500))
    assert leaving.is_leaving(OLD_START)
    assert leaving.age(OLD_START, at(510)) == 500
    assert leaving.local_notices(at(510)) == {}


def test_notices_are_told_for_a_while_and_expire():
    leaving = LeavingTargets()
    leaving.record_answer(OLD_START, "a1", at(0))
    assert set(leaving.local_notices(at(TELL_TIME - 1))) == {T1}
    assert leaving.local_notices(at(TELL_TIME)) == {}
    assert leaving.is_leaving(OLD_START)
    leaving.local_notices(at(NOTICE_RETENTION + 1))
    assert not leaving.is_leaving(OLD_START)


def test_number_of_notices_is_bounded():
    leaving = LeavingTargets()
    for number in range(MAX_NOTICES + 50):
        leaving.record_answer(target(f"t{number}"), "a1", at(number))
    leaving.local_notices(at(MAX_NOTICES + 50))
    assert not leaving.is_leaving(target("t49"))
    assert leaving.is_leaving(target("t50"))


def test_first_notice_of_the_latest_start_is_reported():
    first = {T1: LeavingNotice(1_000, at(10))}
    second = {T1: LeavingNotice(2_000, at(400))}
    third = {T1: LeavingNotice(2_000, at(450))}
    assert latest_notices([first, third, second]) == second
    assert latest_notices([second, third, first]) == second


def test_notices_keep_their_age_on_the_way():
    notices = {T1: LeavingNotice(1_000, at(10))}
    text = format_leaving(notices, at(60))
    assert parse_leaving(text, at(5_000)) == {T1: LeavingNotice(1_000, at(4_950))}


@pytest.mark.parametrize("text", ["t1", "t1:x:5", "t1:5"])
def test_malformed_notices_raise(text):
    with pytest.raises(ValueError):
        parse_leaving(text, at(0))
