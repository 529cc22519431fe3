from __future__ import annotations

import random

from yuccafold.standins import ChatMessage
from yuccafold.standins import prompt_blocks
from yuccafold.standins._prefix_cache import CacheEvents
from yuccafold.standins._prefix_cache import PrefixCache

TOKENS = 10
TEXT = "x" * (TOKENS - 1) * 4


def cache_of(blocks):
    return PrefixCache(blocks * TOKENS, CacheEvents(0, 0.0, random.Random(1)))


def chat(*names):
    return prompt_blocks([ChatMessage("", f"{name}{TEXT[1:]}") for name in names])


def test_block_depends_on_all_messages_before():
    assert chat("a", "b")[1].hash != chat("c", "b")[1].hash
    assert chat("a", "b")[1].parent == chat("a")[0].hash


def test_used_block_is_evicted_after_an_unused_one():
    cache = cache_of(2)
    cache.store(chat("a"), 0.0)
    cache.store(chat("b"), 0.0)
    assert cache.match(chat("a")) == TOKENS
    cache.store(chat("c"), 0.0)
    assert [cache.match(chat(name)) for name in "abc"] == [TOKENS, 0, TOKENS]


def test_parent_is_evicted_after_its_child():
    cache = cache_of(2)
    cache.store(chat("a", "b"), 0.0)
    cache.store(chat("c"), 0.0)
    assert cache.match(chat("a", "b")) == TOKENS


def test_chain_is_empty_for_an_unknown_block():
    cache = cache_of(2)
    cache.store(chat("a", "b"), 0.0)
    assert cache.chain(chat("a", "b")[1].hash) == chat("a", "b")
    assert cache.chain(chat("b")[0].hash) == ()
