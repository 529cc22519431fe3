"""Keeps targets within the limits that they name, which hold for all VMs together.

No VM asks another one before it sends a call. VMs report to the seeds how many calls
they would like to send to each limited target, and each VM sends the share of its own
calls that the limit allows of all of them. So a VM that gets more calls may send more,
and the sum stays within the limit whatever the number of VMs.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from operator import attrgetter
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold._parsing import parse_whole
from yuccafold.edge.reports import newest

LIMIT_SHARE = 0.8
"""Share of a limit that all VMs use together: what they know of each other's calls is
about a second old."""

MIN_LIMIT = 0.25
"""Calls a second that are sent to a target whatever it names, so that the end of its
limit is noticed; the users allow five calls in four seconds beyond the limit."""

DEMAND_HALF_LIFE = Milliseconds(800)
"""Half-life of the weight of calls in the estimated demand. Traffic that jumps must be
noticed well within the four seconds over which the users count."""

QUIET_TIME = Milliseconds(1_000)
"""Time without calls that is assumed before the first one. Counted from that call on,
the demand of a VM with few calls would be overestimated."""

REPORT_LIFETIME = Milliseconds(5_000)
"""How long the demand of other VMs is used after they reported it."""

UNCONFIRMED_TIME = Milliseconds(5_000)
"""How long a limit holds after the last answer that named it. After that it is assumed
to grow, as a target that gets no calls can't say that its limit has ended."""

GROWTH_TIME = Milliseconds(2_000)
"""Time in which an unconfirmed limit is assumed to double."""

NOTICE_LIFETIME = Milliseconds(30_000)
"""How long after the last answer of a target its limit, or the end of it, is known: an
unconfirmed limit has grown a thousandfold by then."""

LEAST_URGENT_LEVEL = 9
ASSUMED_VM_COUNT = 16
"""Number of VMs assumed to send as many calls as this one until seeds report them."""


class Calls(Enum):
    """Which calls are counted."""

    ALL = "a"
    """All calls that would go to a target."""
    STAYING = "s"
    """Those that don't go elsewhere because of their prompt."""


DemandKey = tuple[TargetId, int, Calls]
"""A target, the urgency of calls, and which of them are counted."""

LimitDemand = Mapping[DemandKey, float]
"""Calls a second that VMs want to send to targets."""


@final
@dataclass(frozen=True, slots=True)
class LimitNotice:
    """What an answer of a target said at ``at``; ``None`` stands for no limit."""

    limit: float | None
    at: Milliseconds


LimitNotices = Mapping[TargetId, LimitNotice]


@final
class Demand:
    """Estimates how many calls a second come, from the first one on."""

    def __init__(self, now: Milliseconds) -> None:
        self._began_at = now - QUIET_TIME
        self._updated_at = now
        self._weight = 0.0

    def record(self, now: Milliseconds) -> None:
        """Count one call."""
        self._weight = self._weight * _decay(now - self._updated_at) + 1
        self._updated_at = now

    def rate(self, now: Milliseconds) -> float:
        """Return the calls per second."""
        observed = now - self._began_at
        time_weight = DEMAND_HALF_LIFE / math.log(2) * (1 - _decay(observed))
        weight = self._weight * _decay(now - self._updated_at)
        return weight * MS_PER_SECOND / time_weight


def _decay(age: int) -> float:
    return 0.5 ** (age / DEMAND_HALF_LIFE)


@final
class TargetLimits:
    """The limits known to this VM, and its share of the calls that they allow."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._notices: dict[TargetId, LimitNotice] = {}
        self._demand: dict[DemandKey, Demand] = {}
        self._credit: dict[DemandKey, float] = {}
        self._other_vms: dict[DemandKey, float] = {}
        self._reported_targets: frozenset[TargetId] = frozenset()
        self._reported_at: Milliseconds | None = None
        self._vm_count = 0

    def record_answer(
        self, target: TargetId, limit: float | None, now: Milliseconds
    ) -> None:
        """Record the limit that an answer of ``target`` names, if any."""
        if limit is None and target not in self._notices:
            return
        self._record_notice(target, LimitNotice(limit, now), "its answer")

    def is_known(self, target: TargetId) -> bool:
        """Return whether ``target`` has said that it has a limit, or none any more."""
        return target in self._notices

    def is_limited(self, target: TargetId, now: Milliseconds) -> bool:
        """Return whether ``target`` has a limit."""
        return self._limit_of(target, now) is not None

    def admits(
        self, target: TargetId, urgency: int, affinity: float, now: Milliseconds
    ) -> bool:
        """Return whether a call may be sent to ``target`` within its limit.

        Records that the call would be sent there. More urgent calls go first. Calls
        with an ``affinity``, from 0 up to 1, below a bound stay, and the others go
        elsewhere. Calls with equal prompts have equal affinities, so that few prompts
        are read at several targets.
        """
        limit = self._limit_of(target, now)
        if limit is None:
            return True
        level = min(LEAST_URGENT_LEVEL, max(0, urgency))
        allowed = limit * LIMIT_SHARE
        self._record_demand((target, level, Calls.ALL), now)
        if affinity < self._share(target, level, Calls.ALL, limit, now):
            key = (target, level, Calls.STAYING)
            self._record_demand(key, now)
            return self._spend(key, self._share(*key, allowed, now))
        # Room that the prompts which stay don't need is left for all others.
        staying = self._total((target, level, Calls.STAYING), now)
        others = max(0.0, self._total((target, level, Calls.ALL), now) - staying)
        more_urgent = self._more_urgent(target, level, Calls.ALL, now)
        left = max(0.0, allowed - more_urgent - staying)
        return self._spend(
            (target, level, Calls.ALL), min(1.0, left / others) if others else 0.0
        )

    def local_notices(self, now: Milliseconds) -> dict[TargetId, LimitNotice]:
        """Return the known limits and ends of limits, and drop those that are old."""
        for target, notice in list(self._notices.items()):
            if now - notice.at > NOTICE_LIFETIME:
                self.forget(target)
        return dict(self._notices)

    def local_demand(self, now: Milliseconds) -> dict[DemandKey, float]:
        """Return the calls a second that this VM wants to send to limited targets."""
        return {
            key: demand.rate(now)
            for key, demand in self._demand.items()
            if self.is_limited(key[0], now)
        }

    def record_fleet_report(
        self,
        notices: LimitNotices,
        total: LimitDemand,
        local_part: LimitDemand,
        vms: int,
        now: Milliseconds,
    ) -> None:
        """Record what all ``vms`` VMs know, and want to send to limited targets.

        ``local_part`` is the part of ``total`` that this VM reported; its present
        demand is counted instead.
        """
        for target, notice in notices.items():
            self._record_notice(target, notice, "other VMs")
        self._other_vms = {
            key: max(0.0, rate - local_part.get(key, 0.0))
            for key, rate in total.items()
        }
        self._reported_targets = frozenset(notices)
        self._reported_at = now
        self._vm_count = vms

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._notices.pop(target, None)
        self._forget_demand(target)

    def _record_notice(
        self, target: TargetId, notice: LimitNotice, reported_by: str
    ) -> None:
        known = self._notices.get(target)
        if known is not None and known.at >= notice.at:
            return
        self._notices[target] = notice
        old_limit = None if known is None else known.limit
        if notice.limit is None:
            self._forget_demand(target)
        if (old_limit is None) != (notice.limit is None):
            log_event(
                "target_limited" if notice.limit is not None else "target_unlimited",
                target=target,
                limit=notice.limit,
                reported_by=reported_by,
            )

    def _forget_demand(self, target: TargetId) -> None:
        for key in [key for key in self._demand if key[0] == target]:
            del self._demand[key]
            del self._credit[key]

    def _limit_of(self, target: TargetId, now: Milliseconds) -> float | None:
        """Return the limit of ``target``, which grows while nothing confirms it."""
        notice = self._notices.get(target)
        if notice is None or notice.limit is None:
            return None
        unconfirmed = now - notice.at - UNCONFIRMED_TIME
        if unconfirmed + UNCONFIRMED_TIME > NOTICE_LIFETIME:
            return None
        growth = 2 ** (max(0, unconfirmed) / GROWTH_TIME)
        return max(MIN_LIMIT, notice.limit) * growth

    def _record_demand(self, key: DemandKey, now: Milliseconds) -> None:
        if key not in self._demand:
            self._demand[key] = Demand(now)
            self._credit[key] = self._rng.random()
        self._demand[key].record(now)

    def _share(
        self,
        target: TargetId,
        level: int,
        calls: Calls,
        allowed: float,
        now: Milliseconds,
    ) -> float:
        """Return the share of calls of an urgency that fits into ``allowed`` a second.

        What more urgent calls need is left to them.
        """
        left = allowed - self._more_urgent(target, level, calls, now)
        return min(1.0, max(0.0, left / self._total((target, level, calls), now)))

    def _more_urgent(
        self, target: TargetId, level: int, calls: Calls, now: Milliseconds
    ) -> float:
        return sum(self._total((target, other, calls), now) for other in range(level))

    def _spend(self, key: DemandKey, share: float) -> bool:
        """Return whether a call is one of the ``share`` of calls to admit."""
        self._credit[key] += share
        if self._credit[key] < 1:
            return False
        self._credit[key] -= 1
        return True

    def _total(self, key: DemandKey, now: Milliseconds) -> float:
        """Return the demand of all VMs, estimated from that of this VM if unknown."""
        demand = self._demand.get(key)
        local = 0.0 if demand is None else demand.rate(now)
        if (
            self._reported_at is None
            or now - self._reported_at > REPORT_LIFETIME
            or key[0] not in self._reported_targets
        ):
            return local * (self._vm_count or ASSUMED_VM_COUNT)
        return local + self._other_vms.get(key, 0.0)


def newest_notices(tables: Iterable[LimitNotices]) -> dict[TargetId, LimitNotice]:
    """Return what the newest answer of each target stated."""
    return newest(tables, attrgetter("at"))


def add_demand(tables: Iterable[LimitDemand]) -> dict[DemandKey, float]:
    """Return the sum of the demand of several VMs."""
    total: dict[DemandKey, float] = defaultdict(float)
    for table in tables:
        for key, rate in table.items():
            total[key] += rate
    return dict(total)


def format_notices(notices: LimitNotices, now: Milliseconds) -> str:
    """Format notices as ``TARGET:LIMIT:AGE``, with no limit as ``-``."""
    return ",".join(
        f"{target}:{'-' if notice.limit is None else f'{notice.limit:.3f}'}"
        f":{max(0, now - notice.at)}"
        for target, notice in notices.items()
    )


def parse_notices(text: str, now: Milliseconds) -> dict[TargetId, LimitNotice]:
    """Parse the form of ``format_notices``; raises ``ValueError`` if malformed."""
    rows = (part.rsplit(":", 2) for part in text.split(",") if part)
    return {
        TargetId(target): LimitNotice(
            None if limit == "-" else _parse_limit(limit),
            Milliseconds(now - parse_whole(age)),
        )
        for target, limit, age in rows
    }


def format_demand(demand: LimitDemand) -> str:
    """Format demand as ``TARGET:URGENCY:RATE`` in hundredths of calls a second.

    The urgency is followed by ``a`` for all calls or ``s`` for those that stay.
    """
    return ",".join(
        f"{target}:{level}{calls.value}:{round(rate * 100)}"
        for (target, level, calls), rate in demand.items()
    )


def parse_demand(text: str) -> dict[DemandKey, float]:
    """Parse the form of ``format_demand``; raises ``ValueError`` if malformed."""
    rows = (part.rsplit(":", 2) for part in text.split(",") if part)
    return {
        (TargetId(target), parse_whole(level[:-1]), Calls(level[-1:])): (
            parse_whole(rate) / 100
        )
        for target, level, rate in rows
    }


def _parse_limit(text: str) -> float:
    limit = float(text)
    if not math.isfinite(limit) or limit < 0:
        raise ValueError(f"expected a limit of at least 0, got {text!r:.40}")
    return limit
