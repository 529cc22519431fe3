"""VM lists, the voters of a key in a list, and the history of lists."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from itertools import accumulate
from typing import final

import xxhash

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._messages import Member
from yuccafold.delivery._messages import ViewDigest
from yuccafold.delivery._messages import ViewRecord
from yuccafold.delivery._timing import ClaimTiming

MAX_VIEWS = 64
"""With more counted lists than this, the VM refuses claims."""

MEMBER_OVERHEAD_BYTES = 4
"""Encoding overhead of one member, in addition to its VM and zone."""

MAX_RECORD_BYTES = 40_000
"""Bytes of VM lists in one message; the most recent lists are sent first."""


@final
class View:
    """One VM list, which determines the voters of keys."""

    def __init__(self, members: Iterable[Member]) -> None:
        self.members = tuple(sorted(set(members)))
        self.vms = frozenset(member.vm for member in self.members)
        names = "\n".join(f"{member.vm} {member.zone}" for member in self.members)
        self.wire_bytes = sum(
            len(member.vm) + len(member.zone) + MEMBER_OVERHEAD_BYTES
            for member in self.members
        )
        # Peer messages carry signed integers of 64 bits.
        self.digest = ViewDigest(xxhash.xxh64_intdigest(names.encode()) >> 1)

    def voters(self, key: ClaimKey, count: int) -> tuple[VmId, ...]:
        """Return the voters of ``key``, at most ``count``, spread over zones.

        Each is the next VM in rendezvous hashing order among the zones with the
        fewest voters so far.
        """
        ranked = sorted(self.members, key=lambda member: _score(member.vm, key))
        voters_in_zone: Counter[str] = Counter()
        voters: list[VmId] = []
        while ranked and len(voters) < count:
            fewest = min(voters_in_zone[member.zone] for member in ranked)
            member = next(
                candidate
                for candidate in ranked
                if voters_in_zone[candidate.zone] == fewest
            )
            ranked.remove(member)
            voters_in_zone[member.zone] += 1
            voters.append(member.vm)
        return tuple(voters)

    def vm_for(self, name: bytes) -> VmId | None:
        """Return the VM that rendezvous hashing selects for ``name``, or None."""
        return min(self.vms, key=lambda vm: _score(vm, name), default=None)


def _score(vm: VmId, name: bytes) -> tuple[int, VmId]:
    return xxhash.xxh64_intdigest(vm.encode() + b"\0" + name), vm


def quorum(voters: int) -> int:
    """Return how many of ``voters`` voters are a majority."""
    return voters // 2 + 1


@final
class ViewHistory:
    """The VM lists that the platform published recently.

    Votes are counted in every list that was current within ``view_count``.
    Memory is bounded by ``expire`` and by the number of lists that the platform
    publishes; with more than ``MAX_VIEWS`` counted lists no claim is made.
    """

    def __init__(self, timing: ClaimTiming) -> None:
        self._timing = timing
        self._views: dict[ViewDigest, View] = {}
        self._last_current_at: dict[ViewDigest, Milliseconds] = {}
        self._current: View | None = None
        self._confirmed_at: Milliseconds | None = None

    @property
    def current(self) -> View | None:
        """The list that was confirmed last."""
        return self._current

    @property
    def confirmed_at(self) -> Milliseconds | None:
        """Time of the last confirmation."""
        return self._confirmed_at

    def confirm(self, view: View, now: Milliseconds) -> bool:
        """Record ``view`` as the platform's present list; return whether it changed."""
        changed = self._current is None or self._current.digest != view.digest
        self._current = view
        self._confirmed_at = now
        self._record_view(view, now)
        return changed

    def learn(self, record: ViewRecord, now: Milliseconds) -> None:
        """Record a list in which another VM counts votes."""
        self._record_view(
            View(record.members), Milliseconds(now - max(0, record.age_ms))
        )

    def counted(self, now: Milliseconds) -> tuple[View, ...]:
        """Return the lists in which a claim needs a majority."""
        return self._current_within(self._timing.view_count, now)

    def find(self, digest: ViewDigest) -> View | None:
        """Return the list with ``digest`` if it is known."""
        return self._views.get(digest)

    def records(self, now: Milliseconds) -> tuple[ViewRecord, ...]:
        """Return the counted lists, to be sent to another VM."""
        return self._records_in_limit(self.counted(now), now)

    def missing(
        self, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> tuple[ViewRecord, ...]:
        """Return the required lists that are not among a claimant's ``digests``."""
        known = frozenset(digests)
        demanded = self._current_within(self._timing.view_demand, now)
        left_out = (view for view in demanded if view.digest not in known)
        return self._records_in_limit(left_out, now)

    def is_fresh(self, now: Milliseconds, since: Milliseconds) -> bool:
        """Return whether a list was confirmed recently and not before ``since``.

        With more than ``MAX_VIEWS`` counted lists it returns False.
        """
        if self._confirmed_at is None or len(self.counted(now)) > MAX_VIEWS:
            return False
        return self._confirmed_at >= max(since, now - self._timing.list_fresh)

    def expire(self, now: Milliseconds) -> None:
        """Drop the lists in which no claim can count votes any more."""
        kept = self._current_within(self._timing.view_life, now)
        self._views = {view.digest: view for view in kept}
        self._last_current_at = {
            digest: self._last_current_at[digest] for digest in self._views
        }

    def _current_within(self, age: int, now: Milliseconds) -> tuple[View, ...]:
        return tuple(
            view
            for digest, view in self._views.items()
            if self._last_current_at[digest] >= now - age
        )

    def _records_in_limit(
        self, views: Iterable[View], now: Milliseconds
    ) -> tuple[ViewRecord, ...]:
        """Return as many records as fit into one message, but at least one."""
        ordered = sorted(
            views, key=lambda view: self._last_current_at[view.digest], reverse=True
        )
        sizes = accumulate(view.wire_bytes for view in ordered)
        return tuple(
            self._record_of(view, now)
            for view, size in zip(ordered, sizes, strict=True)
            if view is ordered[0] or size <= MAX_RECORD_BYTES
        )

    def _record_of(self, view: View, now: Milliseconds) -> ViewRecord:
        return ViewRecord(
            view.members, max(0, now - self._last_current_at[view.digest])
        )

    def _record_view(self, view: View, last_current_at: Milliseconds) -> None:
        self._views.setdefault(view.digest, view)
        self._last_current_at[view.digest] = max(
            last_current_at, self._last_current_at.get(view.digest, last_current_at)
        )
