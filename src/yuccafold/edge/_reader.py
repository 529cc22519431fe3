"""Keeps this VM's view of the platform up to date, from the store or other VMs."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._clock import UnixClock
from yuccafold._ids import ZoneId
from yuccafold._log import log_event
from yuccafold.edge._attempts import with_jitter
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._entries import SettingsInForce
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import TargetGone
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import ZoneEvacuated
from yuccafold.edge._model import ZoneRestored
from yuccafold.edge._platform_source import Decode
from yuccafold.edge._platform_source import Entry
from yuccafold.edge._platform_source import HistoryLostError
from yuccafold.edge._platform_source import PlatformChanges
from yuccafold.edge._platform_source import PlatformSource
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._platform_source import RememberedChanges
from yuccafold.edge._platform_source import RememberingSource
from yuccafold.edge._positions import START
from yuccafold.edge._positions import Position
from yuccafold.edge._positions import era_of
from yuccafold.edge._positions import position_of
from yuccafold.edge._positions import revision_of
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._source_choice import SourceChoice
from yuccafold.edge._target_history import known_reach
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView
from yuccafold.edge.reports import REPORT_LIFETIME

STANDALONE_INTERVAL_SHARE = 0.4
"""Interval between two confirmations of the view on a VM that exchanges views with no
other, as a share of a key's lifetime. The rest is left for outages of the store: one of
up to three fifths of the lifetime must not affect callers."""

SEED_INTERVAL_SHARE = 0.35
"""Interval between two confirmations of the view of a seed, as a share of the time
within which any change must be known. A seed that can't read the store is detected by
the age of its view, which is then larger."""

NON_SEED_INTERVAL_SHARE = 0.25
"""The same for the requests of other VMs to a seed. Together with the interval of seeds
and the time to ask another seed, a change is in force in time whichever VM fails."""

REPORT_INTERVAL = Milliseconds(450)
"""Pause between two reports of a VM's calls, which are part of its requests to a seed:
half the average duration of a call."""

REPORT_INTERVAL_PER_VM = Milliseconds(5)
"""The pause between two reports is at least this times the number of VMs, unless the
view must be confirmed sooner or the last report would expire. A seed on half a core
answers in 1 to 2 ms, and three seeds must not spend more than a fifth of it on
answers."""

STORE_RETRY_PAUSE_SHARE = 0.25
"""Pause between two failed reads of the store by a VM that requests views from others,
as a share of a key's lifetime: three more tries fit into the time in which keys are
still accepted."""

LONGEST_REPORT_INTERVAL = Milliseconds(REPORT_LIFETIME * 2 // 3)
"""However many VMs there are, a seed gets the next report of a VM before the last one
expires, also if it is late."""

REPORT_PAUSE = Milliseconds(30)
"""Shortest pause between two reports: calls that broke off at one crash are reported
together."""

SEED_AGE_SLACK = Milliseconds(250)
"""How much older than its confirmation interval a seed's view may be in its answer."""

WATCH_TIMEOUT = Milliseconds(20_000)
"""How long a watch waits for a change; the store allows at most 30,000 ms."""

FIRST_EXCHANGE_TIMEOUT = Milliseconds(200)
"""How long a VM that starts waits for what other VMs know; they answer in a few ms.
Calls wait for the first view in the listen backlog anyway."""

NO_WAIT = Milliseconds(0)

BATCH_PAUSE = Milliseconds(120)
"""Pause between the answer to a watch and the next watch. Changes come in bursts, each
answer costs a call, and a change needs to be in force only within seconds."""

ROLE_POLL_INTERVAL = Milliseconds(1_000)
"""How often a VM that doesn't follow the store checks whether it is a seed now."""

FIRST_RETRY_PAUSE = Milliseconds(60)
"""Pause after the first failed read, doubled after each further one; sources answer in
a few ms."""

MAX_RETRY_PAUSE = Milliseconds(500)
"""Longest pause between failed reads, far below the allowed age of a view."""


@final
class ViewReader:
    """Reads the platform's entries continuously and applies them to the view.

    VMs that read the store directly follow its changes by a watch. All VMs confirm
    their view at regular intervals, at the store or at other VMs.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: EdgeSettings,
        store: RememberingSource,
        peers: list[PlatformSource],
        decode: Decode,
        table: EntryTable,
        view: PlatformView,
        targets: Targets,
        metrics: EdgeMetrics,
        unix_clock: Clock = UnixClock(),
    ) -> None:
        self._clock = clock
        self._unix_clock = unix_clock
        # Taken once, as the time of day may jump.
        self._unix_ahead = unix_clock.now() - clock.now()
        self._rng = rng
        self._store = store
        self._max_peer_view_age = Milliseconds(
            round(settings.change_within * SEED_INTERVAL_SHARE) + SEED_AGE_SLACK
        )
        self.apply_settings(settings, peers)
        self._decode = decode
        self._table = table
        self._view = view
        self._targets = targets
        self._metrics = metrics
        self._retry_pause = FIRST_RETRY_PAUSE
        self._list_reads = 0
        self._needs_list = True
        self._first_view = trio.Event()
        self._store_readable = trio.Event()
        self._recheck = trio.Event()
        self._has_exchanged = False
        self._has_read_past = False
        self._watch: trio.CancelScope | None = None
        self._suspect_watch: trio.CancelScope | None = None

    @property
    def first_view(self) -> trio.Event:
        """Set once the view was read for the first time."""
        return self._first_view

    def apply_settings(
        self, settings: EdgeSettings, peers: list[PlatformSource]
    ) -> None:
        """Read from the store and ``peers`` according to ``settings`` from now on."""
        self._choice = SourceChoice(
            self._store,
            peers,
            settings.reads_platform,
            self._rng,
            Milliseconds(round(settings.key_lifetime * STORE_RETRY_PAUSE_SHARE)),
        )
        self._follows_store = settings.reads_platform
        self._settings = settings

    def report_soon(self) -> None:
        """Report to a seed at once instead of at the next confirmation of the view.

        Seeds ask each other all the time.
        """
        if not self._settings.reads_platform:
            self._recheck.set()

    def apply_other_settings(self, entry: Entry) -> None:
        """Apply newer settings of another VM, which the store may have lost."""
        fact = self._decode(entry)
        if isinstance(fact, Catalogue) and fact.version > self._view.version:
            self._apply_settings(fact, entry, self._clock.now())

    async def run(self) -> None:
        """Run until cancelled: one task follows changes, another confirms the view."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_changes)
            nursery.start_soon(self._confirm_view)

    async def _follow_changes(self) -> None:
        """Apply changes by a watch, which the store answers as soon as there is one."""
        while True:
            await self._store_readable.wait()
            if not self._follows_store:
                await trio.sleep(ROLE_POLL_INTERVAL / MS_PER_SECOND)
                continue
            list_reads = self._list_reads
            try:
                with trio.CancelScope() as self._watch:
                    await self._read_changes(self._store, WATCH_TIMEOUT)
            except HistoryLostError as error:
                if list_reads == self._list_reads:
                    self._schedule_list(error)
            except PlatformUnavailableError as error:
                self._record_failure(self._store, error)
            self._watch = None
            await trio.sleep(BATCH_PAUSE / MS_PER_SECOND)

    async def _confirm_view(self) -> None:
        """Confirm the view at regular intervals, and at once if a recheck is due."""
        while True:
            self._recheck = trio.Event()
            if not await self._refresh():
                await trio.sleep(
                    with_jitter(self._retry_pause, self._rng) / MS_PER_SECOND
                )
                self._retry_pause = Milliseconds(
                    min(MAX_RETRY_PAUSE, self._retry_pause * 2)
                )
                continue
            self._retry_pause = FIRST_RETRY_PAUSE
            await trio.sleep(REPORT_PAUSE / MS_PER_SECOND)
            if not self._has_exchanged and not self._settings.reads_platform:
                # The first list came from the store: ask at once what other VMs know.
                self._has_exchanged = True
                continue
            pause = confirm_interval(
                self._settings, self._targets.evidence.loads.vm_count
            )
            if doubt := self._view.doubts_keys_for(self._clock.now()):
                pause = min(pause, doubt)
            with trio.move_on_after(pause / MS_PER_SECOND):
                await self._recheck.wait()

    async def _refresh(self) -> bool:
        """Read from the sources in order; return whether one had a fresh view."""
        for source in self._sources():
            try:
                age = await self._read(source)
            except HistoryLostError as error:
                self._schedule_list(error)
                return await self._refresh()
            except PlatformUnavailableError as error:
                self._record_failure(source, error)
                continue
            if source is self._store:
                self._store_readable.set()
            elif age > self._max_peer_view_age:
                self._record_failure(
                    source, PlatformUnavailableError(f"view is {age} ms old")
                )
                continue
            if self._choice.record_success(source):
                log_event("source_regained", source=source.name)
            if not self._first_view.is_set():
                await self._ask_other_vms()
                self._first_view.set()
            if not self._has_read_past:
                await self._read_past()
            return True
        return False

    async def _ask_other_vms(self) -> None:
        """Ask other VMs what this VM has to know before it sends its first call.

        That is which calls crash targets, settings that the store lost before, and
        which targets left.
        """
        with trio.move_on_after(FIRST_EXCHANGE_TIMEOUT / MS_PER_SECOND):
            async with trio.open_nursery() as nursery:
                for peer in self._choice.peers:
                    nursery.start_soon(self._ask_peer, peer)

    async def _read_past(self) -> None:
        """Read which targets changed before the first list, if no VM knows it.

        One of the seeds does, and the other VMs learn it from seeds.
        """
        now = self._clock.now()
        history, kept_for = self._view.history, self._settings.store_history
        if not self._follows_store or not kept_for or history.is_complete(now):
            self._has_read_past = True
            return
        seen_up_to = self._table.position
        try:
            past = await self._store.remembered_changes(seen_up_to)
        except PlatformUnavailableError as error:
            log_event("past_not_read", detail=str(error))
            return
        changes = self._target_facts(past.entries)
        forgotten = [
            fact
            for fact in self._target_facts(self._table.present_at(past.after))
            if isinstance(fact, TargetRecord)
        ]
        ends_with_removal = self._is_removal_forgotten_last(past)
        reach = known_reach(
            forgotten, kept_for, self._unix_clock.now(), ends_with_removal
        )
        earlier = [
            fact.id
            for entry in past.entries
            if entry.key in past.earlier
            and isinstance(fact := self._decode(entry), TargetRecord)
        ]
        history.extend(changes, reach, self._clock.now(), seen_up_to, earlier)
        self._has_read_past = True
        log_event(
            "past_read",
            changes=len(changes),
            after=revision_of(past.after),
            forgotten=len(forgotten),
            ends_with_removal=ends_with_removal,
            reach_ms=reach,
        )

    def _is_removal_forgotten_last(self, past: RememberedChanges) -> bool:
        """Return whether the last change that the store forgot removed an entry.

        Each change has the next revision. So it is the last one of an entry that is
        there, or an earlier one of an entry that has changed since, or it removed one.
        """
        if not revision_of(past.after) or past.earlier:
            return False
        return not any(
            entry.position == past.after
            or (
                entry.position > past.after
                and not isinstance(self._decode(entry), TargetRecord)
            )
            for entry in self._table.present()
        )

    def _target_facts(
        self, entries: Iterable[Entry]
    ) -> list[TargetRecord | TargetGone]:
        facts = [self._decode(entry) for entry in entries]
        return [fact for fact in facts if isinstance(fact, TargetRecord | TargetGone)]

    async def _ask_peer(self, peer: PlatformSource) -> None:
        """Ask another VM, which may have no view either if all VMs start.

        It may confirm keys that this VM has from a store that came back from a copy.
        """
        started = self._clock.now()
        try:
            changes = await self._read_changes(peer, NO_WAIT)
            if changes.is_last and changes.keys_age is not None:
                self._view.confirm_keys(Milliseconds(started - changes.keys_age))
        except PlatformUnavailableError as error:
            log_event("vm_not_asked", source=peer.name, detail=str(error))

    def _sources(self) -> list[PlatformSource]:
        """Return the sources in the order to try; a list is read from the store first.

        When all VMs start at the same time, no other VM has a view yet.
        """
        order = self._choice.order(self._clock.now())
        if self._needs_list:
            order.sort(key=lambda source: source is not self._store)
        return order

    async def _read(self, source: PlatformSource) -> Milliseconds:
        """Apply what is new at ``source``; return the age of its view."""
        started = self._clock.now()
        known = self._table.position
        seen_until = self._view.confirmed_at
        if self._needs_list:
            age, keys_age = await self._read_all(source)
        else:
            changes = await self._read_changes(source, NO_WAIT)
            while not changes.is_last:
                started = self._clock.now()
                changes = await self._read_changes(source, NO_WAIT)
            age, keys_age = changes.age, changes.keys_age
            if source is self._store:
                self._check_watch(bool(changes.entries))
            elif changes.position < known:
                # The other VM has not read yet what this view was confirmed with.
                if (self._view.age(started) or 0) > self._max_peer_view_age:
                    self._check_not_earlier(source, changes.position, known)
                return age
        if source is not self._store and self._table.position > known:
            self._record_gap(seen_until)
        elif seen_until is not None and self._view.may_lack_changes(started):
            self._view.history.record_catch_up(self._clock.now())
            log_event("caught_up", missed_ms=started - seen_until)
        self._view.confirm(
            Milliseconds(started - age),
            None if keys_age is None else Milliseconds(started - keys_age),
        )
        self._targets.record_vm_count(started)
        for target in self._view.forget_gone(started):
            self._targets.forget(target, started)
        return age

    def _record_gap(self, seen_until: Milliseconds | None) -> None:
        """Record a gap in the history of targets, if this VM was out of step for long.

        Other VMs send only the latest entry of each target, unlike the store.
        """
        now = self._clock.now()
        history = self._view.history
        if seen_until is None or now - seen_until <= history.lag:
            return
        history.record_gap(seen_until, now, self._table.position)
        log_event("history_gap", missed_ms=now - seen_until)
        self._recheck.set()

    async def _read_all(
        self, source: PlatformSource
    ) -> tuple[Milliseconds, Milliseconds | None]:
        self._count_read(source)
        state = await source.read_all()
        self._check_not_earlier(source, state.position, known=self._table.position)
        self._list_reads += 1
        self._needs_list = False
        known = self._view.position
        self._enter_era(source, state.position)
        changed = self._table.apply_list(state.entries, state.position)
        log_event(
            "list_read",
            source=source.name,
            era=era_of(state.position),
            revision=revision_of(state.position),
            known_era=era_of(known),
            known_revision=revision_of(known),
            listed=len(state.entries),
            changed=len(changed),
        )
        self._apply_entries(changed)
        return state.age, state.keys_age

    async def _read_changes(
        self, source: PlatformSource, wait: Milliseconds
    ) -> PlatformChanges:
        """Apply the changes at a source; return those that were new to this VM."""
        self._count_read(source)
        list_reads = self._list_reads
        changes = await source.changes(self._table.position, wait)
        if changes.settings is not None:
            self.apply_other_settings(changes.settings)
        era_start = position_of(self._table.era, 0)
        self._check_not_earlier(source, changes.position, known=era_start)
        if list_reads != self._list_reads:
            # The other task read a list meanwhile, which is newer than these changes.
            return replace(changes, entries=())
        self._enter_era(source, changes.position)
        if changes.in_outage:
            self._view.record_shared_outage(self._clock.now())
        new = self._table.apply_changes(
            changes.entries, changes.position, changes.lacks_removals
        )
        self._apply_entries(new, changes.is_last)
        return replace(changes, entries=tuple(new))

    def _check_not_earlier(
        self, source: PlatformSource, position: Position, known: Position
    ) -> None:
        """Raise ``PlatformUnavailableError`` if a source is in an earlier state."""
        if position >= known:
            return
        self._metrics.count("earlier_states", source=source.name)
        raise PlatformUnavailableError(
            f"has revision {revision_of(position)} of era {era_of(position)}, "
            f"expected {revision_of(known)} of era {era_of(known)} or later"
        )

    def _enter_era(self, source: PlatformSource, position: Position) -> None:
        """Prepare for entries of a later era than before, if ``position`` is in one."""
        known, era = self._table.position, era_of(position)
        if era == era_of(known):
            return
        now = self._clock.now()
        if known != START:
            self._metrics.count("store_era_changes")
            log_event(
                "store_era_changed",
                source=source.name,
                era=era,
                revision=revision_of(position),
                was=era_of(known),
                was_revision=revision_of(known),
                version=self._view.version,
                view_age_ms=self._view.age(now),
            )
        self._view.begin_era(era, now, self._settings.apply_within)
        if self._watch is not None:
            # It waits for revisions of the earlier era.
            self._watch.cancel()

    def _check_watch(self, missed_changes: bool) -> None:
        """Replace a watch that didn't report changes that the last confirmation found.

        Its answer may still have been on its way then, so a watch that missed changes
        has time until the next confirmation.
        """
        if self._suspect_watch is not None and self._suspect_watch is self._watch:
            log_event("platform_watch_deaf")
            self._suspect_watch.cancel()
        self._suspect_watch = self._watch if missed_changes else None

    def _record_failure(
        self, source: PlatformSource, error: PlatformUnavailableError
    ) -> None:
        """Record that a source gave no fresh view."""
        now = self._clock.now()
        self._metrics.count("source_failures", source=source.name)
        if source is self._store:
            if self._choice.peers:
                self._view.record_outage(now)
            else:
                # There is no other VM that could have a later view.
                self._view.record_shared_outage(now)
            self._suspend_watch()
        if self._choice.record_failure(source, now):
            log_event(
                "source_lost",
                source=source.name,
                detail=str(error),
                view_age_ms=self._view.age(now),
            )

    def _schedule_list(self, error: HistoryLostError) -> None:
        """Have the whole state read as a list, as the changes since are lost."""
        log_event("platform_history_lost", detail=str(error))
        self._needs_list = True
        self._suspend_watch()

    def _suspend_watch(self) -> None:
        """Start no watch until the store was read again, and request a recheck."""
        # A task may wait on an event that isn't set, so only a set event is replaced.
        if self._store_readable.is_set():
            self._store_readable = trio.Event()
        self._recheck.set()

    def _count_read(self, source: PlatformSource) -> None:
        kind = "store" if source is self._store else "peer"
        self._metrics.count("platform_reads", source=kind)

    def _apply_entries(self, entries: Iterable[Entry], is_last: bool = True) -> None:
        """Apply entries that are new to the view.

        ``is_last`` is false if more changes are known to follow.
        """
        for entry in entries:
            self._apply_entry(entry)
        self._view.record_position(self._table.position, is_last)

    def _apply_entry(self, entry: Entry) -> None:
        """Apply one entry to the view."""
        now = self._clock.now()
        fact = self._decode(entry)
        if isinstance(fact, Catalogue):
            self._apply_settings(fact, entry, now)
        elif isinstance(fact, TargetGone):
            if self._view.remove_target(fact.id, now):
                log_event(
                    "target_gone", target=fact.id, revision=revision_of(entry.position)
                )
        elif isinstance(fact, TargetRecord):
            self._apply_target(fact, entry, now)
        elif isinstance(fact, ZoneEvacuated):
            if self._view.evacuate(fact.zone, now):
                self._log_zone("zone_evacuated", fact.zone, entry, now)
        elif isinstance(fact, ZoneRestored):
            if self._view.restore_zone(fact.zone, now):
                self._log_zone("zone_restored", fact.zone, entry, now)
            elif fact.zone in self._view.evacuated_zones(now):
                self._log_zone("evacuation_kept", fact.zone, entry, now)

    def _log_zone(
        self, event: str, zone: ZoneId, entry: Entry, now: Milliseconds
    ) -> None:
        log_event(
            event,
            zone=zone,
            era=era_of(entry.position),
            revision=revision_of(entry.position),
            view_age_ms=self._view.age(now),
        )

    def _apply_settings(
        self, catalogue: Catalogue, entry: Entry, now: Milliseconds
    ) -> None:
        """Put a configuration in force, unless a newer one was in force before."""
        is_known = self._view.is_in_force(catalogue)
        is_in_force = self._view.apply(catalogue)
        if is_in_force:
            self._table.put_in_force(SettingsInForce(catalogue.version, entry))
            self._targets.streams.apply_catalogue(catalogue, now, entry.position)
        if is_known:
            return
        log_event(
            "settings_in_force" if is_in_force else "settings_kept",
            version=self._view.version,
            listed=catalogue.version,
            era=era_of(entry.position),
            revision=revision_of(entry.position),
            routes=len(catalogue.routes),
            view_age_ms=self._view.age(now),
        )

    def _apply_target(
        self, record: TargetRecord, entry: Entry, now: Milliseconds
    ) -> None:
        known_born_ms = self._view.born_ms(record.id)
        # The first entry of an era may be older than what this VM saw before.
        is_later = self._view.was_put_in_era(record.id)
        was_cold = self._view.cold_until(record.id) > now
        born_ms = record.born_ms
        started_at = Milliseconds(born_ms - self._unix_ahead) if born_ms else None
        changed = self._view.put_target(
            record, now, is_later, entry.position, started_at
        )
        self._log_cold(record, was_cold, now)
        if not changed:
            return
        if known_born_ms is not None and known_born_ms != record.born_ms:
            self._targets.forget(record.id, now)
        log_event(
            "target_listed",
            target=record.id,
            service=record.service,
            address=record.address,
            state=record.state.value,
            born_ms=record.born_ms,
            software=record.software,
            revision=revision_of(entry.position),
            held_since=self._view.held_since(record.id),
        )

    def _log_cold(
        self, record: TargetRecord, was_cold: bool, now: Milliseconds
    ) -> None:
        """Log that a target's entry began or ceased to say that it is cold."""
        cold_until = self._view.cold_until(record.id)
        if was_cold != (cold_until > now):
            log_event(
                "target_warm" if was_cold else "target_cold",
                target=record.id,
                service=record.service,
                zone=record.zone,
                cold_ms=max(0, cold_until - now),
                view_age_ms=self._view.age(now),
            )


def confirm_interval(settings: EdgeSettings, vm_count: int) -> Milliseconds:
    """Return the pause between two confirmations of the view.

    A request to a seed also reports the VM's calls, so in a small fleet a VM makes them
    more often than its view needs.
    """
    longest_interval = settings.key_lifetime * STANDALONE_INTERVAL_SHARE
    if not settings.seeds or settings.peers is None:
        return Milliseconds(round(longest_interval))
    if settings.reads_platform:
        return Milliseconds(
            round(min(longest_interval, settings.change_within * SEED_INTERVAL_SHARE))
        )
    needed_interval = min(
        longest_interval, settings.change_within * NON_SEED_INTERVAL_SHARE
    )
    report_interval = max(REPORT_INTERVAL, vm_count * REPORT_INTERVAL_PER_VM)
    return Milliseconds(
        round(min(needed_interval, report_interval, LONGEST_REPORT_INTERVAL))
    )
