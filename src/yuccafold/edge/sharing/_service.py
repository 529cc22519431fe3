"""Decides for one service which calls of this VM are admitted."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._log import log_event
from yuccafold.edge.reports import REPORT_LIFETIME
from yuccafold.edge.sharing._allocation import Allocation
from yuccafold.edge.sharing._allocation import allocate
from yuccafold.edge.sharing._capacity import ServiceCapacity
from yuccafold.edge.sharing._demand import DEMAND_SECONDS
from yuccafold.edge.sharing._demand import NO_DEMAND
from yuccafold.edge.sharing._demand import AccountDemand
from yuccafold.edge.sharing._demand import AccountTotals
from yuccafold.edge.sharing._demand import Demand
from yuccafold.edge.sharing._demand import LocalDemand
from yuccafold.edge.sharing._demand import LocalPart
from yuccafold.edge.sharing._demand import Work
from yuccafold.edge.sharing._demand import add_demand
from yuccafold.edge.sharing._demand import subtract_demand
from yuccafold.edge.sharing._work import NOTHING_SEEN
from yuccafold.edge.sharing._work import LocalWork
from yuccafold.edge.sharing._work import ServiceWork
from yuccafold.edge.sharing._work import UnreportedCalls
from yuccafold.edge.sharing._work import add_work

REFRESH_INTERVAL = Milliseconds(200)
"""Age from which shares are computed again; reports come every 450 to 750 ms."""

ASSUMED_VM_COUNT = 16
"""Number of VMs assumed until seeds report it."""

ROOMY_SHARE = 0.8
"""Share of the places in use below which a VM without reports refuses nothing: it
knows only from targets how many calls they have."""

INCOMPLETE_SHARE = 0.85
"""Share of the work rate that is used while reports of VMs are missing: what those
admit is estimated by each VM on its own."""

UNREPORTED_SHARE = 0.05
"""Share of the places up to which calls that nobody reports are no news."""

UNREPORTED_CALLS = 2.0
"""Calls up to which the same holds: a target's figures count the call that they come
with, and one that its caller has just given up."""

SETTLED_TIME = Milliseconds(1_500)
"""Time after demand exceeded the work rate from which free places are filled slowly:
VMs learn of it up to half a second late, and from two seconds on they have to admit no
more than can be done."""

LONGEST_DELAY_SHARE = 1 / 3
"""Share of the time left up to which callers honour a retry delay."""

SHORTEST_DELAY_SHARE = 0.08
"""Least retry delay as a share of the time left: calls that come back sooner can't be
told from new ones, as deadlines vary a little."""

DELAY_SPREAD = 0.1
"""Part by which retry delays are shortened at random, so that calls that were refused
together don't come back together; small, as those refused first return first."""

SCALE_TIME = Milliseconds(4_000)
"""Time in which the room is scaled by what was admitted too much: longer than reports
are old, so that it doesn't swing."""

SCALE_DELAY = Milliseconds(2_000)
"""Time after demand exceeded the room before the scale is adjusted: what was admitted
right after a jump says nothing of shares."""

RESTING_SCALE = 0.9
"""Factor right after demand exceeded the room: estimates are the least certain."""

LEAST_SCALE = 0.75
"""Least factor by which the room is scaled; estimates are off by less."""

MAX_RATIO = 1.2
"""Largest deviation that counts at once."""

QUIET_BEFORE_END = Milliseconds(5_000)
"""Time without a refusal after which sharing no longer binds for an account."""

MAX_CREDITS = 4_096
"""Levels and accounts whose credit is remembered."""


class Reason(Enum):
    """Why a call is refused."""

    SHARE = "share"
    """Its account wants more than its share, while others are served more."""
    NO_ROOM = "no_room"
    """More urgent calls and those of all other accounts leave no room."""
    TOO_LATE = "too_late"
    """Its first event would come after its caller has left."""


@final
@dataclass(frozen=True, slots=True)
class Refused:
    """Why a call is refused, and after which delay there is room for it, if known."""

    reason: Reason
    retry_after: Milliseconds | None


@final
@dataclass(frozen=True, slots=True)
class Applicant:
    """A call that asks for admission; see ``AdmissionPolicy.admit``."""

    level: int
    account: AccountId
    cost_ms: float
    first_event_ms: float
    time_left: Milliseconds
    patience: Milliseconds
    is_return: bool
    is_begun: bool


@final
@dataclass(frozen=True, slots=True)
class Plan:
    """The shares in force since ``at``, and what they were computed from."""

    allocation: Allocation
    at: Milliseconds
    calls: float = 0.0
    places: float = 0.0
    report_age: Milliseconds | None = None


@final
class Credits:
    """Admits a share of the calls of each key, evenly over time.

    Each call adds the share to the credit of its key, and each admitted one takes 1
    off, so no call is refused for its size. The first credit is random: VMs with few
    calls admit their share together, too.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: OrderedDict[Hashable, float] = OrderedDict()

    def spend(self, key: Hashable, share: float) -> bool:
        """Return whether a call is one of the ``share`` of calls to admit."""
        credit = self._credits.pop(key, None)
        if credit is None:
            credit = self._rng.random()
        credit += share
        admitted = credit >= 1
        self._credits[key] = credit - admitted
        if len(self._credits) > MAX_CREDITS:
            self._credits.popitem(last=False)
        return admitted


@final
class Scale:
    """Scales the room so that what is admitted is what there is room for.

    Shares are quotients of estimates. Demand that is estimated too low admits more
    than too much of it refuses, so without a correction too many would be admitted.
    """

    def __init__(self, now: Milliseconds) -> None:
        self._value = RESTING_SCALE
        self._adjusted_at = now
        self._free_at = now

    @property
    def value(self) -> float:
        """The factor by which to scale, at most 1."""
        return self._value

    def adjust(
        self, binds: bool, room: float, admitted: float, now: Milliseconds
    ) -> None:
        """Move the factor, by the work a second that all VMs admitted lately."""
        part = min(1.0, (now - self._adjusted_at) / SCALE_TIME)
        self._adjusted_at = now
        if not binds:
            self._free_at = now
        elif now - self._free_at < SCALE_DELAY:
            return
        ratio = room / admitted if room and admitted else 1.0
        if not binds:
            ratio = RESTING_SCALE / self._value
        ratio = min(MAX_RATIO, max(1 / MAX_RATIO, ratio))
        self._value = min(1.0, max(LEAST_SCALE, self._value * ratio**part))


@final
@dataclass(slots=True)
class Binding:
    """How long an account has been refused calls at a level, and how many."""

    refused: int
    last_at: Milliseconds


@final
class ServiceSharing:
    """The demand, capacity and shares of one service, as this VM knows them."""

    def __init__(
        self, service: ServiceId, rng: random.Random, now: Milliseconds
    ) -> None:
        self._service = service
        self._rng = rng
        self._capacity = ServiceCapacity()
        self._demand = LocalDemand(now)
        self._work = LocalWork(now)
        self._other_demand: Demand = {}
        self._other_work = NOTHING_SEEN
        self._reported_at: Milliseconds | None = None
        self._vm_count = 0
        self._plan: Plan | None = None
        self._credits = Credits(rng)
        self._scale = Scale(now)
        self._roomy_at = now
        self._local_part = LocalPart(now)
        self._accounts = AccountTotals()
        self._unreported = UnreportedCalls()
        self._binding: dict[tuple[int, AccountId], Binding] = {}

    @property
    def capacity(self) -> ServiceCapacity:
        """What the service can take."""
        return self._capacity

    @property
    def work(self) -> LocalWork:
        """What this VM sees of the work of the service."""
        return self._work

    @property
    def accounts(self) -> AccountTotals:
        """What each account was admitted and refused at this VM."""
        return self._accounts

    def local_demand(self, now: Milliseconds) -> dict[AccountId, AccountDemand]:
        """Return the demand of the calls that came to this VM."""
        return self._demand.report(now)

    def record_fleet_demand(
        self, total: Demand, local_part: Demand, vms: int, now: Milliseconds
    ) -> None:
        """Record the demand at all VMs, of which this VM reported ``local_part``."""
        self._other_demand = subtract_demand(total, local_part)
        self._vm_count = vms
        self._reported_at = now
        self._local_part.record(local_part, total, now)

    def record_fleet_work(self, total: ServiceWork, local_part: ServiceWork) -> None:
        """Record what all VMs see, of which this VM reported ``local_part``."""
        self._other_work = total.minus(local_part)

    def decide(self, call: Applicant, now: Milliseconds) -> Refused | None:
        """Count a call, and return why it is refused, if it is."""
        refused = self._decide(call, now)
        outcome = "admitted" if refused is None else "refused"
        self._accounts.record(call.account, outcome, call.cost_ms)
        return refused

    def _decide(self, call: Applicant, now: Milliseconds) -> Refused | None:
        # The call itself must not lower its share: the largest would lose most.
        plan = self.plan(now)
        self._demand.record(call.account, call.level, call.is_return, call.cost_ms, now)
        if call.is_begun:
            return None
        wait = self.wait(call.level, now)
        begin = wait + call.first_event_ms * self._capacity.pace
        if wait and begin > call.patience:
            return self._refuse(call, Reason.TOO_LATE, None, now)
        share = plan.allocation.share(call.account, call.level)
        admitted = share.returned if call.is_return else share.new
        key = (call.level, call.account, call.is_return)
        if admitted >= 1 or self._credits.spend(key, admitted):
            return None
        level_share = plan.allocation.by_level.get(call.level, 1.0)
        reason = Reason.SHARE if share.new < level_share else Reason.NO_ROOM
        delay = None
        if not call.is_return and self._credits.spend(
            (*key, "promise"), share.promised
        ):
            delay = self._retry_delay(call, plan, now)
            if delay is None and call.cost_ms * self._capacity.pace <= call.time_left:
                # A large call can't come back in time: its room is given at once.
                return None
        return self._refuse(call, reason, delay, now)

    def wait(self, level: int, now: Milliseconds) -> Milliseconds:
        """Return how long a call waits for a place behind all that are as urgent."""
        plan = self.plan(now)
        if plan.calls <= plan.places:
            return Milliseconds(0)
        less_urgent = sum(
            work.in_flight.get(other, 0)
            for work in (self._other_work, self._work.report(now))
            for other in work.in_flight
            if other > level
        )
        return self._capacity.wait(plan.calls - less_urgent, now)

    def crowding(self, now: Milliseconds) -> float:
        """Return how many calls there are for each place."""
        plan = self.plan(now)
        return plan.calls / plan.places if plan.places else 1.0

    def plan(self, now: Milliseconds) -> Plan:
        """Return the shares, computed again if they are old."""
        if self._plan is None or now - self._plan.at >= REFRESH_INTERVAL:
            self._plan = self._make_plan(now)
            self._demand.learn_usual(not self._plan.allocation.binds, now)
            self._end_bindings(now)
        return self._plan

    def inputs(self, call: Applicant, now: Milliseconds) -> dict[str, Any]:
        """Return what a decision rests on, as fields of a log line."""
        plan = self.plan(now)
        share = plan.allocation.share(call.account, call.level)
        return {
            "level": call.level,
            "account": call.account,
            "came_back": call.is_return,
            "cost_ms": round(call.cost_ms),
            "share": round(share.returned if call.is_return else share.new, 3),
            "wait_ms": self.wait(call.level, now),
            **self._fields(plan),
        }

    def figures(self, now: Milliseconds) -> dict[str, int]:
        """Return the gauges of the service."""
        plan = self.plan(now)
        return {
            "demand_ms": round(plan.allocation.demand),
            "capacity_ms": round(self._capacity.work_rate(now)),
            "calls": round(plan.calls),
            "places": round(plan.places),
        }

    def _make_plan(self, now: Milliseconds) -> Plan:
        local = self._demand.report(now)
        work = self._work.report(now)
        if not self._capacity.has_targets:
            # Without a target, calls are refused where they are placed.
            return Plan(Allocation(), now)
        age = None if self._reported_at is None else now - self._reported_at
        if age is None or age > REPORT_LIFETIME:
            return self._make_plan_alone(local, work, now)
        total_work = add_work([self._other_work, work])
        self._capacity.record_work(total_work)
        told = self._capacity.reported_calls(now) or 0.0
        # Targets also tell of calls since the last reports, and of VMs without any.
        calls = max(float(total_work.calls), told)
        unreported = self._unreported.update(
            calls - total_work.calls, self._vm_count, now
        )
        places = self._capacity.places(now)
        expected = max(UNREPORTED_CALLS, UNREPORTED_SHARE * places)
        taken = max(0.0, unreported - expected) / places
        demand = add_demand([self._other_demand, local])
        rate = self._capacity.work_rate(now)
        if sum(part.total for part in demand.values()) <= rate:
            self._roomy_at = now
        is_settled = now - self._roomy_at >= SETTLED_TIME
        room = self._capacity.room(calls, now, is_settled)
        if taken:
            room = min(room, INCOMPLETE_SHARE * rate) - taken * rate
            rate *= max(0.0, 1 - taken)
        one_call = self._capacity.mean_cost / DEMAND_SECONDS
        allocation = allocate(demand, room, rate, one_call, self._scale.value)
        self._scale.adjust(allocation.binds, room, total_work.admitted_ms, now)
        return Plan(allocation, now, calls, places, Milliseconds(age))

    def _make_plan_alone(
        self, local: Demand, work: ServiceWork, now: Milliseconds
    ) -> Plan:
        """Return the shares of a VM that doesn't know what others do.

        Once targets say that they are full, it uses the part that it had of the demand,
        or, if it never had a report, an equal one.
        """
        part = self._local_part.value(now)
        if part is None:
            part = 1 / (self._vm_count or ASSUMED_VM_COUNT)
        self._capacity.record_work(work)
        calls = self._capacity.reported_calls(now)
        places = self._capacity.places(now)
        if calls is None or calls < ROOMY_SHARE * places:
            total = sum(demand.total for demand in local.values())
            return Plan(Allocation(demand=total), now, calls or 0.0, places)
        rate = self._capacity.work_rate(now)
        room = part * min(self._capacity.room(calls, now), INCOMPLETE_SHARE * rate)
        one_call = self._capacity.mean_cost / DEMAND_SECONDS
        allocation = allocate(local, room, part * rate, one_call, self._scale.value)
        self._scale.adjust(allocation.binds, room, work.admitted_ms, now)
        return Plan(allocation, now, calls, places)

    def _retry_delay(
        self, call: Applicant, plan: Plan, now: Milliseconds
    ) -> Milliseconds | None:
        """Return when there is room for a call, if it can be served in time then."""
        longest = call.time_left * LONGEST_DELAY_SHARE
        shortest = call.time_left * SHORTEST_DELAY_SHARE
        delay = max(shortest, min(longest, self._capacity.wait(plan.calls, now)))
        delay *= 1 - DELAY_SPREAD * self._rng.random()
        if delay + call.cost_ms * self._capacity.pace > call.time_left:
            return None
        return Milliseconds(int(delay))

    def _refuse(
        self,
        call: Applicant,
        reason: Reason,
        retry_after: Milliseconds | None,
        now: Milliseconds,
    ) -> Refused:
        key = (call.level, call.account)
        binding = self._binding.get(key)
        if binding is None:
            binding = self._binding[key] = Binding(0, now)
            log_event(
                "sharing_begins",
                service=self._service,
                level=call.level,
                account=call.account,
                reason=reason.value,
                account_demand_ms=round(self._demand_of(call).total),
                **self._fields(self.plan(now)),
            )
        binding.refused += 1
        binding.last_at = now
        return Refused(reason, retry_after)

    def _demand_of(self, call: Applicant) -> Work:
        parts = (self._other_demand, self._demand.report(self._now_of_plan))
        work = Work()
        for table in parts:
            levels = table.get(call.account, NO_DEMAND).by_level
            work = work.plus(levels.get(call.level, Work()))
        return work

    @property
    def _now_of_plan(self) -> Milliseconds:
        return Milliseconds(0) if self._plan is None else self._plan.at

    def _end_bindings(self, now: Milliseconds) -> None:
        for key, binding in list(self._binding.items()):
            if now - binding.last_at > QUIET_BEFORE_END:
                del self._binding[key]
                log_event(
                    "sharing_ends",
                    service=self._service,
                    level=key[0],
                    account=key[1],
                    refused=binding.refused,
                )

    @staticmethod
    def _fields(plan: Plan) -> dict[str, Any]:
        room = plan.allocation.room
        return {
            "demand_ms": round(plan.allocation.demand),
            "room_ms": None if room == float("inf") else round(room),
            "calls": round(plan.calls),
            "places": round(plan.places),
            "report_age_ms": plan.report_age,
        }
