from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from yuccafold import fleet
from yuccafold._clock import Milliseconds
from yuccafold.fleet import ByteClass
from yuccafold.fleet import DropCause
from yuccafold.fleet._outbox import DROP_ORDER
from yuccafold.fleet._outbox import ByteBudget
from yuccafold.fleet._outbox import Outbox
from yuccafold.fleet._outbox import QueuedMessage

SETTINGS = fleet.LinkSettings(
    queue_bytes=100, budget_bytes_per_second=1_000, budget_burst_bytes=10_000
)
letters = st.builds(
    QueuedMessage, st.binary(min_size=1, max_size=60), st.sampled_from(ByteClass)
)


@settings(max_examples=80)
@given(st.lists(letters, max_size=20))
def test_queue_stays_bounded_and_drops_the_lowest_class_first(put):
    dropped = []
    outbox = Outbox(SETTINGS, lambda letter, cause: dropped.append((letter, cause)))
    waiting = Counter()
    for letter in put:
        before = len(dropped)
        outbox.put(letter)
        waiting[letter] += 1
        for victim, cause in dropped[before:]:
            assert cause is DropCause.QUEUE_FULL
            ranks = [DROP_ORDER.index(item.byte_class) for item in waiting.elements()]
            assert DROP_ORDER.index(victim.byte_class) == min(ranks)
            waiting[victim] -= 1
        assert outbox.size <= SETTINGS.queue_bytes
    taken = outbox.take(10**6)
    assert Counter(taken) == +waiting
    assert len(outbox) == outbox.size == 0


def test_take_returns_the_oldest_up_to_the_limit():
    outbox = Outbox(SETTINGS, lambda message, cause: None)
    sent = [
        QueuedMessage(bytes([number]) * 30, ByteClass.CLAIMS) for number in range(3)
    ]
    for message in sent:
        outbox.put(message)
    assert outbox.take(60) == sent[:2]
    assert outbox.take(1) == sent[2:]


def test_every_byte_class_has_a_drop_rank():
    assert sorted(DROP_ORDER, key=str) == sorted(ByteClass, key=str)


@pytest.mark.parametrize(
    ("spent", "allowed"),
    [
        (4_000, {ByteClass.OTHER, ByteClass.LIMITS}),
        (6_000, {ByteClass.LIMITS}),
        (8_000, set()),
        (50_000, set()),
    ],
)
def test_budget_stops_byte_classes_in_order(spent, allowed):
    budget = ByteBudget(SETTINGS, Milliseconds(0))
    budget.spend(spent, Milliseconds(0))
    stoppable = (ByteClass.OTHER, ByteClass.LIMITS)
    now = Milliseconds(0)
    assert {item for item in stoppable if budget.allows(item, now)} == allowed
    assert all(budget.allows(item, now) for item in set(ByteClass) - set(stoppable))


def test_budget_recovers_at_its_rate():
    budget = ByteBudget(SETTINGS, Milliseconds(0))
    budget.spend(50_000, Milliseconds(0))
    assert not budget.allows(ByteClass.LIMITS, Milliseconds(12_500))
    assert budget.allows(ByteClass.LIMITS, Milliseconds(12_501))
