"""A call that waits for a slot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.settings._policy import Priority

PRIORITIES: tuple[Priority, ...] = ("high", "normal", "low")
"""The order in which waiting calls are served."""


@final
@dataclass(frozen=True, slots=True)
class WaitingCall:
    """One call that waits, until the instant ``deadline`` at the latest.

    ``number`` is unique in the process; ``tokens`` is the work expected, of at
    least 1.
    """

    number: int
    service: ServiceId
    account: AccountId
    priority: Priority
    tokens: int
    deadline: Milliseconds

    @property
    def rank(self) -> int:
        """The position of its priority; 0 is served first."""
        return PRIORITIES.index(self.priority)
