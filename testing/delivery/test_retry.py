from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from yuccafold._verdict import Verdict
from yuccafold.delivery import AttemptEnd
from yuccafold.delivery import GiveUp
from yuccafold.delivery import GiveUpReason
from yuccafold.delivery import RetryAfter
from yuccafold.delivery import RetryBudget
from yuccafold.delivery import decide_retry
from yuccafold.delivery import hedge_delay
from yuccafold.settings import Policy

POLICIES = st.builds(
    Policy,
    max_attempts=st.integers(1, 10),
    retry_backoff_ms=st.integers(1, 10_000),
    hedge_after_ms=st.integers(0, 1_000),
)
ENDS = st.builds(
    AttemptEnd,
    st.sampled_from(Verdict),
    st.booleans(),
    st.integers(1, 12),
    st.integers(-1_000, 100_000),
    st.booleans(),
)


@given(POLICIES, ENDS, st.booleans(), st.integers())
def test_retry_is_safe_and_in_time(policy, end, budget_allows, seed):
    decision = decide_retry(policy, end, budget_allows, Random(seed))
    assert decision == decide_retry(policy, end, budget_allows, Random(seed))
    if isinstance(decision, RetryAfter):
        assert budget_allows
        assert end.attempt < policy.max_attempts
        assert not end.bytes_relayed
        assert end.verdict is Verdict.NOT_RUN or end.idempotent
        assert end.verdict is not Verdict.COMPLETE
        assert 0 <= decision.delay_ms < end.remaining_ms


def test_call_that_did_not_run_is_tried_again():
    end = AttemptEnd(Verdict.NOT_RUN, False, 1, 10_000)
    assert isinstance(decide_retry(Policy(), end, True, Random(1)), RetryAfter)


def test_give_up_reason_names_the_obstacle():
    end = AttemptEnd(Verdict.MAY_HAVE_RUN, False, 1, 10_000)
    decision = decide_retry(Policy(), end, True, Random(1))
    assert decision == GiveUp(GiveUpReason.MAY_HAVE_RUN)
    end = AttemptEnd(Verdict.MAY_HAVE_RUN, True, 1, 10_000)
    decision = decide_retry(Policy(), end, False, Random(1))
    assert decision == GiveUp(GiveUpReason.BUDGET)


@given(st.floats(0.0, 1.0), st.integers(1, 400))
def test_retries_stay_a_share_of_requests(share, requests):
    budget = RetryBudget(capacity=10.0)
    retries = 0
    for _ in range(requests):
        budget.record_request(share)
        while budget.has_token():
            budget.spend()
            retries += 1
    assert retries <= 10 + share * requests + 1


@given(POLICIES, st.booleans(), st.integers(1, 5), st.integers(0, 2_000))
def test_only_the_first_attempt_of_a_lookup_is_hedged(
    policy, idempotent, attempt, left
):
    delay = hedge_delay(policy, idempotent, attempt, left)
    if delay is not None:
        assert idempotent
        assert attempt == 1
        assert 0 < delay < left


def test_hedging_is_off_by_default():
    assert hedge_delay(Policy(), True, 1, 10_000) is None
