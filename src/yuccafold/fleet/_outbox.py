"""What waits to be sent, what is dropped first, and the budget of bytes."""

from __future__ import annotations

from collections import Counter
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold.fleet._link_settings import LinkSettings
from yuccafold.fleet._registry import ByteClass

DROP_ORDER = (
    ByteClass.OTHER,
    ByteClass.LIMITS,
    ByteClass.SLOTS,
    ByteClass.SETTINGS,
    ByteClass.QUARANTINE,
    ByteClass.MEMBERSHIP,
    ByteClass.CLAIMS,
    ByteClass.ORDERS,
)
"""When a queue is full the first class of this order is dropped first."""

BUDGET_RESERVE = {
    ByteClass.OTHER: 0.5,
    ByteClass.LIMITS: 0.25,
}
"""Classes that the budget stops, each below this share of the burst.

The others are sent in any case and run the budget into debt: they are rare or
the fleet is not correct without them.
"""

_RANK = {byte_class: rank for rank, byte_class in enumerate(DROP_ORDER)}


class DropCause(Enum):
    """Why a message was not sent."""

    QUEUE_FULL = "queue-full"
    BUDGET = "budget"
    UNREACHABLE = "unreachable"
    UNKNOWN_PEER = "unknown-peer"
    TOO_LARGE = "too-large"
    INBOX_FULL = "inbox-full"
    RESTARTED = "restarted"


@final
@dataclass(frozen=True, slots=True)
class Letter:
    """An encoded message and its class."""

    data: bytes
    byte_class: ByteClass


DropHandler = Callable[[Letter, DropCause], None]


@final
class ByteBudget:
    """A token bucket over all that one VM sends to others."""

    def __init__(self, settings: LinkSettings, now: Milliseconds) -> None:
        self._rate = settings.budget_bytes_per_second
        self._burst = settings.budget_burst_bytes
        self._tokens = float(self._burst)
        self._at = now

    def allows(self, byte_class: ByteClass, now: Milliseconds) -> bool:
        """Whether a message of ``byte_class`` may be sent at ``now``."""
        self._refill(now)
        reserve = BUDGET_RESERVE.get(byte_class)
        return reserve is None or self._tokens > reserve * self._burst

    def spend(self, size: int, now: Milliseconds) -> None:
        """Count ``size`` bytes; debt is bounded by one burst."""
        self._refill(now)
        self._tokens = max(self._tokens - size, -float(self._burst))

    def _refill(self, now: Milliseconds) -> None:
        earned = (now - self._at) * self._rate / MS_PER_SECOND
        self._tokens = min(self._tokens + earned, float(self._burst))
        self._at = now


@final
class Outbox:
    """The bounded queue of one peer."""

    def __init__(self, settings: LinkSettings, on_drop: DropHandler) -> None:
        self._limit = settings.queue_bytes
        self._on_drop = on_drop
        self._letters: deque[Letter] = deque()
        self._sizes: Counter[ByteClass] = Counter()

    def __len__(self) -> int:
        return len(self._letters)

    @property
    def size(self) -> int:
        """The bytes that wait."""
        return self._sizes.total()

    def put(self, letter: Letter) -> None:
        """Queue ``letter``; drop from the class of lowest rank while too full.

        Of one class the oldest is dropped: a newer message of the same kind
        mostly makes it void.
        """
        self._append(letter)
        while self.size > self._limit:
            self._drop_one()

    def take(self, limit: int) -> list[Letter]:
        """Remove and return the oldest letters of ``limit`` bytes, at least one."""
        taken: list[Letter] = []
        while self._letters:
            limit -= len(self._letters[0].data)
            if limit < 0 and taken:
                break
            letter = self._letters.popleft()
            self._sizes[letter.byte_class] -= len(letter.data)
            taken.append(letter)
        return taken

    def clear(self, cause: DropCause) -> None:
        """Drop everything."""
        for letter in self._letters:
            self._on_drop(letter, cause)
        self._letters.clear()
        self._sizes.clear()

    def _append(self, letter: Letter) -> None:
        self._letters.append(letter)
        self._sizes[letter.byte_class] += len(letter.data)

    def _drop_one(self) -> None:
        present = (item for item, size in self._sizes.items() if size > 0)
        lowest = min(present, key=lambda item: _RANK[item])
        victim = next(item for item in self._letters if item.byte_class is lowest)
        self._letters.remove(victim)
        self._sizes[lowest] -= len(victim.data)
        self._on_drop(victim, DropCause.QUEUE_FULL)
