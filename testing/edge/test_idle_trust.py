from __future__ import annotations

import random

from edge.builders import DESK
from edge.builders import ENGINES
from yuccafold._clock import Milliseconds
from yuccafold.edge._idle_trust import DISTRUST
from yuccafold.edge._idle_trust import LONGEST_REST
from yuccafold.edge._idle_trust import RESET_WINDOW
from yuccafold.edge._idle_trust import SHORTEST_REST
from yuccafold.edge._idle_trust import IdleTrust


def at(now):
    return Milliseconds(now)


def distrusting():
    trust = IdleTrust()
    trust.note_reset(DESK, at(800), at(100))
    trust.note_reset(DESK, at(400), at(900))
    return trust


def test_one_reset_is_chance_and_two_are_a_habit():
    trust = IdleTrust()
    trust.note_reset(DESK, at(800), at(100))
    assert trust.longest_rest(DESK, at(101)) == LONGEST_REST
    trust.note_reset(DESK, at(400), at(900))
    assert trust.longest_rest(DESK, at(901)) == 200
    assert trust.longest_rest(ENGINES, at(901)) == LONGEST_REST


def test_resets_that_are_far_apart_are_chance():
    trust = IdleTrust()
    trust.note_reset(DESK, at(800), at(0))
    trust.note_reset(DESK, at(800), at(RESET_WINDOW + 1))
    assert trust.longest_rest(DESK, at(RESET_WINDOW + 2)) == LONGEST_REST


def test_trust_comes_back():
    trust = distrusting()
    assert trust.longest_rest(DESK, at(900 + DISTRUST)) == 200
    assert trust.longest_rest(DESK, at(901 + DISTRUST)) == LONGEST_REST


def test_connection_that_was_just_used_is_always_taken():
    trust = IdleTrust()
    for now in (0, 10, 20):
        trust.note_reset(DESK, SHORTEST_REST, at(now))
    assert trust.longest_rest(DESK, at(30)) == LONGEST_REST


def lost_calls(learns, forgets_after=300, seconds=8, calls_a_second=20, targets=9):
    """Return how many once-only calls are lost while half of the targets drop
    connections that rested longer than they should.
    """
    rng = random.Random(2)
    trust = IdleTrust()
    used = dict.fromkeys(range(targets), 0)
    lost = 0
    for now in range(0, seconds * 1_000, 1_000 // calls_a_second):
        number = rng.randrange(targets)
        rest = now - used[number]
        used[number] = now
        limit = trust.longest_rest(DESK, at(now)) if learns else LONGEST_REST
        if rest <= limit and number % 2 and rest > forgets_after:
            lost += 1
            trust.note_reset(DESK, at(rest), at(now))
    return lost


def test_few_calls_are_lost_to_targets_that_drop_idle_connections():
    assert lost_calls(learns=False) > 20
    assert lost_calls(learns=True) <= 5
