"""What VMs tell the seeds of their calls, and what seeds make of it for all.

A hint for placing and for retries: no call waits for it, and without it each VM
goes by its own calls and by what targets report.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge._outcomes import OutcomeTable
from yuccafold.edge._outcomes import RecentOutcomes
from yuccafold.edge._outcomes import add_outcomes
from yuccafold.edge._outcomes import failing
from yuccafold.edge._outcomes import read_outcomes
from yuccafold.edge._outcomes import write_outcomes
from yuccafold.edge._placement import LoadTable

REPORT_LIFETIME = Milliseconds(1_800)
"""How long what a VM told counts: it tells again every 450 to 750 ms."""

TOTAL_LIFETIME = Milliseconds(100)
"""How long a seed gives out one sum: it takes 2 ms for 85 VMs, who ask 63 times a
second."""

MAX_TOLD_TARGETS = 200
"""Targets that a VM tells of; a VM has calls at a few dozen."""


@final
@dataclass(frozen=True, slots=True)
class VmReport:
    """Running calls and recent outcomes by target, of one VM or of ``vms``."""

    calls: Mapping[TargetId, int] = field(default_factory=dict)
    outcomes: OutcomeTable = field(default_factory=dict)
    vms: int = 1

    def as_fields(self) -> dict[str, Any]:
        """Return the report as fields of a question or an answer."""
        most = sorted(self.calls.items(), key=lambda item: -item[1])[:MAX_TOLD_TARGETS]
        return {
            "loads": ",".join(f"{target}:{calls}" for target, calls in most),
            "outcomes": write_outcomes(self.outcomes),
            "vms": self.vms,
        }

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> VmReport:
        """Read a report; raises ``ValueError`` on fields that hold something else."""
        loads = str(fields.get("loads", "")).split(",")
        pairs = (part.rpartition(":") for part in loads if part)
        return cls(
            calls={TargetId(target): int(calls) for target, _, calls in pairs},
            outcomes=read_outcomes(str(fields.get("outcomes", ""))),
            vms=int(fields.get("vms", 1)),
        )


def add_reports(reports: Iterable[VmReport]) -> VmReport:
    """Return one report over the VMs of several."""
    calls: Counter[TargetId] = Counter()
    known = list(reports)
    for report in known:
        calls.update(report.calls)
    outcomes = add_outcomes(report.outcomes for report in known)
    return VmReport(calls, outcomes, sum(report.vms for report in known))


@final
class FleetReports:
    """Adds up what VMs told this seed, and what other seeds were told."""

    def __init__(self) -> None:
        self._by_vm: dict[str, tuple[VmReport, Milliseconds]] = {}
        self._by_seed: dict[str, tuple[VmReport, Milliseconds]] = {}
        self._total: tuple[VmReport, Milliseconds] | None = None

    def note_vm(self, vm: str, report: VmReport, now: Milliseconds) -> None:
        """Take the report of a VM that asks this seed."""
        self._by_vm[vm] = (report, now)

    def note_seed(self, seed: str, report: VmReport, now: Milliseconds) -> None:
        """Take the sum of another seed, over itself and the VMs that ask it."""
        self._by_seed[seed] = (report, now)

    def partial(self, own: VmReport, now: Milliseconds) -> VmReport:
        """Return our report and those of VMs that asked us lately."""
        return add_reports([own, *_fresh(self._by_vm, now)])

    def total(self, own: VmReport, now: Milliseconds) -> VmReport:
        """Return the report of all VMs, as far as seeds know them.

        It may be some time old, and hold our own calls as they were then.
        """
        if self._total is not None and now - self._total[1] < TOTAL_LIFETIME:
            return self._total[0]
        known = [own, *_fresh(self._by_vm, now), *_fresh(self._by_seed, now)]
        total = add_reports(known)
        told = VmReport(total.calls, failing(total.outcomes), total.vms)
        self._total = (told, now)
        return told


def _fresh(
    told: dict[str, tuple[VmReport, Milliseconds]], now: Milliseconds
) -> list[VmReport]:
    """Return what is fresh and forget the rest."""
    for name in [name for name, (_, at) in told.items() if now - at > REPORT_LIFETIME]:
        del told[name]
    return [report for report, _ in told.values()]


@final
@dataclass(frozen=True, slots=True)
class TargetEvidence:
    """What this VM knows of targets by calls: its own and, as told, all VMs'."""

    loads: LoadTable = field(default_factory=LoadTable)
    outcomes: RecentOutcomes = field(default_factory=RecentOutcomes)

    def own_report(self, now: Milliseconds) -> VmReport:
        """Return what this VM tells the seeds."""
        return VmReport(self.loads.own(), self.outcomes.own(now))

    def note_fleet(
        self, total: VmReport, own_then: VmReport, now: Milliseconds
    ) -> None:
        """Take the report of all VMs, which holds ours as told then."""
        for target in sorted(self.outcomes.newly_told(total.outcomes)):
            seen = total.outcomes[target]
            log_event(
                "target_told_failing",
                target=target,
                good=round(seen.good, 1),
                failed=round(seen.failed, 1),
                vms=total.vms,
            )
        self.loads.note_fleet(total.calls, own_then.calls, total.vms, now)
        self.outcomes.note_fleet(total.outcomes, own_then.outcomes, now)
