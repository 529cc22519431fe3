"""The platform's state as last read by this VM, and its age."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.edge._leaving import LeavingTargets
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState
from yuccafold.edge._positions import FIRST_ERA
from yuccafold.edge._positions import NO_ERA
from yuccafold.edge._positions import START
from yuccafold.edge._positions import Position
from yuccafold.edge._positions import StoreEra
from yuccafold.edge._positions import era_of
from yuccafold.edge._positions import position_of
from yuccafold.edge._target_history import TargetHistory
from yuccafold.edge.warmup import Evacuations

EXPIRED_ENTRY_GRACE = Milliseconds(2_000)
"""How long entries that expired in an outage of the platform take to come back."""

DRAIN_MARGIN = Milliseconds(400)
"""Time for a call to reach the target, subtracted from the drain bound."""

GONE_TARGET_RETENTION = Milliseconds(10_000)
"""How long a target that has left is kept, as prompts may be fetched from it."""

DEPARTURE_RETENTION = Milliseconds(60_000)
"""How long it is remembered that a target has left. The store may come back from a copy
some seconds old, which still lists the target."""

LATER_VIEW_RETENTION = Milliseconds(2_000)
"""For how long it counts that another VM had a later view; VMs ask several times in
this time."""

LOST_SETTINGS_SHARE = 0.5
"""Share of the time in which a configuration has to take effect, for which one that the
store lost may not be written again. The rest is left for noticing the loss."""

DEFAULT_HEARTBEAT_INTERVAL = Milliseconds(1_200)
"""How often targets write to the store, if the settings don't say."""

LAPSE_HEARTBEATS = 3
"""The entry of a target that is gone is removed after this many heartbeat intervals."""


@final
@dataclass(slots=True)
class KnownTarget:
    """A target's record, and when this VM saw it appear and leave.

    ``leaving_since`` is set once the target drains or its entry is removed.
    ``expired`` is set if the entry was removed during an outage of the platform,
    when entries may expire although their targets still run. ``unconfirmed_until`` is
    set if the target had left before the store came back from an older copy: until
    then, its entry may be one that the store has not removed again yet. ``era`` is that
    in which the record was read. ``cold_until`` is until when the target is cold by
    its entry, counted from when this VM read that.
    """

    record: TargetRecord
    first_seen_at: Milliseconds
    leaving_since: Milliseconds | None = None
    expired: bool = False
    unconfirmed_until: Milliseconds | None = None
    era: StoreEra = NO_ERA
    cold_until: Milliseconds = Milliseconds(0)


@final
@dataclass(frozen=True, slots=True)
class Departure:
    """That a start of a target left, in which era of the store, and how.

    ``drains`` is set if the target itself reported it, which it never takes back. Its
    entry may also have been removed while it lost touch with the store.
    """

    born_ms: int
    era: StoreEra
    at: Milliseconds
    drains: bool


@final
class PlatformView:
    """Catalogue and targets as last read, and when they were last confirmed.

    The catalogue's version only increases. The view is confirmed by a read of the
    whole state or by an answer that nothing has changed; its age counts from the
    start of that call. ``drain_within`` is the drain bound: how soon a leaving target
    must get no more calls. ``heartbeat_interval`` is how often targets write to the
    store. ``evacuate_within`` is the evacuation bound: how soon targets in a zone that
    is evacuated must get no more calls.

    When the store comes back from an older copy, it lacks changes that this VM has
    seen. Settings stay in force until newer ones are written, and targets that have
    left get no calls although the copy lists them. A zone stays evacuated although the
    copy doesn't say so.
    """

    def __init__(
        self,
        drain_within: Milliseconds,
        heartbeat_interval: Milliseconds = DEFAULT_HEARTBEAT_INTERVAL,
        history: TargetHistory | None = None,
        evacuate_within: Milliseconds | None = None,
    ) -> None:
        self._drain_within = drain_within
        self._evacuate_within = evacuate_within
        self._evacuations = Evacuations(evacuate_within)
        self._lapse_time = Milliseconds(
            LAPSE_HEARTBEATS * heartbeat_interval + EXPIRED_ENTRY_GRACE
        )
        self._catalogue: Catalogue | None = None
        self._targets: dict[TargetId, KnownTarget] = {}
        self._by_service: dict[ServiceId, list[KnownTarget]] = {}
        self._confirmed_at: Milliseconds | None = None
        self._keys_confirmed_at: Milliseconds | None = None
        self._keys_doubted_until: Milliseconds | None = None
        self._outage_until = Milliseconds(0)
        self._shared_outage_until = Milliseconds(0)
        self._later_view_until = Milliseconds(0)
        self._position = START
        self._era_began_at: Milliseconds | None = None
        self._is_first_read_of_era = False
        self._departures: dict[TargetId, Departure] = {}
        self._leaving = LeavingTargets()
        self._history = TargetHistory() if history is None else history

    @property
    def catalogue(self) -> Catalogue | None:
        """The catalogue in force."""
        return self._catalogue

    @property
    def leaving(self) -> LeavingTargets:
        """The targets that announced in their answers that they are about to stop."""
        return self._leaving

    @property
    def history(self) -> TargetHistory:
        """Which targets were listed when, and at which software version."""
        return self._history

    @property
    def version(self) -> int:
        """The version of the catalogue in force; 0 before the first."""
        return 0 if self._catalogue is None else self._catalogue.version

    @property
    def position(self) -> Position:
        """The state of the store up to which all changes are known."""
        return self._position

    @property
    def era(self) -> StoreEra:
        """The era of the store that the view was read from."""
        return era_of(self._position)

    def record_position(self, position: Position, is_last: bool = True) -> None:
        """Record up to which state of the store this VM has read.

        ``is_last`` is false if more changes are known to follow.
        """
        self._position = position
        self._history.record_position(position)
        if is_last:
            self._is_first_read_of_era = False

    def begin_era(
        self, era: StoreEra, now: Milliseconds, apply_within: Milliseconds
    ) -> None:
        """Record that the store came back from an older copy.

        It lacks what was written since, until that is written again. That includes
        keys taken away which this VM never saw, if it didn't follow the store until the
        return: it has just started, its view is older than ``apply_within``, or there
        was an outage.
        """
        if self._position != START or era > FIRST_ERA:
            age = self.age(now)
            if age is None or age > apply_within or self.in_outage(now):
                doubt_time = round(apply_within * LOST_SETTINGS_SHARE)
                self._keys_doubted_until = Milliseconds(now + doubt_time)
            self._era_began_at = now
            self.record_outage(now)
        self._position = position_of(era, 0)
        self._is_first_read_of_era = True

    def may_lack_settings(self, now: Milliseconds, within: Milliseconds) -> bool:
        """Return whether the store came back from an older copy ``within`` this time.

        Settings that it acknowledged before may not be written again yet.
        """
        return self._era_began_at is not None and now - self._era_began_at < within

    @property
    def confirmed_at(self) -> Milliseconds | None:
        """When the view was last confirmed, ``None`` if it never was."""
        return self._confirmed_at

    def age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the time since the view was confirmed, ``None`` if it never was."""
        if self._confirmed_at is None:
            return None
        return Milliseconds(now - self._confirmed_at)

    def keys_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the time since API keys were confirmed, ``None`` if never.

        A copy of the store may hold keys that were taken away, so it confirms none
        until what it lacks is written again.
        """
        if self._keys_confirmed_at is None:
            return None
        return Milliseconds(now - self._keys_confirmed_at)

    def confirm(
        self, call_started: Milliseconds, keys_confirmed_at: Milliseconds | None = None
    ) -> None:
        """Record that a call started at ``call_started`` returned the current state.

        Another VM may have confirmed the keys earlier, at ``keys_confirmed_at``. It
        may have followed the store when it came back from a copy, so that this VM's
        doubt doesn't concern it.
        """
        if self._confirmed_at is None or call_started > self._confirmed_at:
            self._confirmed_at = call_started
        if keys_confirmed_at is None:
            if self.doubts_keys_for(call_started):
                return
            keys_confirmed_at = call_started
        self.confirm_keys(keys_confirmed_at)

    def doubts_keys_for(self, now: Milliseconds) -> Milliseconds:
        """Return after which time the store confirms keys again; 0 if it does now."""
        if self._keys_doubted_until is None:
            return Milliseconds(0)
        return Milliseconds(max(0, self._keys_doubted_until - now))

    def confirm_keys(self, keys_confirmed_at: Milliseconds) -> None:
        """Record that the keys that this VM has were confirmed at this time."""
        if (
            self._keys_confirmed_at is None
            or keys_confirmed_at > self._keys_confirmed_at
        ):
            self._keys_confirmed_at = keys_confirmed_at

    def record_outage(self, now: Milliseconds) -> None:
        """Record that the platform could not be read at ``now``."""
        self._outage_until = Milliseconds(now + EXPIRED_ENTRY_GRACE)

    def record_shared_outage(self, now: Milliseconds) -> None:
        """Record that another VM, which this one reaches, can't read the platform."""
        self.record_outage(now)
        self._shared_outage_until = self._outage_until

    def is_outage_shared(self, now: Milliseconds) -> bool:
        """Return whether other VMs can't read the platform either, as they said."""
        return now < self._shared_outage_until

    def record_later_view(self, now: Milliseconds) -> None:
        """Record that another VM has read changes that this one has not."""
        self._later_view_until = Milliseconds(now + LATER_VIEW_RETENTION)

    def may_lack_changes(self, now: Milliseconds) -> bool:
        """Return whether other VMs may have read changes long before this one does.

        That is so with a view older than streams may begin by, unless other VMs can't
        read the platform either, and none has a later view.
        """
        age = self.age(now)
        if age is not None and age <= self._history.max_view_age:
            return False
        return now < self._later_view_until or not self.is_outage_shared(now)

    def in_outage(self, now: Milliseconds) -> bool:
        """Return whether entries may be missing because of a recent outage."""
        return now < self._outage_until

    def apply(self, catalogue: Catalogue) -> bool:
        """Apply a catalogue that was written later; return whether it is in force.

        An older version is not applied. The same version may be written again with
        another content, after the store has lost the first one.
        """
        if catalogue.version < self.version:
            return False
        self._catalogue = catalogue
        self._history.apply_catalogue(catalogue)
        return True

    def is_in_force(self, catalogue: Catalogue) -> bool:
        """Return whether ``catalogue`` has the version and content in force."""
        return catalogue == self._catalogue

    def put_target(
        self,
        record: TargetRecord,
        now: Milliseconds,
        is_later: bool = False,
        position: Position = START,
        started_at: Milliseconds | None = None,
    ) -> bool:
        """Store a target's record, of an entry of ``position``.

        ``started_at`` is the start of the target by this VM's clock, if it is known.

        Returns whether that changed anything.

        A record of an earlier start of the target is ignored, unless it ``is_later``:
        known to be written after the one before, by a target whose clock was set back.
        """
        known = self._targets.get(record.id)
        is_earlier_start = known is not None and known.record.born_ms > record.born_ms
        if is_earlier_start and record.born_ms > 0 and not is_later:
            return False
        first_seen_at = now
        if known is not None and known.record.born_ms == record.born_ms:
            first_seen_at = known.first_seen_at
        leaving_since = None
        if record.state is TargetState.DRAINING:
            was_leaving = known is not None and not known.expired
            leaving_since = known.leaving_since if known and was_leaving else None
            leaving_since = now if leaving_since is None else leaving_since
            self._record_departure(record, leaving_since, drains=True)
        changed = (
            known is None
            or replace(known.record, cold_for=record.cold_for) != record
            or known.expired
        )
        if known is not None and known.record.software != record.software:
            first_seen_at = now
        entry = KnownTarget(record, first_seen_at, leaving_since, era=self.era)
        entry.cold_until = self._cold_until(record, known, now)
        self._history.record(record, now, position, started_at)
        changed |= self._hold_departure(entry, now)
        self._targets[record.id] = entry
        self._rebuild_index()
        return changed

    def _cold_until(
        self, record: TargetRecord, known: KnownTarget | None, now: Milliseconds
    ) -> Milliseconds:
        """Return until when a target is cold by its entry.

        The first entry of an era may be older than the known one, so it ends nothing.
        """
        cold_until = Milliseconds(now + record.cold_for if record.cold_for else 0)
        if (
            known is None
            or known.era == self.era
            or known.record.born_ms != record.born_ms
        ):
            return cold_until
        return max(cold_until, known.cold_until)

    def cold_until(self, target: TargetId) -> Milliseconds:
        """Return until when a target is cold by its entry; 0 for an unknown one."""
        known = self._targets.get(target)
        return Milliseconds(0) if known is None else known.cold_until

    def cold_count(self, now: Milliseconds) -> int:
        """Return how many targets are cold by their entries."""
        return sum(known.cold_until > now for known in self._targets.values())

    def remove_target(self, target: TargetId, now: Milliseconds) -> bool:
        """Record that a target's entry was removed; return whether it was known."""
        known = self._targets.get(target)
        if known is None:
            return False
        self._history.remove(target, now)
        if known.leaving_since is None:
            known.expired = self.in_outage(now)
            known.leaving_since = (
                self._last_confirmed_present(now) if known.expired else now
            )
            if not known.expired:
                self._record_departure(known.record, now, drains=False)
        self._rebuild_index()
        return True

    def evacuate(self, zone: ZoneId, now: Milliseconds) -> bool:
        """Record that a zone is evacuated; return whether that is new.

        It was not when the view was last confirmed, so the bound counts from then at
        the earliest.
        """
        within, confirmed_at = self._evacuate_within, self._confirmed_at
        is_recent = (
            within is not None
            and confirmed_at is not None
            and now - confirmed_at < within
        )
        since = confirmed_at if is_recent else None
        return self._evacuations.evacuate(zone, since, now)

    def restore_zone(self, zone: ZoneId, now: Milliseconds) -> bool:
        """Record that a zone is no longer evacuated; return whether it can be used.

        What is missing in the first read of an era may be what the store lost.
        """
        if self.era > FIRST_ERA and self._is_first_read_of_era:
            self._evacuations.record_loss(zone, now)
            return False
        return self._evacuations.take_back(zone)

    def evacuated_zones(self, now: Milliseconds) -> list[ZoneId]:
        """Return the zones whose targets get no calls."""
        return self._evacuations.zones(now)

    def has_evacuated(self, service: ServiceId, now: Milliseconds) -> bool:
        """Return whether a target of ``service`` gets no calls as of an evacuation."""
        return any(
            not self._evacuations.is_open(known.record.zone, now)
            for known in self._staying(service, now)
        )

    def _record_departure(
        self, record: TargetRecord, at: Milliseconds, drains: bool
    ) -> None:
        self._departures[record.id] = Departure(record.born_ms, self.era, at, drains)

    def _hold_departure(self, entry: KnownTarget, now: Milliseconds) -> bool:
        """Keep calls from a target that left before the store came back older.

        Returns whether it is such a target. Only the first entry that is read in an era
        may be the copy's; later ones were written by the target itself.
        """
        departure = self._departures.get(entry.record.id)
        if (
            departure is None
            or entry.leaving_since is not None
            or departure.born_ms != entry.record.born_ms
            or departure.era == self.era
        ):
            return False
        self._departures[entry.record.id] = replace(departure, era=self.era)
        if departure.drains:
            entry.leaving_since = departure.at
        else:
            began_at = now if self._era_began_at is None else self._era_began_at
            entry.unconfirmed_until = Milliseconds(began_at + self._lapse_time)
        return True

    def was_put_in_era(self, target: TargetId) -> bool:
        """Return whether a target's record was read in the present era."""
        known = self._targets.get(target)
        return known is not None and known.era == self.era

    def known(self, target: TargetId) -> KnownTarget | None:
        """Return what is known of a target."""
        return self._targets.get(target)

    def born_ms(self, target: TargetId) -> int | None:
        """Return the Unix time of a target's start, ``None`` for an unknown target."""
        known = self._targets.get(target)
        return None if known is None else known.record.born_ms

    def held_since(self, target: TargetId) -> Milliseconds | None:
        """Return since when a target that is listed as ready has left, if it has.

        It left before the store came back from a copy that still lists it.
        """
        known = self._targets.get(target)
        if known is None or known.record.state is not TargetState.READY:
            return None
        departure = self._departures.get(target)
        is_held = known.leaving_since is not None or known.unconfirmed_until is not None
        return departure.at if departure is not None and is_held else None

    def ready(self, service: ServiceId, now: Milliseconds) -> list[KnownTarget]:
        """Return the targets that may get new calls, none that is known to leave.

        Those in evacuated zones are among them only if the service has no others, and
        until shortly before the evacuation bound.
        """
        staying = self._staying(service, now)
        evacuated = self._evacuations.zones(now)
        if not evacuated:
            return staying
        outside = [known for known in staying if known.record.zone not in evacuated]
        return outside or [
            known
            for known in staying
            if self._evacuations.is_open(known.record.zone, now)
        ]

    def _staying(self, service: ServiceId, now: Milliseconds) -> list[KnownTarget]:
        """Return the targets that aren't known to leave.

        A target whose entry expired in an outage may still run or may be leaving, so
        it gets calls until shortly before the drain bound.
        """
        usable_ms = self._drain_within - DRAIN_MARGIN
        return [
            known
            for known in self._by_service.get(service, ())
            if (
                known.leaving_since is None
                or (known.expired and now - known.leaving_since < usable_ms)
            )
            and (known.unconfirmed_until is None or now >= known.unconfirmed_until)
            and not self._leaving.is_leaving(known.record)
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
        self._departures = {
            target: departure
            for target, departure in self._departures.items()
            if now - departure.at < DEPARTURE_RETENTION
        }
        return gone

    def counts(self) -> tuple[int, int]:
        """Return the number of known targets and how many of them are leaving."""
        leaving = sum(
            known.leaving_since is not None or self._leaving.is_leaving(known.record)
            for known in self._targets.values()
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
