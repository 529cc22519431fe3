from __future__ import annotations

import random
from collections import Counter

from yuccafold._clock import Milliseconds
from yuccafold.edge._source_choice import FAILED_SOURCE_AVOIDANCE
from yuccafold.edge._source_choice import SourceChoice


class Source:
    def __init__(self, name):
        self.name = name


STORE = Source("store")
PEERS = [Source(f"p{n}") for n in range(3)]


def names(choice, now=0):
    return [source.name for source in choice.order(Milliseconds(now))]


def test_seed_asks_the_store_first():
    choice = SourceChoice(STORE, PEERS[:2], True, random.Random(1))
    assert names(choice)[0] == "store"


def test_other_vms_ask_two_seeds_before_the_store():
    choice = SourceChoice(STORE, PEERS, False, random.Random(1))
    assert names(choice).index("store") == 2


def test_vms_begin_with_different_seeds():
    firsts = Counter(
        names(SourceChoice(STORE, PEERS, False, random.Random(seed)))[0]
        for seed in range(90)
    )
    assert len(firsts) == 3
    assert min(firsts.values()) > 15


def test_vm_without_seeds_asks_the_store():
    assert names(SourceChoice(STORE, [], False, random.Random(1))) == ["store"]


def test_store_that_failed_is_paused_except_for_seeds():
    choice = SourceChoice(STORE, PEERS, False, random.Random(1), Milliseconds(1_250))
    choice.record_failure(STORE, Milliseconds(0))
    assert "store" not in names(choice, 1_249)
    assert "store" in names(choice, 1_250)
    seed = SourceChoice(STORE, PEERS, True, random.Random(1), Milliseconds(1_250))
    seed.record_failure(STORE, Milliseconds(0))
    assert "store" in names(seed, 1)


def test_failed_source_comes_last_for_a_while():
    choice = SourceChoice(STORE, PEERS, False, random.Random(1))
    first = choice.order(Milliseconds(0))[0]
    assert choice.record_failure(first, Milliseconds(0))
    assert names(choice)[-1] == first.name
    assert names(choice, FAILED_SOURCE_AVOIDANCE)[0] == first.name
    assert not choice.record_failure(first, Milliseconds(10))
    assert choice.record_success(first)
    assert not choice.record_success(first)
