"""Runs many chats and plain callers side by side."""

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
    """How much load is sent; without chat or plain settings none of that kind."""

    chat: ChatSettings | None = None
    plain: PlainCallerSettings | None = None
    chats: int = 40
    turns: int = 5
    calls: int = 0
    lookups: int = 0
    callers: int = 8
    """How many plain callers share the calls and lookups."""
    rate: float = 0.0
    """Turns and calls begun in a second, over all; 0 is without limit."""
    seed: int = 1


@final
class Pace:
    """Lets its callers go on at a set rate, evenly spaced."""

    def __init__(self, rate: float) -> None:
        self._interval = 1 / rate if rate else 0.0
        self._next = 0.0

    async def wait(self) -> None:
        """Wait for the next place."""
        now = trio.current_time()
        place = max(self._next, now)
        self._next = place + self._interval
        await trio.sleep_until(place)


async def run_load(
    settings: LoadSettings, report: LoadReport | None = None
) -> LoadReport:
    """Send the load; return the totals, which ``report`` shows meanwhile."""
    totals = report or LoadReport()
    pace = Pace(settings.rate)
    async with trio.open_nursery() as nursery:
        if settings.chat is not None:
            for number in range(settings.chats):
                rng = random.Random(f"{settings.seed}/chat/{number}")
                chat = ChatCaller(f"chat-{number}", settings.chat, rng, totals)
                nursery.start_soon(_run_chat, chat, settings.turns, pace)
        if settings.plain is not None:
            for number in range(settings.callers):
                rng = random.Random(f"{settings.seed}/plain/{number}")
                name = f"caller-{settings.seed}-{number}"
                plain = PlainCaller(name, settings.plain, rng, totals)
                calls = _share(settings.calls, settings.callers, number)
                lookups = _share(settings.lookups, settings.callers, number)
                nursery.start_soon(_run_plain, plain, calls, lookups, pace)
    return totals


def _share(total: int, parts: int, number: int) -> int:
    """Return how much of ``total`` falls to part ``number``."""
    return total // parts + (number < total % parts)


async def _run_chat(chat: ChatCaller, turns: int, pace: Pace) -> None:
    for _ in range(turns):
        await pace.wait()
        await chat.turn()
    await chat.close()


async def _run_plain(plain: PlainCaller, calls: int, lookups: int, pace: Pace) -> None:
    for _ in range(calls):
        await pace.wait()
        await plain.call()
    for _ in range(lookups):
        await pace.wait()
        await plain.look_up()
    await plain.close()
