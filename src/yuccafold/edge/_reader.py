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

WATCH_SHARE = 0.3
"""Share of a key's lifetime that one watch waits: an outage may take up the rest."""

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
        self._wait = Milliseconds(round(settings.key_lifetime * WATCH_SHARE))
        self._source = source
        self._view = view
        self._targets = targets
        self._metrics = metrics
        self._position: int | None = None
        self._pause = FIRST_PAUSE
        self._lost_at: Milliseconds | None = None

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            started = self._clock.now()
            try:
                await self._read()
            except HistoryLostError as error:
                log_event("platform_history_lost", detail=str(error))
                self._position = None
                self._view.note_outage(started)
            except PlatformUnavailableError as error:
                await self._wait_after(error)
                continue
            self._view.confirm(started)
            self._view.forget_gone(started)
            self._note_regained()

    async def _read(self) -> None:
        self._metrics.count("platform_reads")
        if self._position is None:
            await self._read_all()
            return
        # The first read after an outage returns at once and confirms the view.
        wait = self._wait if self._lost_at is None else Milliseconds(1)
        changes = await self._source.changes(self._position, wait)
        for fact in changes.facts:
            self._take(fact)
        self._position = changes.position

    async def _read_all(self) -> None:
        state = await self._source.read_all()
        if state.catalogue is not None:
            self._take(state.catalogue)
        for record in state.targets:
            self._take(record)
        listed = frozenset(record.id for record in state.targets)
        for target in self._view.keep_only(listed, self._clock.now()):
            log_event("target_gone", target=target, reason="not listed")
        self._position = state.position

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

    async def _wait_after(self, error: PlatformUnavailableError) -> None:
        now = self._clock.now()
        self._metrics.count("platform_failures")
        self._view.note_outage(now)
        if self._lost_at is None:
            self._lost_at = now
            log_event(
                "platform_lost", detail=str(error), view_age_ms=self._view.age(now)
            )
        await trio.sleep(spread(self._pause, self._rng) / MS_PER_SECOND)
        self._pause = Milliseconds(min(LONGEST_PAUSE, self._pause * 2))

    def _note_regained(self) -> None:
        if self._lost_at is not None:
            lost_ms = self._clock.now() - self._lost_at
            log_event("platform_regained", lost_ms=lost_ms)
        self._lost_at = None
        self._pause = FIRST_PAUSE
