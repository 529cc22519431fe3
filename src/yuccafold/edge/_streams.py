"""Finds out at which software version a stream that a caller takes up may go on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import ZoneId
from yuccafold._log import log_event
from yuccafold.edge._call import Call
from yuccafold.edge._model import PartId
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState
from yuccafold.edge._stream_versions import DepartedTarget
from yuccafold.edge._stream_versions import StreamBegin
from yuccafold.edge._stream_versions import StreamVersions
from yuccafold.edge._stream_versions import stream_key
from yuccafold.edge._version_choice import VERSION_WINDOW
from yuccafold.edge._version_choice import choice_key
from yuccafold.edge._version_choice import possible_versions
from yuccafold.edge._version_choice import preferred_version
from yuccafold.edge._view import KnownTarget
from yuccafold.edge._view import PlatformView
from yuccafold.edge._view import software_versions


class Knowledge(Enum):
    """How a VM knows at which version a stream began."""

    NEW = "new"
    """It has not begun, so any version will do."""
    OWN = "own"
    """This VM relayed its first event."""
    TOLD = "told"
    """Another VM did, and told of it."""
    EVIDENT = "evident"
    """All streams with its prompt have begun at that version lately."""
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The version at which a call's stream must go on, ``None`` if any will do."""

    version: SoftwareVersion | None
    knowledge: Knowledge


NEW_STREAM = StreamOrigin(None, Knowledge.NEW)


@final
class Streams:
    """The origins of the streams that calls take up, by what this VM knows."""

    def __init__(self, view: PlatformView, epoch: str, has_peers: bool = False) -> None:
        self._view = view
        self._has_peers = has_peers
        self._first_asked_at: Milliseconds | None = None
        self._versions = StreamVersions(epoch, self._is_evident, self._list_departed)

    @property
    def versions(self) -> StreamVersions:
        """The streams that this VM knows, for the exchange with others."""
        return self._versions

    def preferred_version(
        self, call: Call, now: Milliseconds
    ) -> SoftwareVersion | None:
        """Return the version that ``call`` should begin at, ``None`` if any will do."""
        if call.repeatability is not Repeatability.RESUMABLE:
            return None
        ready = self._view.ready(call.service, now)
        if not ready or not self._view.is_mixed(call.service):
            return None
        return preferred_version(choice_key(call.head), ready)

    def origin(self, call: Call, now: Milliseconds) -> StreamOrigin:
        """Return where the stream of ``call`` may go on, without asking other VMs."""
        if call.repeatability is not Repeatability.RESUMABLE or not call.head.takes_up:
            return NEW_STREAM
        origin = self._find_origin(call, now)
        log_event(
            "stream_taken_up",
            call=call.head.id,
            resumes=call.head.resumes,
            resume_after=call.head.resume_after,
            software=origin.version,
            known_by=origin.knowledge.value,
        )
        return origin

    def begin(self, call: Call, target: TargetRecord, now: Milliseconds) -> bool:
        """Record that the caller gets the first event of a stream from ``target``.

        Returns whether other VMs must be told of it.
        """
        key = _first_call(call)
        if call.repeatability is not Repeatability.RESUMABLE or key is None:
            return False
        stream = StreamBegin(call.service, choice_key(call.head), target.software)
        return self._versions.begin(stream_key(key), stream, now)

    def end(self, call: Call, is_whole: bool, now: Milliseconds) -> None:
        """Record the end of a call."""
        key = _first_call(call)
        if call.repeatability is Repeatability.RESUMABLE and key is not None:
            self._versions.end(stream_key(key), is_whole, now)

    def _find_origin(self, call: Call, now: Milliseconds) -> StreamOrigin:
        if call.head.resumes is not None:
            key = stream_key(call.head.resumes)
            for version, knowledge in (
                (self._versions.own_version(key), Knowledge.OWN),
                (self._versions.told_version(key), Knowledge.TOLD),
            ):
                if version is not None:
                    return StreamOrigin(version, knowledge)
        possible = self._possible_versions(call.service, choice_key(call.head), now)
        if len(possible) == 1 and self._knows_past(now):
            return StreamOrigin(possible.pop(), Knowledge.EVIDENT)
        return StreamOrigin(None, Knowledge.UNKNOWN)

    def _is_evident(self, stream: StreamBegin, now: Milliseconds) -> bool:
        possible = self._possible_versions(stream.service, stream.key, now)
        return possible == {stream.version}

    def _possible_versions(
        self, service: ServiceId, key: PartId, now: Milliseconds
    ) -> set[SoftwareVersion]:
        departed = [
            _as_known(target)
            for target in self._versions.departed or ()
            if target.service == service and now - target.left_at < VERSION_WINDOW
        ]
        present = [*self._view.present(service), *departed]
        if not departed and not self._view.is_mixed(service):
            return software_versions(present)
        return possible_versions(key, present, self._view.first_listed_at, now)

    def _knows_past(self, now: Milliseconds) -> bool:
        """Return whether this VM knows which targets left before it started."""
        if not self._has_peers or self._versions.departed is not None:
            return True
        if self._first_asked_at is None:
            self._first_asked_at = now
        return now - self._first_asked_at >= VERSION_WINDOW

    def _list_departed(self) -> list[DepartedTarget]:
        return [
            DepartedTarget(
                known.record.id,
                known.record.service,
                known.record.software,
                known.leaving_since or Milliseconds(0),
            )
            for known in self._view.departed()
        ]


def _as_known(target: DepartedTarget) -> KnownTarget:
    """Return a target that left before this VM started, for the ranking only."""
    record = TargetRecord(
        target.id,
        target.service,
        address="",
        zone=ZoneId(""),
        slots=0,
        state=TargetState.DRAINING,
        software=target.version,
    )
    return KnownTarget(record, target.left_at, leaving_since=target.left_at)


def _first_call(call: Call) -> CallId | None:
    """Return the call that brought a stream's first event; ``None`` if not named."""
    return call.head.resumes if call.head.takes_up else call.head.id
