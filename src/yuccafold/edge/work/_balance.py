"""Brings estimates, paces and outstanding work of one VM together."""

from __future__ import annotations

import random
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge._call import Call
from yuccafold.edge._model import FeatureMode
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._placement import HolderMemory
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._placement import Placement
from yuccafold.edge._placement import TargetOrder
from yuccafold.edge._placement import as_ranked
from yuccafold.edge._view import KnownTarget
from yuccafold.edge.reports import Topic
from yuccafold.edge.work._estimator import CostEstimator
from yuccafold.edge.work._moved_prompts import MovedPrompts
from yuccafold.edge.work._outstanding import OutstandingWork
from yuccafold.edge.work._outstanding import RunningCall
from yuccafold.edge.work._paces import SPEAKS_FOR
from yuccafold.edge.work._paces import TargetPaces
from yuccafold.edge.work._placement import WorkPlacement
from yuccafold.edge.work._topics import CostsTopic
from yuccafold.edge.work._topics import PacesTopic
from yuccafold.edge.work._topics import WorkTopic
from yuccafold.edge.work._truth import EstimateTruth
from yuccafold.edge.work._truth import Gauge


@final
class WorkBalance:
    """Places calls by their work.

    ``FeatureMode.AUTO``: for services whose targets state their slowdown.
    """

    def __init__(
        self,
        loads: LoadTable,
        holders: HolderMemory,
        rng: random.Random,
        mode: FeatureMode = FeatureMode.AUTO,
    ) -> None:
        self._rng = rng
        self._mode = mode
        self._estimator = CostEstimator()
        self._paces = TargetPaces()
        self._outstanding = OutstandingWork()
        self._truth = EstimateTruth()
        self._placement = WorkPlacement(
            loads, holders, self._estimator, self._paces, self._outstanding, rng
        )
        self._moved = MovedPrompts(holders, mode is not FeatureMode.OFF)
        self._stated_at: dict[ServiceId, Milliseconds] = {}

    @property
    def estimator(self) -> CostEstimator:
        """What calls cost."""
        return self._estimator

    @property
    def paces(self) -> TargetPaces:
        """How much slower than usual targets are."""
        return self._paces

    @property
    def outstanding(self) -> OutstandingWork:
        """What targets still have to do."""
        return self._outstanding

    @property
    def placement(self) -> WorkPlacement:
        """What is expected of each target."""
        return self._placement

    @property
    def truth(self) -> EstimateTruth:
        """Whether first events came when they were expected."""
        return self._truth

    @property
    def moved(self) -> MovedPrompts:
        """Prompts that were sent to another target than the first in rank."""
        return self._moved

    def apply_mode(self, mode: FeatureMode) -> None:
        """Apply the operator's setting from now on."""
        self._mode = mode
        self._moved.apply_use(mode is not FeatureMode.OFF)

    def topics(self) -> list[Topic[Any]]:
        """Return what VMs report to each other, the most needed first."""
        return [
            PacesTopic(self._paces),
            WorkTopic(self._outstanding, self._paces),
            CostsTopic(self._estimator),
        ]

    def order(
        self, call: Call, usable: Sequence[KnownTarget], now: Milliseconds
    ) -> TargetOrder:
        """Return how to order targets for ``call``; as ranked without slowdowns.

        Durations of plain calls alone tell too late which target is slow: the few that
        a service has would get them by chance instead of in the local zone.
        """
        self._update_stated(call.service, usable, now)
        is_plain = not call.head.prompt
        if is_plain and not self.states_slowdown(call.service):
            return as_ranked
        if not self.is_in_effect(call.service):
            return as_ranked
        return lambda ranked: self._placement.order(call, ranked, now)

    def states_slowdown(self, service: ServiceId) -> bool:
        """Return whether targets of ``service`` state how long work takes."""
        return service in self._stated_at

    def is_in_effect(self, service: ServiceId) -> bool:
        """Return whether calls of ``service`` are placed by their work."""
        if self._mode is FeatureMode.AUTO:
            return self.states_slowdown(service)
        return self._mode is FeatureMode.ON

    def start(self, call: Call, placement: Placement, now: Milliseconds) -> None:
        """Record that ``call`` is about to be sent to the placed target.

        Where work doesn't count, nothing is kept of the call.
        """
        if not self.is_in_effect(call.service):
            return
        self._moved.start(call, placement)
        target = placement.target
        is_known = placement.fetch_from is None
        is_holder = is_known or placement.reason == "first-ranked"
        times = self._placement.expected_at(call, target, is_holder, now)
        running = RunningCall(times.cost, now, is_known, times.first_ms)
        self._outstanding.start(call.head.id, target.record.id, running)

    def record_first_event(
        self, call: Call, target: TargetId, now: Milliseconds
    ) -> None:
        """Record that the first event of a stream came."""
        self._moved.record_first_event(call.head.id, now)
        running = self._outstanding.running(call.head.id, target)
        if running is None or running.first_event_at is not None:
            return
        running.first_event_at = now
        after_ms = now - running.sent_at
        route = call.admitted.route.name
        if running.known_read:
            self._truth.record(route, after_ms, running.expected_first_ms)
            if not call.head.takes_up:
                pace = self._paces.pace(target, now)
                self._estimator.record_first_event(call, running.cost, after_ms, pace)

    def finish(
        self,
        call: Call,
        target: TargetId,
        size: int | None,
        now: Milliseconds,
    ) -> None:
        """Record the end of a call; ``size`` is that of its whole answer, if it came.

        The answer to a call that takes a stream up says nothing of a whole one.
        """
        self._moved.finish(call.head.id)
        running = self._outstanding.finish(call.head.id, target)
        if running is None or size is None or call.head.takes_up:
            return
        took_ms = now - running.sent_at
        first_ms = None
        if running.first_event_at is not None:
            first_ms = float(running.first_event_at - running.sent_at)
        pace = self._paces.pace(target, now)
        cost = running.cost
        if not call.head.prompt:
            self._truth.record(
                call.admitted.route.name, took_ms, running.expected_first_ms
            )
            if cost.typical_ms > 0:
                self._paces.record_seen(target, took_ms / cost.typical_ms, now)
        self._estimator.record_end(call, took_ms, first_ms, size, pace)

    def record_load(
        self, target: TargetId, load: TargetLoad, now: Milliseconds
    ) -> None:
        """Record the slowdown that a target stated, if it did."""
        if load.slowdown is not None and load.slowdown > 0:
            self._paces.record_stated(target, load.slowdown, now)

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._paces.forget(target)
        self._moved.forget(target)

    def gauges(self, now: Milliseconds) -> Iterator[Gauge]:
        """Yield whether estimates are true, and pace and work of targets."""
        yield from self._truth.gauges()
        if self._moved.has_moved:
            yield "prompts_moved", len(self._moved.local(now)), {}
        for target in self._paces.known():
            pace = self._paces.pace(target, now)
            work = self._outstanding.work(target, pace, now)
            labels: dict[str, object] = {"target": target}
            yield "target_slowdown_percent", round(100 * pace), labels
            yield "target_work_ms", round(work.read_ms + work.write_ms), labels

    def _update_stated(
        self, service: ServiceId, usable: Sequence[KnownTarget], now: Milliseconds
    ) -> None:
        ids = (known.record.id for known in usable)
        if self._paces.is_stated(ids, now):
            if service not in self._stated_at:
                log_event("targets_state_slowdown", service=service)
            self._stated_at[service] = now
        elif now - self._stated_at.get(service, now) > SPEAKS_FOR:
            del self._stated_at[service]
            log_event("targets_state_no_slowdown", service=service)
