from __future__ import annotations

import itertools
import random
from collections import Counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.admission import QueueSettings
from yuccafold.admission import WaitingCall
from yuccafold.admission import WaitQueue

LIMIT = 6
CHAT = ServiceId("chat")
SETTINGS = QueueSettings()


def call(number, account="a", priority="normal", tokens=100, deadline=2_000):
    return WaitingCall(
        number, CHAT, AccountId(account), priority, tokens, Milliseconds(deadline)
    )


def served(queue, count):
    """Serve ``count`` calls, one slot at a time."""
    order = []
    for _ in range(count):
        queue.record_release(CHAT)
        first, *others = queue.due(Milliseconds(0))
        queue.remove(first.number)
        for other in others:
            queue.record_refusal(other.number, Milliseconds(0))
        order.append(first)
    return order


class Waiting(RuleBasedStateMachine):
    """Random arrivals, grants, refusals and cancellations."""

    def __init__(self):
        super().__init__()
        self.queue = WaitQueue(SETTINGS, random.Random(1))
        self.now = Milliseconds(0)
        self.calls = {}
        self.asking = {}
        self.number = 0

    @rule(
        account=st.sampled_from("abc"),
        priority=st.sampled_from(("high", "normal", "low")),
        tokens=st.integers(1, 5_000),
        timeout_ms=st.integers(1, 300),
    )
    def arrive(self, account, priority, tokens, timeout_ms):
        self.number += 1
        new = call(self.number, account, priority, tokens, self.now + timeout_ms)
        before = dict(self.calls)
        self.calls[new.number] = new
        shed = self.queue.offer(new, LIMIT)
        if shed is None:
            assert len(before) < LIMIT
            return
        del self.calls[shed.number]
        assert len(before) == LIMIT
        assert shed.number not in self.asking
        idle = [c for c in self.calls.values() if c.number not in self.asking]
        assert shed.rank >= max((c.rank for c in idle), default=0)

    @rule(duration=st.integers(1, 200))
    def advance(self, duration):
        self.now = Milliseconds(self.now + duration)
        for ended in self.queue.expire(self.now):
            del self.calls[ended.number]
            self.asking.pop(ended.number, None)
        assert all(c.deadline > self.now for c in self.calls.values())

    @rule()
    def ask(self):
        for due in self.queue.due(self.now):
            assert due.number not in self.asking
            waiting = [c for c in self.calls.values() if c.number not in self.asking]
            # Fewer calls of a better priority may wait than there are requesters.
            better = sum(c.rank < due.rank for c in waiting)
            assert better < SETTINGS.max_requesters
            self.asking[due.number] = due
        assert len(self.asking) <= SETTINGS.max_requesters

    @rule(index=st.integers(0, 1), granted=st.booleans())
    def answer(self, index, granted):
        if not self.asking:
            return
        number = sorted(self.asking)[index % len(self.asking)]
        del self.asking[number]
        if granted:
            del self.calls[number]
            self.queue.remove(number)
            self.queue.record_release(CHAT)
        else:
            self.queue.record_refusal(number, self.now)

    @rule(index=st.integers(0, 10))
    def cancel(self, index):
        if self.calls:
            number = sorted(self.calls)[index % len(self.calls)]
            del self.calls[number]
            self.asking.pop(number, None)
            self.queue.remove(number)

    @invariant()
    def agrees(self):
        assert self.queue.length == self.queue.waiting(CHAT) == len(self.calls)
        assert self.queue.length <= LIMIT
        for rank in range(3):
            before = any(c.rank <= rank for c in self.calls.values())
            assert self.queue.has_call_before(CHAT, rank) is before


TestWaiting = Waiting.TestCase
TestWaiting.settings = settings(max_examples=60, stateful_step_count=40)


def test_better_priority_is_served_first():
    queue = WaitQueue(SETTINGS, random.Random(1))
    priorities = ("low", "low", "normal", "high", "normal")
    for number, priority in enumerate(priorities):
        queue.offer(call(number, priority=priority), LIMIT)
        for requester in queue.due(Milliseconds(0)):
            queue.record_refusal(requester.number, Milliseconds(0))
    order = [each.rank for each in served(queue, 5)]
    assert order == sorted(order)


SIZES = st.lists(st.integers(1, 4_000), min_size=20, max_size=60)


@settings(max_examples=60)
@given(first=SIZES, second=SIZES, many=st.integers(1, 20))
def test_accounts_get_equal_tokens_while_both_wait(first, second, many):
    queue = WaitQueue(SETTINGS, random.Random(1))
    numbers = itertools.count()
    for tokens in first * many:
        queue.offer(call(next(numbers), "a", tokens=tokens), 10_000)
    for tokens in second:
        queue.offer(call(next(numbers), "b", tokens=tokens), 10_000)
    left = Counter({"a": len(first) * many, "b": len(second)})
    got = Counter()
    while min(left.values()) > SETTINGS.max_requesters:
        (each,) = served(queue, 1)
        left[each.account] -= 1
        got[each.account] += each.tokens
        # Two quanta, the largest call of each, and calls that are already requesters.
        largest = max(first) + max(second)
        bound = 2 * SETTINGS.quantum_tokens + (1 + SETTINGS.max_requesters) * largest
        assert abs(got["a"] - got["b"]) <= bound


def test_full_queue_sheds_calls_of_the_account_that_fills_it():
    queue = WaitQueue(SETTINGS, random.Random(1))
    for number in range(LIMIT):
        assert queue.offer(call(number, "a"), LIMIT) is None
    assert queue.offer(call(10, "b"), LIMIT).number == LIMIT - 1
    newcomer = call(11, "a")
    assert queue.offer(newcomer, LIMIT) is newcomer


def test_queue_with_a_limit_of_zero_accepts_no_call():
    queue = WaitQueue(SETTINGS, random.Random(1))
    newcomer = call(1)
    assert queue.offer(newcomer, 0) is newcomer
    assert queue.length == 0


def test_retry_times_are_random_and_grow_with_the_queue():
    queue = WaitQueue(SETTINGS, random.Random(1))
    empty = [queue.retry_after_ms(CHAT, LIMIT) for _ in range(500)]
    for number in range(LIMIT):
        queue.offer(call(number), LIMIT)
    full = [queue.retry_after_ms(CHAT, LIMIT) for _ in range(500)]
    assert sum(full) > 1.8 * sum(empty)
    assert max(full) > 2 * min(full)
