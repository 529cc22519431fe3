"""Remembers at which software version streams began, and reports some to other VMs.

A VM reports only streams whose version others can't compute, as the targets changed
since or are not known.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from itertools import chain
from typing import Any
from typing import NewType
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._parsing import parse_whole
from yuccafold.edge._model import PartId
from yuccafold.edge._model import RouteName
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._target_history import TargetHistory
from yuccafold.edge.reports import ProtocolTopic
from yuccafold.edge.reports import VmReport

StreamKey = NewType("StreamKey", str)
"""Identifies a stream among VMs: a digest of the call that brought its first event."""

STREAM_RETENTION = Milliseconds(30_000)
"""How long the version of a stream is remembered after its last call: twice the longest
timeout of a route."""

MAX_STREAMS = 8_192
"""Streams that are remembered; a VM has a few dozen of its own."""

MAX_ROWS = 200
"""Streams in one message between VMs, of some 20 bytes each."""

NOTHING_REPORTED = 0
KEY_BYTES = 5


@final
@dataclass(frozen=True, slots=True)
class StreamBegin:
    """Where a stream of this VM began, and what decides that.

    The version is chosen by ``key``, the service by ``route`` and ``first``, the call
    that brought the first event.
    """

    service: ServiceId
    key: PartId
    version: SoftwareVersion
    route: RouteName
    first: CallId


@final
@dataclass(slots=True)
class ReportedStream:
    """The version and service of a stream that VMs report to each other.

    ``position`` orders the reports; ``reported_by`` is the VM that it came from. VMs of
    earlier builds name no ``service``.
    """

    version: SoftwareVersion
    service: ServiceId | None
    at: Milliseconds
    position: int
    reported_by: str


def stream_key(call: CallId) -> StreamKey:
    """Return the key of the stream that ``call`` began."""
    return StreamKey(blake2b(call.encode(), digest_size=KEY_BYTES).hexdigest())


@final
class StreamVersions:
    """The streams of this VM, and those that other VMs reported.

    ``is_evident`` returns whether any VM can compute the version of a stream by itself.
    """

    def __init__(
        self,
        epoch: str = "",
        is_evident: Callable[[StreamBegin, Milliseconds], bool] = lambda *_: True,
    ) -> None:
        self._epoch = epoch
        self._is_evident = is_evident
        self._own: dict[StreamKey, tuple[StreamBegin, Milliseconds]] = {}
        self._reported: dict[StreamKey, ReportedStream] = {}
        self._position = NOTHING_REPORTED
        self._running: set[StreamKey] = set()
        self._reports_since: Milliseconds | None = None
        self._chosen_otherwise_until: Milliseconds | None = None

    @property
    def epoch(self) -> str:
        """Identifies this start of the VM, with which positions begin anew."""
        return self._epoch

    def reports_age(self, now: Milliseconds) -> Milliseconds:
        """Return how far back the reports reach that this VM has seen."""
        if self._reports_since is None:
            self._reports_since = now
        return Milliseconds(now - self._reports_since)

    def record_reports_age(self, age: Milliseconds, now: Milliseconds) -> None:
        """Record how far back the reports of another VM reach, which sends them all."""
        self._reports_since = Milliseconds(now - max(age, self.reports_age(now)))

    def record_builds(self, all_choose_alike: bool, now: Milliseconds) -> None:
        """Record whether there are VMs that don't go by the starts of targets."""
        if not all_choose_alike:
            self._chosen_otherwise_until = now

    def may_be_chosen_otherwise(self, since: Milliseconds) -> bool:
        """Return whether there were such VMs after ``since``."""
        until = self._chosen_otherwise_until
        return until is not None and until >= since

    def begin(self, key: StreamKey, stream: StreamBegin, now: Milliseconds) -> bool:
        """Record a stream's first event; return whether it is reported to other VMs."""
        self._own[key] = (stream, now)
        self._running.add(key)
        if self._is_evident(stream, now):
            return False
        self._report(key, stream.version, stream.service, now, reported_by="")
        return True

    def end(self, key: StreamKey, is_whole: bool, now: Milliseconds) -> None:
        """Record the end of a stream's call; a whole stream is not taken up."""
        self._running.discard(key)
        if key not in self._own:
            return
        if is_whole:
            del self._own[key]
        else:
            self._own[key] = (self._own[key][0], now)

    def own_version(self, key: StreamKey) -> SoftwareVersion | None:
        """Return the version of a stream that this VM relayed."""
        return self._own[key][0].version if key in self._own else None

    def reported_version(self, key: StreamKey) -> SoftwareVersion | None:
        """Return the version of a stream that another VM reported."""
        return self._reported[key].version if key in self._reported else None

    def service(self, key: StreamKey) -> ServiceId | None:
        """Return the service of a stream that this VM relayed or that was reported."""
        if key in self._own:
            return self._own[key][0].service
        return self._reported[key].service if key in self._reported else None

    def services(self, rows: Mapping[str, Iterable[str]]) -> dict[str, list[str]]:
        """Return the keys of streams in ``rows`` by service, if that is known."""
        found: dict[str, list[str]] = {}
        for text in chain.from_iterable(rows.values()):
            key = StreamKey(text.partition(":")[0])
            if (service := self._reported[key].service) is not None:
                found.setdefault(service, []).append(key)
        return found

    def changes(
        self, after: int, reader: str, now: Milliseconds
    ) -> tuple[dict[str, list[str]], int]:
        """Return what ``reader`` lacks, and the position that it reaches.

        The rows are ``KEY:AGE`` by version.
        """
        self._expire(now)
        self._report_moved(now)
        rows: dict[str, list[str]] = {}
        reached = self._position
        lacking = sorted(
            (stream.position, key)
            for key, stream in self._reported.items()
            if stream.position > after and stream.reported_by != reader
        )
        if len(lacking) > MAX_ROWS:
            lacking = lacking[:MAX_ROWS]
            reached = lacking[-1][0]
        for _, key in lacking:
            stream = self._reported[key]
            rows.setdefault(stream.version, []).append(f"{key}:{now - stream.at}")
        return rows, reached

    def merge(
        self, rows: Any, reported_by: str, now: Milliseconds, services: Any = ()
    ) -> None:
        """Add rows of another VM; raises ``ValueError`` if they are malformed.

        ``services`` are the keys of their streams by service.
        """
        service_of = {
            StreamKey(str(key)): ServiceId(str(service))
            for service, keys in dict(services).items()
            for key in keys
        }
        for version, texts in dict(rows).items():
            for text in texts:
                name, _, age = str(text).partition(":")
                key, at = StreamKey(name), Milliseconds(now - parse_whole(age))
                self._report(
                    key, SoftwareVersion(version), service_of.get(key), at, reported_by
                )

    def _report_moved(self, now: Milliseconds) -> None:
        """Report own streams whose version others can no longer compute."""
        for key, (stream, at) in self._own.items():
            if key not in self._reported and not self._is_evident(stream, now):
                self._report(key, stream.version, stream.service, at, reported_by="")

    def _report(
        self,
        key: StreamKey,
        version: SoftwareVersion,
        service: ServiceId | None,
        at: Milliseconds,
        reported_by: str,
    ) -> None:
        if key in self._reported:
            return
        self._position += 1
        self._reported[key] = ReportedStream(
            version, service, at, self._position, reported_by
        )

    def _expire(self, now: Milliseconds) -> None:
        expired = [
            key
            for key, (_, at) in self._own.items()
            if key not in self._running and now - at > STREAM_RETENTION
        ]
        for key in [*expired, *list(self._own)[: len(self._own) - MAX_STREAMS]]:
            self._own.pop(key, None)
        expired = [
            key
            for key, stream in self._reported.items()
            if now - stream.at > STREAM_RETENTION
        ]
        for key in [
            *expired,
            *list(self._reported)[: len(self._reported) - MAX_STREAMS],
        ]:
            self._reported.pop(key, None)


@final
class VersionChoiceTopic(ProtocolTopic):
    """The number of VMs that go by the starts of targets to choose versions."""

    name = "protocol_3"

    def __init__(self, streams: StreamVersions) -> None:
        self._streams = streams

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record whether all VMs do."""
        self._streams.record_builds(self.is_spoken_by_all(total), now)


@final
class ViewAgeTopic(ProtocolTopic):
    """The number of VMs that begin no streams by views older than others reckon with.

    While there are others, and as long as their streams may be taken up, the targets
    of a longer time may have begun a stream.
    """

    name = "protocol_4"

    def __init__(self, history: TargetHistory) -> None:
        self._history = history
        self._older_views_until: Milliseconds | None = None

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record whether all VMs keep to the age."""
        if not self.is_spoken_by_all(total):
            self._older_views_until = Milliseconds(now + self._history.retention)
        until = self._older_views_until
        self._history.record_older_views(until is not None and now < until)
