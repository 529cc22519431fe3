"""The platform's state as last read by this VM, and its age."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState
from yuccafold.edge._positions import StoreEra

EXPIRED_ENTRY_GRACE = Milliseconds(2_000)
"""How long entries that expired in an outage of the platform take to come back."""

DRAIN_MARGIN = Milliseconds(400)
"""Time for a call to reach the target, subtracted from the drain bound."""

GONE_TARGET_RETENTION = Milliseconds(10_000)
"""How long a target that has left is kept, as prompts may be fetched from it."""


@final
@dataclass(slots=True)
class KnownTarget:
    """A target's record, and when this VM saw it appear and leave.

    ``leaving_since`` is set once the target drains or its entry is removed.
    ``expired`` is set if the entry was removed during an outage of the platform,
    when entries may expire although their targets still run.
    """

    record: TargetRecord
    first_seen_at: Milliseconds
    leaving_since: Milliseconds | None = None
    expired: bool = False


@final
class PlatformView:
    """Catalogue and targets as last read, and when they were last confirmed.

    The catalogue's version only increases. The view is confirmed by a read of the
    whole state or by an answer that nothing has changed; its age counts from the
    start of that call. ``drain_within`` is the drain bound: how soon a leaving target
    must get no more calls.
    """

    def __init__(self, drain_within: Milliseconds) -> None:
        self._drain_within = drain_within
        self._catalogue: Catalogue | None = None
        self._targets: dict[TargetId, KnownTarget] = {}
        self._by_service: dict[ServiceId, list[KnownTarget]] = {}
        self._confirmed_at: Milliseconds | None = None
        self._outage_until = Milliseconds(0)
        self._era: StoreEra | None = None
        self._revision = 0

    @property
    def catalogue(self) -> Catalogue | None:
        """The catalogue in force."""
        return self._catalogue

    @property
    def version(self) -> int:
        """The version of the catalogue in force; 0 before the first."""
        return 0 if self._catalogue is None else self._catalogue.version

    @property
    def era(self) -> StoreEra | None:
        """The era of the store that was read last; ``None`` if it names none."""
        return self._era

    @property
    def revision(self) -> int:
        """The revision of the store up to which all changes are known."""
        return self._revision

    def record_position(self, era: StoreEra | None, revision: int) -> None:
        """Record up to which state of the store this VM has read."""
        self._era, self._revision = era, revision

    def age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the time since the view was confirmed, ``None`` if it never was."""
        if self._confirmed_at is None:
            return None
        return Milliseconds(now - self._confirmed_at)

    def confirm(self, call_started: Milliseconds) -> None:
        """Record that a call started at ``call_started`` returned the current state."""
        if self._confirmed_at is None or call_started > self._confirmed_at:
            self._confirmed_at = call_started

    def record_outage(self, now: Milliseconds) -> None:
        """Record that the platform could not be read at ``now``."""
        self._outage_until = Milliseconds(now + EXPIRED_ENTRY_GRACE)

    def in_outage(self, now: Milliseconds) -> bool:
        """Return whether entries may be missing because of a recent outage."""
        return now < self._outage_until

    def apply(self, catalogue: Catalogue) -> bool:
        """Apply ``catalogue`` if its version is newer; return whether it was."""
        if self._catalogue is not None and catalogue.version <= self.version:
            return False
        self._catalogue = catalogue
        return True

    def put_target(self, record: TargetRecord, now: Milliseconds) -> bool:
        """Store a target's record; return whether that changed anything.

        A record of an earlier start of the target is ignored.
        """
        known = self._targets.get(record.id)
        if known is not None and known.record.born_ms > record.born_ms > 0:
            return False
        first_seen_at = now
        if known is not None and known.record.born_ms == record.born_ms:
            first_seen_at = known.first_seen_at
        leaving_since = None
        if record.state is TargetState.DRAINING:
            was_leaving = known is not None and not known.expired
            leaving_since = known.leaving_since if known and was_leaving else None
            leaving_since = now if leaving_since is None else leaving_since
        changed = known is None or known.record != record or known.expired
        self._targets[record.id] = KnownTarget(record, first_seen_at, leaving_since)
        self._rebuild_index()
        return changed

    def remove_target(self, target: TargetId, now: Milliseconds) -> bool:
        """Record that a target's entry was removed; return whether it was known."""
        known = self._targets.get(target)
        if known is None:
            return False
        if known.leaving_since is None:
            known.expired = self.in_outage(now)
            known.leaving_since = (
                self._last_confirmed_present(now) if known.expired else now
            )
        self._rebuild_index()
        return True

    def born_ms(self, target: TargetId) -> int | None:
        """Return the Unix time of a target's start, ``None`` for an unknown target."""
        known = self._targets.get(target)
        return None if known is None else known.record.born_ms

    def ready(self, service: ServiceId, now: Milliseconds) -> list[KnownTarget]:
        """Return the targets that may get new calls.

        A target whose entry expired in an outage may still run or may be leaving, so
        it gets calls until shortly before the drain bound.
        """
        usable_ms = self._drain_within - DRAIN_MARGIN
        return [
            known
            for known in self._by_service.get(service, ())
            if known.leaving_since is None
            or (known.expired and now - known.leaving_since < usable_ms)
        ]

    def may_send(self, target: TargetRecord, now: Milliseconds) -> bool:
        """Return whether ``target`` may still get a call at its address.

        This is checked right before each send.
        """
        known = self._targets.get(target.id)
        if known is None or known.record.address != target.address:
            return False
        return known in self.ready(target.service, now)

    def present(self, service: ServiceId) -> list[KnownTarget]:
        """Return all targets that may still hold prompts, including leaving ones."""
        return self._by_service.get(service, [])

    def forget_gone(self, now: Milliseconds) -> list[TargetId]:
        """Drop targets that left long ago, and return their ids."""
        gone = [
            target
            for target, known in self._targets.items()
            if known.leaving_since is not None
            and now - known.leaving_since > GONE_TARGET_RETENTION
        ]
        for target in gone:
            del self._targets[target]
        if gone:
            self._rebuild_index()
        return gone

    def counts(self) -> tuple[int, int]:
        """Return the number of known targets and how many of them are leaving."""
        leaving = sum(
            known.leaving_since is not None for known in self._targets.values()
        )
        return len(self._targets), leaving

    def _last_confirmed_present(self, now: Milliseconds) -> Milliseconds:
        """Return the earliest time at which a target may have left.

        Its entry, which is removed now, was present when the view was last confirmed,
        so that time is returned. A view older than the drain bound doesn't limit the
        time, and the drain bound doesn't apply to this VM then; the result is ``now``.
        """
        age = self.age(now)
        return Milliseconds(now - age if age and age < self._drain_within else now)

    def _rebuild_index(self) -> None:
        services = {known.record.service for known in self._targets.values()}
        self._by_service = {service: [] for service in services}
        for known in self._targets.values():
            self._by_service[known.record.service].append(known)
