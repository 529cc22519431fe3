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
from yuccafold.placement import Placing
from yuccafold.placement import SlotGranted
from yuccafold.placement import SlotRefused
from yuccafold.placement import home_multiple
from yuccafold.settings import Policy

NAMES = [TargetId(f"engine-{n}") for n in range(3)]
CANDIDATES = [Candidate(name, CandidateReason.RANK) for name in NAMES]


def placing(**policy):
    lifetime = Milliseconds(1_000)
    return Placing(ServiceId("chat"), CANDIDATES, Policy(**policy), lifetime)


def refuse(run: Placing):
    asks = []
    while (ask := run.next_ask()) is not None:
        asks.append((ask.target, ask.multiple))
        run.on_outcome(SlotRefused(1, ask.target, DenialReason.TARGET_FULL))
    return asks


def test_candidates_are_asked_in_order_with_the_whole_multiple():
    assert refuse(placing()) == [(name, 1.25) for name in NAMES]


def test_low_reuse_weight_fills_the_chats_own_targets_less_at_first():
    asks = refuse(placing(reuse_weight=0.2))
    assert asks[:2] == [(name, pytest.approx(1.1)) for name in NAMES[:2]]
    assert asks[2:] == [(name, 1.25) for name in NAMES]


@pytest.mark.parametrize(
    ("weight", "multiple"), [(0.0, 1.0), (0.25, 1.25), (0.5, 1.5), (1.0, 1.5)]
)
def test_home_multiple_grows_with_the_reuse_weight(weight, multiple):
    policy = Policy(reuse_weight=weight, load_multiple=1.5)
    assert home_multiple(policy) == pytest.approx(multiple)


def test_placement_explains_each_step():
    run = placing()
    first = run.next_ask()
    run.on_outcome(SlotRefused(1, first.target, DenialReason.TARGET_FULL))
    second = run.next_ask()
    assert run.on_outcome(SlotGranted(2, second.target, Milliseconds(5)))
    assert run.placement.target == "engine-1"
    assert run.placement.explain() == (
        "engine-0 (rank): target-full, engine-1 (rank): granted"
    )


def test_refusal_is_not_run_and_its_retry_time_spreads():
    run = placing()
    refuse(run)
    refusals = [run.refusal(random.Random(seed)) for seed in range(20)]
    assert {refusal.verdict for refusal in refusals} == {Verdict.NOT_RUN}
    assert all(500 <= refusal.retry_after_ms <= 1_500 for refusal in refusals)
    assert len({refusal.retry_after_ms for refusal in refusals}) > 10


def test_outcome_of_another_target_is_refused():
    run = placing()
    run.next_ask()
    with pytest.raises(ValueError, match="engine-2"):
        run.on_outcome(SlotGranted(1, NAMES[2], Milliseconds(5)))
