from __future__ import annotations

import random

import pytest

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._verdict import Verdict
from yuccafold.placement import Candidate
from yuccafold.placement import CandidateReason
from yuccafold.placement import DenialReason
from yuccafold.placement import PlacementSearch
from yuccafold.placement import SlotGranted
from yuccafold.placement import SlotRefused
from yuccafold.placement import strict_multiple
from yuccafold.settings import Policy

NAMES = [TargetId(f"engine-{n}") for n in range(3)]
CANDIDATES = [Candidate(name, CandidateReason.RANK) for name in NAMES]


def search(**policy):
    lifetime = Milliseconds(1_000)
    return PlacementSearch(ServiceId("chat"), CANDIDATES, Policy(**policy), lifetime)


def refuse_all(attempts: PlacementSearch):
    slots = []
    while (slot := attempts.next_slot()) is not None:
        slots.append((slot.target, slot.multiple))
        attempts.on_outcome(SlotRefused(1, slot.target, DenialReason.TARGET_FULL))
    return slots


def test_candidates_are_tried_in_order_with_the_full_multiple():
    assert refuse_all(search()) == [(name, 1.25) for name in NAMES]


def test_low_reuse_weight_tries_first_candidates_with_a_lower_multiple():
    slots = refuse_all(search(reuse_weight=0.2))
    assert slots[:2] == [(name, pytest.approx(1.1)) for name in NAMES[:2]]
    assert slots[2:] == [(name, 1.25) for name in NAMES]


@pytest.mark.parametrize(
    ("weight", "multiple"), [(0.0, 1.0), (0.25, 1.25), (0.5, 1.5), (1.0, 1.5)]
)
def test_strict_multiple_grows_with_the_reuse_weight(weight, multiple):
    policy = Policy(reuse_weight=weight, load_multiple=1.5)
    assert strict_multiple(policy) == pytest.approx(multiple)


def test_placement_explains_each_step():
    attempts = search()
    first = attempts.next_slot()
    attempts.on_outcome(SlotRefused(1, first.target, DenialReason.TARGET_FULL))
    second = attempts.next_slot()
    assert attempts.on_outcome(SlotGranted(2, second.target, Milliseconds(5)))
    assert attempts.placement.target == "engine-1"
    assert attempts.placement.explain() == (
        "engine-0 (rank): target-full, engine-1 (rank): granted"
    )


def test_refusal_is_not_run_with_a_random_retry_time():
    attempts = search()
    refuse_all(attempts)
    refusals = [attempts.refusal(random.Random(seed)) for seed in range(20)]
    assert {refusal.verdict for refusal in refusals} == {Verdict.NOT_RUN}
    assert all(500 <= refusal.retry_after_ms <= 1_500 for refusal in refusals)
    assert len({refusal.retry_after_ms for refusal in refusals}) > 10


def test_outcome_of_another_target_is_rejected():
    attempts = search()
    attempts.next_slot()
    with pytest.raises(ValueError, match="engine-2"):
        attempts.on_outcome(SlotGranted(1, NAMES[2], Milliseconds(5)))
