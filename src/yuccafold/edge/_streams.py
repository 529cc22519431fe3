"""Finds out where a stream that a caller takes up may go on.

That is at the service and the software version that began it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._log import log_event
from yuccafold.edge._attempts import RETRY_AGE
from yuccafold.edge._attempts import RETRY_STREAM
from yuccafold.edge._call import Call
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import Route
from yuccafold.edge._model import RouteName
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._positions import START
from yuccafold.edge._positions import Position
from yuccafold.edge._stream_versions import StreamBegin
from yuccafold.edge._stream_versions import StreamVersions
from yuccafold.edge._stream_versions import stream_key
from yuccafold.edge._target_history import Listing
from yuccafold.edge._version_choice import ANY_VERSION
from yuccafold.edge._version_choice import NO_VERSION
from yuccafold.edge._version_choice import VersionChoice
from yuccafold.edge._version_choice import choice_key
from yuccafold.edge._version_choice import choose_version
from yuccafold.edge._version_choice import latest_start
from yuccafold.edge._version_choice import possible_listings
from yuccafold.edge._version_choice import possible_versions
from yuccafold.edge._view import PlatformView
from yuccafold.edge.split import RouteServices
from yuccafold.edge.split import choose_service


class OriginSource(Enum):
    """Where a VM has the version from at which a stream began."""

    NEW = "new"
    """It has not begun, so any version will do."""
    OWN = "own"
    """This VM relayed its first event."""
    REPORTED = "told"
    """Another VM did, and reported it."""
    EVIDENT = "evident"
    """It can have begun at that version only, by the targets of the time."""
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The version at which a call's stream must go on, ``None`` if any will do."""

    version: SoftwareVersion | None
    source: OriginSource


REPORT_TIME = Milliseconds(2_000)
"""Within this time all VMs have received a report on a stream."""

MAX_LOGGED_LISTINGS = 4
"""Listings that a log line names."""

NEW_STREAM = StreamOrigin(None, OriginSource.NEW)
UNKNOWN_STREAM = StreamOrigin(None, OriginSource.UNKNOWN)


@final
class Streams:
    """The origins of the streams that calls take up, by what this VM knows."""

    def __init__(self, view: PlatformView, epoch: str) -> None:
        self._view = view
        self._history = view.history
        self._versions = StreamVersions(epoch, self._is_evident)
        self._caller_times: dict[RouteName, Milliseconds] = {}
        self._shortest_timeouts: dict[RouteName, Milliseconds] = {}
        self._route_services = RouteServices()

    @property
    def versions(self) -> StreamVersions:
        """The streams that this VM knows, for the exchange with others."""
        return self._versions

    @property
    def route_services(self) -> RouteServices:
        """The services of routes, now and until lately."""
        return self._route_services

    def apply_catalogue(
        self, catalogue: Catalogue, now: Milliseconds, position: Position = START
    ) -> None:
        """Apply the services and timeouts of routes that are in force from now on.

        They were written at ``position``.
        """
        self._shortest_timeouts |= {
            route.name: min(
                route.timeout, self._shortest_timeouts.get(route.name, route.timeout)
            )
            for route in catalogue.routes
        }
        retention = self._history.retention
        self._route_services.apply(catalogue, now, retention, position)

    def choose_service(self, head: CallHead, route: Route) -> ServiceId:
        """Return the service of a call: if it takes up a stream, that one's.

        A call that doesn't name the first one gets a service like a new one; its
        stream is of unknown origin if the route has several.
        """
        first = head.resumes if head.takes_up else head.id
        if route.repeatability is Repeatability.RESUMABLE and head.takes_up and first:
            known = self._versions.service(stream_key(first))
            if known in {service for service, _ in route.services}:
                return known
        return choose_service(route.services, first or head.id)

    def choose_version(self, call: Call, now: Milliseconds) -> VersionChoice:
        """Return the versions that ``call`` may begin at."""
        if call.repeatability is not Repeatability.RESUMABLE or call.head.takes_up:
            return ANY_VERSION
        if self.needs_later_view(call, now):
            return NO_VERSION
        started_by = self._latest_start(call, call.admitted.route.timeout)
        return choose_version(
            self._history, call.service, choice_key(call.head), now, started_by
        )

    def needs_later_view(self, call: Call, now: Milliseconds) -> bool:
        """Return whether ``call`` may not begin here by a view as old as this VM's.

        VMs that are in touch have forgotten by then which targets it lists, so they
        would find another version or another service for the stream.
        """
        may_be_taken_up = call.repeatability is Repeatability.RESUMABLE
        is_new = may_be_taken_up and not call.head.takes_up
        return is_new and self._view.may_lack_changes(now)

    def may_begin_in(self, call: Call, now: Milliseconds) -> Milliseconds:
        """Return after which time ``call`` may begin here; 0 if it may now."""
        choice = self.choose_version(call, now)
        return Milliseconds(0) if choice.may_begin else self._history.settles_in(now)

    def origin(self, call: Call, now: Milliseconds) -> StreamOrigin:
        """Return where the stream of ``call`` may go on, without asking other VMs."""
        if call.repeatability is not Repeatability.RESUMABLE:
            return NEW_STREAM
        if not call.head.takes_up:
            self._record_caller_time(call)
            return NEW_STREAM
        started_by = self._latest_origin_start(call, now)
        knows_age = self._knows_age(call)
        possible = self._possible_listings(call, now, started_by, knows_age)
        origin = self._find_origin(call, now, possible)
        log_event(
            "stream_taken_up",
            call=call.head.id,
            resumes=call.head.resumes,
            resume_after=call.head.resume_after,
            service=call.service,
            software=origin.version,
            known_by=origin.source.value,
            history_ms=self._history.age(now),
            started_ago_ms=None if started_by is None else now - started_by,
            possible=_shown_listings(possible, now),
            view_age_ms=self._view.age(now),
        )
        return origin

    def origin_known_in(self, call: Call, now: Milliseconds) -> Milliseconds | None:
        """Return after which time it may be known where a stream began.

        ``None`` if it won't be.
        """
        if self._known_service(call) not in (None, call.service):
            # The route has left the service of the stream.
            return None
        if self._may_be_reported(call, now):
            return RETRY_STREAM
        if self._knows_age(call) or not self._is_at_its_service(call, now):
            return None
        started_by = self._latest_origin_start(call, now)
        possible = self._possible_listings(call, now, started_by, knows_age=True)
        versions = {listing.software for listing in possible or ()}
        return RETRY_AGE if len(versions) == 1 else None

    def begin(self, call: Call, target: TargetRecord, now: Milliseconds) -> bool:
        """Record that the caller gets the first event of a stream from ``target``.

        Returns whether it should be reported to other VMs at once. While no VM knows
        the past, all streams are reported, and wait for the next regular report.
        """
        first = _first_call(call)
        if call.repeatability is not Repeatability.RESUMABLE or first is None:
            return False
        stream = StreamBegin(
            call.service,
            choice_key(call.head),
            target.software,
            call.admitted.route.name,
            first,
        )
        is_reported = self._versions.begin(stream_key(first), stream, now)
        history = self._history
        return is_reported and history.is_complete(now, history.retention)

    def end(self, call: Call, is_whole: bool, now: Milliseconds) -> None:
        """Record the end of a call."""
        key = _first_call(call)
        if call.repeatability is Repeatability.RESUMABLE and key is not None:
            self._versions.end(stream_key(key), is_whole, now)

    def _may_be_reported(self, call: Call, now: Milliseconds) -> bool:
        """Return whether another VM may still report where a stream began.

        VMs that all started recently know of no stream that began before. What began
        since is reported within ``REPORT_TIME``, also to a VM that has just started.
        The age of the stream follows from the time that callers of its route have, or
        from the timeout of the route before the first one came.
        """
        route = call.admitted.route
        age = self._caller_times.get(route.name, route.timeout) - call.head.deadline
        is_recent = age < REPORT_TIME or self._history.has_just_started(now)
        return is_recent and age <= self._versions.reports_age(now)

    def _find_origin(
        self, call: Call, now: Milliseconds, possible: Sequence[Listing] | None
    ) -> StreamOrigin:
        """Return where a stream may go on that one of ``possible`` decided on."""
        if not self._is_at_its_service(call, now):
            return UNKNOWN_STREAM
        if call.head.resumes is not None:
            key = stream_key(call.head.resumes)
            for version, source in (
                (self._versions.own_version(key), OriginSource.OWN),
                (self._versions.reported_version(key), OriginSource.REPORTED),
            ):
                if version is not None:
                    return StreamOrigin(version, source)
        age = self._view.age(now)
        versions = {listing.software for listing in possible or ()}
        is_fresh = age is not None and age <= self._history.lag
        if len(versions) == 1 and is_fresh:
            return StreamOrigin(versions.pop(), OriginSource.EVIDENT)
        return UNKNOWN_STREAM

    def _possible_listings(
        self,
        call: Call,
        now: Milliseconds,
        started_by: Milliseconds | None,
        knows_age: bool,
    ) -> list[Listing] | None:
        return possible_listings(
            self._history,
            call.service,
            choice_key(call.head),
            now,
            self._max_stream_age(call),
            started_by,
            knows_age,
        )

    def _known_service(self, call: Call) -> ServiceId | None:
        """Return the service of the stream that ``call`` takes up, if it is known."""
        first = call.head.resumes
        return None if first is None else self._versions.service(stream_key(first))

    def _is_at_its_service(self, call: Call, now: Milliseconds) -> bool:
        """Return whether ``call`` goes to the service that began its stream."""
        known = self._known_service(call)
        if known is not None:
            return known == call.service
        window = self._history.window_of(self._max_stream_age(call))
        return self._route_services.is_evident(
            call.admitted.route.name,
            call.head.resumes,
            call.service,
            Milliseconds(now - window),
        )

    def _record_caller_time(self, call: Call) -> None:
        name = call.admitted.route.name
        longest = max(self._caller_times.get(name, 0), call.head.deadline)
        self._caller_times[name] = Milliseconds(longest)

    def _max_stream_age(self, call: Call) -> Milliseconds:
        """Return how old the stream that ``call`` takes up may be.

        Callers of a route give all their calls the same time, and what is left of it
        now is known.
        """
        route = call.admitted.route
        longest = max(route.timeout, self._caller_times.get(route.name, 0))
        if not 0 < call.head.deadline <= longest:
            return self._history.stream_time
        return Milliseconds(longest - call.head.deadline)

    def _knows_age(self, call: Call) -> bool:
        """Return whether this VM has seen for how long callers of the route wait.

        Some wait for longer than its timeout, so that their streams may be older.
        """
        return self._caller_times.get(call.admitted.route.name, 0) > 0

    def _latest_origin_start(
        self, call: Call, now: Milliseconds
    ) -> Milliseconds | None:
        """Return by when a target had to start for the stream to have begun there.

        ``None`` if the caller doesn't say how long it waits, or if VMs of earlier
        builds, which don't go by that, may have begun the stream.
        """
        window = self._history.window_of(self._max_stream_age(call))
        if not call.head.deadline or self._versions.may_be_chosen_otherwise(
            Milliseconds(now - window)
        ):
            return None
        route = call.admitted.route
        timeout = self._shortest_timeouts.get(route.name, route.timeout)
        return self._latest_start(call, timeout)

    def _latest_start(self, call: Call, timeout: Milliseconds) -> Milliseconds:
        """Return by when a target has to start for the caller's streams to begin there.

        The end of the caller's wait is the same in all of its calls.
        """
        waits_for = call.head.deadline or timeout
        return latest_start(
            Milliseconds(call.arrived_at + waits_for), timeout, self._history.lag
        )

    def _is_evident(self, stream: StreamBegin, now: Milliseconds) -> bool:
        possible = possible_versions(self._history, stream.service, stream.key, now)
        return possible == {stream.version} and self._route_services.is_evident(
            stream.route,
            stream.first,
            stream.service,
            Milliseconds(now - self._history.window),
        )


def _shown_listings(
    listings: Sequence[Listing] | None, now: Milliseconds
) -> str | None:
    """Return listings for a log line: target, since when it was listed, its start.

    Both in ms before now, ``-`` if that is not known.
    """
    if listings is None:
        return None
    return ",".join(
        f"{each.target}:{_ago(each.since, now)}:{_ago(each.started_at, now)}"
        for each in listings[:MAX_LOGGED_LISTINGS]
    )


def _ago(at: Milliseconds | None, now: Milliseconds) -> str:
    return "-" if at is None else str(now - at)


def _first_call(call: Call) -> CallId | None:
    """Return the call that brought a stream's first event; ``None`` if not named."""
    return call.head.resumes if call.head.takes_up else call.head.id
