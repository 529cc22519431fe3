"""Reports of VMs to a seed and their total over all VMs.

The total is a hint for placement and retries: no call waits for it, and without it
each VM uses its own calls and what targets say.
"""

from __future__ import annotations

from typing import final

from yuccafold._clock import Milliseconds
from yuccafold.edge.reports._topic import REPORT_LIFETIME
from yuccafold.edge.reports._topic import VmReport
from yuccafold.edge.reports._topics import AgedReport
from yuccafold.edge.reports._topics import Topics

TOTAL_LIFETIME = Milliseconds(100)
"""How long a seed caches a total: computing it takes 2 ms with 85 VMs, which ask 63
times a second."""

NO_AGE = Milliseconds(0)


@final
class FleetReports:
    """Adds up the reports of VMs to this seed and the totals of the other seeds."""

    def __init__(self, topics: Topics) -> None:
        self._topics = topics
        self._by_vm: dict[str, tuple[VmReport, Milliseconds]] = {}
        self._by_seed: dict[str, tuple[VmReport, Milliseconds]] = {}
        self._cached_total: tuple[VmReport, Milliseconds] | None = None

    def record_vm_report(self, vm: str, report: VmReport, now: Milliseconds) -> None:
        """Store the report of a VM that reports to this seed."""
        self._by_vm[vm] = (report, now)

    def record_seed_report(
        self, seed: str, report: VmReport, now: Milliseconds
    ) -> None:
        """Store another seed's total over itself and the VMs that report to it."""
        self._by_seed[seed] = (report, now)

    def seed_total(self, local: VmReport, now: Milliseconds) -> VmReport:
        """Return the total of ``local`` and fresh reports of VMs to this seed."""
        return self._topics.merge([(local, NO_AGE), *_fresh(self._by_vm, now)])

    def total(self, local: VmReport, now: Milliseconds) -> VmReport:
        """Return the total over the seeds and all VMs that report to them.

        Each topic is summed up as its VMs need it. The result may come from the cache,
        with an earlier ``local`` report in it.
        """
        if (
            self._cached_total is not None
            and now - self._cached_total[1] < TOTAL_LIFETIME
        ):
            return self._cached_total[0]
        fresh = [
            (local, NO_AGE),
            *_fresh(self._by_vm, now),
            *_fresh(self._by_seed, now),
        ]
        summary = self._topics.summarize(self._topics.merge(fresh))
        self._cached_total = (summary, now)
        return summary


def _fresh(
    reports: dict[str, tuple[VmReport, Milliseconds]], now: Milliseconds
) -> list[AgedReport]:
    """Remove expired reports and return the remaining ones with their ages."""
    for name in [
        name
        for name, (_, received_at) in reports.items()
        if now - received_at > REPORT_LIFETIME
    ]:
        del reports[name]
    return [
        (report, Milliseconds(now - received_at))
        for report, received_at in reports.values()
    ]
