"""Which targets were listed when, and since when all of that is known.

A VM that starts has seen nothing of the time before. What it learns from another VM
reaches back only as far as that one's own history, so each history states its horizon.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._model import TargetGone
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState
from yuccafold.edge._positions import START
from yuccafold.edge._positions import Position

LISTED_TOGETHER_WINDOW = Milliseconds(500)
"""Targets that a VM lists within this time of its first one may have joined before."""

DEFAULT_LAG = Milliseconds(2_000)
DEFAULT_KEY_LIFETIME = Milliseconds(5_000)

UNKNOWN_SOFTWARE = SoftwareVersion("?")
"""Stands for the version of a target whose last entry is not remembered."""

MIN_STREAM_TIME = Milliseconds(10_000)
"""For how long a stream may be taken up at least, whatever the timeouts of routes."""

MAX_ROWS = 200
"""Listings in one message between VMs, of some 60 bytes each."""

MAX_CLOSED_LISTINGS = 4_096
"""Listings that have ended and are remembered; half a fleet of 830 targets replaced
twice within the window is fewer."""

SAME_LISTING_TOLERANCE = Milliseconds(2_000)
"""Two VMs see a target leave at most this far apart."""

CLOCK_TOLERANCE = Milliseconds(1_000)
"""How far the clocks of targets and VMs usually differ."""

CALL_DELAY_TOLERANCE = Milliseconds(1_000)
"""How long calls are usually on their way; callers state their time as they send."""

REGISTRATION_TIME = Milliseconds(1_000)
"""Within this time of its start a target that reaches the platform is listed there; it
writes its entry as soon as it serves."""

GAP_CLOSING_TIME = Milliseconds(500)
"""Within this time another VM usually tells what changed in a gap."""


@final
@dataclass(slots=True)
class Listing:
    """That a target was listed as ready at a software version, from when to when.

    ``since`` is ``None`` if that was before the horizon of the history. ``position`` is
    that of the entry with which this VM saw it begin, and ``started_at`` the start of
    the target by that entry, if it is known. If ``since`` is an estimate,
    ``since_at_latest`` is when the target was listed at the latest.
    """

    target: TargetId
    service: ServiceId
    software: SoftwareVersion
    since: Milliseconds | None
    until: Milliseconds | None = None
    position: Position = START
    started_at: Milliseconds | None = None
    since_at_latest: Milliseconds | None = None

    def overlaps(self, start: Milliseconds) -> bool:
        """Return whether the target was listed at some time after ``start``."""
        return self.until is None or self.until >= start

    def covers(self, start: Milliseconds, trusts_estimates: bool = True) -> bool:
        """Return whether the target has been listed ever since ``start``."""
        since = self.since
        if self.since_at_latest is not None and not trusts_estimates:
            since = self.since_at_latest
        return self.until is None and (since is None or since <= start)

    def can_have_covered(
        self, start: Milliseconds, trusts_estimates: bool = True
    ) -> bool:
        """Return whether the target may have been listed ever since ``start``.

        One that started later can't, though it counts as listed before the horizon:
        the history of a VM that took it for old doesn't name it.
        """
        contradicts = self.since is None and self.is_of_start_after(
            Milliseconds(start + CLOCK_TOLERANCE)
        )
        return self.covers(start, trusts_estimates) and not contradicts

    def includes(self, at: Milliseconds) -> bool:
        """Return whether the target was listed at this time."""
        return (self.since is None or self.since <= at) and (
            self.until is None or self.until > at
        )

    def is_of_start_after(self, at: Milliseconds) -> bool:
        """Return whether the target is known to have started after this time."""
        return self.started_at is not None and self.started_at > at

    def may_be_listed_by(self, at: Milliseconds) -> bool:
        """Return whether the target may have been listed at this time or before.

        Its start tells, by clocks that differ, if it isn't known when it was listed.
        """
        if self.since is None or self.since <= at:
            return True
        tolerance = CLOCK_TOLERANCE + CALL_DELAY_TOLERANCE
        return not self.is_of_start_after(Milliseconds(at + tolerance))


@final
@dataclass(frozen=True, slots=True)
class HistoryGap:
    """A time in which targets may have come and gone without this VM seeing it.

    It has seen what was left of the changes at the end, up to the state ``position``.
    """

    began_at: Milliseconds
    ended_at: Milliseconds
    position: Position = START


@final
class TargetHistory:
    """The listings of targets since the horizon, seen here or reported by other VMs.

    ``lag`` is how far apart two VMs in touch see the same change. A VM may begin
    streams by a view that is ``max_view_age`` old.
    """

    def __init__(
        self,
        lag: Milliseconds = DEFAULT_LAG,
        max_view_age: Milliseconds = DEFAULT_KEY_LIFETIME,
    ) -> None:
        self._lag = lag
        self._max_view_age = max_view_age
        self._stream_time = MIN_STREAM_TIME
        self._open: dict[TargetId, Listing] = {}
        self._by_service: dict[ServiceId, list[Listing]] = {}
        self._closed: list[Listing] = []
        self._first_listed_at: Milliseconds | None = None
        self._first_position: Position | None = None
        self._horizon: Milliseconds | None = None
        self._gap: HistoryGap | None = None
        self._caught_up_at: Milliseconds | None = None
        self._has_older_views = False

    @property
    def lag(self) -> Milliseconds:
        """How far apart two VMs in touch see the same change."""
        return self._lag

    @property
    def max_view_age(self) -> Milliseconds:
        """By a view of up to which age a VM may begin streams."""
        return self._max_view_age

    @property
    def horizon(self) -> Milliseconds | None:
        """Since when the history is complete; ``None`` before the first listing."""
        if self._gap is None or self._horizon is None:
            return self._horizon
        return max(self._horizon, self._gap.ended_at)

    @property
    def window(self) -> Milliseconds:
        """How far back the targets must be known to find where any stream began."""
        return self.window_of(self._stream_time)

    @property
    def retention(self) -> Milliseconds:
        """For how long listings that have ended are kept: the longest window."""
        view_age = max(self._lag, self._max_view_age)
        return Milliseconds(self._stream_time + 2 * self._lag + view_age)

    def window_of(self, stream_age: Milliseconds) -> Milliseconds:
        """Return the same for a stream of at most this age.

        Its target was chosen among those listed the lag before, by a view that was up
        to ``max_view_age`` old then, at VMs that keep to this.
        """
        age = min(stream_age, self._stream_time)
        view_age = max(self._lag, self._max_view_age)
        if self._has_older_views:
            view_age += self._lag
        return Milliseconds(age + self._lag + view_age)

    def record_older_views(self, may_be: bool) -> None:
        """Record whether VMs of earlier builds may begin streams by older views."""
        self._has_older_views = may_be

    @property
    def stream_time(self) -> Milliseconds:
        """The longest time within which a stream may be taken up."""
        return self._stream_time

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Keep listings for as long as streams of these routes may be taken up."""
        self._stream_time = max(
            self._stream_time,
            *(
                route.timeout
                for route in catalogue.routes
                if route.repeatability is Repeatability.RESUMABLE
            ),
            MIN_STREAM_TIME,
        )

    def is_complete(
        self, now: Milliseconds, window: Milliseconds | None = None
    ) -> bool:
        """Return whether the history reaches back for a window, the whole if none."""
        needed = self.window if window is None else window
        return self.horizon is not None and self.horizon <= now - needed

    def has_just_started(self, now: Milliseconds) -> bool:
        """Return whether other VMs may not have seen yet all that this VM lists."""
        return self.settles_in(now) > 0

    def settles_in(self, now: Milliseconds) -> Milliseconds:
        """Return after which time other VMs in touch have seen what this VM lists."""
        if self._first_listed_at is None:
            return self._lag
        settles_at = self._first_listed_at + self._lag
        if self._gap is not None and self.is_behind(now):
            settles_at = max(settles_at, now + GAP_CLOSING_TIME)
        if self._caught_up_at is not None:
            settles_at = max(settles_at, self._caught_up_at + self._lag)
        return Milliseconds(max(0, settles_at - now))

    def is_behind(self, now: Milliseconds) -> bool:
        """Return whether other VMs may begin streams at targets seen here just now."""
        ends = (
            self._caught_up_at,
            None if self._gap is None else self._gap.ended_at,
        )
        return any(end is not None and now < end + self._lag for end in ends)

    def record_catch_up(self, now: Milliseconds) -> None:
        """Record that this VM has read changes which others may have read long before.

        Until the lag is over, the targets listed the lag before are those of its view
        of then, which was too old to begin streams by.
        """
        self._caught_up_at = now

    def record_gap(
        self, began_at: Milliseconds, now: Milliseconds, position: Position = START
    ) -> None:
        """Record that this VM did not see all that changed from ``began_at`` to now.

        It has read the latest entries up to ``position``. What another VM saw meanwhile
        closes the gap.
        """
        if self._gap is not None:
            began_at = min(began_at, self._gap.began_at)
        self._gap = HistoryGap(began_at, now, position)

    def record(
        self,
        target: TargetRecord,
        now: Milliseconds,
        position: Position = START,
        started_at: Milliseconds | None = None,
    ) -> None:
        """Record a target's entry of ``position`` in the platform's list.

        It started at ``started_at`` by its own word; later than now can't be right.
        It may have been listed for long only if it is read before the horizon. Once the
        horizon was moved back by what others know, they have not seen this target.
        """
        if target.state is not TargetState.READY:
            self.remove(target.id, now)
            return
        if self._first_listed_at is None:
            self._first_listed_at = now
            self._horizon = Milliseconds(now + LISTED_TOGETHER_WINDOW)
        listing = self._open.get(target.id)
        if listing is not None:
            if (listing.service, listing.software) == (target.service, target.software):
                return
            self.remove(target.id, now)
        is_before_horizon = self._horizon is not None and now < self._horizon
        since = None if is_before_horizon else now
        if started_at is not None and started_at > now + CLOCK_TOLERANCE:
            started_at = None
        listing = Listing(
            target.id,
            target.service,
            target.software,
            since,
            position=position,
            started_at=started_at,
        )
        self._open[target.id] = listing
        self._by_service.setdefault(target.service, []).append(listing)

    def record_position(self, position: Position) -> None:
        """Record up to which state of the store this VM has read.

        It knows of all that changed since the first one at which it listed targets.
        """
        if self._first_position is None and self._first_listed_at is not None:
            self._first_position = position

    def remove(self, target: TargetId, now: Milliseconds) -> None:
        """Record that a target drains or that its entry was removed."""
        listing = self._open.pop(target, None)
        if listing is not None:
            listing.until = now
            self._closed.append(listing)
            self._forget_closed(now)

    def listings(self, service: ServiceId, start: Milliseconds) -> list[Listing]:
        """Return the listings of a service's targets at some time after ``start``."""
        return [
            listing
            for listing in self._by_service.get(service, ())
            if listing.overlaps(start)
        ]

    def versions(self, service: ServiceId, now: Milliseconds) -> set[SoftwareVersion]:
        """Return the versions of a service's targets within the window."""
        start = Milliseconds(now - self.window)
        return {listing.software for listing in self.listings(service, start)}

    def age(self, now: Milliseconds) -> Milliseconds:
        """Return how far the history reaches back, at most for the whole window."""
        if self.horizon is None:
            return Milliseconds(0)
        return Milliseconds(min(max(0, now - self.horizon), self.retention))

    def rows(
        self, now: Milliseconds, max_rows: int = MAX_ROWS
    ) -> tuple[list[list[Any]], Milliseconds]:
        """Return what changed within the window, and how far back the rows reach.

        A row is ``[id, service, software, since age or None, until age or None]``.
        """
        age = self.age(now)
        changed = sorted(
            (
                (now - changed_at, listing)
                for listing in (*self._open.values(), *self._closed)
                if (changed_at := _last_change(listing)) is not None
                and now - changed_at <= age
            ),
            key=lambda pair: pair[0],
        )
        if len(changed) > max_rows:
            age = Milliseconds(changed[max_rows][0] - 1)
            changed = changed[:max_rows]
        return [_row(listing, now) for _, listing in changed], age

    def merge(
        self,
        rows: Iterable[Sequence[Any]],
        age: Milliseconds,
        now: Milliseconds,
        seen_up_to: Position,
    ) -> bool:
        """Add what another VM saw, if its history reaches back further than this one.

        It had seen the store's changes up to ``seen_up_to``. If those before the first
        list of this VM, or before the end of its gap, are not all among them, nobody
        here knows which targets left in between, and nothing is added. Returns whether
        anything was.
        Raises ``ValueError`` or ``TypeError`` if a row is malformed.
        """
        reported = [_listing(row, now) for row in rows]
        horizon = Milliseconds(now - age)
        if self.horizon is None or horizon >= self.horizon:
            return False
        if seen_up_to < self._unseen_until():
            return False
        self._limit_unseen(seen_up_to, now)
        for listing in reported:
            self._merge_listing(listing, now)
        is_closed = self._gap is not None and horizon <= self._gap.began_at
        self._horizon = min(horizon, self._horizon or horizon) if is_closed else horizon
        self._gap = None
        self._forget_closed(now)
        return True

    def targets_with_estimates(self, rows: Iterable[Sequence[Any]]) -> list[TargetId]:
        """Return the targets of ``rows`` whose begin there is the latest possible one.

        No VM has seen when they joined, so it is estimated by their starts.
        """
        return [
            row[0]
            for row in rows
            if row[0] in self._open and self._open[row[0]].since_at_latest is not None
        ]

    def mark_estimated(self, targets: Iterable[TargetId]) -> None:
        """Estimate when targets joined that another VM names as not seen to join."""
        for target in targets:
            listing = self._open.get(target)
            if listing is None or listing.since is None:
                continue
            registered_by = _registered_by(listing)
            listing.since_at_latest = listing.since
            if registered_by is not None:
                listing.since = min(listing.since, registered_by)

    def extend(
        self,
        changes: Iterable[TargetRecord | TargetGone],
        reach: Milliseconds,
        now: Milliseconds,
        seen_up_to: Position = START,
        earlier: Collection[TargetId] = (),
    ) -> None:
        """Add the changes that the platform remembers, in order.

        They are all of the last ``reach`` up to the position ``seen_up_to``, which this
        VM had read when it asked; with 0, others may be missing. Changes bear
        no time. So a target that left counts as listed until now, and one that changed
        as listed since now, or since it was registered after its start. ``earlier`` are
        the targets that had an entry before their first change. Those that started
        since have left in between: their entry of then is not remembered.
        """
        if self._horizon is None:
            return
        restarted = [
            target
            for target in earlier
            if (listing := self._open.get(target)) is not None
            and listing.is_of_start_after(Milliseconds(now - reach - CLOCK_TOLERANCE))
        ]
        left: dict[TargetId, TargetRecord | None] = {}
        listed: dict[TargetId, list[TargetRecord]] = {}
        uncertain = set(earlier)
        for change in changes:
            if isinstance(change, TargetRecord) and change.state is TargetState.READY:
                left.pop(change.id, None)
                listed.setdefault(change.id, []).append(change)
                continue
            uncertain.add(change.id)
            if isinstance(change, TargetRecord):
                left[change.id] = change
            else:
                left.setdefault(change.id, None)
        for target, record in left.items():
            self._add_departure(target, record, now)
        for target in restarted:
            self._add_departure(target, None, now)
        self._estimate_since(listed, uncertain, reach, now)
        if reach:
            self._limit_unseen(seen_up_to, now)
            self._horizon = Milliseconds(min(self._horizon, now - reach))

    def _estimate_since(
        self,
        listed: Mapping[TargetId, Sequence[TargetRecord]],
        uncertain: Collection[TargetId],
        reach: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Estimate since when targets are listed that changed in the last ``reach``.

        ``listed`` has their entries by target, in the order in which they joined. One
        that started meanwhile was listed soon after, unless it is among those that are
        ``uncertain`` or one that started later was listed before. Others count as
        listed since now.
        """
        latest_start: Milliseconds | None = None
        for target, records in listed.items():
            listing = self._open.get(target)
            if listing is None:
                continue
            starts = {record.born_ms for record in records}
            for record in records[:-1]:
                if record.software != listing.software:
                    self._add_departure(target, record, now)
            registered_by = _registered_by(listing)
            is_known = (
                registered_by is not None
                and len(starts) == 1
                and target not in uncertain
                and listing.is_of_start_after(Milliseconds(now - reach))
                and (latest_start is None or latest_start <= registered_by)
            )
            if listing.since is None:
                listing.since = min(now, registered_by) if is_known else now
                listing.since_at_latest = now
            if listing.started_at is not None:
                latest_start = max(latest_start or 0, listing.started_at)

    def departed_rows(self, now: Milliseconds) -> list[list[str | int]]:
        """Return ``[id, service, software, age]`` of each target that has left."""
        return [
            [listing.target, listing.service, listing.software, now - listing.until]
            for listing in self._closed
            if listing.until is not None
        ]

    def _unseen_until(self) -> Position:
        """Return up to which state targets may have left that this VM has not seen."""
        return max(
            START if self._first_position is None else self._first_position,
            START if self._gap is None else self._gap.position,
        )

    def _limit_unseen(self, seen_up_to: Position, now: Milliseconds) -> None:
        """Count targets that the source of a history had not seen as listed lately.

        That is called before the horizon moves back: they were listed before the
        present one, but the source can't tell whether they were before its own.
        """
        for listing in self._open.values():
            if listing.since is None and listing.position > seen_up_to:
                listing.since = (
                    now if self._horizon is None else min(now, self._horizon)
                )
                listing.started_at = None

    def _add_departure(
        self, target: TargetId, record: TargetRecord | None, now: Milliseconds
    ) -> None:
        """Add a target that left before the first list.

        If its last entry is not remembered, it may have been of any service.
        """
        if record is not None:
            added = [Listing(target, record.service, record.software, None, now)]
        else:
            added = [
                Listing(target, service, UNKNOWN_SOFTWARE, None, now)
                for service in self._by_service
            ]
        for listing in added:
            self._closed.append(listing)
            self._by_service.setdefault(listing.service, []).append(listing)

    def _merge_listing(self, reported: Listing, now: Milliseconds) -> None:
        own = self._open.get(reported.target)
        if reported.until is None:
            if own is not None and own.software == reported.software:
                is_earlier = own.since is None or own.since > (
                    reported.since or own.since
                )
                is_estimate = own.since_at_latest is not None
                if is_earlier or (is_estimate and reported.since is not None):
                    own.since, own.since_at_latest = reported.since, None
                return
            # It left before this VM's first list, or is not listed here yet.
            reported.until = now
        is_known = any(
            (listing.target, listing.service, listing.software)
            == (reported.target, reported.service, reported.software)
            and abs((listing.until or now) - reported.until) <= SAME_LISTING_TOLERANCE
            for listing in self._closed
        )
        if not is_known:
            self._closed.append(reported)
            self._by_service.setdefault(reported.service, []).append(reported)

    def _forget_closed(self, now: Milliseconds) -> None:
        """Drop listings that ended long ago, and the oldest if too many."""
        start = Milliseconds(now - self.retention)
        self._closed.sort(key=lambda listing: listing.until or now)
        excess = len(self._closed) - MAX_CLOSED_LISTINGS
        if excess > 0 and self._horizon is not None:
            self._horizon = max(self._horizon, self._closed[excess - 1].until or now)
            self._closed = self._closed[excess:]
        self._closed = [each for each in self._closed if each.overlaps(start)]
        kept = {id(listing) for listing in (*self._closed, *self._open.values())}
        self._by_service = {
            service: [each for each in listings if id(each) in kept]
            for service, listings in self._by_service.items()
        }


def known_reach(
    forgotten: Iterable[TargetRecord],
    history: Milliseconds,
    unix_now: Milliseconds,
    ends_with_removal: bool = False,
) -> Milliseconds:
    """Return how far back the platform is known to remember changes; 0 if it isn't.

    It keeps changes for the time ``history``, but may discard them sooner. Then it has
    ``forgotten`` changes of targets that are younger: those of targets that started
    since then or that drain. An entry that was removed says nothing of its age. So if
    the last forgotten change ``ends_with_removal`` of one, it may be younger, too.
    """
    is_discarded = ends_with_removal or any(
        record.state is not TargetState.READY
        or unix_now - record.born_ms < history + CLOCK_TOLERANCE
        for record in forgotten
    )
    return Milliseconds(0) if is_discarded else history


def _registered_by(listing: Listing) -> Milliseconds | None:
    """Return by when a target was listed that reached the platform at its start."""
    if listing.started_at is None:
        return None
    return Milliseconds(listing.started_at + REGISTRATION_TIME + CLOCK_TOLERANCE)


def _last_change(listing: Listing) -> Milliseconds | None:
    return listing.since if listing.until is None else listing.until


def _row(listing: Listing, now: Milliseconds) -> list[Any]:
    since = (
        listing.since if listing.since_at_latest is None else listing.since_at_latest
    )
    return [
        listing.target,
        listing.service,
        listing.software,
        None if since is None else now - since,
        None if listing.until is None else now - listing.until,
    ]


def _listing(row: Sequence[Any], now: Milliseconds) -> Listing:
    target, service, software, since_age, until_age = row
    return Listing(
        TargetId(str(target)),
        ServiceId(str(service)),
        SoftwareVersion(str(software)),
        None if since_age is None else Milliseconds(now - int(since_age)),
        None if until_age is None else Milliseconds(now - int(until_age)),
    )
