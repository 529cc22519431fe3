"""Keeps the view of the platform fresh."""

from __future__ import annotations

import random
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold.edge._attempts import spread
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._platform_source import HistoryLostError
from yuccafold.edge._platform_source import PlatformFact
from yuccafold.edge._platform_source import PlatformSource
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._platform_source import TargetGone
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView

CONFIRM_SHARE = 0.4
"""Share of a key's lifetime between two confirmations of the view: the rest is left
for outages, of which callers are owed three fifths."""

WATCH_WAIT = Milliseconds(20_000)
"""How long a watch waits for a change; the store allows 30,000 ms."""

NO_WAIT = Milliseconds(0)

DEAF_AFTER = Milliseconds(1_000)
"""A watch that did not tell for this long of a change that is there is dead."""

GATHER_PAUSE = Milliseconds(120)
"""Pause after a change before the next watch: changes come in bursts, each answer is
a call, and a change must be in force only within seconds."""

FIRST_PAUSE = Milliseconds(60)
"""Pause after the first failed read; the platform answers in a few ms."""

LONGEST_PAUSE = Milliseconds(500)
"""Longest pause between failed reads, well below the time a view may be old."""


@final
class ViewReader:
    """Reads the platform without end and takes what it says into the view."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: EdgeSettings,
        source: PlatformSource,
        view: PlatformView,
        targets: Targets,
        metrics: EdgeMetrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._confirm_pause = Milliseconds(round(settings.key_lifetime * CONFIRM_SHARE))
        self._source = source
        self._view = view
        self._targets = targets
        self._metrics = metrics
        self._position: int | None = None
        self._listed = 0
        self._pause = FIRST_PAUSE
        self._lost_at: Milliseconds | None = None
        self._first_view = trio.Event()
        self._fresh = trio.Event()
        self._doubted = trio.Event()
        self._watch = trio.CancelScope()
        self._watch_started = Milliseconds(0)

    @property
    def first_view(self) -> trio.Event:
        """Set once the platform was read for the first time."""
        return self._first_view

    async def run(self) -> None:
        """Read until cancelled: one task follows changes, one confirms the view."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._confirm)

    async def _follow(self) -> None:
        """Take changes as they come; the platform answers once there is one."""
        while True:
            await self._fresh.wait()
            self._watch_started = self._clock.now()
            try:
                with trio.CancelScope() as self._watch:
                    await self._read(WATCH_WAIT)
            except (HistoryLostError, PlatformUnavailableError) as error:
                self._doubt(error)
            await trio.sleep(GATHER_PAUSE / MS_PER_SECOND)

    async def _confirm(self) -> None:
        """Ask at a steady pace, and when in doubt, whether the view still holds."""
        while True:
            started = self._clock.now()
            self._doubted = trio.Event()
            try:
                missed = await self._read(NO_WAIT)
            except HistoryLostError as error:
                self._doubt(error)
                continue
            except PlatformUnavailableError as error:
                self._doubt(error)
                await self._wait_after_failure()
                continue
            self._confirmed(started)
            if missed and started - self._watch_started > DEAF_AFTER:
                log_event("platform_watch_deaf", missed=missed)
                self._watch.cancel()
            with trio.move_on_after(self._confirm_pause / MS_PER_SECOND):
                await self._doubted.wait()

    async def _read(self, wait: Milliseconds) -> int:
        """Take what changed behind the position; return how many changes."""
        self._metrics.count("platform_reads")
        position, listed = self._position, self._listed
        if position is None:
            return await self._read_all()
        changes = await self._source.changes(position, wait)
        if listed != self._listed:
            # A list that was read meanwhile is newer than these changes.
            return 0
        for fact in changes.facts:
            self._take(fact)
        self._position = max(position, changes.position, self._position or 0)
        return len(changes.facts)

    def _confirmed(self, started: Milliseconds) -> None:
        """Record that a call begun at ``started`` showed the present state."""
        self._view.confirm(started)
        self._view.forget_gone(started)
        if self._lost_at is not None:
            log_event("platform_regained", lost_ms=self._clock.now() - self._lost_at)
        self._lost_at = None
        self._pause = FIRST_PAUSE
        self._fresh.set()
        self._first_view.set()

    def _doubt(self, error: HistoryLostError | PlatformUnavailableError) -> None:
        """Have the view confirmed at once; watches wait until it is."""
        now = self._clock.now()
        self._metrics.count("platform_failures")
        self._fresh = trio.Event()
        self._doubted.set()
        if isinstance(error, HistoryLostError):
            log_event("platform_history_lost", detail=str(error))
            self._position = None
            return
        self._view.note_outage(now)
        if self._lost_at is None:
            self._lost_at = now
            log_event(
                "platform_lost", detail=str(error), view_age_ms=self._view.age(now)
            )

    async def _wait_after_failure(self) -> None:
        """Retry after an exponential delay with jitter."""
        await trio.sleep(spread(self._pause, self._rng) / MS_PER_SECOND)
        self._pause = Milliseconds(min(LONGEST_PAUSE, self._pause * 2))

    async def _read_all(self) -> int:
        state = await self._source.read_all()
        self._listed += 1
        if state.catalogue is not None:
            self._take(state.catalogue)
        for record in state.targets:
            self._take(record)
        listed = frozenset(record.id for record in state.targets)
        for target in self._view.keep_only(listed, self._clock.now()):
            log_event("target_gone", target=target, reason="not listed")
        self._position = state.position
        return 0

    def _take(self, fact: PlatformFact) -> None:
        """Take one fact into the view."""
        now = self._clock.now()
        if isinstance(fact, Catalogue):
            if self._view.apply(fact):
                log_event(
                    "settings_in_force",
                    version=fact.version,
                    routes=len(fact.routes),
                    view_age_ms=self._view.age(now),
                )
        elif isinstance(fact, TargetGone):
            if self._view.remove_target(fact.id, now):
                log_event("target_gone", target=fact.id, reason="entry removed")
        else:
            self._take_target(fact, now)

    def _take_target(self, record: TargetRecord, now: Milliseconds) -> None:
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
        )
