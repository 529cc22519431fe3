"""Keeps the view of the platform fresh."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold.edge._attempts import spread
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._platform_source import Decode
from yuccafold.edge._platform_source import Entry
from yuccafold.edge._platform_source import HistoryLostError
from yuccafold.edge._platform_source import PlatformChanges
from yuccafold.edge._platform_source import PlatformSource
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._platform_source import TargetGone
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._source_choice import SourceChoice
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView

LONE_SHARE = 0.4
"""Share of a key's lifetime between two confirmations of the view where no other VM
asks: the rest is left for outages, of which callers are owed three fifths."""

SEED_SHARE = 0.35
"""Share of the time in which settings must be in force, between two confirmations of
a VM that others ask. A seed that lost the platform is noticed when its view is
older than this."""

ASKING_SHARE = 0.25
"""The same between two questions to a seed: with the share above and the time to ask
another one, a change is in force in time whichever VM fails."""

REPORT_PAUSE = Milliseconds(450)
"""Pause between two reports of a VM's calls: half as long as calls last on average."""

REPORT_PAUSE_A_VM = Milliseconds(5)
"""The same for each VM there is: a seed of half a core answers in 1 to 2 ms, and
three seeds must not spend more than a fifth of it."""

STORE_REST_SHARE = 0.25
"""Share of a key's lifetime between two failed reads of the store by a VM that asks
others: keys are honoured long enough for three more tries."""

AGE_SLACK = Milliseconds(250)
"""How much older than one confirmation a seed's view may be when it answers."""

WATCH_WAIT = Milliseconds(20_000)
"""How long a watch waits for a change; the store allows 30,000 ms."""

NO_WAIT = Milliseconds(0)

GATHER_PAUSE = Milliseconds(120)
"""Pause after a change before the next watch: changes come in bursts, each answer is
a call, and a change must be in force only within seconds."""

ROLE_POLL = Milliseconds(1_000)
"""How often a VM that asks others looks whether it is a seed now."""

FIRST_PAUSE = Milliseconds(60)
"""Pause after the first failed read; the platform answers in a few ms."""

LONGEST_PAUSE = Milliseconds(500)
"""Longest pause between failed reads, well below the time a view may be old."""


@final
class ViewReader:
    """Reads the platform without end and takes what it says into the view.

    VMs that read it themselves follow its changes by a watch. All confirm their
    view at a steady pace, at the store or at other VMs.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: EdgeSettings,
        store: PlatformSource,
        peers: list[PlatformSource],
        decode: Decode,
        table: EntryTable,
        view: PlatformView,
        targets: Targets,
        metrics: EdgeMetrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._store = store
        self._max_age = Milliseconds(
            round(settings.apply_within * SEED_SHARE) + AGE_SLACK
        )
        self.use(settings, peers)
        self._decode = decode
        self._table = table
        self._view = view
        self._targets = targets
        self._metrics = metrics
        self._pause = FIRST_PAUSE
        self._lists = 0
        self._must_list = True
        self._first_view = trio.Event()
        self._fresh = trio.Event()
        self._doubted = trio.Event()
        self._watch: trio.CancelScope | None = None
        self._suspect: trio.CancelScope | None = None

    @property
    def first_view(self) -> trio.Event:
        """Set once the platform was read for the first time."""
        return self._first_view

    def use(self, settings: EdgeSettings, peers: list[PlatformSource]) -> None:
        """Read from the store and ``peers`` as ``settings`` say, from now on."""
        self._choice = SourceChoice(
            self._store,
            peers,
            settings.reads_platform,
            self._rng,
            Milliseconds(round(settings.key_lifetime * STORE_REST_SHARE)),
        )
        self._follows = settings.reads_platform
        self._settings = settings

    async def run(self) -> None:
        """Read until cancelled: one task follows changes, one confirms the view."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._confirm)

    async def _follow(self) -> None:
        """Take changes as they come; the platform answers once there is one."""
        while True:
            await self._fresh.wait()
            if not self._follows:
                await trio.sleep(ROLE_POLL / MS_PER_SECOND)
                continue
            try:
                with trio.CancelScope() as self._watch:
                    await self._read_changes(self._store, WATCH_WAIT)
            except HistoryLostError as error:
                self._lose_history(error)
            except PlatformUnavailableError as error:
                self._lose(self._store, error)
            self._watch = None
            await trio.sleep(GATHER_PAUSE / MS_PER_SECOND)

    async def _confirm(self) -> None:
        """Ask at a steady pace, and when in doubt, whether the view still holds."""
        while True:
            self._doubted = trio.Event()
            if not await self._refresh():
                await trio.sleep(spread(self._pause, self._rng) / MS_PER_SECOND)
                self._pause = Milliseconds(min(LONGEST_PAUSE, self._pause * 2))
                continue
            self._pause = FIRST_PAUSE
            pause = confirm_pause(self._settings, self._targets.evidence.loads.vms)
            with trio.move_on_after(pause / MS_PER_SECOND):
                await self._doubted.wait()

    async def _refresh(self) -> bool:
        """Ask one source after the other; return whether one had a fresh view."""
        for source in self._sources():
            try:
                age = await self._read(source)
            except HistoryLostError as error:
                self._lose_history(error)
                return await self._refresh()
            except PlatformUnavailableError as error:
                self._lose(source, error)
                continue
            if source is self._store:
                self._fresh.set()
            elif age > self._max_age:
                self._lose(source, PlatformUnavailableError(f"view is {age} ms old"))
                continue
            if self._choice.succeeded(source):
                log_event("source_regained", source=source.name)
            self._first_view.set()
            return True
        return False

    def _sources(self) -> list[PlatformSource]:
        """Return the sources to try; the first list is read at the store.

        When all VMs start at once, none has a view to ask for yet.
        """
        order = self._choice.order(self._clock.now())
        if self._must_list:
            order.sort(key=lambda source: source is not self._store)
        return order

    async def _read(self, source: PlatformSource) -> Milliseconds:
        """Read what is new at ``source``; return how old its view was."""
        started = self._clock.now()
        if self._must_list:
            age = await self._read_all(source)
        else:
            changes = await self._read_changes(source, NO_WAIT)
            while not changes.is_last:
                started = self._clock.now()
                changes = await self._read_changes(source, NO_WAIT)
            age = changes.age
            if source is self._store:
                self._doubt_watch(bool(changes.entries))
        self._view.confirm(Milliseconds(started - age))
        for target in self._view.forget_gone(started):
            self._targets.forget(target)
        return age

    async def _read_all(self, source: PlatformSource) -> Milliseconds:
        self._count(source)
        state = await source.read_all()
        self._lists += 1
        self._must_list = False
        for entry in self._table.replace(state.entries, state.position):
            self._take(entry)
        return state.age

    async def _read_changes(
        self, source: PlatformSource, wait: Milliseconds
    ) -> PlatformChanges:
        """Take what changed; return the changes that were new, with their age."""
        self._count(source)
        lists = self._lists
        changes = await source.changes(self._table.position, wait)
        if lists != self._lists:
            # A list that was read meanwhile is newer than these changes.
            return replace(changes, entries=())
        if changes.in_outage:
            self._view.note_outage(self._clock.now())
        new = self._table.take(changes.entries, changes.position)
        for entry in new:
            self._take(entry)
        return replace(changes, entries=tuple(new))

    def _doubt_watch(self, missed: bool) -> None:
        """Replace a watch that did not tell of changes that are there.

        Its answer may be on the way, so it is given until the next confirmation.
        """
        if self._suspect is not None and self._suspect is self._watch:
            log_event("platform_watch_deaf")
            self._suspect.cancel()
        self._suspect = self._watch if missed else None

    def _lose(self, source: PlatformSource, error: PlatformUnavailableError) -> None:
        """Take note that a source gave no fresh view."""
        now = self._clock.now()
        self._metrics.count("source_failures", source=source.name)
        if source is self._store:
            self._view.note_outage(now)
            self._stop_following()
        if self._choice.failed(source, now):
            log_event(
                "source_lost",
                source=source.name,
                detail=str(error),
                view_age_ms=self._view.age(now),
            )

    def _lose_history(self, error: HistoryLostError) -> None:
        """Have the whole state read again."""
        log_event("platform_history_lost", detail=str(error))
        self._must_list = True
        self._stop_following()

    def _stop_following(self) -> None:
        """Have the watch wait until the platform was read again."""
        # Who waits already waits on the present event, so only a set one is replaced.
        if self._fresh.is_set():
            self._fresh = trio.Event()
        self._doubted.set()

    def _count(self, source: PlatformSource) -> None:
        kind = "store" if source is self._store else "peer"
        self._metrics.count("platform_reads", source=kind)

    def _take(self, entry: Entry) -> None:
        """Take one entry into the view."""
        now = self._clock.now()
        fact = self._decode(entry)
        if isinstance(fact, Catalogue):
            if self._view.apply(fact):
                log_event(
                    "settings_in_force",
                    version=fact.version,
                    revision=entry.revision,
                    routes=len(fact.routes),
                    view_age_ms=self._view.age(now),
                )
        elif isinstance(fact, TargetGone):
            if self._view.remove_target(fact.id, now):
                log_event("target_gone", target=fact.id, revision=entry.revision)
        elif isinstance(fact, TargetRecord):
            self._take_target(fact, entry, now)

    def _take_target(
        self, record: TargetRecord, entry: Entry, now: Milliseconds
    ) -> None:
        born_before = self._view.born_ms(record.id)
        if not self._view.put_target(record, now):
            return
        if born_before is not None and born_before != record.born_ms:
            self._targets.forget(record.id)
        log_event(
            "target_listed",
            target=record.id,
            service=record.service,
            address=record.address,
            state=record.state.value,
            born_ms=record.born_ms,
            revision=entry.revision,
        )


def confirm_pause(settings: EdgeSettings, vms: int) -> Milliseconds:
    """Return the pause between two confirmations of the view.

    With its question a VM reports its calls, so one of a small fleet asks more
    often than its view needs.
    """
    longest = settings.key_lifetime * LONE_SHARE
    if not settings.seeds or settings.peers is None:
        return Milliseconds(round(longest))
    if settings.reads_platform:
        return Milliseconds(round(min(longest, settings.apply_within * SEED_SHARE)))
    needed = min(longest, settings.apply_within * ASKING_SHARE)
    return Milliseconds(round(min(needed, max(REPORT_PAUSE, vms * REPORT_PAUSE_A_VM))))
