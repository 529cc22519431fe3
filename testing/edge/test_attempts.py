from __future__ import annotations

import random

import pytest

from yuccafold._clock import Milliseconds
from yuccafold._verdict import Verdict
from yuccafold.edge import Repeatability
from yuccafold.edge._attempts import CallProgress
from yuccafold.edge._attempts import Failure
from yuccafold.edge._attempts import may_try_again
from yuccafold.edge._attempts import out_of_time
from yuccafold.edge._attempts import refusal_of

RAN = Verdict.MAY_HAVE_RUN
NOT = Verdict.NOT_RUN
ONCE = Repeatability.ONCE
IDEMPOTENT = Repeatability.IDEMPOTENT
RESUMABLE = Repeatability.RESUMABLE


def progress(kind, verdict, **changes):
    values = {
        "repeatability": kind,
        "max_attempts": 2,
        "sent": 1,
        "arrivals": 1,
        "verdict": verdict,
        "answer_begun": False,
        "time_left": Milliseconds(400),
    }
    return CallProgress(**(values | changes))


@pytest.mark.parametrize(
    ("case", "again"),
    [
        pytest.param(progress(ONCE, RAN), False, id="once-may-have-run"),
        pytest.param(progress(ONCE, NOT), True, id="once-not-run"),
        pytest.param(progress(ONCE, NOT, max_attempts=1), False, id="attempts-used"),
        pytest.param(
            progress(ONCE, NOT, max_attempts=1, sent=0, arrivals=0),
            True,
            id="never-sent",
        ),
        pytest.param(progress(IDEMPOTENT, RAN), True, id="idempotent"),
        pytest.param(
            progress(IDEMPOTENT, Verdict.COMPLETE), True, id="idempotent-error"
        ),
        pytest.param(
            progress(IDEMPOTENT, RAN, answer_begun=True), False, id="answer-begun"
        ),
        pytest.param(
            progress(RESUMABLE, RAN, answer_begun=True), True, id="stream-resumed"
        ),
        pytest.param(
            progress(IDEMPOTENT, RAN, time_left=Milliseconds(5)), False, id="no-time"
        ),
    ],
)
def test_call_is_tried_again_only_where_that_is_safe_and_useful(case, again):
    assert may_try_again(case, budget_allows=True) is again


def test_empty_budget_stops_second_sends_but_not_the_first():
    assert not may_try_again(progress(IDEMPOTENT, RAN), budget_allows=False)
    unsent = progress(IDEMPOTENT, NOT, sent=0, arrivals=0)
    assert may_try_again(unsent, budget_allows=False)


def test_call_that_reached_another_target_counts_for_the_budget_only():
    misdirected = progress(ONCE, NOT, max_attempts=1, sent=0, arrivals=1)
    assert may_try_again(misdirected, budget_allows=True)
    assert not may_try_again(misdirected, budget_allows=False)


def test_refusal_never_promises_not_run_of_what_may_have_run():
    for failure in Failure:
        refusal = refusal_of(failure, RAN, random.Random(1))
        assert refusal.status == 502
        assert refusal.retry_after_ms == 0


def test_call_that_did_not_run_is_told_when_to_come_back():
    refusal = refusal_of(Failure.REFUSED, NOT, random.Random(1))
    assert refusal.status == 503
    assert refusal.retry_after_ms > 0


@pytest.mark.parametrize(("verdict", "status"), [(NOT, 503), (RAN, 504)])
def test_call_out_of_time_is_told_what_is_known(verdict, status):
    assert out_of_time(verdict, random.Random(1)).status == status
