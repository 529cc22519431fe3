"""What this process believes of the platform, and how old that belief is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState

LAPSED_ENTRY_GRACE = Milliseconds(2_000)
"""How long entries that lapsed during an outage take to come back, by the platform."""

DRAIN_MARGIN = Milliseconds(400)
"""What a call may take from here to the target, taken off the drain bound."""

GONE_MEMORY = Milliseconds(10_000)
"""How long a target that is gone is kept as a holder of prompts."""


@final
@dataclass(slots=True)
class KnownTarget:
    """A target's record and what this process has seen of its coming and going.

    ``since`` is when it was first seen.
    ``leaving_since`` is set once it drains or its entry is gone. ``lapsed`` is
    set if the entry went at a time when entries lapse without cause.
    """

    record: TargetRecord
    since: Milliseconds
    leaving_since: Milliseconds | None = None
    lapsed: bool = False


@final
class PlatformView:
    """Catalogue and targets as last read, with the time of confirmation.

    Versions only go up. ``confirmed_at`` is the start of the last call to the
    platform that showed the state whole or that nothing had changed.
    """

    def __init__(self, drain_within: Milliseconds) -> None:
        self._drain_within = drain_within
        self._catalogue: Catalogue | None = None
        self._targets: dict[TargetId, KnownTarget] = {}
        self._by_service: dict[ServiceId, list[KnownTarget]] = {}
        self._confirmed_at: Milliseconds | None = None
        self._outage_until = Milliseconds(0)

    @property
    def catalogue(self) -> Catalogue | None:
        """The catalogue in force."""
        return self._catalogue

    @property
    def version(self) -> int:
        """The version of the catalogue in force; 0 before the first."""
        return 0 if self._catalogue is None else self._catalogue.version

    def age(self, now: Milliseconds) -> Milliseconds | None:
        """Return how long ago the platform confirmed the view."""
        if self._confirmed_at is None:
            return None
        return Milliseconds(now - self._confirmed_at)

    def confirm(self, call_started: Milliseconds) -> None:
        """Record that a call begun at ``call_started`` showed the present state."""
        if self._confirmed_at is None or call_started > self._confirmed_at:
            self._confirmed_at = call_started

    def note_outage(self, now: Milliseconds) -> None:
        """Record that the platform could not be read just now."""
        self._outage_until = Milliseconds(now + LAPSED_ENTRY_GRACE)

    def in_outage(self, now: Milliseconds) -> bool:
        """Return whether entries may have lapsed without cause just now."""
        return now < self._outage_until

    def apply(self, catalogue: Catalogue) -> bool:
        """Take a catalogue unless it is older; return whether it is new."""
        if self._catalogue is not None and catalogue.version <= self.version:
            return False
        self._catalogue = catalogue
        return True

    def put_target(self, record: TargetRecord, now: Milliseconds) -> bool:
        """Take what a target says of itself; return whether that is new."""
        known = self._targets.get(record.id)
        if known is not None and known.record.born_ms > record.born_ms > 0:
            return False
        since = now
        if known is not None and known.record.born_ms == record.born_ms:
            since = known.since
        leaving = None
        if record.state is TargetState.DRAINING:
            was_leaving = known is not None and not known.lapsed
            leaving = known.leaving_since if known and was_leaving else None
            leaving = now if leaving is None else leaving
        changed = known is None or known.record != record or known.lapsed
        self._targets[record.id] = KnownTarget(record, since, leaving)
        self._index()
        return changed

    def remove_target(self, target: TargetId, now: Milliseconds) -> bool:
        """Take the end of an entry; return whether it was known."""
        known = self._targets.get(target)
        if known is None:
            return False
        if known.leaving_since is None:
            known.lapsed = self.in_outage(now)
            known.leaving_since = self._last_present(now) if known.lapsed else now
        self._index()
        return True

    def born_ms(self, target: TargetId) -> int | None:
        """Return when a target started, ``None`` if it is not known."""
        known = self._targets.get(target)
        return None if known is None else known.record.born_ms

    def ready(self, service: ServiceId, now: Milliseconds) -> list[KnownTarget]:
        """Return the targets that may get a new call."""
        usable_ms = self._drain_within - DRAIN_MARGIN
        return [
            known
            for known in self._by_service.get(service, ())
            if known.leaving_since is None
            or (known.lapsed and now - known.leaving_since < usable_ms)
        ]

    def may_send(self, target: TargetRecord, now: Milliseconds) -> bool:
        """Return whether ``target`` may still get a call, asked before each send."""
        known = self._targets.get(target.id)
        if known is None or known.record.address != target.address:
            return False
        return known in self.ready(target.service, now)

    def present(self, service: ServiceId) -> list[KnownTarget]:
        """Return all targets that may still hold prompts, leaving ones too."""
        return self._by_service.get(service, [])

    def forget_gone(self, now: Milliseconds) -> list[TargetId]:
        """Drop targets that left long ago; return which."""
        gone = [
            target
            for target, known in self._targets.items()
            if known.leaving_since is not None
            and now - known.leaving_since > GONE_MEMORY
        ]
        for target in gone:
            del self._targets[target]
        if gone:
            self._index()
        return gone

    def counts(self) -> tuple[int, int]:
        """Return how many targets are known and how many of them are leaving."""
        leaving = sum(
            known.leaving_since is not None for known in self._targets.values()
        )
        return len(self._targets), leaving

    def _last_present(self, now: Milliseconds) -> Milliseconds:
        """Return since when an entry that just went may be gone.

        It was there when the view was confirmed last. A view that is older than
        the drain bound tells nothing, and holds this VM to no bound either.
        """
        age = self.age(now)
        return Milliseconds(now - age if age and age < self._drain_within else now)

    def _index(self) -> None:
        services = {known.record.service for known in self._targets.values()}
        self._by_service = {service: [] for service in services}
        for known in self._targets.values():
            self._by_service[known.record.service].append(known)
