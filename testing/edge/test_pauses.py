from __future__ import annotations

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._pauses import MAX_PAUSE
from yuccafold.edge._pauses import TargetPauses

T1 = TargetId("t1")


def at(now):
    return Milliseconds(now)


def test_shorter_pause_does_not_end_a_longer_one():
    pauses = TargetPauses()
    pauses.record_rejection(T1, at(3_000), at(0))
    pauses.record_rejection(T1, at(500), at(1_000))
    assert pauses.is_paused(T1, at(2_999))
    assert not pauses.is_paused(T1, at(3_000))


def test_pause_has_a_longest_time():
    pauses = TargetPauses()
    pauses.record_rejection(T1, at(10**12), at(5))
    assert pauses.time_left(T1, at(5)) == MAX_PAUSE


def test_target_that_restarted_is_not_paused():
    pauses = TargetPauses()
    pauses.record_rejection(T1, at(3_000), at(0))
    pauses.forget(T1, at(1))
    assert not pauses.is_paused(T1, at(1))
