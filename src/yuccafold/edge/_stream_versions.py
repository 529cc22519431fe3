"""Remembers at which software version streams began, and tells other VMs of some.

A VM tells others only of streams whose version they could not tell by the prompt: those
that were placed at another version, and those of prompts that moved to another version.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any
from typing import NewType
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import PartId
from yuccafold.edge._model import SoftwareVersion

StreamKey = NewType("StreamKey", str)
"""Identifies a stream among VMs: a digest of the call that brought its first event."""

STREAM_RETENTION = Milliseconds(30_000)
"""How long the version of a stream is remembered after its last call: twice the longest
timeout of a route."""

MAX_STREAMS = 8_192
"""Streams that are remembered; a VM has a few dozen of its own."""

MAX_ROWS = 200
"""Streams in one message between VMs, of some 20 bytes each."""

NOTHING_TOLD = 0
KEY_BYTES = 5


@final
@dataclass(frozen=True, slots=True)
class StreamBegin:
    """Where a stream of this VM began, and what its version is chosen by."""

    service: ServiceId
    key: PartId
    version: SoftwareVersion


@final
@dataclass(slots=True)
class ToldStream:
    """The version of a stream that VMs tell each other.

    ``position`` orders what this VM knows; ``told_by`` is the VM that it came from.
    """

    version: SoftwareVersion
    at: Milliseconds
    position: int
    told_by: str


@final
@dataclass(frozen=True, slots=True)
class DepartedTarget:
    """A target that left before a VM started, which it has to hear of from others."""

    id: TargetId
    service: ServiceId
    version: SoftwareVersion
    left_at: Milliseconds


def stream_key(call: CallId) -> StreamKey:
    """Return the key of the stream that ``call`` began."""
    return StreamKey(blake2b(call.encode(), digest_size=KEY_BYTES).hexdigest())


@final
class StreamVersions:
    """The streams of this VM, and those that other VMs told of.

    ``is_evident`` returns whether any VM can tell the version of a stream by itself.
    ``list_departed`` returns the targets that left lately, as this VM saw them.
    """

    def __init__(
        self,
        epoch: str = "",
        is_evident: Callable[[StreamBegin, Milliseconds], bool] = lambda *_: True,
        list_departed: Callable[[], Sequence[DepartedTarget]] = tuple,
    ) -> None:
        self._list_departed = list_departed
        self._departed: tuple[DepartedTarget, ...] | None = None
        self._epoch = epoch
        self._is_evident = is_evident
        self._own: dict[StreamKey, tuple[StreamBegin, Milliseconds]] = {}
        self._told: dict[StreamKey, ToldStream] = {}
        self._position = NOTHING_TOLD
        self._running: set[StreamKey] = set()

    @property
    def epoch(self) -> str:
        """Identifies this start of the VM, with which positions begin anew."""
        return self._epoch

    @property
    def departed(self) -> tuple[DepartedTarget, ...] | None:
        """The targets that left before this VM started; ``None`` before it heard."""
        return self._departed

    def record_departed(self, rows: Any, now: Milliseconds) -> None:
        """Record what another VM saw leave; raises ``ValueError`` if malformed."""
        self._departed = tuple(
            DepartedTarget(
                TargetId(str(id)),
                ServiceId(str(service)),
                SoftwareVersion(str(version)),
                Milliseconds(now - int(age)),
            )
            for id, service, version, age in rows
        )

    def departed_rows(self, now: Milliseconds) -> list[list[str | int]]:
        """Return ``[id, service, version, age]`` of each target that left lately."""
        return [
            [target.id, target.service, target.version, now - target.left_at]
            for target in (*self._list_departed(), *(self._departed or ()))
        ]

    def begin(self, key: StreamKey, stream: StreamBegin, now: Milliseconds) -> bool:
        """Record a stream's first event; return whether other VMs must be told."""
        self._own[key] = (stream, now)
        self._running.add(key)
        if self._is_evident(stream, now):
            return False
        self._tell(key, stream.version, now, told_by="")
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

    def told_version(self, key: StreamKey) -> SoftwareVersion | None:
        """Return the version of a stream that another VM told of."""
        return self._told[key].version if key in self._told else None

    def changes(
        self, after: int, reader: str, now: Milliseconds
    ) -> tuple[dict[str, list[str]], int]:
        """Return what ``reader`` lacks, and the position that it reaches.

        The rows are ``KEY:AGE`` by version.
        """
        self._expire(now)
        self._tell_of_moved(now)
        rows: dict[str, list[str]] = {}
        reached = self._position
        lacking = sorted(
            (stream.position, key)
            for key, stream in self._told.items()
            if stream.position > after and stream.told_by != reader
        )
        if len(lacking) > MAX_ROWS:
            lacking = lacking[:MAX_ROWS]
            reached = lacking[-1][0]
        for _, key in lacking:
            stream = self._told[key]
            rows.setdefault(stream.version, []).append(f"{key}:{now - stream.at}")
        return rows, reached

    def merge(self, rows: Any, told_by: str, now: Milliseconds) -> None:
        """Add rows of another VM; raises ``ValueError`` if they are malformed."""
        for version, texts in dict(rows).items():
            for text in texts:
                key, _, age = str(text).partition(":")
                at = Milliseconds(now - int(age))
                self._tell(StreamKey(key), SoftwareVersion(version), at, told_by)

    def _tell_of_moved(self, now: Milliseconds) -> None:
        """Tell of own streams whose prompt has moved to another version since."""
        for key, (stream, at) in self._own.items():
            if key not in self._told and not self._is_evident(stream, now):
                self._tell(key, stream.version, at, told_by="")

    def _tell(
        self, key: StreamKey, version: SoftwareVersion, at: Milliseconds, told_by: str
    ) -> None:
        if key in self._told:
            return
        self._position += 1
        self._told[key] = ToldStream(version, at, self._position, told_by)

    def _expire(self, now: Milliseconds) -> None:
        expired = [
            key
            for key, (_, at) in self._own.items()
            if key not in self._running and now - at > STREAM_RETENTION
        ]
        for key in [*expired, *list(self._own)[: len(self._own) - MAX_STREAMS]]:
            self._own.pop(key, None)
        expired = [
            key for key, told in self._told.items() if now - told.at > STREAM_RETENTION
        ]
        for key in [*expired, *list(self._told)[: len(self._told) - MAX_STREAMS]]:
            self._told.pop(key, None)
