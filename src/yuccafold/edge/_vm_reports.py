"""Reports of VMs to the seeds about their calls, and their sum over all VMs.

The sum is a hint for placement and retries: no call waits for it, and without it
each VM uses its own calls and the reports of targets.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge._helpers import HelperServices
from yuccafold.edge._helpers import HelperTable
from yuccafold.edge._helpers import format_helpers
from yuccafold.edge._helpers import parse_helpers
from yuccafold.edge._leaving import LeavingNotices
from yuccafold.edge._leaving import LeavingTargets
from yuccafold.edge._leaving import format_leaving
from yuccafold.edge._leaving import latest_notices
from yuccafold.edge._leaving import parse_leaving
from yuccafold.edge._outcomes import OutcomeTable
from yuccafold.edge._outcomes import RecentOutcomes
from yuccafold.edge._outcomes import add_outcomes
from yuccafold.edge._outcomes import format_outcomes
from yuccafold.edge._outcomes import parse_outcomes
from yuccafold.edge._outcomes import summarize_failing
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._quarantine import Quarantine
from yuccafold.edge._reach import Reach
from yuccafold.edge._stream_versions import StreamVersions
from yuccafold.edge._target_history import TargetHistory
from yuccafold.edge._target_limits import LimitDemand
from yuccafold.edge._target_limits import LimitNotices
from yuccafold.edge._target_limits import TargetLimits
from yuccafold.edge._target_limits import add_demand
from yuccafold.edge._target_limits import format_demand
from yuccafold.edge._target_limits import format_notices
from yuccafold.edge._target_limits import newest_notices
from yuccafold.edge._target_limits import parse_demand
from yuccafold.edge._target_limits import parse_notices

VM_REPORT_LIFETIME = Milliseconds(1_800)
"""How long the report of a VM is used: it sends a new one every 450 to 750 ms."""

TOTAL_LIFETIME = Milliseconds(100)
"""How long a seed caches a total: computing it takes 2 ms with 85 VMs, which ask 63
times a second."""

MAX_REPORTED_TARGETS = 200
"""Targets whose running calls a VM reports; it has calls at a few dozen."""


@final
@dataclass(frozen=True, slots=True)
class VmReport:
    """Running calls and recent outcomes by target, of one VM or of ``vms`` VMs.

    ``limits`` are the limits that targets last stated, and ``demand`` the calls a
    second that VMs want to send to limited ones. ``leaving`` are the targets that
    recently announced that they are about to stop. ``helpers`` are VMs that take
    calls for those that are cut off from a service.
    """

    calls: Mapping[TargetId, int] = field(default_factory=dict)
    outcomes: OutcomeTable = field(default_factory=dict)
    vms: int = 1
    limits: LimitNotices = field(default_factory=dict)
    demand: LimitDemand = field(default_factory=dict)
    leaving: LeavingNotices = field(default_factory=dict)
    helpers: HelperServices = field(default_factory=dict)

    def as_fields(self, now: Milliseconds = Milliseconds(0)) -> dict[str, Any]:
        """Return the report as fields of a request or an answer made at ``now``.

        Running calls are limited to the targets that have most of them.
        """
        busiest = sorted(self.calls.items(), key=lambda item: -item[1])[
            :MAX_REPORTED_TARGETS
        ]
        return {
            "loads": ",".join(f"{target}:{calls}" for target, calls in busiest),
            "outcomes": format_outcomes(self.outcomes),
            "vms": self.vms,
            "limits": format_notices(self.limits, now),
            "demand": format_demand(self.demand),
            "leaving": format_leaving(self.leaving, now),
            "helpers": format_helpers(self.helpers),
        }

    @classmethod
    def from_fields(
        cls, fields: Mapping[str, Any], now: Milliseconds = Milliseconds(0)
    ) -> VmReport:
        """Read a report from fields that came at ``now``.

        Raises ``ValueError`` if they are malformed.
        """
        loads = str(fields.get("loads", "")).split(",")
        pairs = (part.rpartition(":") for part in loads if part)
        return cls(
            calls={TargetId(target): int(calls) for target, _, calls in pairs},
            outcomes=parse_outcomes(str(fields.get("outcomes", ""))),
            vms=int(fields.get("vms", 1)),
            limits=parse_notices(str(fields.get("limits", "")), now),
            demand=parse_demand(str(fields.get("demand", ""))),
            leaving=parse_leaving(str(fields.get("leaving", "")), now),
            helpers=parse_helpers(str(fields.get("helpers", ""))),
        )


def add_reports(reports: Iterable[VmReport]) -> VmReport:
    """Return the sum of several reports."""
    calls: Counter[TargetId] = Counter()
    all_reports = list(reports)
    for report in all_reports:
        calls.update(report.calls)
    outcomes = add_outcomes(report.outcomes for report in all_reports)
    return VmReport(
        calls,
        outcomes,
        sum(report.vms for report in all_reports),
        newest_notices(report.limits for report in all_reports),
        add_demand(report.demand for report in all_reports),
        latest_notices(report.leaving for report in all_reports),
        {
            address: services
            for report in all_reports
            for address, services in report.helpers.items()
        },
    )


@final
class FleetReports:
    """Adds up the reports of VMs to this seed and the sums of the other seeds."""

    def __init__(self) -> None:
        self._by_vm: dict[str, tuple[VmReport, Milliseconds]] = {}
        self._by_seed: dict[str, tuple[VmReport, Milliseconds]] = {}
        self._cached_total: tuple[VmReport, Milliseconds] | None = None

    def record_vm_report(self, vm: str, report: VmReport, now: Milliseconds) -> None:
        """Store the report of a VM that reports to this seed."""
        self._by_vm[vm] = (report, now)

    def record_seed_report(
        self, seed: str, report: VmReport, now: Milliseconds
    ) -> None:
        """Store another seed's sum over itself and the VMs that report to it."""
        self._by_seed[seed] = (report, now)

    def seed_total(self, local: VmReport, now: Milliseconds) -> VmReport:
        """Return the sum of ``local`` and fresh reports of VMs to this seed."""
        return add_reports([local, *_drop_expired(self._by_vm, now)])

    def total(self, local: VmReport, now: Milliseconds) -> VmReport:
        """Return the sum over the seeds and all VMs that report to them.

        Outcomes are listed for failing targets and summed up for all others. The
        result may come from the cache, with an earlier ``local`` report in it.
        """
        if (
            self._cached_total is not None
            and now - self._cached_total[1] < TOTAL_LIFETIME
        ):
            return self._cached_total[0]
        fresh = [
            local,
            *_drop_expired(self._by_vm, now),
            *_drop_expired(self._by_seed, now),
        ]
        total = add_reports(fresh)
        summary = replace(total, outcomes=summarize_failing(total.outcomes))
        self._cached_total = (summary, now)
        return summary


def _drop_expired(
    reports: dict[str, tuple[VmReport, Milliseconds]], now: Milliseconds
) -> list[VmReport]:
    """Remove expired reports and return the remaining ones."""
    for name in [
        name
        for name, (_, received_at) in reports.items()
        if now - received_at > VM_REPORT_LIFETIME
    ]:
        del reports[name]
    return [report for report, _ in reports.values()]


@final
@dataclass(frozen=True, slots=True)
class TargetEvidence:
    """What VMs report to each other of targets and of suspect calls."""

    loads: LoadTable = field(default_factory=LoadTable)
    outcomes: RecentOutcomes = field(default_factory=RecentOutcomes)
    limits: TargetLimits = field(default_factory=lambda: TargetLimits(random.Random(0)))
    quarantine: Quarantine = field(default_factory=Quarantine)
    leaving: LeavingTargets = field(default_factory=LeavingTargets)
    streams: StreamVersions = field(default_factory=StreamVersions)
    history: TargetHistory = field(default_factory=TargetHistory)
    reach: Reach = field(default_factory=Reach)
    helpers: HelperTable = field(default_factory=lambda: HelperTable(random.Random(0)))

    def local_report(self, now: Milliseconds) -> VmReport:
        """Return the report of this VM for the seeds."""
        return VmReport(
            self.loads.local_calls(),
            self.outcomes.local_outcomes(now),
            limits=self.limits.local_notices(now),
            demand=self.limits.local_demand(now),
            leaving=self.leaving.local_notices(now),
            helpers=self._local_helper(now),
        )

    def _local_helper(self, now: Milliseconds) -> HelperServices:
        """Return what this VM reaches for others, once it takes calls."""
        services = frozenset(self.reach.services_in_reach(now))
        address = self.helpers.address
        return {address: services} if address and services else {}

    def record_fleet_report(
        self, total: VmReport, local_part: VmReport, now: Milliseconds
    ) -> None:
        """Record the report of all VMs, and log targets that newly fail.

        ``local_part`` is the part of ``total`` that this VM reported.
        """
        for target in sorted(self.outcomes.newly_failing(total.outcomes)):
            counts = total.outcomes[target]
            log_event(
                "target_told_failing",
                target=target,
                good=round(counts.good, 1),
                failed=round(counts.failed, 1),
                vms=total.vms,
            )
        self.loads.record_fleet_report(total.calls, local_part.calls, total.vms, now)
        self.limits.record_fleet_report(
            total.limits, total.demand, local_part.demand, total.vms, now
        )
        self.outcomes.record_fleet_report(total.outcomes, local_part.outcomes, now)
        self.leaving.record_reported(total.leaving, now)
        self.quarantine.record_vm_count(total.vms)
        self.helpers.record_reported(total.helpers, now)
