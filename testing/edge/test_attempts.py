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

MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN
NOT_RUN = Verdict.NOT_RUN
ONCE = Repeatability.ONCE
IDEMPOTENT = Repeatability.IDEMPOTENT
RESUMABLE = Repeatability.RESUMABLE


def progress(kind, verdict, **changes):
    values = {
        "repeatability": kind,
        "max_attempts": 2,
        "sent": 1,
        "sends": 1,
        "verdict": verdict,
        "answer_begun": False,
        "time_left": Milliseconds(400),
    }
    return CallProgress(**(values | changes))


@pytest.mark.parametrize(
    ("case", "is_retried"),
    [
        pytest.param(progress(ONCE, MAY_HAVE_RUN), False, id="once-may-have-run"),
        pytest.param(progress(ONCE, NOT_RUN), True, id="once-not-run"),
        pytest.param(
            progress(ONCE, NOT_RUN, max_attempts=1), False, id="attempts-used"
        ),
        pytest.param(
            progress(ONCE, NOT_RUN, max_attempts=1, sent=0, sends=0),
            True,
            id="never-sent",
        ),
        pytest.param(progress(IDEMPOTENT, MAY_HAVE_RUN), True, id="idempotent"),
        pytest.param(
            progress(IDEMPOTENT, Verdict.COMPLETE), True, id="idempotent-error"
        ),
        pytest.param(
            progress(IDEMPOTENT, MAY_HAVE_RUN, answer_begun=True),
            False,
            id="answer-begun",
        ),
        pytest.param(
            progress(RESUMABLE, MAY_HAVE_RUN, answer_begun=True),
            True,
            id="stream-resumed",
        ),
        pytest.param(
            progress(IDEMPOTENT, MAY_HAVE_RUN, time_left=Milliseconds(5)),
            False,
            id="no-time",
        ),
    ],
)
def test_call_is_retried_only_where_safe_and_useful(case, is_retried):
    assert may_try_again(case, budget_allows=True) is is_retried


def test_empty_budget_stops_retries_but_not_the_first_send():
    assert not may_try_again(progress(IDEMPOTENT, MAY_HAVE_RUN), budget_allows=False)
    unsent = progress(IDEMPOTENT, NOT_RUN, sent=0, sends=0)
    assert may_try_again(unsent, budget_allows=False)


def test_misdirected_attempt_uses_the_retry_budget_but_no_attempt():
    misdirected = progress(ONCE, NOT_RUN, max_attempts=1, sent=0, sends=1)
    assert may_try_again(misdirected, budget_allows=True)
    assert not may_try_again(misdirected, budget_allows=False)


def test_refusal_of_a_call_that_may_have_run_offers_no_retry():
    for failure in Failure:
        refusal = refusal_of(failure, MAY_HAVE_RUN, random.Random(1))
        assert refusal.status == 502
        assert refusal.retry_after_ms == 0


def test_refusal_of_a_call_that_did_not_run_has_a_retry_delay():
    refusal = refusal_of(Failure.REFUSED, NOT_RUN, random.Random(1))
    assert refusal.status == 503
    assert refusal.retry_after_ms > 0


@pytest.mark.parametrize(("verdict", "status"), [(NOT_RUN, 503), (MAY_HAVE_RUN, 504)])
def test_status_of_a_timed_out_call_depends_on_its_verdict(verdict, status):
    assert out_of_time(verdict, random.Random(1)).status == status
