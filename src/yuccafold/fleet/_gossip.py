"""Queue of updates that are sent along with the next messages to peers."""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar
from typing import final

Update = TypeVar("Update")

SENDS_PER_DOUBLING = 3
"""An update is sent this many times per doubling of the fleet's size."""


@final
@dataclass(slots=True)
class _Entry(Generic[Update]):
    update: Update
    times_sent: int


@final
class GossipQueue(Generic[Update]):
    """Sends the latest update of each subject a bounded number of times.

    Updates that were sent least often go first. A newer update of a subject
    replaces the older one. With more than ``max_subjects`` subjects, the one
    sent most often is dropped; anti-entropy repairs that.
    """

    def __init__(self, max_subjects: int) -> None:
        self._max_subjects = max_subjects
        self._entries: dict[Hashable, _Entry[Update]] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """How many updates were dropped because the queue was full."""
        return self._dropped

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, subject: Hashable, update: Update) -> None:
        """Queue ``update`` of ``subject``, replacing an older one."""
        self._entries[subject] = _Entry(update, 0)
        if len(self._entries) > self._max_subjects:
            most_sent = max(
                self._entries, key=lambda key: self._entries[key].times_sent
            )
            del self._entries[most_sent]
            self._dropped += 1

    def clear(self) -> None:
        """Remove everything, for when the peers already have it."""
        self._entries.clear()

    def next_batch(self, count: int, fleet_size: int) -> list[Update]:
        """Return up to ``count`` updates, those sent least often first.

        Each counts as sent, and is removed after its last permitted send.
        """
        if not self._entries:
            return []
        max_sends = SENDS_PER_DOUBLING * math.ceil(math.log2(fleet_size + 2))
        by_sent = sorted(self._entries.items(), key=lambda item: item[1].times_sent)
        chosen = by_sent[:count]
        for subject, entry in chosen:
            entry.times_sent += 1
            if entry.times_sent >= max_sends:
                del self._entries[subject]
        return [entry.update for _, entry in chosen]
