"""Decides which calls a VM that stops still takes, and when it must end them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds

NOTICE_PERIOD = Milliseconds(3_300)
"""How long new connections are accepted after a stop began. The platform's load
balancer checks readiness every second, and opens no more after two failures."""

OPEN_PERIOD = Milliseconds(2_700)
"""How long calls of any duration are taken after a stop began. Callers may be cut at
the end of the grace period only if they sent their calls in the first three seconds
after the signal; the rest is for a signal that is handled late."""

ANSWER_TIME = Milliseconds(200)
"""Time to answer the calls that no target has answered, before the process exits."""

EXIT_MARGIN = Milliseconds(300)
"""How long before the end of the grace period the process exits by itself."""


@final
@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """The times of a stop that began at ``began_at``.

    A call that is taken too late to end within the grace period would be cut. What a
    call's route took before doesn't tell how long this one takes, so only its own
    timeout counts: another VM serves it whole.
    """

    began_at: Milliseconds
    grace_period: Milliseconds

    @property
    def exits_at(self) -> Milliseconds:
        """When the process exits, whatever still runs."""
        return Milliseconds(self.began_at + self.grace_period - EXIT_MARGIN)

    @property
    def answers_at(self) -> Milliseconds:
        """When calls that no target has answered get an answer of the router."""
        return Milliseconds(self.exits_at - ANSWER_TIME)

    @property
    def closes_at(self) -> Milliseconds:
        """When no new connections are accepted any more."""
        return Milliseconds(min(self.began_at + NOTICE_PERIOD, self.answers_at))

    def may_take(self, arrived_at: Milliseconds, deadline: Milliseconds) -> bool:
        """Return whether a call is taken that was read whole at ``arrived_at``.

        ``deadline`` is when it ends at the latest, by its caller's or route's timeout.
        """
        is_open = arrived_at < self.began_at + OPEN_PERIOD
        return is_open or deadline <= self.answers_at
