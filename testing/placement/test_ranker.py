from __future__ import annotations

import random
from collections import Counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from yuccafold._clock import Milliseconds
from yuccafold._ids import ChatId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.placement import CandidateReason
from yuccafold.placement import Ranker
from yuccafold.placement import RankerSettings
from yuccafold.placement import TargetState

SERVICE = ServiceId("chat")
CHATS = [ChatId(f"chat-{n}") for n in range(2_000)]
START = Milliseconds(1_000_000)
RAMPED = Milliseconds(2_000_000)


def states(numbers, down=()):
    return [
        TargetState(TargetId(f"engine-{n}"), ZoneId("a"), 1.0, n not in down)
        for n in numbers
    ]


def ranker_of(numbers, zone="a"):
    ranker = Ranker(ZoneId(zone), RankerSettings())
    ranker.targets_changed(SERVICE, states(numbers), START)
    return ranker


def firsts(ranker, now=RAMPED):
    return [ranker.rank(SERVICE, chat, None, now)[0].target for chat in CHATS]


@settings(max_examples=20)
@given(
    numbers=st.sets(st.integers(0, 60), min_size=2, max_size=20),
    rnd=st.randoms(use_true_random=False),
)
def test_ranking_depends_on_targets_and_chat_only(numbers, rnd: random.Random):
    shuffled = list(numbers)
    rnd.shuffle(shuffled)
    one = ranker_of(sorted(numbers), "a")
    other = ranker_of(shuffled, "b")
    for chat in CHATS[:50]:
        ranked = one.rank(SERVICE, chat, None, RAMPED)
        assert ranked == other.rank(SERVICE, chat, None, RAMPED)
        assert len({c.target for c in ranked}) == len(ranked)


@settings(max_examples=10)
@given(count=st.integers(2, 20), joining=st.integers(100, 200))
def test_join_moves_only_chats_to_the_joining_target(count, joining):
    ranker = ranker_of(range(count))
    before = firsts(ranker)
    ranker.targets_changed(SERVICE, states([*range(count), joining]), START)
    after = firsts(ranker)
    moved = [b for a, b in zip(before, after, strict=True) if a != b]
    assert set(moved) <= {f"engine-{joining}"}
    assert 0.5 / (count + 1) < len(moved) / len(CHATS) < 1.5 / (count + 1)


@settings(max_examples=10)
@given(count=st.integers(3, 20), rnd=st.randoms(use_true_random=False))
def test_leave_moves_only_the_chats_of_the_leaving_target(count, rnd):
    ranker = ranker_of(range(count))
    before = firsts(ranker)
    gone = rnd.randrange(count)
    ranker.targets_changed(
        SERVICE, states([n for n in range(count) if n != gone]), START
    )
    after = firsts(ranker)
    for was, now in zip(before, after, strict=True):
        assert was == now or was == f"engine-{gone}"


def test_second_choices_of_one_target_spread_over_the_others():
    ranker = ranker_of(range(10))
    seconds = Counter(
        ranked[1].target
        for chat in CHATS
        for ranked in [ranker.rank(SERVICE, chat, None, RAMPED)]
        if ranked[0].target == "engine-3"
    )
    assert len(seconds) == 9


def test_share_of_a_joining_target_ramps_up():
    ranker = ranker_of(range(5))
    ranker.targets_changed(SERVICE, states(range(6)), RAMPED)
    ramp = RankerSettings().ramp_ms
    shares = [
        firsts(ranker, Milliseconds(RAMPED + part * ramp // 4)).count("engine-5")
        for part in range(5)
    ]
    assert shares == sorted(shares)
    assert shares[0] < shares[4] / 3


def test_target_that_stopped_once_regains_its_share_at_once():
    ranker = ranker_of(range(5))
    before = firsts(ranker)
    ranker.targets_changed(SERVICE, states(range(5), down={2}), RAMPED)
    assert "engine-2" not in firsts(ranker)
    ranker.targets_changed(SERVICE, states(range(5)), RAMPED)
    assert firsts(ranker) == before


def test_flapping_target_gets_only_hinted_chats():
    ranker = ranker_of(range(5))
    for _ in range(2):
        ranker.targets_changed(SERVICE, states(range(5), down={2}), RAMPED)
        ranker.targets_changed(SERVICE, states(range(5)), RAMPED)
    assert "engine-2" not in firsts(ranker)
    hinted = ranker.rank(SERVICE, CHATS[0], TargetId("engine-2"), RAMPED)[0]
    assert hinted.target == "engine-2"
    assert hinted.reason is CandidateReason.CALLER_HINT
    later = Milliseconds(RAMPED + RankerSettings().flap_damping_ms)
    assert "engine-2" in firsts(ranker, later)


def test_hints_of_absent_or_draining_targets_are_ignored():
    ranker = ranker_of(range(5))
    ranker.targets_changed(SERVICE, states(range(5), down={2}), RAMPED)
    plain = ranker.rank(SERVICE, CHATS[0], None, RAMPED)
    for hint in ("engine-2", "engine-99"):
        assert ranker.rank(SERVICE, CHATS[0], TargetId(hint), RAMPED) == plain


def test_caching_target_is_ranked_first_until_evicted():
    ranker = ranker_of(range(5))
    home = ranker.rank(SERVICE, CHATS[0], None, RAMPED)[0].target
    away = TargetId("engine-0" if home != "engine-0" else "engine-1")
    ranker.hints.record_cached(SERVICE, CHATS[0], away, RAMPED)
    first = ranker.rank(SERVICE, CHATS[0], None, RAMPED)[0]
    assert first.target == away
    assert first.reason is CandidateReason.CACHE_EVENT
    ranker.hints.record_evicted(SERVICE, CHATS[0], away)
    assert ranker.rank(SERVICE, CHATS[0], None, RAMPED)[0].target == home


def test_earlier_holder_is_ranked_second():
    ranker = ranker_of(range(5))
    hint, earlier = TargetId("engine-1"), TargetId("engine-3")
    ranked = ranker.rank(SERVICE, CHATS[0], hint, RAMPED, None, earlier)
    assert [c.target for c in ranked[:2]] == [hint, earlier]
    ranker.hints.record_cached(SERVICE, CHATS[0], earlier, RAMPED)
    ranker.hints.record_cached(SERVICE, CHATS[0], hint, RAMPED)
    ranked = ranker.rank(SERVICE, CHATS[0], None, RAMPED)
    assert [c.target for c in ranked[:2]] == [hint, earlier]


def test_chat_starts_on_the_least_loaded_target_if_loads_are_given():
    ranker = ranker_of(range(5))
    loads = {TargetId(f"engine-{n}"): 5 for n in range(5)}
    loads[TargetId("engine-4")] = 1
    first = ranker.rank(SERVICE, CHATS[0], None, RAMPED, loads)[0]
    assert first.target == "engine-4"
    hinted = ranker.rank(SERVICE, CHATS[0], TargetId("engine-2"), RAMPED, loads)[0]
    assert hinted.target == "engine-2"


def test_chats_are_distributed_by_capacity():
    ranker = Ranker(ZoneId("a"), RankerSettings())
    listed = [
        TargetState(TargetId("small"), ZoneId("a"), 1.0),
        TargetState(TargetId("large"), ZoneId("a"), 3.0),
    ]
    ranker.targets_changed(SERVICE, listed, START)
    share = firsts(ranker).count("large") / len(CHATS)
    assert 0.65 < share < 0.85


def test_plain_call_prefers_its_own_zone_among_the_first_choices():
    ranker = Ranker(ZoneId("b"), RankerSettings())
    listed = [
        TargetState(TargetId(f"engine-{n}"), ZoneId("ab"[n % 2])) for n in range(6)
    ]
    ranker.targets_changed(SERVICE, listed, START)
    zones = {state.id: state.zone for state in listed}
    for chat in CHATS[:50]:
        plain = {c.target for c in ranker.rank(SERVICE, chat, None, RAMPED)[:3]}
        first = ranker.rank_plain(SERVICE, chat, RAMPED)[0]
        assert first.target in plain
        nearby = any(zones[name] == "b" for name in plain)
        assert (first.reason is CandidateReason.SAME_ZONE) == nearby
