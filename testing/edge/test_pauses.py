from __future__ import annotations

from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold.edge._pauses import MAX_PAUSE
from yuccafold.edge._pauses import TargetPauses

T1 = target("t1")


def at(now):
    return Milliseconds(now)


def test_shorter_pause_does_not_end_a_longer_one():
    pauses = TargetPauses()
    pauses.record(T1, at(3_000), at(0), "a1")
    pauses.record(T1, at(500), at(1_000), "a2")
    assert pauses.is_paused(T1, at(2_999))
    assert not pauses.is_paused(T1, at(3_000))


def test_pause_has_a_longest_time():
    pauses = TargetPauses()
    pauses.record(T1, at(10**12), at(5), "a1")
    assert pauses.time_left(T1, at(5)) == MAX_PAUSE


def test_target_that_restarted_is_not_paused():
    pauses = TargetPauses()
    pauses.record(T1, at(3_000), at(0), "a1")
    assert not pauses.is_paused(target("t1", born_ms=T1.born_ms + 1), at(1))
    assert pauses.is_paused(target("t1", slots=1), at(1))


def test_pauses_that_have_ended_are_dropped():
    pauses = TargetPauses()
    for number in range(100):
        pauses.record(target("t1", born_ms=number), at(10), at(20 * number), "a1")
    assert len(pauses._ends) == 1
