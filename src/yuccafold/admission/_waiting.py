"""A call that waits for a slot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.settings._policy import Priority

PRIORITIES: tuple[Priority, ...] = ("high", "normal", "low")
"""The order in which waiting calls are served, first to last."""


@final
@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits for a slot until ``deadline`` at the latest.

    ``number`` is unique in the process; ``tokens`` is the expected work and at
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
        """The position of the priority in ``PRIORITIES``; 0 is served first."""
        return PRIORITIES.index(self.priority)
