"""Releases that are sent until each seat has acknowledged them."""

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
"""Sends of one release; a seat that missed all frees the claim after ``hold``."""

MAX_PENDING = 16_384


@final
@dataclass(slots=True)
class _Pending:
    """A release that one seat has not acknowledged."""

    message: ClaimRelease
    sends: int
    due: Milliseconds


@final
class Releases:
    """Resends releases; losing one costs refusals and never a second run."""

    def __init__(self, timing: ClaimTiming) -> None:
        self._timing = timing
        self._pending: dict[tuple[ClaimId, VmId], _Pending] = {}

    def send(
        self, message: ClaimRelease, seats: Iterable[VmId], now: Milliseconds
    ) -> list[Outgoing]:
        """Send ``message`` to ``seats`` now and until acknowledged."""
        outgoing = [Outgoing(vm, message) for vm in sorted(seats)]
        if len(self._pending) < MAX_PENDING:
            due = Milliseconds(now + self._timing.resend)
            for each in outgoing:
                self._pending[message.claim, each.to] = _Pending(message, 1, due)
        return outgoing

    def acknowledge(self, claim: ClaimId, seat: VmId) -> None:
        """Note that ``seat`` freed ``claim``."""
        self._pending.pop((claim, seat), None)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the releases due again; the wait doubles each time."""
        due = [key for key, each in self._pending.items() if each.due <= now]
        outgoing = []
        for key in due:
            pending = self._pending[key]
            outgoing.append(Outgoing(key[1], pending.message))
            pending.sends += 1
            pending.due = Milliseconds(now + (self._timing.resend << pending.sends))
            if pending.sends >= MAX_SENDS:
                del self._pending[key]
        return outgoing
