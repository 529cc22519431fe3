"""Turns of returning chats: Zipf accounts, pauses from seconds to hours, surges."""

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
    """The size of the load; pauses after an answer are log-normal."""

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
    """One request: the whole prompt, of which the system prompt is shared."""

    at: int
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
    """A seeded sequence of turns, the same for every strategy."""

    def __init__(self, settings: ArrivalSettings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._numbers = count()
        weights = [
            1 / rank**settings.zipf_exponent for rank in range(1, settings.accounts + 1)
        ]
        self._account_weights = weights
        self._accounts = range(settings.accounts)

    def _new_chat(self) -> _Chat:
        account = self._rng.choices(self._accounts, self._account_weights)[0]
        return _Chat(f"chat-{next(self._numbers)}", account, SYSTEM_PROMPT_TOKENS)

    def _pause(self) -> int:
        settings = self._settings
        median = math.log(settings.median_pause_ms)
        pause = self._rng.lognormvariate(median, settings.pause_sigma)
        return settings.answer_ms + round(pause)

    def _surge(self, at: int) -> float:
        in_surge = at % SURGE_PERIOD_MS >= SURGE_PERIOD_MS - SURGE_MS
        return SURGE_FACTOR if in_surge else 1.0

    def turns(self) -> Iterator[Turn]:
        """Yield the turns in order of time.

        A chat takes the next arrival once its pause is over, so that the rate
        is steady; an arrival for which no chat is due starts a new one.
        """
        waiting: list[tuple[int, int, _Chat]] = self._earlier_chats()
        settings = self._settings
        at = 0.0
        order = count()
        while True:
            rate = settings.turns_per_second * self._surge(round(at))
            at += self._rng.expovariate(rate) * 1_000
            if at >= settings.duration_ms:
                return
            is_due = waiting and waiting[0][0] <= at
            chat = heappop(waiting)[2] if is_due else self._new_chat()
            yield self._turn(chat, round(at))
            if self._rng.random() < settings.return_share:
                heappush(waiting, (round(at) + self._pause(), next(order), chat))

    def _earlier_chats(self) -> list[tuple[int, int, _Chat]]:
        # As many as would be between two turns after running for a while.
        settings = self._settings
        mean_pause_ms = settings.median_pause_ms * math.exp(settings.pause_sigma**2 / 2)
        between_ms = mean_pause_ms + settings.answer_ms
        returning = settings.turns_per_second * settings.return_share
        many = round(returning * between_ms / 1_000)
        chats = [(self._pause(), -n - 1, self._new_chat()) for n in range(many)]
        heapify(chats)
        return chats

    def _turn(self, chat: _Chat, at: int) -> Turn:
        chat.tokens += self._rng.randrange(30, 300)
        output = max(20, round(self._rng.expovariate(1 / MEAN_OUTPUT_TOKENS)))
        turn = Turn(at, chat.name, chat.account, chat.tokens, output)
        chat.tokens += output
        return turn
