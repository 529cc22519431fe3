"""Recovery of the claims for which a restarted voter may have voted."""

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
"""Number of claim windows after the start with the shorter request interval."""


@final
class Recovery:
    """Decides whether this voter may vote, and reads forgotten claims from others.

    Until ``hold`` after its start, the voter may have forgotten claims; on the
    first start of a fleet, only until ``votes_after`` milliseconds after it. The
    voter may vote earlier on a key once it has read the claims of enough other
    voters of that key which have not forgotten any claim themselves: so many that
    every majority to which this voter belonged before contains one of them.
    Reading starts a claim window after the start, when claims for which this voter
    voted before can't gain further votes.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        voter_count: int,
        timing: ClaimTiming,
        views: ViewHistory,
        started: Milliseconds,
        votes_after: int | None = None,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._voter_count = voter_count
        self._timing = timing
        self._views = views
        self._started = started
        self._complete_from = started + timing.hold
        if votes_after is not None:
            self._complete_from = started + votes_after
        self._read: dict[ViewDigest, set[VmId]] = defaultdict(set)
        # The resend interval is added to cover the rounding of two clocks.
        self._next_round = Milliseconds(started + timing.window + timing.resend)

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation to which recovery pages must reply."""
        return self._incarnation

    def is_over(self, now: Milliseconds) -> bool:
        """Return whether no forgotten claim can matter any more."""
        return now >= self._complete_from

    def remembers(
        self, key: ClaimKey, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> bool:
        """Return whether no claim on ``key`` is forgotten in any of the VM lists."""
        if self.is_over(now):
            return True
        views = (self._views.find(digest) for digest in digests)
        return all(view is not None and self._knows_key(view, key) for view in views)

    def covered(
        self, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> tuple[ViewDigest, ...]:
        """Return the ``digests`` of VM lists in which no claim is forgotten."""
        views = (self._views.find(digest) for digest in digests)
        return tuple(
            view.digest
            for view in views
            if view is not None and (self.is_over(now) or self._knows_every_key(view))
        )

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return requests to the VMs whose claims have not been read yet."""
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

    def record_last_page(self, sender: VmId, page: RecoveryPage) -> None:
        """Record that all claims of ``sender`` have been read."""
        for digest in page.covered:
            self._read[digest].add(sender)

    def _knows_key(self, view: View, key: ClaimKey) -> bool:
        """Return whether enough of the key's other voters were read."""
        voters = view.voters(key, self._voter_count)
        if self._vm not in voters:
            return True
        read_voters = len(self._read[view.digest].intersection(voters))
        return read_voters > len(voters) - quorum(len(voters))

    def _knows_every_key(self, view: View) -> bool:
        """Return whether enough VMs were read for any key, whatever its voters."""
        if self._vm not in view.vms:
            return True
        voter_count = min(self._voter_count, len(view.vms))
        unread = len(view.vms - self._read[view.digest]) - 1
        return unread <= quorum(voter_count) - 2
