from __future__ import annotations

import random

from edge.builders import DESK
from edge.builders import ENGINES
from yuccafold._clock import Milliseconds
from yuccafold.edge._idle_trust import MAX_IDLE_LIMIT
from yuccafold.edge._idle_trust import MIN_IDLE_LIMIT
from yuccafold.edge._idle_trust import RESET_WINDOW
from yuccafold.edge._idle_trust import SHORTENED_LIMIT_PERIOD
from yuccafold.edge._idle_trust import IdleLimits


def at(now):
    return Milliseconds(now)


def limits_with_shortened_limit():
    limits = IdleLimits()
    limits.record_reset(DESK, at(800), at(100))
    limits.record_reset(DESK, at(400), at(900))
    return limits


def test_two_resets_shorten_the_idle_limit_and_one_does_not():
    limits = IdleLimits()
    limits.record_reset(DESK, at(800), at(100))
    assert limits.max_idle(DESK, at(101)) == MAX_IDLE_LIMIT
    limits.record_reset(DESK, at(400), at(900))
    assert limits.max_idle(DESK, at(901)) == 200
    assert limits.max_idle(ENGINES, at(901)) == MAX_IDLE_LIMIT


def test_resets_that_are_far_apart_keep_the_idle_limit():
    limits = IdleLimits()
    limits.record_reset(DESK, at(800), at(0))
    limits.record_reset(DESK, at(800), at(RESET_WINDOW + 1))
    assert limits.max_idle(DESK, at(RESET_WINDOW + 2)) == MAX_IDLE_LIMIT


def test_idle_limit_is_restored_after_a_period_without_resets():
    limits = limits_with_shortened_limit()
    assert limits.max_idle(DESK, at(900 + SHORTENED_LIMIT_PERIOD)) == 200
    assert limits.max_idle(DESK, at(901 + SHORTENED_LIMIT_PERIOD)) == MAX_IDLE_LIMIT


def test_resets_of_just_used_connections_keep_the_idle_limit():
    limits = IdleLimits()
    for now in (0, 10, 20):
        limits.record_reset(DESK, MIN_IDLE_LIMIT, at(now))
    assert limits.max_idle(DESK, at(30)) == MAX_IDLE_LIMIT


def lost_calls(adaptive, dropped_after=300, seconds=8, calls_per_second=20, targets=9):
    """Return how many once-only calls are lost while targets drop idle connections.

    About half of the targets drop connections that were idle for more than
    ``dropped_after`` ms. If ``adaptive``, the idle limit follows the resets.
    """
    rng = random.Random(2)
    limits = IdleLimits()
    last_used_at = dict.fromkeys(range(targets), 0)
    lost = 0
    for now in range(0, seconds * 1_000, 1_000 // calls_per_second):
        number = rng.randrange(targets)
        idle_for = now - last_used_at[number]
        last_used_at[number] = now
        limit = limits.max_idle(DESK, at(now)) if adaptive else MAX_IDLE_LIMIT
        if idle_for <= limit and number % 2 and idle_for > dropped_after:
            lost += 1
            limits.record_reset(DESK, at(idle_for), at(now))
    return lost


def test_few_calls_are_lost_to_targets_that_drop_idle_connections():
    assert lost_calls(adaptive=False) > 20
    assert lost_calls(adaptive=True) <= 5
