"""Claim releases, resent until each voter has acknowledged them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._messages import ClaimRelease
from yuccafold.delivery._timing import ClaimTiming

MAX_SENDS = 8
"""Sends of one release; a voter that misses all holds the claim until ``hold`` ends."""

MAX_PENDING = 16_384
"""Unacknowledged releases that are resent; further ones are sent only once."""


@final
@dataclass(slots=True)
class _PendingRelease:
    """A release that one voter has not acknowledged."""

    message: ClaimRelease
    sends: int
    due_at: Milliseconds


@final
class PendingReleases:
    """Sends and resends releases.

    A lost release leads to refusals, but never to a second run.
    """

    def __init__(self, timing: ClaimTiming) -> None:
        self._timing = timing
        self._pending: dict[tuple[ClaimId, VmId], _PendingRelease] = {}

    def send(
        self, message: ClaimRelease, voters: Iterable[VmId], now: Milliseconds
    ) -> list[Outgoing]:
        """Send ``message`` to ``voters`` and resend it until acknowledged."""
        outgoing = [Outgoing(vm, message) for vm in sorted(voters)]
        if len(self._pending) < MAX_PENDING:
            due = Milliseconds(now + self._timing.resend)
            for entry in outgoing:
                self._pending[message.claim, entry.to] = _PendingRelease(
                    message, 1, due
                )
        return outgoing

    def acknowledge(self, claim: ClaimId, voter: VmId) -> None:
        """Stop resending the release of ``claim`` to ``voter``."""
        self._pending.pop((claim, voter), None)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the releases that are due for a resend.

        The wait is ``resend`` before the first resend, four times that before
        the second, and doubles from then on.
        """
        due = [key for key, release in self._pending.items() if release.due_at <= now]
        outgoing = []
        for key in due:
            pending = self._pending[key]
            outgoing.append(Outgoing(key[1], pending.message))
            pending.sends += 1
            pending.due_at = Milliseconds(now + (self._timing.resend << pending.sends))
            if pending.sends >= MAX_SENDS:
                del self._pending[key]
        return outgoing
