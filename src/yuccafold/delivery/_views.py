"""VM lists: the seats of a key in one, and the history of several."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from itertools import chain
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


@final
class View:
    """One VM list, by which seats are found."""

    def __init__(self, members: Iterable[Member]) -> None:
        self.members = tuple(sorted(set(members)))
        self.vms = frozenset(member.vm for member in self.members)
        names = "\n".join(f"{member.vm} {member.zone}" for member in self.members)
        self.digest = ViewDigest(xxhash.xxh64_intdigest(names.encode()))

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
    """The VM lists that were the platform's within the last ``view_life``."""

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

    def live(self, now: Milliseconds) -> tuple[View, ...]:
        """Return the lists to count with, and forget the older ones."""
        oldest = now - self._timing.view_life
        lapsed = [
            digest for digest, last in self._last_current.items() if last < oldest
        ]
        for digest in lapsed:
            del self._views[digest]
            del self._last_current[digest]
        return tuple(self._views.values())

    def find(self, digest: ViewDigest) -> View | None:
        """Return the list with ``digest`` if it is counted with."""
        return self._views.get(digest)

    def records(self, now: Milliseconds) -> tuple[ViewRecord, ...]:
        """Return the lists that peers should count with.

        A list about to lapse is not passed on: otherwise two VMs could keep
        it alive between them by the time that messages take.
        """
        return self.missing((), now)

    def missing(
        self, digests: Iterable[ViewDigest], now: Milliseconds
    ) -> tuple[ViewRecord, ...]:
        """Return the records of lists that ``digests`` leaves out."""
        known = frozenset(digests)
        oldest = now - self._timing.view_life + self._timing.grace
        return tuple(
            ViewRecord(view.members, max(0, now - self._last_current[view.digest]))
            for view in self.live(now)
            if view.digest not in known and self._last_current[view.digest] > oldest
        )

    def everyone(self, now: Milliseconds) -> frozenset[VmId]:
        """Return all VMs of the lists that are counted with."""
        return frozenset(chain.from_iterable(view.vms for view in self.live(now)))

    def is_fresh(self, now: Milliseconds, since: Milliseconds) -> bool:
        """Return whether a list was confirmed lately, and not before ``since``."""
        if self._confirmed is None or len(self.live(now)) > MAX_VIEWS:
            return False
        return self._confirmed >= max(since, now - self._timing.list_lag)

    def _note(self, view: View, last: Milliseconds) -> None:
        self._views.setdefault(view.digest, view)
        self._last_current[view.digest] = max(
            last, self._last_current.get(view.digest, last)
        )
