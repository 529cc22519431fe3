"""A model of an engine: a prefix cache of limited size, prefill and decode time."""

from __future__ import annotations

from collections import OrderedDict
from typing import final

from yuccafold._ids import TargetId
from yuccafold.bench._arrivals import SYSTEM_PROMPT_TOKENS
from yuccafold.bench._arrivals import Turn

PREFILL_TOKENS_PER_MS = 8.0
DECODE_SLOWDOWN = 0.002
"""Relative slowdown of each token for each further request in the batch."""


@final
class Engine:
    """One engine with a least-recently-used cache of prefixes.

    The cache holds the prefix of a chat by its name, and an account's system
    prompt by the account's number.
    """

    def __init__(
        self, name: TargetId, cache_tokens: int, decode_ms_per_token: float
    ) -> None:
        self.name = name
        self.in_flight = 0
        self._cache_tokens = cache_tokens
        self._decode_ms_per_token = decode_ms_per_token
        self._cache: OrderedDict[str | int, int] = OrderedDict()
        self._cache_used_tokens = 0

    def cached_tokens(self, turn: Turn) -> int:
        """Return how many tokens of the prompt need no prefill."""
        chat_tokens = self._cache.get(turn.chat, 0)
        account_tokens = self._cache.get(turn.account, 0)
        return min(turn.prompt_tokens, max(chat_tokens, account_tokens))

    def has_cached_chat(self, chat: str) -> bool:
        """Return whether a prefix of ``chat`` itself is cached."""
        return chat in self._cache

    def start(self, turn: Turn) -> int:
        """Start a turn; return how many tokens of its prompt were cached."""
        reused = self.cached_tokens(turn)
        self.in_flight += 1
        self._store(turn.account, SYSTEM_PROMPT_TOKENS)
        self._store(turn.chat, turn.prompt_tokens + turn.output_tokens)
        return reused

    def _store(self, key: str | int, tokens: int) -> None:
        self._cache_used_tokens += tokens - self._cache.pop(key, 0)
        self._cache[key] = tokens
        while self._cache_used_tokens > self._cache_tokens:
            _, evicted = self._cache.popitem(last=False)
            self._cache_used_tokens -= evicted

    def clear_cache(self) -> None:
        """Empty the cache, as a restart of the engine does."""
        self._cache.clear()
        self._cache_used_tokens = 0

    def first_token_ms(self, turn: Turn, reused: int) -> float:
        """Return the time to the first token under the current load."""
        prefill_ms = (turn.prompt_tokens - reused) / PREFILL_TOKENS_PER_MS
        return (prefill_ms + self._decode_ms_per_token) * self._slowdown

    def duration_ms(self, turn: Turn, reused: int) -> float:
        """Return the duration of the whole request under the current load."""
        decode_ms = turn.output_tokens * self._decode_ms_per_token * self._slowdown
        return self.first_token_ms(turn, reused) + decode_ms

    @property
    def _slowdown(self) -> float:
        return 1 + DECODE_SLOWDOWN * self.in_flight
