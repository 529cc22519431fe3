"""The bounded queue of messages to a peer, and the byte budget of this VM."""

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
"""The order in which byte classes are dropped from a full queue."""

BUDGET_RESERVE = {
    ByteClass.OTHER: 0.5,
    ByteClass.LIMITS: 0.25,
}
"""Byte classes that are stopped when at most this share of the burst is left.

The other classes are always sent, and may make the budget negative, because
they are rare or the fleet is not correct without them.
"""

_DROP_RANK = {byte_class: rank for rank, byte_class in enumerate(DROP_ORDER)}


class DropCause(Enum):
    """Why a message was dropped."""

    QUEUE_FULL = "queue-full"
    BUDGET = "budget"
    UNREACHABLE = "unreachable"
    UNKNOWN_PEER = "unknown-peer"
    TOO_LARGE = "too-large"
    INBOX_FULL = "inbox-full"
    RESTARTED = "restarted"


@final
@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """An encoded message and its byte class."""

    data: bytes
    byte_class: ByteClass


DropHandler = Callable[[QueuedMessage, DropCause], None]


@final
class ByteBudget:
    """A token bucket for all bytes that this VM sends to peers."""

    def __init__(self, settings: LinkSettings, now: Milliseconds) -> None:
        self._rate = settings.budget_bytes_per_second
        self._burst = settings.budget_burst_bytes
        self._tokens = float(self._burst)
        self._refilled_at = now

    def allows(self, byte_class: ByteClass, now: Milliseconds) -> bool:
        """Return whether a message of ``byte_class`` may be sent at ``now``."""
        self._refill(now)
        reserve = BUDGET_RESERVE.get(byte_class)
        return reserve is None or self._tokens > reserve * self._burst

    def spend(self, size: int, now: Milliseconds) -> None:
        """Subtract ``size`` bytes; the balance is never below minus one burst."""
        self._refill(now)
        self._tokens = max(self._tokens - size, -float(self._burst))

    def _refill(self, now: Milliseconds) -> None:
        earned = (now - self._refilled_at) * self._rate / MS_PER_SECOND
        self._tokens = min(self._tokens + earned, float(self._burst))
        self._refilled_at = now


@final
class Outbox:
    """The bounded queue of messages to one peer."""

    def __init__(self, settings: LinkSettings, on_drop: DropHandler) -> None:
        self._max_bytes = settings.queue_bytes
        self._on_drop = on_drop
        self._messages: deque[QueuedMessage] = deque()
        self._sizes: Counter[ByteClass] = Counter()

    def __len__(self) -> int:
        return len(self._messages)

    @property
    def size(self) -> int:
        """How many bytes are queued."""
        return self._sizes.total()

    def put(self, message: QueuedMessage) -> None:
        """Queue ``message``; drop messages while the queue is over its limit.

        The class that is first in ``DROP_ORDER`` is dropped first, and within
        it the oldest message, which a newer one of the same kind mostly makes
        obsolete.
        """
        self._append(message)
        while self.size > self._max_bytes:
            self._drop_one()

    def take(self, max_bytes: int) -> list[QueuedMessage]:
        """Remove and return the oldest messages, up to ``max_bytes`` together.

        The first message is returned whatever its size.
        """
        taken: list[QueuedMessage] = []
        while self._messages:
            max_bytes -= len(self._messages[0].data)
            if max_bytes < 0 and taken:
                break
            message = self._messages.popleft()
            self._sizes[message.byte_class] -= len(message.data)
            taken.append(message)
        return taken

    def clear(self, cause: DropCause) -> None:
        """Drop all messages for ``cause``."""
        for message in self._messages:
            self._on_drop(message, cause)
        self._messages.clear()
        self._sizes.clear()

    def _append(self, message: QueuedMessage) -> None:
        self._messages.append(message)
        self._sizes[message.byte_class] += len(message.data)

    def _drop_one(self) -> None:
        present = (item for item, size in self._sizes.items() if size > 0)
        lowest = min(present, key=lambda item: _DROP_RANK[item])
        dropped = next(item for item in self._messages if item.byte_class is lowest)
        self._messages.remove(dropped)
        self._sizes[lowest] -= len(dropped.data)
        self._on_drop(dropped, DropCause.QUEUE_FULL)
