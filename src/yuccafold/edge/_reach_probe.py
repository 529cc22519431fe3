"""Finds out whether this VM is cut off from a service, and when it no longer is."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Collection
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge._exchange import CONNECT_TIMEOUT
from yuccafold.edge._exchange import connect
from yuccafold.edge._exchange import read_facts
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._targets import Targets
from yuccafold.http import HttpStream

PROBE_PAUSE = Milliseconds(200)
"""Pause between two tries to reach a service: a call that takes the way through another
VM costs that one as much as its own."""


ANSWER_TIMEOUT = Milliseconds(500)
"""How long a target may take to answer a health check before it counts as out of reach
while a cut is suspected. All of them have to be late at once, and a later answer is
contact as well."""

LATE_ANSWER_TIMEOUT = Milliseconds(1_000)
"""How long the answer to a health check is waited for: it may wait for a slot."""

Suspicions = dict[ServiceId, tuple[frozenset[TargetId], int]]
"""Services with the targets not to ask, and how many others to ask at a time."""


@final
class ReachProbe:
    """Asks targets of services that this VM may be cut off from for their health.

    Targets in a pause aren't asked. Any answer is contact; an accepted connection is
    none. While a cut is suspected, it
    asks targets that are not known to be out of reach; once the VM is cut off, any of
    them, one at a time. ``on_cut`` is called when a cut begins.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        targets: Targets,
        on_cut: Callable[[ServiceId], None],
        metrics: EdgeMetrics,
        translator: CallTranslator,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._targets = targets
        self._on_cut = on_cut
        self._metrics = metrics
        self._translator = translator
        self._asked: set[TargetId] = set()

    async def run(self) -> None:
        """Run until cancelled."""
        reach = self._targets.evidence.reach
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(PROBE_PAUSE / MS_PER_SECOND)
                suspected = reach.suspected(self._clock.now())
                cut_off: Suspicions = {
                    name: (frozenset(), 1) for name in reach.services_cut_off()
                }
                for service, (unreached, count) in (suspected | cut_off).items():
                    for target in self._choose(service, unreached, count):
                        self._asked.add(target.id)
                        nursery.start_soon(self._try_target, target)

    def _choose(
        self, service: ServiceId, unreached: Collection[TargetId], count: int
    ) -> list[TargetRecord]:
        """Return targets to ask, so that ``count`` are asked at a time."""
        now = self._clock.now()
        ready = [
            target
            for target in self._targets.ready(service, now)
            if not self._targets.is_paused(target, now)
        ]
        asked = [target for target in ready if target.id in self._asked]
        untried = [
            target
            for target in ready
            if target.id not in unreached and target.id not in self._asked
        ]
        return self._rng.sample(untried, max(0, min(count - len(asked), len(untried))))

    async def _try_target(self, target: TargetRecord) -> None:
        """Ask a target; it counts as out of reach while its answer is late."""
        try:
            with trio.move_on_after(LATE_ANSWER_TIMEOUT / MS_PER_SECOND):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._record_late, target)
                    is_reached = await self._ask(target)
                    nursery.cancel_scope.cancel()
                if is_reached:
                    self._targets.record_contact(target.service, self._clock.now())
                else:
                    self._record_unreached(target)
        finally:
            self._asked.discard(target.id)

    async def _record_late(self, target: TargetRecord) -> None:
        await trio.sleep(ANSWER_TIMEOUT / MS_PER_SECOND)
        self._record_unreached(target)

    def _record_unreached(self, target: TargetRecord) -> None:
        if self._targets.record_unreached(target, self._clock.now()):
            self._on_cut(target.service)

    async def _ask(self, target: TargetRecord) -> bool:
        """Return whether a target answers a health check on a new connection.

        Without a path for these, an accepted connection is all there is to go by.
        """
        path = self._targets.health_path(target.service)
        try:
            with trio.fail_after(CONNECT_TIMEOUT / MS_PER_SECOND):
                http = await connect(target.address)
        except (OSError, ValueError, trio.TooSlowError):
            return False
        try:
            # The answer to a call may have asked for a pause while this one connected.
            is_paused = self._targets.is_paused(target, self._clock.now())
            return path is None or is_paused or await self._check(http, target, path)
        finally:
            await http.close()

    async def _check(self, http: HttpStream, target: TargetRecord, path: str) -> bool:
        """Return whether a health check gets an answer, whatever it says."""
        paused = self._targets.time_paused(target, self._clock.now())
        self._metrics.count("health_checks", service=target.service)
        log_event("health_check_sent", target=target.id, paused_ms=paused)
        headers = [("Host", target.address)]
        request = h11.Request(method="GET", target=path, headers=headers)
        try:
            await http.send(request, h11.EndOfMessage())
            head = await http.next_event()
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            return False
        if not isinstance(head, h11.Response):
            return False
        facts = read_facts(self._translator, head)
        self._targets.record_notices(target, facts, path, self._clock.now())
        return True
