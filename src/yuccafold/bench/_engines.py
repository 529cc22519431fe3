"""A model of engines: a prefix cache in limited memory, prefill and decode time."""

from __future__ import annotations

from collections import OrderedDict
from typing import final

from yuccafold._ids import TargetId
from yuccafold.bench._arrivals import SYSTEM_PROMPT_TOKENS
from yuccafold.bench._arrivals import Turn

PREFILL_TOKENS_PER_MS = 8.0
DECODE_SLOWDOWN = 0.002
"""The share by which one more request in the batch slows each token."""


@final
class Engine:
    """One engine; the least recently used prefixes leave its cache first."""

    def __init__(
        self, name: TargetId, cache_tokens: int, decode_ms_per_token: float
    ) -> None:
        self.name = name
        self.in_flight = 0
        self._cache_tokens = cache_tokens
        self._decode_ms_per_token = decode_ms_per_token
        self._cache: OrderedDict[str | int, int] = OrderedDict()
        self._used = 0

    def cached(self, turn: Turn) -> int:
        """Return how many tokens of the prompt need no prefill."""
        own = self._cache.get(turn.chat, 0)
        shared = self._cache.get(turn.account, 0)
        return min(turn.prompt_tokens, max(own, shared))

    def holds(self, chat: str) -> bool:
        """Return whether a prefix of ``chat`` itself is cached."""
        return chat in self._cache

    def start(self, turn: Turn) -> int:
        """Take a turn; return the tokens that were in the cache."""
        reused = self.cached(turn)
        self.in_flight += 1
        self._store(turn.account, SYSTEM_PROMPT_TOKENS)
        self._store(turn.chat, turn.prompt_tokens + turn.output_tokens)
        return reused

    def _store(self, key: str | int, tokens: int) -> None:
        self._used += tokens - self._cache.pop(key, 0)
        self._cache[key] = tokens
        while self._used > self._cache_tokens:
            _, evicted = self._cache.popitem(last=False)
            self._used -= evicted

    def clear(self) -> None:
        """Lose the cache, as a restarted engine does."""
        self._cache.clear()
        self._used = 0

    def first_token_ms(self, turn: Turn, reused: int) -> float:
        """Return the time to the first token under the present load."""
        prefill = (turn.prompt_tokens - reused) / PREFILL_TOKENS_PER_MS
        return (prefill + self._decode_ms_per_token) * self._slowdown

    def duration_ms(self, turn: Turn, reused: int) -> float:
        """Return the time of the whole request under the present load."""
        decode = turn.output_tokens * self._decode_ms_per_token * self._slowdown
        return self.first_token_ms(turn, reused) + decode

    @property
    def _slowdown(self) -> float:
        return 1 + DECODE_SLOWDOWN * self.in_flight
