"""Runs many chats and plain callers concurrently."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import final

import trio

from yuccafold.load._chat import ChatCaller
from yuccafold.load._chat import ChatSettings
from yuccafold.load._plain import PlainCaller
from yuccafold.load._plain import PlainCallerSettings
from yuccafold.load._report import LoadReport


@final
@dataclass(frozen=True, slots=True)
class LoadSettings:
    """How much load is sent; a kind without settings is not sent."""

    chat: ChatSettings | None = None
    plain: PlainCallerSettings | None = None
    chats: int = 40
    turns: int = 5
    calls: int = 0
    lookups: int = 0
    callers: int = 8
    """The number of plain callers among which calls and lookups are divided."""
    rate: float = 0.0
    """Turns, calls and lookups started per second by all callers; 0 is unlimited."""
    seed: int = 1


@final
class RateLimiter:
    """Limits the rate of turns and calls, and spaces them evenly."""

    def __init__(self, rate: float) -> None:
        self._interval = 1 / rate if rate else 0.0
        self._next_start = 0.0

    async def wait(self) -> None:
        """Wait until the next turn or call may start."""
        now = trio.current_time()
        start_at = max(self._next_start, now)
        self._next_start = start_at + self._interval
        await trio.sleep_until(start_at)


async def run_load(
    settings: LoadSettings, report: LoadReport | None = None
) -> LoadReport:
    """Send the load and return the totals; ``report`` is updated while it runs."""
    totals = report or LoadReport()
    limiter = RateLimiter(settings.rate)
    async with trio.open_nursery() as nursery:
        if settings.chat is not None:
            for number in range(settings.chats):
                rng = random.Random(f"{settings.seed}/chat/{number}")
                chat = ChatCaller(f"chat-{number}", settings.chat, rng, totals)
                nursery.start_soon(_run_chat, chat, settings.turns, limiter)
        if settings.plain is not None:
            for number in range(settings.callers):
                rng = random.Random(f"{settings.seed}/plain/{number}")
                name = f"caller-{settings.seed}-{number}"
                plain = PlainCaller(name, settings.plain, rng, totals)
                calls = _part_of(settings.calls, settings.callers, number)
                lookups = _part_of(settings.lookups, settings.callers, number)
                nursery.start_soon(_run_plain, plain, calls, lookups, limiter)
    return totals


def _part_of(total: int, parts: int, number: int) -> int:
    """Return the size of part ``number`` of ``total`` divided into ``parts``."""
    return total // parts + (number < total % parts)


async def _run_chat(chat: ChatCaller, turns: int, limiter: RateLimiter) -> None:
    for _ in range(turns):
        await limiter.wait()
        await chat.turn()
    await chat.close()


async def _run_plain(
    plain: PlainCaller, calls: int, lookups: int, limiter: RateLimiter
) -> None:
    for _ in range(calls):
        await limiter.wait()
        await plain.call()
    for _ in range(lookups):
        await limiter.wait()
        await plain.look_up()
    await plain.close()
