"""VM lists: the seats of a key in one, and the history of several."""

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
"""More lists than this at once make the VM refuse claims."""

MEMBER_OVERHEAD = 4
MAX_RECORD_BYTES = 40_000
"""Bytes of VM lists in one message; the youngest lists go first."""


@final
class View:
    """One VM list, by which seats are found."""

    def __init__(self, members: Iterable[Member]) -> None:
        self.members = tuple(sorted(set(members)))
        self.vms = frozenset(member.vm for member in self.members)
        names = "\n".join(f"{member.vm} {member.zone}" for member in self.members)
        self.wire_bytes = sum(
            len(member.vm) + len(member.zone) + MEMBER_OVERHEAD
            for member in self.members
        )
        # Peer messages carry signed integers of 64 bits.
        self.digest = ViewDigest(xxhash.xxh64_intdigest(names.encode()) >> 1)

    def seats(self, key: ClaimKey, count: int) -> tuple[VmId, ...]:
        """Return the ``count`` VMs that ``key`` hashes to, spread over zones.

        Rendezvous order within the zones that hold the fewest seats so far.
        """
        ranked = sorted(self.members, key=lambda member: _score(member.vm, key))
        taken: Counter[str] = Counter()
        seats: list[VmId] = []
        while ranked and len(seats) < count:
            fewest = min(taken[member.zone] for member in ranked)
            member = next(each for each in ranked if taken[each.zone] == fewest)
            ranked.remove(member)
            taken[member.zone] += 1
            seats.append(member.vm)
        return tuple(seats)

    def home(self, name: bytes) -> VmId | None:
        """Return the VM that ``name`` hashes to, if the list has any."""
        return min(self.vms, key=lambda vm: _score(vm, name), default=None)


def _score(vm: VmId, name: bytes) -> tuple[int, VmId]:
    return xxhash.xxh64_intdigest(vm.encode() + b"\0" + name), vm


def quorum(seats: int) -> int:
    """Return how many of ``seats`` seats make a majority."""
    return seats // 2 + 1


@final
class ViewHistory:
    """The VM lists that were the platform's lately.

    Memory is bounded by ``expire`` and by what the platform publishes; with
    more than ``MAX_VIEWS`` lists at once no claim is made.
    """

    def __init__(self, timing: ClaimTiming) -> None:
        self._timing = timing
        self._views: dict[ViewDigest, View] = {}
        self._last_current: dict[ViewDigest, Milliseconds] = {}
        self._current: View | None = None
        self._confirmed: Milliseconds | None = None

    @property
    def current(self) -> View | None:
        """The list confirmed last."""
        return self._current

    @property
    def confirmed(self) -> Milliseconds | None:
        """When a list was confirmed last."""
        return self._confirmed

    def confirm(self, view: View, now: Milliseconds) -> bool:
        """Take ``view`` as the platform's list now; return whether it changed."""
        changed = self._current is None or self._current.digest != view.digest
        self._current = view
        self._confirmed = now
        self._note(view, now)
        return changed

    def learn(self, record: ViewRecord, now: Milliseconds) -> None:
        """Count with a list that a peer counts with."""
        self._note(View(record.members), Milliseconds(now - max(0, record.age_ms)))

    def counted(self, now: Milliseconds) -> tuple[View, ...]:
        """Return the lists in which a claim needs a majority."""
        return self._younger_than(self._timing.view_count, now)

    def find(self, digest: ViewDigest) -> View | None:
        """Return the list with ``digest`` if it is counted with."""
        return self._views.get(digest)

    def records(self, now: Milliseconds) -> tuple[ViewRecord, ...]:
        """Return the lists that this VM counts with, to tell a peer."""
        return self._fitting(self.counted(now), now)

    def missing(
        self, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> tuple[ViewRecord, ...]:
        """Return the lists that a claimant who counts with ``digests`` leaves out."""
        known = frozenset(digests)
        demanded = self._younger_than(self._timing.view_demand, now)
        left_out = (view for view in demanded if view.digest not in known)
        return self._fitting(left_out, now)

    def is_fresh(self, now: Milliseconds, since: Milliseconds) -> bool:
        """Return whether a list was confirmed lately, and not before ``since``."""
        if self._confirmed is None or len(self.counted(now)) > MAX_VIEWS:
            return False
        return self._confirmed >= max(since, now - self._timing.list_fresh)

    def expire(self, now: Milliseconds) -> None:
        """Forget the lists that no claim can count with."""
        kept = self._younger_than(self._timing.view_life, now)
        self._views = {view.digest: view for view in kept}
        self._last_current = {each: self._last_current[each] for each in self._views}

    def _younger_than(self, age: int, now: Milliseconds) -> tuple[View, ...]:
        return tuple(
            view
            for digest, view in self._views.items()
            if self._last_current[digest] >= now - age
        )

    def _fitting(
        self, views: Iterable[View], now: Milliseconds
    ) -> tuple[ViewRecord, ...]:
        """Return as many records as one message holds, at least one."""
        ordered = sorted(
            views, key=lambda view: self._last_current[view.digest], reverse=True
        )
        sizes = accumulate(view.wire_bytes for view in ordered)
        return tuple(
            self._record(view, now)
            for view, size in zip(ordered, sizes, strict=True)
            if view is ordered[0] or size <= MAX_RECORD_BYTES
        )

    def _record(self, view: View, now: Milliseconds) -> ViewRecord:
        return ViewRecord(view.members, max(0, now - self._last_current[view.digest]))

    def _note(self, view: View, last: Milliseconds) -> None:
        self._views.setdefault(view.digest, view)
        self._last_current[view.digest] = max(
            last, self._last_current.get(view.digest, last)
        )
