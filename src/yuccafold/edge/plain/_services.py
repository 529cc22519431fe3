"""What the router decides about calls of small plain services."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold._log import log_event
from yuccafold.edge._call import Call
from yuccafold.edge._model import Route
from yuccafold.edge._model import ServiceSpec
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._placement import Placement
from yuccafold.edge._view import KnownTarget
from yuccafold.edge.plain._choice import BUSY_UTILIZATION
from yuccafold.edge.plain._choice import CLEARLY_WORSE
from yuccafold.edge.plain._choice import Candidate
from yuccafold.edge.plain._choice import ExpectedTimePlacement
from yuccafold.edge.plain._choice import NoRoom
from yuccafold.edge.plain._choice import first_admitted
from yuccafold.edge.plain._choice import room_for
from yuccafold.edge.plain._choice import utilization
from yuccafold.edge.plain._connections import connection_share
from yuccafold.edge.plain._hedging import AnswerTimes
from yuccafold.edge.plain._occupancy import Occupancy
from yuccafold.edge.plain._pace import AnswerPaces
from yuccafold.edge.plain._settings import PlainSettings
from yuccafold.edge.plain._settings import is_small

OVERDUE_QUANTILE = 0.9
"""Share of calls that end before a running one says that its target is slow."""


@final
class SmallServices:
    """Places calls of services with fewer slots than there are VMs.

    Other services aren't touched: each method says so by ``None``.
    """

    def __init__(
        self,
        loads: LoadTable,
        paces: AnswerPaces,
        zone: ZoneId,
        rng: random.Random,
        settings: PlainSettings | None = None,
    ) -> None:
        self._loads = loads
        self._paces = paces
        self._settings = settings or PlainSettings()
        self._occupancy = Occupancy(loads)
        self._placement = ExpectedTimePlacement(
            loads, self._occupancy, paces, zone, rng
        )
        self._answer_times = AnswerTimes()
        self._small: set[ServiceId] = set()
        self._utilization: dict[ServiceId, float] = {}
        self._silences: dict[TargetId, Milliseconds] = {}
        self._sent: dict[TargetId, dict[CallId, Milliseconds]] = {}

    def update(
        self, service: ServiceId, ready: Sequence[TargetRecord], states_slowdown: bool
    ) -> bool:
        """Return whether ``service`` is small by its ready targets, and remember it.

        One whose targets don't state how long work takes is served as any other.
        """
        small = states_slowdown and is_small(ready, self._loads.vm_count)
        if small != (service in self._small):
            (self._small.add if small else self._small.discard)(service)
            log_event(
                "small_service_begins" if small else "small_service_ends",
                service=service,
                slots=sum(target.slots for target in ready),
                targets=len(ready),
                vms=self._loads.vm_count,
            )
        return small

    def choose(
        self,
        call: Call,
        usable: Sequence[KnownTarget],
        limits: Mapping[TargetId, Callable[[], bool]],
        now: Milliseconds,
    ) -> Placement | NoRoom | None:
        """Choose the target that a call of a small service is sent to at once.

        A call that runs at a target already is sent to a second one only if that has
        room and isn't clearly slower. Returns ``None`` if there is no such target, or
        none has room by its limit.
        """
        if not usable:
            return None
        service, route = call.service, call.admitted.route
        candidates = self._placement.candidates(usable, now)
        if self._settings.refuses_late_calls:
            usual = self._paces.usual_duration(service, route.name)
            time_left = Milliseconds(call.deadline - now)
            no_room = room_for(candidates, usual, time_left)
            if no_room is not None:
                return no_room
        running_at = self._running_at(call, usable)
        if running_at is None:
            self._utilization[service] = utilization(candidates)
        else:
            candidates = self._beside(candidates, running_at, now)
        overdue = self.overdue(call, usable, now)
        ranked = self._placement.ranked(candidates, overdue, running_at is None)
        chosen = first_admitted(ranked, limits)
        if chosen is None:
            return None
        self._sent.setdefault(chosen.record.id, {})[call.head.id] = now
        return Placement(chosen, "least-expected-time")

    def finish(self, call: Call, target: TargetId) -> None:
        """Record that an attempt of ``call`` at ``target`` ended."""
        sent = self._sent.get(target)
        if sent is not None:
            sent.pop(call.head.id, None)
            if not sent:
                del self._sent[target]

    def places(self, service: ServiceId) -> bool:
        """Return whether calls of ``service`` are placed by ``choose``."""
        return service in self._small and self._settings.places_by_pace

    def record_duration(
        self,
        target: TargetRecord,
        route: Route,
        duration: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Record after which time ``target`` answered."""
        self._silences.pop(target.id, None)
        self._record_time(target, route, duration, now)

    def record_silence(
        self,
        target: TargetRecord,
        route: Route,
        silence: Milliseconds,
        now: Milliseconds,
    ) -> bool:
        """Record that a call was answered elsewhere during the silence of ``target``.

        Returns whether the target has been silent for so long in several calls, with no
        answer in between, that it counts as failed. A single call may be long. A hedge
        that was overtaken early tells nothing.
        """
        service, name, objective = target.service, route.name, route.latency_objective
        if silence < self._answer_times.usual_silence(service, name, objective):
            return False
        earlier = self._silences.get(target.id)
        total = Milliseconds((earlier or 0) + silence)
        self._silences[target.id] = total
        failing = self._answer_times.failing_silence(service, name, objective)
        self._record_time(target, route, silence, now)
        return earlier is not None and total >= failing

    def record_stated(
        self, target: TargetRecord, slowdown: float | None, now: Milliseconds
    ) -> None:
        """Record the slowdown that ``target`` stated, if any."""
        if slowdown is not None and target.service in self._small:
            self._paces.record_stated(target.id, slowdown, now)

    def hedge_delay(
        self, service: ServiceId, route: Route, time_left: Milliseconds
    ) -> Milliseconds | None:
        """Return after which silence a call is sent to a second target, if at all.

        The first attempt runs on. ``None`` if no second target is tried.
        """
        if service not in self._small or not self._settings.hedges:
            return None
        if self._utilization.get(service, 0.0) >= BUSY_UTILIZATION:
            return None
        return self._answer_times.hedge_delay(
            service, route.name, route.latency_objective, time_left
        )

    def kept_connections(self, spec: ServiceSpec | None) -> int | None:
        """Return how many idle connections are kept to a target of a service."""
        if spec is None or spec.id not in self._small:
            return None
        if not self._settings.shares_connections:
            return None
        return connection_share(spec.max_connections, self._loads.vm_count)

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._occupancy.forget(target)
        self._silences.pop(target, None)
        self._paces.forget(target)

    def _running_at(self, call: Call, usable: Sequence[KnownTarget]) -> TargetId | None:
        """Return the target at which ``call`` runs already, if any.

        It isn't usable for a hedge; otherwise another call has the same id.
        """
        others = {known.record.id for known in usable}
        return next(
            (
                target
                for target, sent in self._sent.items()
                if call.head.id in sent and target not in others
            ),
            None,
        )

    def _beside(
        self, candidates: Sequence[Candidate], first: TargetId, now: Milliseconds
    ) -> list[Candidate]:
        """Return the targets of use to a call that runs at ``first`` already."""
        slowest = CLEARLY_WORSE * self._paces.current_slowdown(first, now)
        return [
            candidate
            for candidate in candidates
            if candidate.calls < BUSY_UTILIZATION * candidate.record.slots
            and candidate.current_slowdown < slowest
        ]

    def overdue(
        self, call: Call, usable: Sequence[KnownTarget], now: Milliseconds
    ) -> frozenset[TargetId]:
        """Return the targets at which a call of this VM takes unusually long."""
        longest = self._answer_times.quantile(
            call.service, call.admitted.route.name, OVERDUE_QUANTILE
        )
        if longest is None:
            longest = call.admitted.route.latency_objective
        return frozenset(
            known.record.id
            for known in usable
            if any(
                now - sent_at > longest
                for sent_at in self._sent.get(known.record.id, {}).values()
            )
        )

    def _record_time(
        self,
        target: TargetRecord,
        route: Route,
        duration: Milliseconds,
        now: Milliseconds,
    ) -> None:
        if target.service not in self._small:
            return
        self._answer_times.record_duration(target.service, route.name, duration)
        self._paces.record_duration(
            target.id, target.service, route.name, duration, now
        )
