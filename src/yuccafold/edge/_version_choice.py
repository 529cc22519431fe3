"""The software version that a new stream begins at, chosen alike by all VMs.

What targets of two versions write doesn't fit together, so a stream that broke off goes
on at the version that began it. VMs don't report each stream to each other. A stream
begins at the version of the target that ranks first for the prompt, where its calls go
anyway, at whichever target of that version has room. Any VM can compute that later.

VMs see a change of the targets at different times, up to the lag. So a choice goes by
the targets that were listed the lag before, which by then all VMs in touch have seen.

A VM that starts with all others knows which targets joined lately, but not when, nor
when a stream began. It knows when targets started, and when the caller stops waiting,
which is the same in all calls for a stream. So a choice prefers targets that started
before a time that follows from the caller's. Those that started later can be left out
when the stream is taken up.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import PartId
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._placement import rank_key
from yuccafold.edge._target_history import Listing
from yuccafold.edge._target_history import TargetHistory


@final
@dataclass(frozen=True, slots=True)
class VersionChoice:
    """The version that a stream must begin at, ``None`` if any will do.

    With ``may_begin`` false, it can't begin at this VM for now.
    """

    version: SoftwareVersion | None = None
    may_begin: bool = True

    def allows(self, version: SoftwareVersion) -> bool:
        """Return whether the stream may begin at ``version``."""
        return self.may_begin and self.version in (None, version)


ANY_VERSION = VersionChoice()
NO_VERSION = VersionChoice(may_begin=False)


def choice_key(head: CallHead) -> PartId:
    """Return what decides the version of a stream: the same when it is taken up."""
    if head.prompt:
        return (head.shared_parts or head.prompt)[-1].id
    return PartId(head.resumes or head.id)


def latest_start(
    caller_waits_until: Milliseconds, timeout: Milliseconds, lag: Milliseconds
) -> Milliseconds:
    """Return by when a target has to have started for a caller's stream to begin there.

    A caller that gives its first call the route's whole ``timeout``, as most do, finds
    all targets that started the lag before.
    """
    return Milliseconds(caller_waits_until - timeout - lag)


def choose_version(
    history: TargetHistory,
    service: ServiceId,
    key: PartId,
    now: Milliseconds,
    started_by: Milliseconds | None = None,
) -> VersionChoice:
    """Return where a new stream with this key may begin.

    Targets that started after ``started_by`` are used only if no version has others.

    A VM that just started can't tell which targets other VMs have not seen yet. Once it
    knows that others know the past, it begins no streams where there are several
    versions. Nor does one that has just caught up with the others. Until then it takes
    the targets that it lists for those that were listed the lag before: others, which
    may all have started or not, find the version again by the same rule.
    """
    listings = history.listings(service, Milliseconds(now - history.lag))
    if len({listing.software for listing in listings}) <= 1:
        return ANY_VERSION
    if history.is_behind(now):
        return NO_VERSION
    if history.has_just_started(now):
        if history.is_complete(now, history.retention):
            return NO_VERSION
        seen_by_all = []
    else:
        seen_by_all = [
            listing
            for listing in listings
            if listing.includes(Milliseconds(now - history.lag))
        ]
    usable = seen_by_all or [each for each in listings if each.until is None]
    if not usable:
        return ANY_VERSION
    preferred = _preferred(usable, started_by)
    return VersionChoice(_ranked(key, preferred or usable)[0].software)


def possible_versions(
    history: TargetHistory,
    service: ServiceId,
    key: PartId,
    now: Milliseconds,
    stream_age: Milliseconds | None = None,
    started_by: Milliseconds | None = None,
    knows_age: bool = False,
) -> set[SoftwareVersion] | None:
    """Return the versions at which a stream with this key may have begun.

    Returns ``None`` if this VM doesn't know all targets of that time.
    """
    listings = possible_listings(
        history, service, key, now, stream_age, started_by, knows_age
    )
    return None if listings is None else {each.software for each in listings}


def possible_listings(
    history: TargetHistory,
    service: ServiceId,
    key: PartId,
    now: Milliseconds,
    stream_age: Milliseconds | None = None,
    started_by: Milliseconds | None = None,
    knows_age: bool = False,
) -> list[Listing] | None:
    """Return the listings that may have decided at which version a stream began.

    It is at most ``stream_age`` old, if that is given, and was begun by VMs that prefer
    targets which started by ``started_by``. Returns ``None`` if this VM doesn't know
    all targets of that time.

    Without ``knows_age``, the stream may be older, as its caller may wait for longer
    than usual. Then estimates of when targets were listed tell nothing.
    """
    window = history.window if stream_age is None else history.window_of(stream_age)
    if not history.is_complete(now, window):
        return None
    start = Milliseconds(now - window)
    listings = [
        listing
        for listing in history.listings(service, start)
        if started_by is None or listing.may_be_listed_by(started_by)
    ]
    if not any(listing.covers(start, knows_age) for listing in listings):
        return None
    if len({listing.software for listing in listings}) == 1:
        return listings
    possible: list[Listing] = []
    for listing in _ranked(key, listings):
        possible.append(listing)
        if listing.can_have_covered(start, knows_age):
            break
    return possible


def _preferred(
    listings: Sequence[Listing], started_by: Milliseconds | None
) -> list[Listing]:
    """Return those of targets that started in time, of versions with targets left.

    A target that has left is among them if others of its version have not.
    """
    present = {listing.software for listing in listings if listing.until is None}
    return [
        listing
        for listing in listings
        if listing.software in present
        and (started_by is None or not listing.is_of_start_after(started_by))
    ]


def _ranked(key: PartId, listings: Sequence[Listing]) -> list[Listing]:
    return sorted(listings, key=lambda listing: rank_key(key, listing.target))
