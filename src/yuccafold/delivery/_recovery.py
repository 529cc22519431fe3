"""How a seat that restarted learns which claims it may have voted for."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._messages import RecoveryPage
from yuccafold.delivery._messages import RecoveryRequest
from yuccafold.delivery._messages import ViewDigest
from yuccafold.delivery._timing import ClaimTiming
from yuccafold.delivery._views import View
from yuccafold.delivery._views import ViewHistory
from yuccafold.delivery._views import quorum

EARLY_WINDOWS = 5
"""Claim windows after the start during which others are asked often."""


@final
class Recovery:
    """Says whether this seat may vote, and reads what it forgot from others.

    Until ``hold`` after its start the seat may have forgotten claims; on a
    fleet's first start nothing was forgotten after ``votes_after``. It may
    vote earlier on a key once enough other seats of that key, none of which
    forgot anything itself, showed their claims: so many that every majority
    that this seat took part in before has one of them. Reading starts a claim
    window after the start, when claims that this seat voted for before can gain
    no further vote.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        seats: int,
        timing: ClaimTiming,
        views: ViewHistory,
        started: Milliseconds,
        votes_after: int | None = None,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._seats = seats
        self._timing = timing
        self._views = views
        self._started = started
        self._remembers_from = started + timing.hold
        if votes_after is not None:
            self._remembers_from = started + votes_after
        self._read: dict[ViewDigest, set[VmId]] = defaultdict(set)
        # The resend interval covers the rounding of two clocks.
        self._next_round = Milliseconds(started + timing.window + timing.resend)

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that pages must answer."""
        return self._incarnation

    def is_over(self, now: Milliseconds) -> bool:
        """Return whether nothing forgotten can matter any more."""
        return now >= self._remembers_from

    def remembers(
        self, key: ClaimKey, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> bool:
        """Return whether no claim on ``key`` under any of the lists is forgotten."""
        if self.is_over(now):
            return True
        views = (self._views.find(digest) for digest in digests)
        return all(view is not None and self._knows_key(view, key) for view in views)

    def covered(
        self, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> tuple[ViewDigest, ...]:
        """Return those of ``digests`` under which no claim at all is forgotten."""
        views = (self._views.find(digest) for digest in digests)
        return tuple(
            view.digest
            for view in views
            if view is not None and (self.is_over(now) or self._knows_every_key(view))
        )

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Ask the members that were not read yet."""
        if self.is_over(now) or now < self._next_round:
            return []
        is_early = now < self._started + EARLY_WINDOWS * self._timing.window
        wait = self._timing.resend if is_early else self._timing.window
        self._next_round = Milliseconds(now + wait)
        wanted: dict[VmId, list[ViewDigest]] = defaultdict(list)
        for view in self._views.counted(now):
            if self._knows_every_key(view):
                continue
            for vm in view.vms - self._read[view.digest] - {self._vm}:
                wanted[vm].append(view.digest)
        return [
            Outgoing(vm, RecoveryRequest(self._incarnation, tuple(digests), b""))
            for vm, digests in sorted(wanted.items())
        ]

    def note(self, sender: VmId, page: RecoveryPage) -> None:
        """Count ``sender`` as read; its last page has come."""
        for digest in page.covered:
            self._read[digest].add(sender)

    def _knows_key(self, view: View, key: ClaimKey) -> bool:
        """Return whether enough of the key's other seats were read."""
        seats = view.seats(key, self._seats)
        if self._vm not in seats:
            return True
        read = len(self._read[view.digest].intersection(seats))
        return read > len(seats) - quorum(len(seats))

    def _knows_every_key(self, view: View) -> bool:
        """Return whether enough were read whichever seats a key has."""
        if self._vm not in view.vms:
            return True
        seats = min(self._seats, len(view.vms))
        unread = len(view.vms - self._read[view.digest]) - 1
        return unread <= quorum(seats) - 2
