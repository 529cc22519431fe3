"""Decides which connections of callers are ended when memory or places run out."""

from __future__ import annotations

import pytest

from yuccafold.intake import SMALL_REQUEST_BYTES
from yuccafold.intake import EndReason
from yuccafold.intake import Intake
from yuccafold.intake import IntakeLimits

LARGE = 4 * SMALL_REQUEST_BYTES


class Callers:
    """Connections of callers at an intake, and the order in which they are ended."""

    def __init__(self, connections=100, memory=10 * LARGE):
        self.intake = Intake(IntakeLimits(connections, memory))
        self.ended = []
        self._now = 0

    def open(self, name):
        self._now += 1
        return self.intake.open(lambda: self.ended.append(name), self._now)

    def upload(self, share, held):
        self._now += 1
        self.intake.hold(share, held, self._now)


def test_crowd_of_unfinished_bodies_is_held_within_the_memory():
    callers = Callers()
    for number in range(100):
        callers.upload(callers.open(number), LARGE)
        assert callers.intake.held <= 10 * LARGE
    assert callers.ended == list(range(90))


def test_caller_that_is_silent_for_longest_is_ended_first():
    callers = Callers(memory=2 * LARGE)
    first, second = callers.open("first"), callers.open("second")
    callers.upload(first, LARGE - 1)
    callers.upload(second, LARGE)
    callers.upload(first, LARGE)
    callers.upload(callers.open("third"), LARGE)
    assert callers.ended == ["second"]
    assert second.end_reason is EndReason.MEMORY


def test_small_requests_are_not_ended_for_memory():
    callers = Callers(memory=LARGE)
    shares = [callers.open(number) for number in range(100)]
    for share in shares:
        callers.upload(share, SMALL_REQUEST_BYTES)
    assert not callers.ended


def test_small_requests_are_read_while_large_ones_that_run_hold_all_memory():
    callers = Callers(memory=2 * LARGE)
    for number in range(2):
        share = callers.open(f"running-{number}")
        callers.upload(share, LARGE)
        callers.intake.begin_call(share)
    small, large = callers.open("small"), callers.open("large")
    callers.upload(small, SMALL_REQUEST_BYTES)
    callers.upload(large, LARGE)
    assert callers.ended == ["large"]


@pytest.mark.parametrize("held", [LARGE, 100 * LARGE])
def test_single_large_request_is_read_whatever_the_memory(held):
    callers = Callers(memory=LARGE // 2)
    for _ in range(50):
        callers.upload(callers.open("small"), SMALL_REQUEST_BYTES)
    callers.upload(callers.open("large"), held)
    assert not callers.ended


def test_memory_is_free_again_after_an_answer_or_a_close():
    callers = Callers()
    answered, left = callers.open("answered"), callers.open("left")
    for share in (answered, left):
        callers.upload(share, LARGE)
    callers.intake.begin_call(answered)
    callers.intake.end_call(answered, 10)
    callers.intake.close(left)
    callers.intake.close(left)
    assert callers.intake.held == 0


def test_new_caller_gets_the_place_of_the_most_silent_one_but_of_no_call():
    callers = Callers()
    running, idle, reading = map(callers.open, ["running", "idle", "reading"])
    callers.intake.begin_call(running)
    callers.upload(reading, 10)
    assert callers.intake.make_room()
    assert callers.intake.make_room()
    assert not callers.intake.make_room()
    assert callers.ended == ["idle", "reading"]
    callers.intake.end_call(running, 99)
    assert callers.intake.make_room()
    assert idle.end_reason is EndReason.CONNECTIONS


def test_running_call_gives_way_only_if_its_caller_sent_too_much_behind_it():
    callers = Callers()
    running, flooding = callers.open("running"), callers.open("flooding")
    for share in (running, flooding):
        callers.intake.begin_call(share)
    callers.intake.record_backlog(flooding)
    waiting = callers.open("waiting")
    assert [callers.intake.make_room() for _ in range(3)] == [True, True, False]
    assert callers.ended == ["waiting", "flooding"]
    assert waiting.end_reason is EndReason.CONNECTIONS


def test_ended_connection_is_not_ended_again_and_holds_nothing():
    callers = Callers(memory=2 * LARGE)
    shares = [callers.open(number) for number in range(4)]
    for share in shares[:3]:
        callers.upload(share, LARGE)
    callers.upload(shares[0], 2 * LARGE)
    assert callers.ended == [0]
    assert shares[0].held == 0
