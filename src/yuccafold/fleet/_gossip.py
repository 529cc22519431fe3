"""Which pieces of news ride on the next messages."""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar
from typing import final

News = TypeVar("News")

SENDS_PER_DOUBLING = 3
"""Each piece is sent this often for every doubling of the fleet's size."""


@final
@dataclass(slots=True)
class _Entry(Generic[News]):
    news: News
    sent: int


@final
class GossipQueue(Generic[News]):
    """News by subject, each sent a bounded number of times, the newest first.

    Newer news of a subject takes the place of the older. Above ``limit``
    subjects the one sent most often is dropped: anti-entropy repairs that.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._entries: dict[Hashable, _Entry[News]] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """How many pieces were dropped for want of room."""
        return self._dropped

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, subject: Hashable, news: News) -> None:
        """Queue ``news`` of ``subject``."""
        self._entries[subject] = _Entry(news, 0)
        if len(self._entries) > self._limit:
            most = max(self._entries, key=lambda key: self._entries[key].sent)
            del self._entries[most]
            self._dropped += 1

    def clear(self) -> None:
        """Drop everything: the peers are known to have it."""
        self._entries.clear()

    def take(self, count: int, fleet_size: int) -> list[News]:
        """Return up to ``count`` pieces, those sent least often first."""
        if not self._entries:
            return []
        limit = SENDS_PER_DOUBLING * math.ceil(math.log2(fleet_size + 2))
        by_sent = sorted(self._entries.items(), key=lambda item: item[1].sent)
        chosen = by_sent[:count]
        for subject, entry in chosen:
            entry.sent += 1
            if entry.sent >= limit:
                del self._entries[subject]
        return [entry.news for _, entry in chosen]
