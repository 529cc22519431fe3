"""Operations that callers request, and their calls and outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.delivery import ClaimKey

BOOKINGS = ServiceId("bookings")
ENGINES = ServiceId("engines")


class OperationKind(Enum):
    """The kind of an operation, which decides how a router handles its calls."""

    BOOKING = "booking"
    UNKEYED = "unkeyed"
    LOOKUP = "lookup"
    CHAT = "chat"


@final
@dataclass(frozen=True, slots=True)
class Operation:
    """What a caller wants to run once; only a booking has a key."""

    kind: OperationKind
    body: bytes
    key: ClaimKey | None = None


@final
@dataclass(frozen=True, slots=True)
class Call:
    """One call that a caller makes for an operation."""

    id: CallId
    operation: Operation


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller got: an answer, which it considers complete, or a refusal."""

    verdict: Verdict
    code: str
    body: bytes | None = None
    retry_after_ms: int = 0

    @classmethod
    def refused(cls, refusal: Refusal) -> Outcome:
        """Return the outcome of a refused call."""
        return cls(refusal.verdict, refusal.code, retry_after_ms=refusal.retry_after_ms)


Respond = Callable[[Outcome], None]
