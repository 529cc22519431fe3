"""Generates the turns of chats for the placement benchmark.

The popularity of accounts follows a Zipf distribution. A chat pauses for seconds to
hours between its turns, and the rate of turns surges periodically.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import final

MEAN_OUTPUT_TOKENS = 250
SYSTEM_PROMPT_TOKENS = 600
SURGE_PERIOD_MS = 120_000
SURGE_MS = 15_000
SURGE_FACTOR = 1.3


@final
@dataclass(frozen=True, slots=True)
class ArrivalSettings:
    """Parameters of the load.

    The pauses between an answer and the next turn of its chat are log-normal.
    """

    turns_per_second: float
    duration_ms: int
    median_pause_ms: int
    answer_ms: int
    accounts: int = 10
    zipf_exponent: float = 1.1
    pause_sigma: float = 1.3
    return_share: float = 0.85


@final
@dataclass(frozen=True, slots=True)
class Turn:
    """One request of a chat.

    ``prompt_tokens`` counts the whole prompt. It starts with the system prompt,
    which all chats of an account share.
    """

    arrives_at: int
    chat: str
    account: int
    prompt_tokens: int
    output_tokens: int


@dataclass(slots=True)
class _Chat:
    name: str
    account: int
    tokens: int


@final
class Arrivals:
    """Generates turns from a seed, so that every strategy gets the same ones."""

    def __init__(self, settings: ArrivalSettings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._chat_numbers = count()
        weights = [
            1 / rank**settings.zipf_exponent for rank in range(1, settings.accounts + 1)
        ]
        self._account_weights = weights
        self._accounts = range(settings.accounts)

    def _new_chat(self) -> _Chat:
        account = self._rng.choices(self._accounts, self._account_weights)[0]
        return _Chat(f"chat-{next(self._chat_numbers)}", account, SYSTEM_PROMPT_TOKENS)

    def _time_to_next_turn(self) -> int:
        settings = self._settings
        median = math.log(settings.median_pause_ms)
        pause = self._rng.lognormvariate(median, settings.pause_sigma)
        return settings.answer_ms + round(pause)

    def _surge_factor(self, now_ms: int) -> float:
        in_surge = now_ms % SURGE_PERIOD_MS >= SURGE_PERIOD_MS - SURGE_MS
        return SURGE_FACTOR if in_surge else 1.0

    def turns(self) -> Iterator[Turn]:
        """Yield the turns in the order of their arrival.

        Arrivals follow a Poisson process. Each one is the next turn of the chat
        whose pause ended first, or starts a new chat if no pause has ended, so
        that the rate doesn't depend on the pauses.
        """
        idle_chats: list[tuple[int, int, _Chat]] = self._initial_chats()
        settings = self._settings
        now_ms = 0.0
        tie_breakers = count()
        while True:
            rate = settings.turns_per_second * self._surge_factor(round(now_ms))
            now_ms += self._rng.expovariate(rate) * 1_000
            if now_ms >= settings.duration_ms:
                return
            is_due = idle_chats and idle_chats[0][0] <= now_ms
            chat = heappop(idle_chats)[2] if is_due else self._new_chat()
            yield self._turn(chat, round(now_ms))
            if self._rng.random() < settings.return_share:
                heappush(
                    idle_chats,
                    (
                        round(now_ms) + self._time_to_next_turn(),
                        next(tie_breakers),
                        chat,
                    ),
                )

    def _initial_chats(self) -> list[tuple[int, int, _Chat]]:
        # As many chats as are idle in the steady state (rate times mean interval),
        # so that the run doesn't begin with new chats only.
        settings = self._settings
        mean_pause_ms = settings.median_pause_ms * math.exp(settings.pause_sigma**2 / 2)
        turn_interval_ms = mean_pause_ms + settings.answer_ms
        returns_per_second = settings.turns_per_second * settings.return_share
        chat_count = round(returns_per_second * turn_interval_ms / 1_000)
        chats = [
            (self._time_to_next_turn(), -n - 1, self._new_chat())
            for n in range(chat_count)
        ]
        heapify(chats)
        return chats

    def _turn(self, chat: _Chat, arrives_at: int) -> Turn:
        chat.tokens += self._rng.randrange(30, 300)
        output_tokens = max(20, round(self._rng.expovariate(1 / MEAN_OUTPUT_TOKENS)))
        turn = Turn(arrives_at, chat.name, chat.account, chat.tokens, output_tokens)
        chat.tokens += output_tokens
        return turn
