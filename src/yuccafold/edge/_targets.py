"""Collects what this VM knows of targets, and chooses one for each call."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold._verdict import Refusal
from yuccafold.edge._attempts import cold
from yuccafold.edge._attempts import evacuated
from yuccafold.edge._attempts import limited
from yuccafold.edge._attempts import no_room
from yuccafold.edge._attempts import no_target
from yuccafold.edge._attempts import paused
from yuccafold.edge._attempts import version_gone
from yuccafold.edge._attempts import versions_unsettled
from yuccafold.edge._attempts import view_too_old
from yuccafold.edge._brittle import BrittleTargets
from yuccafold.edge._call import Call
from yuccafold.edge._health import PLAIN_LIMITS
from yuccafold.edge._health import PROMPT_LIMITS
from yuccafold.edge._health import Outcome
from yuccafold.edge._health import TargetHealth
from yuccafold.edge._helpers import HelperTable
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import Route
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._pauses import TargetPauses
from yuccafold.edge._placement import HolderMemory
from yuccafold.edge._placement import Limits
from yuccafold.edge._placement import LoadBounds
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._placement import Placement
from yuccafold.edge._placement import PlainPlacement
from yuccafold.edge._placement import PromptPlacement
from yuccafold.edge._placement import TargetOrder
from yuccafold.edge._placement import affinity
from yuccafold.edge._quarantine import Quarantine
from yuccafold.edge._quarantine import quarantine_settings
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._streams import Streams
from yuccafold.edge._target_limits import TargetLimits
from yuccafold.edge._view import KnownTarget
from yuccafold.edge._view import PlatformView
from yuccafold.edge._vm_reports import TargetEvidence
from yuccafold.edge.plain import NoRoom
from yuccafold.edge.plain import PlainSettings
from yuccafold.edge.plain import SlotShares
from yuccafold.edge.plain import SmallServices
from yuccafold.edge.sharing import UNCOUNTED
from yuccafold.edge.sharing import Admission
from yuccafold.edge.sharing import AdmissionPolicy
from yuccafold.edge.sharing import ReturnDetector
from yuccafold.edge.sharing import UsualCosts
from yuccafold.edge.warmup import ColdTargets
from yuccafold.edge.work import WorkBalance

LEAST_PATIENCE = Milliseconds(2_000)
"""Time without an event after which callers abandon streams at the earliest."""


def first_event_patience(route: Route) -> Milliseconds:
    """Return how long callers of a stream wait for its first event."""
    objective, gap = route.latency_objective, route.event_gap_objective
    return Milliseconds(max(LEAST_PATIENCE, 4 * objective, 8 * gap))


@final
@dataclass(frozen=True, slots=True)
class Candidates:
    """The targets for one attempt, and by what one of them is chosen.

    ``ready`` are those that may get the call, ``unhealthy`` those that fail by the
    outcomes of all VMs. ``usable`` are tried in ``order``, if ``limits`` leave room.
    """

    ready: Sequence[KnownTarget]
    unhealthy: Collection[TargetId]
    usable: Sequence[KnownTarget]
    limits: Limits
    order: TargetOrder


@final
class Targets:
    """Chooses targets by the platform's view, health, load and prompts."""

    def __init__(
        self, view: PlatformView, settings: EdgeSettings, rng: random.Random
    ) -> None:
        self._view = view
        self._rng = rng
        self._seeds = settings.seeds
        self._health = TargetHealth()
        self._epoch = f"{rng.getrandbits(32):08x}"
        self._streams = Streams(view, self._epoch)
        self._holders = HolderMemory()
        loads = LoadTable()
        self._evidence = TargetEvidence(
            loads=loads,
            limits=TargetLimits(rng),
            quarantine=Quarantine(quarantine_settings(settings, self._epoch)),
            leaving=view.leaving,
            streams=self._streams.versions,
            history=view.history,
            helpers=HelperTable(rng),
            work=WorkBalance(loads, self._holders, rng, settings.placing_by_work),
            slot_shares=SlotShares(settings.vm),
            sharing=AdmissionPolicy(rng, settings.sharing),
            route_services=self._streams.route_services,
        )
        self._brittle = BrittleTargets()
        self._pauses = TargetPauses()
        self._cold = ColdTargets(
            settings.vm, settings.cold_multiple, settings.cold_slack
        )
        self._returns = ReturnDetector()
        self._costs = UsualCosts()
        self._admissions: dict[CallId, Admission] = {}
        self._held: dict[CallId, Milliseconds] = {}
        self._prompt_placement = PromptPlacement(
            self._evidence.loads, self._holders, settings.load_multiple, rng
        )
        self._plain_placement = PlainPlacement(self._evidence.loads, settings.zone, rng)
        # Durations include the wait for a slot, so they can't tell who comes too late.
        plain_settings = PlainSettings(refuses_late_calls=False)
        self._small_services = SmallServices(
            self._evidence.loads,
            self._evidence.answer_paces,
            settings.zone,
            rng,
            plain_settings,
        )

    @property
    def evidence(self) -> TargetEvidence:
        """Load and outcomes of targets, from local calls and reports of all VMs."""
        return self._evidence

    @property
    def streams(self) -> Streams:
        """The software versions at which streams began."""
        return self._streams

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Apply the settings of the quarantine, of sharing and placing from now on."""
        self._evidence.sharing.apply_mode(settings.sharing)
        self._evidence.work.apply_mode(settings.placing_by_work)
        self._evidence.quarantine.apply_settings(
            quarantine_settings(settings, self._epoch)
        )

    def admit(self, call: Call, now: Milliseconds) -> Admission:
        """Return whether a call is admitted by the capacity of its service.

        ``end_admission`` has to be called for it. Calls that another VM has admitted
        already are.
        """
        if call.head.detoured:
            return UNCOUNTED
        route, account = call.admitted.route, call.admitted.account
        sharing = self._evidence.sharing
        if not sharing.is_in_effect(call.service, now):
            return UNCOUNTED
        sharing.record_targets(call.service, self.ready(call.service, now), now)
        admission = sharing.admit(
            call.service,
            call.urgency,
            None if account is None else account.id,
            self._costs.cost(route.name),
            call.arrived_at,
            Milliseconds(call.deadline - call.arrived_at),
            self._returns.is_return(route.name, call.head.deadline),
            now,
            patience=first_event_patience(route) if route.streams else None,
            is_begun=call.head.takes_up,
        )
        if admission.counted:
            self.end_admission(call, now)
            self._admissions[call.head.id] = admission
        return admission

    def end_admission(self, call: Call, now: Milliseconds) -> None:
        """Record the end of a call that was admitted."""
        admission = self._admissions.pop(call.head.id, None)
        held = self._held.pop(call.head.id, None)
        if admission is not None:
            self._evidence.sharing.end(admission, held, now)

    def place(
        self,
        call: Call,
        tried: Collection[TargetId],
        now: Milliseconds,
        version: SoftwareVersion | None = None,
    ) -> Placement | NoRoom | None:
        """Return the target for the next attempt, ``None`` if there is none.

        ``NoRoom`` says that none would answer in time. Calls that a target's limit
        leaves no room for go to the next one.

        ``tried`` are the targets of earlier attempts; they are not chosen again. A
        stream that has begun goes on at a target of its ``version`` only.
        """
        return self.choose(call, self.candidates(call, tried, now, version), now)

    def candidates(
        self,
        call: Call,
        tried: Collection[TargetId],
        now: Milliseconds,
        version: SoftwareVersion | None = None,
    ) -> Candidates:
        """Return the targets among which ``choose`` chooses one."""
        choice = self._streams.choose_version(call, now)
        ready = [
            known
            for known in self._ready(call.service, version, now)
            if choice.allows(known.record.software)
            and not self._pauses.is_paused(known.record, now)
        ]
        repeatable = call.repeatability is not Repeatability.ONCE
        untried = [known for known in ready if known.record.id not in tried]
        target_ids = [known.record.id for known in ready]
        unhealthy = self._evidence.outcomes.unhealthy(target_ids, now)
        usable = self._health.usable(untried, repeatable, now, unhealthy)
        limits = self._limits_of(call, usable, now)
        order = self._evidence.work.order(call, usable, now)
        return Candidates(ready, unhealthy, usable, limits, order)

    def choose(
        self, call: Call, candidates: Candidates, now: Milliseconds
    ) -> Placement | NoRoom | None:
        """Return the target that a call is sent to; see ``place``."""
        usable, limits, order = candidates.usable, candidates.limits, candidates.order
        if call.head.prompt:
            holders = self._possible_holders(call.service, candidates.unhealthy)
            return self._prompt_placement.choose(
                call.head.prompt, usable, holders, now, limits, order
            )
        is_uneven = self._evidence.work.states_slowdown(call.service)
        if is_uneven or self._small_services.places(call.service):
            ready_records = self.ready(call.service, now)
            self._small_services.update(call.service, ready_records, is_uneven)
        if self._small_services.places(call.service):
            return self._small_services.choose(call, usable, limits, now)
        return self._plain_placement.choose(usable, now, limits, order)

    def refuse_without_target(
        self,
        call: Call,
        room: NoRoom | None,
        version: SoftwareVersion | None,
        now: Milliseconds,
        rng: random.Random,
    ) -> Refusal:
        """Return the answer to a call that has not run if ``place`` finds no target."""
        if room is not None:
            return no_room(room.wait)
        if version is not None:
            may_come_back = self.has_version(call, version, now)
            return version_gone(version, may_come_back, rng)
        time_left = Milliseconds(call.deadline - now)
        if self._streams.needs_later_view(call, now):
            return view_too_old(rng)
        begins_in = self._streams.may_begin_in(call, now)
        if begins_in and self.ready(call.service, now):
            return versions_unsettled(begins_in, time_left, rng)
        pause_left = self.pause_left(call.service, now)
        if pause_left is not None:
            return paused(pause_left, time_left, rng)
        if self.has_limited(call.service, now):
            return limited(rng)
        cold_wait = self.cold_wait(call.service, now)
        if cold_wait is not None:
            return cold(cold_wait, time_left, rng)
        if self.is_evacuated(call.service, now):
            return evacuated()
        return no_target(rng)

    def rehearse(self, rng: random.Random) -> Targets:
        """Return a copy on which decisions can be tried, with a copy of the ``rng``.

        What decisions only read is shared, as it is large.
        """
        versions, work = self._streams.versions, self._evidence.work
        shared = (
            self._view,
            self._view.leaving,
            self._view.history,
            self._holders,
            self._evidence.loads,
            work.estimator,
            work.outstanding,
            work.paces,
        )
        memo: dict[int, object] = {id(part): part for part in shared}
        memo |= {id(self._rng): rng, id(versions): copy.copy(versions)}
        return copy.deepcopy(self, memo)

    def lacks_permit(self, known: KnownTarget, now: Milliseconds) -> bool:
        """Return whether a target is cold and takes no call from this VM now."""
        rate = self._cold_rate(known, now)
        return bool(rate) and not self._cold.has_permit(known.record.id, rate, now)

    def is_brittle(self, service: ServiceId, now: Milliseconds) -> bool:
        """Return whether targets of ``service`` state that they are brittle."""
        return self._brittle.is_brittle(service, now)

    def load_bounds(
        self, targets: Sequence[KnownTarget], now: Milliseconds
    ) -> LoadBounds:
        """Return the calls at each of ``targets``, and up to which they get prompts."""
        return self._prompt_placement.bounds(targets, now)

    def held_tokens(self, call: Call, now: Milliseconds) -> dict[TargetId, int]:
        """Return how many tokens that other calls may share targets probably hold."""
        shared = call.head.shared_parts or call.head.prompt
        return self._holders.held_tokens(shared, now)

    def places_by_pace(self, service: ServiceId) -> bool:
        """Return whether calls of ``service`` are placed as those of a small one."""
        return self._small_services.places(service)

    def overdue(
        self, call: Call, targets: Sequence[KnownTarget], now: Milliseconds
    ) -> frozenset[TargetId]:
        """Return the targets of a small service that are silent for unusually long."""
        if not self.places_by_pace(call.service):
            return frozenset()
        return self._small_services.overdue(call, targets, now)

    def _ready(
        self, service: ServiceId, version: SoftwareVersion | None, now: Milliseconds
    ) -> list[KnownTarget]:
        """Return the targets that may get calls, of one version if it is given."""
        return [
            known
            for known in self._view.ready(service, now)
            if version is None or known.record.software == version
        ]

    def _limits_of(
        self, call: Call, targets: Sequence[KnownTarget], now: Milliseconds
    ) -> dict[TargetId, Callable[[], bool]]:
        """Return for each limited target whether its limit leaves room for a call."""
        limits = self._evidence.limits
        shares: dict[TargetId, int] = {}
        is_brittle = self._brittle.is_brittle(call.service, now)
        if is_brittle:
            shares = self._slot_shares(call.service, now)
        if is_brittle and not shares:
            # A target that just started may be as brittle as the others.
            objective = call.admitted.route.latency_objective
            for known in targets:
                if not limits.is_known(known.record.id):
                    limit = self._brittle.limit(known.record, objective)
                    limits.record_answer(known.record.id, limit, now)

        def admits(target: TargetId) -> bool:
            if target in shares:
                if self._evidence.loads.in_flight(target) >= shares[target]:
                    return False
                if not self._brittle.names_limit(target):
                    return True
            shared = affinity(call.head.shared_parts, target)
            return limits.admits(target, call.urgency, shared, now)

        admitting: dict[TargetId, Callable[[], bool]] = {
            known.record.id: partial(admits, known.record.id)
            for known in targets
            if known.record.id in shares or limits.is_limited(known.record.id, now)
        }
        if not self._has_cold_rate(call.service):
            return admitting
        rates = {known.record.id: self._cold_rate(known, now) for known in targets}
        return admitting | {
            target: partial(self._reserve, target, rate, now, admitting.get(target))
            for target, rate in rates.items()
            if rate
        }

    def _has_cold_rate(self, service: ServiceId) -> bool:
        catalogue = self._view.catalogue
        spec = None if catalogue is None else catalogue.services.get(service)
        return spec is not None and spec.cold_rate > 0

    def _cold_rate(self, known: KnownTarget, now: Milliseconds) -> float:
        """Return the calls a second that a cold target takes; 0 if it isn't cold."""
        record = known.record
        until = max(known.cold_until, self._cold.cold_until(record.id))
        if now >= until or self._view.catalogue is None:
            return 0.0
        spec = self._view.catalogue.services.get(record.service)
        return 0.0 if spec is None else spec.cold_rate

    def _reserve(
        self,
        target: TargetId,
        rate: float,
        now: Milliseconds,
        admits: Callable[[], bool] | None,
    ) -> bool:
        """Return whether a cold target takes a call, which is placed there then."""
        if not self._cold.has_permit(target, rate, now):
            return False
        if admits is not None and not admits():
            return False
        self._cold.reserve(target, now)
        return True

    def record_vm_count(self, now: Milliseconds) -> None:
        """Record how many VMs there are by the last report, unless it is old.

        A VM that hears of no other although there are seeds may be cut off.
        """
        loads = self._evidence.loads
        is_fresh = loads.fleet_calls((), now) is not None
        is_alone = loads.vm_count == 1 and len(self._seeds) > 1
        count = loads.vm_count if is_fresh and not is_alone else 0
        self._cold.record_vm_count(count, now)

    def is_paused(self, target: TargetRecord, now: Milliseconds) -> bool:
        """Return whether ``target`` wants no requests from this VM for now."""
        return self._pauses.is_paused(target, now)

    def time_paused(self, target: TargetRecord, now: Milliseconds) -> Milliseconds:
        """Return for how long ``target`` wants no requests from this VM."""
        return self._pauses.time_left(target, now)

    def pause_left(self, service: ServiceId, now: Milliseconds) -> Milliseconds | None:
        """Return for how long all targets of ``service`` want no calls.

        ``None`` if one of them takes calls or there is none.
        """
        left = [
            self._pauses.time_left(known.record, now)
            for known in self._view.ready(service, now)
        ]
        return (min(left) or None) if left else None

    def cold_wait(self, service: ServiceId, now: Milliseconds) -> Milliseconds | None:
        """Return when a cold target of ``service`` takes a call from this VM.

        ``None`` if none that may get calls is cold.
        """
        waits = []
        for known in self._view.ready(service, now):
            rate = self._cold_rate(known, now)
            if rate:
                target = known.record.id
                until = max(known.cold_until, self._cold.cold_until(target))
                permit_at = self._cold.next_permit(target, rate, now)
                waits.append(until if permit_at is None else min(until, permit_at))
        return Milliseconds(min(waits) - now) if waits else None

    def is_evacuated(self, service: ServiceId, now: Milliseconds) -> bool:
        """Return whether ``service`` has targets, but all are in evacuated zones."""
        return self._view.has_evacuated(service, now) and not self._view.ready(
            service, now
        )

    def _slot_shares(
        self, service: ServiceId, now: Milliseconds
    ) -> dict[TargetId, int]:
        """Return this VM's slots at brittle targets; none unless they are dealt out."""
        shares, targets = self._evidence.slot_shares, self.ready(service, now)
        shares.join(self._brittle.brittle_until(service))
        return (
            shares.shares(service, targets, now) if shares.applies(targets, now) else {}
        )

    def has_limited(self, service: ServiceId, now: Milliseconds) -> bool:
        """Return whether a target of ``service`` that may get calls has a limit."""
        return any(
            self._evidence.limits.is_limited(known.record.id, now)
            for known in self._view.ready(service, now)
        )

    def _possible_holders(
        self, service: ServiceId, unhealthy: Collection[TargetId]
    ) -> list[KnownTarget]:
        """Return the targets that a prompt may be fetched from.

        An unreachable target has most likely crashed and lost its memory; a target
        that fails its calls may fail to deliver a prompt, too.
        """
        return [
            known
            for known in self._view.present(service)
            if known.record.id not in unhealthy
            and not self._health.is_down(known.record.id)
        ]

    def has_other(
        self,
        call: Call,
        target: TargetRecord,
        now: Milliseconds,
        version: SoftwareVersion | None = None,
    ) -> bool:
        """Return whether the service has a ready target other than ``target``.

        With a ``version``, only targets of that version count.
        """
        ready = self._ready(call.service, version, now)
        return any(
            known.record.id != target.id
            and not self._pauses.is_paused(known.record, now)
            for known in ready
        )

    def has_version(
        self, call: Call, version: SoftwareVersion, now: Milliseconds
    ) -> bool:
        """Return whether the service has a ready target of ``version``."""
        return bool(self._ready(call.service, version, now))

    def may_send(self, target: TargetRecord, now: Milliseconds) -> bool:
        """Return whether a target may still get a call, which is about to be sent."""
        known = self._view.known(target.id)
        if known is None or not self._view.may_send(target, now):
            return False
        if self._pauses.is_paused(target, now):
            return False
        rate = self._cold_rate(known, now)
        return not rate or self._cold.may_send(target.id, rate, now)

    def view_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the age of the platform view, ``None`` before it was confirmed."""
        return self._view.age(now)

    def start(self, target: TargetId) -> None:
        """Record that a call is about to be sent to ``target``."""
        self._evidence.loads.start(target)
        self._health.start(target)

    def finish(
        self, call: Call, target: TargetRecord, outcome: Outcome, now: Milliseconds
    ) -> None:
        """Record the end of a call and its outcome."""
        self._evidence.loads.finish(target.id)
        self._small_services.finish(call, target.id)
        self._record_outcome(call, target, outcome, now)

    def record_timeout(
        self, call: Call, target: TargetRecord, now: Milliseconds
    ) -> None:
        """Record a failure of a target whose answer to ``call`` is overdue.

        The call keeps running; ``finish`` is still called for it.
        """
        self._record_outcome(call, target, Outcome.FAILED, now)

    def _record_outcome(
        self, call: Call, target: TargetRecord, outcome: Outcome, now: Milliseconds
    ) -> None:
        if outcome is not Outcome.UNKNOWN:
            self._evidence.outcomes.record_outcome(
                target.id, outcome is Outcome.GOOD, now
            )
        service_targets = [
            known.record.id for known in self._view.present(target.service)
        ]
        limits = PROMPT_LIMITS if call.head.prompt else PLAIN_LIMITS
        if self._health.record_outcome(
            target.id, outcome, service_targets, now, limits
        ):
            log_event("target_avoided", target=target.id, service=target.service)

    def record_contact(self, service: ServiceId, now: Milliseconds) -> None:
        """Record that a target answered, which ends a cut.

        Failures in a time in which this VM was cut off were not held against targets;
        those before, of which some may have crashed, are tried again by their backoff.
        """
        self._evidence.reach.record_contact(service, now)

    def record_unreached(self, target: TargetRecord, now: Milliseconds) -> bool:
        """Record that ``target`` was not reached; return whether a cut begins."""
        ready = [known.record.id for known in self._view.ready(target.service, now)]
        return self._evidence.reach.record_unreached(target.service, target.id, ready)

    def health_path(self, service: ServiceId) -> str | None:
        """Return where targets of a service answer health checks, if it is known."""
        catalogue = self._view.catalogue
        spec = None if catalogue is None else catalogue.services.get(service)
        return None if spec is None else spec.health_path

    def ready(self, service: ServiceId, now: Milliseconds) -> list[TargetRecord]:
        """Return the targets of a service that may get calls."""
        return [known.record for known in self._view.ready(service, now)]

    def record_prompt(self, call: Call, target: TargetId, now: Milliseconds) -> None:
        """Record that ``target`` now holds the prompt of ``call``."""
        self._holders.record_read(call.head.prompt, target, now)

    def record_answer_begun(self, call: Call, now: Milliseconds) -> None:
        """Record that the answer to ``call`` begins: late ones show a lack of room."""
        self._evidence.sharing.record_first_event(
            self._admissions.get(call.head.id, UNCOUNTED),
            Milliseconds(now - call.arrived_at),
            call.admitted.route.latency_objective,
            now,
        )

    def record_limits(
        self,
        call: Call,
        target: TargetRecord,
        facts: AnswerFacts,
        is_rejection: bool,
        now: Milliseconds,
    ) -> None:
        """Record the limit that an answer names, or that a brittle target needs."""
        if is_rejection:
            admission = self._admissions.get(call.head.id, UNCOUNTED)
            self._evidence.sharing.record_rejection(admission, now)
            if facts.load is not None:
                self.record_load(target, facts.load, now)
        limit = facts.limit
        if facts.brittle is not None:
            self._brittle.record_answer(target, is_rejection, now, limit is not None)
            needed = self._brittle.limit(target, call.admitted.route.latency_objective)
            limit = needed if limit is None else min(limit, needed)
        self._evidence.limits.record_answer(target.id, limit, now)

    def record_duration(
        self,
        call: Call,
        target: TargetRecord,
        duration: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Record how long a call ran at its target."""
        self._brittle.record_duration(call.service, duration, now)
        route = call.admitted.route
        self._small_services.record_duration(target, route, duration, now)
        self._costs.record(call.admitted.route.name, duration)
        if call.head.id in self._admissions:
            self._held[call.head.id] = duration

    def hedge_delay(self, call: Call, now: Milliseconds) -> Milliseconds | None:
        """Return after which silence a call is sent to a second target, if at all."""
        time_left = Milliseconds(call.deadline - now)
        delay = self._small_services.hedge_delay(
            call.service, call.admitted.route, time_left
        )
        # Another target may have no room for the call.
        is_tight = delay is not None and (
            self._brittle.is_brittle(call.service, now)
            or self.has_limited(call.service, now)
            or self.cold_wait(call.service, now) is not None
        )
        return None if is_tight else delay

    def record_silence(
        self, call: Call, target: TargetRecord, silence: Milliseconds, now: Milliseconds
    ) -> bool:
        """Record that a call was answered elsewhere during the silence of ``target``.

        Returns whether the target counts as failed by that.
        """
        route = call.admitted.route
        return self._small_services.record_silence(target, route, silence, now)

    def kept_connections(self, call: Call) -> int | None:
        """Return how many idle connections to keep to a target, ``None`` if as ever."""
        services = call.admitted.catalogue.services
        return self._small_services.kept_connections(services.get(call.service))

    def record_notices(
        self,
        target: TargetRecord,
        facts: AnswerFacts,
        answered: str,
        now: Milliseconds,
    ) -> bool:
        """Record whether ``target`` wants no requests for a time, or leaves.

        Any answer may say so; ``answered`` is the call or the path of a health check.
        Returns whether the target had not said before that it leaves.
        """
        if facts.pause is not None:
            self._pauses.record(target, facts.pause, now, answered)
        return facts.leaving and self._evidence.leaving.record_answer(
            target, answered, now
        )

    def leaving_age(
        self, target: TargetRecord, now: Milliseconds
    ) -> Milliseconds | None:
        """Return for how long ``target`` is known to leave by its own answers."""
        return self._evidence.leaving.age(target, now)

    def record_load(
        self, target: TargetRecord, load: TargetLoad, now: Milliseconds
    ) -> None:
        """Record the load that a target reported."""
        self._evidence.loads.record_target_report(target.id, load, now)
        self._evidence.work.record_load(target.id, load, now)
        self._small_services.record_stated(target, load.slowdown, now)
        self._evidence.sharing.record_load(target.service, target.id, load, now)

    def record_cold(
        self, target: TargetId, facts: AnswerFacts, now: Milliseconds
    ) -> None:
        """Record for how long ``target`` is cold, if its answer says so."""
        if facts.cold_for is not None:
            self._cold.record_answer(target, facts.cold_for, now)

    def forget(self, target: TargetId, now: Milliseconds) -> None:
        """Drop health, load, outcomes and prompts of a restarted or gone target."""
        self._health.forget(target)
        self._evidence.loads.forget(target)
        self._evidence.work.forget(target)
        self._evidence.outcomes.forget(target)
        self._evidence.limits.forget(target)
        self._brittle.forget(target)
        self._cold.forget(target)
        self._evidence.slot_shares.forget(target)
        self._small_services.forget(target)
        self._holders.forget_target(target, now)
