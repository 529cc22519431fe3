"""The prefix cache of a model engine, and the events that report its changes."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold.standins._answer import Block

MAX_EVENTS = 10_000


class CacheEventKind(Enum):
    """What happened to a block of the cache."""

    STORED = "stored"
    EVICTED = "evicted"


@final
@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache; ``recorded_at`` is in seconds of trio's clock."""

    number: int
    kind: CacheEventKind
    block: Block
    recorded_at: float


@final
class CacheEvents:
    """A log of cache events, with a delay and random losses.

    Events are numbered in order; the numbers of lost events are missing.
    """

    def __init__(self, lag_ms: int, loss: float, rng: random.Random) -> None:
        self._lag = lag_ms / 1000
        self._loss = loss
        self._rng = rng
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._count = 0

    def add(self, kind: CacheEventKind, block: Block, recorded_at: float) -> None:
        """Record an event, unless the random loss drops it."""
        self._count += 1
        if self._rng.random() >= self._loss:
            self._events.append(CacheEvent(self._count, kind, block, recorded_at))

    def after(self, number: int, now: float) -> tuple[CacheEvent, ...]:
        """Return the events after ``number`` that are visible at ``now``."""
        return tuple(
            event
            for event in self._events
            if event.number > number and event.recorded_at + self._lag <= now
        )


@final
class PrefixCache:
    """A cache of blocks with a limit, which evicts the least recently used first."""

    def __init__(self, limit_tokens: int, events: CacheEvents) -> None:
        self._limit = limit_tokens
        self._events = events
        self._blocks: OrderedDict[str, Block] = OrderedDict()
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """How many tokens the cache holds."""
        return self._tokens

    @property
    def blocks(self) -> tuple[Block, ...]:
        """The cached blocks, the least recently used first."""
        return tuple(self._blocks.values())

    def match(self, blocks: Sequence[Block]) -> int:
        """Return how many tokens of the prefix are cached; mark its blocks as used."""
        cached_tokens = 0
        for block in blocks:
            if block.hash not in self._blocks:
                break
            cached_tokens += block.tokens
        self._touch(blocks)
        return cached_tokens

    def store(self, blocks: Sequence[Block], now: float) -> None:
        """Cache ``blocks``; evict others if the limit is exceeded."""
        for block in blocks:
            if block.hash not in self._blocks:
                self._blocks[block.hash] = block
                self._tokens += block.tokens
                self._events.add(CacheEventKind.STORED, block, now)
        self._touch(blocks)
        while self._tokens > self._limit:
            _, evicted = self._blocks.popitem(last=False)
            self._tokens -= evicted.tokens
            self._events.add(CacheEventKind.EVICTED, evicted, now)

    def chain(self, digest: str) -> tuple[Block, ...]:
        """Return the cached blocks from the first one to ``digest``, in order."""
        found: list[Block] = []
        while digest in self._blocks:
            found.append(self._blocks[digest])
            digest = self._blocks[digest].parent
        return tuple(reversed(found))

    def clear(self, now: float) -> None:
        """Evict everything."""
        for block in self._blocks.values():
            self._events.add(CacheEventKind.EVICTED, block, now)
        self._blocks.clear()
        self._tokens = 0

    def _touch(self, blocks: Sequence[Block]) -> None:
        """Mark ``blocks`` as used, so that a parent is evicted after its children."""
        for block in reversed(blocks):
            if block.hash in self._blocks:
                self._blocks.move_to_end(block.hash)
