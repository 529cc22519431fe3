from __future__ import annotations

from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._health import Outcome
from yuccafold.edge._health import TargetHealth
from yuccafold.edge._view import KnownTarget

KNOWN = [KnownTarget(target(f"t{n}"), Milliseconds(0)) for n in range(1, 5)]
PEERS = [known.record.id for known in KNOWN]
SICK = TargetId("t1")


def note(health, outcome, now, name=SICK):
    return health.note(name, outcome, PEERS, Milliseconds(now))


def usable(health, now, repeatable=True):
    found = health.usable(KNOWN, repeatable, Milliseconds(now))
    return {known.record.id for known in found}


def sick_health():
    health = TargetHealth()
    for step in range(10):
        for peer in PEERS[1:]:
            note(health, Outcome.GOOD, step * 10, peer)
    note(health, Outcome.FAILED, 100)
    note(health, Outcome.FAILED, 110)
    return health


def test_target_that_fails_more_than_its_service_is_avoided():
    assert SICK not in usable(sick_health(), 120)


def test_service_that_fails_everywhere_is_still_used():
    health = TargetHealth()
    for step in range(8):
        for peer in PEERS:
            note(health, Outcome.FAILED, step * 10, peer)
    assert usable(health, 90)


def test_share_of_errors_that_all_targets_have_avoids_none():
    health = TargetHealth()
    for step in range(40):
        outcome = Outcome.FAILED if step % 6 == 0 else Outcome.GOOD
        for peer in PEERS:
            note(health, outcome, step * 20, peer)
    assert usable(health, 800) == set(PEERS)


def test_unreachable_target_is_avoided_at_once():
    health = TargetHealth()
    assert note(health, Outcome.UNREACHABLE, 10)
    assert SICK not in usable(health, 20)


def test_sick_target_is_tried_first_by_a_call_that_may_be_repeated():
    health = sick_health()
    assert SICK in usable(health, 600)
    assert SICK not in usable(health, 600, repeatable=False)


def test_trials_come_one_at_a_time():
    health = sick_health()
    health.start(SICK)
    assert SICK not in usable(health, 600)
    note(health, Outcome.UNKNOWN, 610)
    assert SICK in usable(health, 620)


def test_target_is_trusted_again_after_good_trials():
    health = sick_health()
    note(health, Outcome.GOOD, 600)
    assert SICK not in usable(health, 610, repeatable=False)
    note(health, Outcome.GOOD, 620)
    assert SICK in usable(health, 630, repeatable=False)


def test_failed_trial_doubles_the_pause():
    health = sick_health()
    assert note(health, Outcome.FAILED, 600)
    assert SICK not in usable(health, 1_300)
    assert SICK in usable(health, 1_450)


def test_calls_that_run_once_try_a_sick_target_when_nothing_else_comes():
    assert SICK in usable(sick_health(), 3_000, repeatable=False)


def test_rest_does_not_drown_when_most_targets_look_sick():
    health = TargetHealth()
    for peer in PEERS[:3]:
        note(health, Outcome.UNREACHABLE, 10, peer)
    assert len(usable(health, 20)) >= 2
