from __future__ import annotations

from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._health import Outcome
from yuccafold.edge._health import TargetHealth
from yuccafold.edge._view import KnownTarget

KNOWN = [KnownTarget(target(f"t{n}"), Milliseconds(0)) for n in range(1, 5)]
SERVICE_TARGETS = [known.record.id for known in KNOWN]
UNHEALTHY = TargetId("t1")


def record(health, outcome, now, name=UNHEALTHY):
    return health.record_outcome(name, outcome, SERVICE_TARGETS, Milliseconds(now))


def usable(health, now, repeatable=True):
    found = health.usable(KNOWN, repeatable, Milliseconds(now))
    return {known.record.id for known in found}


def health_with_unhealthy_target():
    health = TargetHealth()
    for step in range(10):
        for target_id in SERVICE_TARGETS[1:]:
            record(health, Outcome.GOOD, step * 10, target_id)
    record(health, Outcome.FAILED, 100)
    record(health, Outcome.FAILED, 110)
    return health


def test_target_that_fails_more_than_its_service_is_avoided():
    assert UNHEALTHY not in usable(health_with_unhealthy_target(), 120)


def test_service_that_fails_everywhere_is_still_used():
    health = TargetHealth()
    for step in range(8):
        for target_id in SERVICE_TARGETS:
            record(health, Outcome.FAILED, step * 10, target_id)
    assert usable(health, 90)


def test_error_rate_shared_by_all_targets_avoids_none():
    health = TargetHealth()
    for step in range(40):
        outcome = Outcome.FAILED if step % 6 == 0 else Outcome.GOOD
        for target_id in SERVICE_TARGETS:
            record(health, outcome, step * 20, target_id)
    assert usable(health, 800) == set(SERVICE_TARGETS)


def test_unreachable_target_is_avoided_at_once():
    health = TargetHealth()
    assert record(health, Outcome.UNREACHABLE, 10)
    assert UNHEALTHY not in usable(health, 20)


def test_avoided_target_is_first_tried_with_a_repeatable_call():
    health = health_with_unhealthy_target()
    assert UNHEALTHY in usable(health, 600)
    assert UNHEALTHY not in usable(health, 600, repeatable=False)


def test_avoided_target_gets_one_trial_call_at_a_time():
    health = health_with_unhealthy_target()
    health.start(UNHEALTHY)
    assert UNHEALTHY not in usable(health, 600)
    record(health, Outcome.UNKNOWN, 610)
    assert UNHEALTHY in usable(health, 620)


def test_target_recovers_after_successful_trials():
    health = health_with_unhealthy_target()
    record(health, Outcome.GOOD, 600)
    assert UNHEALTHY not in usable(health, 610, repeatable=False)
    record(health, Outcome.GOOD, 620)
    assert UNHEALTHY in usable(health, 630, repeatable=False)


def test_failed_trial_doubles_the_backoff():
    health = health_with_unhealthy_target()
    assert record(health, Outcome.FAILED, 600)
    assert UNHEALTHY not in usable(health, 1_300)
    assert UNHEALTHY in usable(health, 1_450)


def test_once_only_call_tries_an_avoided_target_after_a_longer_delay():
    assert UNHEALTHY in usable(health_with_unhealthy_target(), 3_000, repeatable=False)


def test_half_of_the_targets_stay_in_use_when_most_are_unhealthy():
    health = TargetHealth()
    for target_id in SERVICE_TARGETS[:3]:
        record(health, Outcome.UNREACHABLE, 10, target_id)
    assert len(usable(health, 20)) >= 2
