"""Admits calls by the capacity of their service and the fair share of their account."""

from __future__ import annotations

import random
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import FeatureMode
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._model import TargetRecord
from yuccafold.edge.sharing._capacity import LoadsByService
from yuccafold.edge.sharing._capacity import LoadsByTarget
from yuccafold.edge.sharing._demand import DemandByService
from yuccafold.edge.sharing._service import Applicant
from yuccafold.edge.sharing._service import Reason
from yuccafold.edge.sharing._service import ServiceSharing
from yuccafold.edge.sharing._work import NOTHING_SEEN
from yuccafold.edge.sharing._work import WorkByService

LEAST_URGENT_LEVEL = 9
"""Levels beyond it are one: targets know no more either."""


@final
@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a call is admitted, and if not, why and when it may come back.

    ``retry_after`` is ``None`` if it can't be served in time. ``inputs`` are fields for
    the log line of a refused call. ``counted`` is set if the call holds a place, so
    that its end has to be recorded; ``crowding`` is how many calls there were for
    each place when it came.
    """

    admitted: bool = True
    reason: Reason | None = None
    retry_after: Milliseconds | None = None
    inputs: Mapping[str, Any] = field(default_factory=dict)
    service: ServiceId = ServiceId("")
    level: int = 0
    cost_ms: float = 0.0
    crowding: float = 1.0
    counted: bool = False


UNCOUNTED = Admission()
"""The admission of calls of services without sharing."""


@final
class AdmissionPolicy:
    """Decides which calls this VM sends to targets, without asking other VMs.

    ``FeatureMode.AUTO``: of services whose targets state how long work takes.
    """

    def __init__(
        self, rng: random.Random, mode: FeatureMode = FeatureMode.AUTO
    ) -> None:
        self._rng = rng
        self._mode = mode
        self._services: dict[ServiceId, ServiceSharing] = {}

    def apply_mode(self, mode: FeatureMode) -> None:
        """Apply the operator's setting from now on."""
        self._mode = mode

    def is_in_effect(self, service: ServiceId, now: Milliseconds) -> bool:
        """Return whether calls of ``service`` are admitted by capacity and share."""
        return self._sharing(service, now) is not None

    def admit(
        self,
        service: ServiceId,
        level: int,
        account: AccountId | None,
        cost_ms: float,
        arrived_at: Milliseconds,
        time_left: Milliseconds,
        is_return: bool,
        now: Milliseconds,
        *,
        first_event_ms: float = 0.0,
        patience: Milliseconds | None = None,
        is_begun: bool = False,
    ) -> Admission:
        """Decide on a call of urgency ``level``, of which 0 is the most urgent.

        ``cost_ms`` is how long it holds a place of an idle target, ``first_event_ms``
        how much of that passes before its first event. Its caller waits ``time_left``
        from ``arrived_at`` on, and for the first event ``patience`` if that is shorter.
        A stream that has begun is always admitted. For each counted admission ``end``
        has to be called.
        """
        sharing = self._sharing(service, now)
        if sharing is None:
            return UNCOUNTED
        level = min(LEAST_URGENT_LEVEL, max(0, level))
        waited = now - arrived_at
        call = Applicant(
            level=level,
            account=AccountId("") if account is None else account,
            cost_ms=max(1.0, cost_ms),
            first_event_ms=first_event_ms,
            time_left=Milliseconds(time_left - waited),
            patience=Milliseconds(
                time_left - waited
                if patience is None
                else min(time_left, patience) - waited
            ),
            is_return=is_return,
            is_begun=is_begun,
        )
        refused = sharing.decide(call, now)
        if refused is not None:
            return Admission(
                admitted=False,
                reason=refused.reason,
                retry_after=refused.retry_after,
                inputs=sharing.inputs(call, now),
                service=service,
                level=level,
            )
        sharing.work.start(level, call.cost_ms, now)
        return Admission(
            service=service,
            level=level,
            cost_ms=call.cost_ms,
            crowding=sharing.crowding(now),
            counted=True,
        )

    def end(
        self,
        admission: Admission,
        held_ms: Milliseconds | None,
        now: Milliseconds,
    ) -> None:
        """Record the end of an admitted call, however it ended.

        ``held_ms`` is how long it was at its target if it was answered completely.
        """
        if not admission.counted:
            return
        sharing = self._services[admission.service]
        sharing.work.end(admission.level)
        if held_ms is not None:
            crowding = (admission.crowding + sharing.crowding(now)) / 2
            sharing.work.record_whole(admission.cost_ms, held_ms, crowding, now)

    def record_first_event(
        self,
        admission: Admission,
        waited: Milliseconds,
        objective: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Record how long after its arrival the first event of a call came."""
        self._record_begin(admission, waited > objective, now)

    def record_rejection(self, admission: Admission, now: Milliseconds) -> None:
        """Record that a target said that it didn't run a call."""
        self._record_begin(admission, True, now)

    def _record_begin(
        self, admission: Admission, delayed: bool, now: Milliseconds
    ) -> None:
        if not admission.counted:
            return
        sharing = self._services[admission.service]
        # Delays while there are more calls than places are no news.
        crowding = max(admission.crowding, sharing.crowding(now))
        sharing.work.record_begin(delayed and crowding <= 1, now)

    def record_targets(
        self, service: ServiceId, targets: Sequence[TargetRecord], now: Milliseconds
    ) -> None:
        """Record the targets of ``service`` that may get calls now."""
        sharing = self._sharing(service, now)
        if sharing is not None:
            sharing.capacity.record_targets(targets)

    def record_load(
        self,
        service: ServiceId,
        target: TargetId,
        load: TargetLoad,
        now: Milliseconds,
    ) -> None:
        """Record the load that ``target`` reported to this VM."""
        if load.slowdown is not None or service in self._services:
            self._of(service, now).capacity.record_load(target, load, now)

    def local_demand(self, now: Milliseconds) -> DemandByService:
        """Return what callers of this VM want, by service and account."""
        return {
            service: sharing.local_demand(now)
            for service, sharing in self._active(now).items()
        }

    def local_work(self, now: Milliseconds) -> WorkByService:
        """Return what this VM sees of the work of services."""
        return {
            service: sharing.work.report(now)
            for service, sharing in self._active(now).items()
        }

    def local_loads(self, now: Milliseconds) -> LoadsByService:
        """Return the figures of targets that this VM received."""
        return {
            service: sharing.capacity.local_loads(now)
            for service, sharing in self._active(now).items()
        }

    def record_fleet_demand(
        self,
        total: DemandByService,
        local_part: DemandByService,
        vms: int,
        now: Milliseconds,
    ) -> None:
        """Record the demand at all VMs, of which this VM reported ``local_part``."""
        for service in total.keys() | self._active(now).keys():
            self._of(service, now).record_fleet_demand(
                total.get(service, {}), local_part.get(service, {}), vms, now
            )

    def record_fleet_work(
        self, total: WorkByService, local_part: WorkByService, now: Milliseconds
    ) -> None:
        """Record what all VMs see, of which this VM reported ``local_part``."""
        for service in total.keys() | self._active(now).keys():
            self._of(service, now).record_fleet_work(
                total.get(service, NOTHING_SEEN), local_part.get(service, NOTHING_SEEN)
            )

    def record_fleet_loads(
        self, loads: Mapping[ServiceId, LoadsByTarget], now: Milliseconds
    ) -> None:
        """Record what targets said to any VM."""
        for service, by_target in loads.items():
            self._of(service, now).capacity.record_loads(by_target)

    def figures(self, now: Milliseconds) -> dict[ServiceId, dict[str, int]]:
        """Return the gauges of each service with sharing."""
        return {
            service: sharing.figures(now)
            for service, sharing in self._active(now).items()
        }

    def account_totals(
        self, now: Milliseconds
    ) -> Iterator[tuple[str, int, dict[str, str]]]:
        """Yield the name, value and labels of what accounts got at this VM."""
        for service, sharing in self._active(now).items():
            for account, name, value in sharing.accounts.rows():
                yield (
                    f"account_{name}",
                    value,
                    {"service": service, "account": account},
                )

    def _active(self, now: Milliseconds) -> dict[ServiceId, ServiceSharing]:
        return {
            service: sharing
            for service, sharing in self._services.items()
            if self._sharing(service, now) is not None
        }

    def _sharing(self, service: ServiceId, now: Milliseconds) -> ServiceSharing | None:
        """Return the sharing of a service if it takes effect."""
        if self._mode is FeatureMode.OFF:
            return None
        if self._mode is FeatureMode.ON:
            return self._of(service, now)
        sharing = self._services.get(service)
        if sharing is None or not sharing.capacity.states_pace(now):
            return None
        return sharing

    def _of(self, service: ServiceId, now: Milliseconds) -> ServiceSharing:
        if service not in self._services:
            self._services[service] = ServiceSharing(service, self._rng, now)
        return self._services[service]
