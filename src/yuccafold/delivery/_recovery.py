"""How a seat that restarted learns which claims it may have voted for."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.delivery._messages import RecoveryPage
from yuccafold.delivery._messages import RecoveryRequest
from yuccafold.delivery._messages import ViewDigest
from yuccafold.delivery._timing import ClaimTiming
from yuccafold.delivery._views import View
from yuccafold.delivery._views import ViewHistory
from yuccafold.delivery._views import quorum


@final
class Recovery:
    """Says whether this seat may vote, and reads what it forgot from others.

    Until ``hold`` after its start the seat may have forgotten claims; on a
    fleet's first start nothing was forgotten after ``votes_after``. It may
    vote earlier under a list once enough other members of that list, none of
    which forgot anything itself, showed their claims: so many that every
    majority that this seat took part in before has one of them. Reading starts
    a claim window after the start, when claims that this seat voted for before
    can gain no further vote.
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

    def remembers(self, digests: Iterable[ViewDigest], now: Milliseconds) -> bool:
        """Return whether no claim under any of the lists can be forgotten."""
        if self.is_over(now):
            return True
        views = (self._views.find(digest) for digest in digests)
        return all(view is not None and self._is_covered(view) for view in views)

    def covered(
        self, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> tuple[ViewDigest, ...]:
        """Return those of ``digests`` under which nothing is forgotten."""
        return tuple(
            digest
            for digest in digests
            if self._views.find(digest) is not None and self.remembers((digest,), now)
        )

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Ask the members that were not read yet."""
        if self.is_over(now) or now < self._next_round:
            return []
        self._next_round = Milliseconds(now + self._timing.window)
        wanted: dict[VmId, list[ViewDigest]] = defaultdict(list)
        for view in self._views.counted(now):
            if self._is_covered(view):
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

    def _is_covered(self, view: View) -> bool:
        if self._vm not in view.vms:
            return True
        seats = min(self._seats, len(view.vms))
        unread = len(view.vms - self._read[view.digest]) - 1
        return unread <= quorum(seats) - 2
