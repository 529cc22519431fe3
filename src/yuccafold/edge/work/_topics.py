"""What VMs report to each other of costs, paces and outstanding work."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final
from urllib.parse import quote
from urllib.parse import unquote

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge.reports import MAX_COUNT
from yuccafold.edge.reports import Topic
from yuccafold.edge.reports import VmReport
from yuccafold.edge.reports import parse_count
from yuccafold.edge.work._costs import MeanTable
from yuccafold.edge.work._costs import WeighedMean
from yuccafold.edge.work._costs import add_means
from yuccafold.edge.work._estimator import CostEstimator
from yuccafold.edge.work._outstanding import OutstandingWork
from yuccafold.edge.work._outstanding import Work
from yuccafold.edge.work._outstanding import WorkTable
from yuccafold.edge.work._outstanding import add_work
from yuccafold.edge.work._paces import PaceTable
from yuccafold.edge.work._paces import StatedPace
from yuccafold.edge.work._paces import TargetPaces
from yuccafold.edge.work._paces import newest_paces

MAX_REPORTED_TARGETS = 200
"""Targets in a message; a VM has calls at a few dozen."""

MAX_REPORTED_MEANS = 80
"""Means in a message: a service with four routes has a score of them."""


@final
class PacesTopic(Topic[PaceTable]):
    """Targets that lately stated that they work slower or faster than usual."""

    name = "paces"

    def __init__(self, paces: TargetPaces) -> None:
        self._paces = paces

    def empty(self) -> PaceTable:
        """Return no statements."""
        return {}

    def local(self, now: Milliseconds) -> PaceTable:
        """Return what this VM knows."""
        return self._paces.unusual(now)

    def merge(self, values: Sequence[PaceTable]) -> PaceTable:
        """Return the newest statement of each target."""
        return newest_paces(values)

    def format(self, value: PaceTable, now: Milliseconds) -> str:
        """Format as ``TARGET:PERCENT:AGE_MS``, joined by commas, the newest first."""
        newest = sorted(value.items(), key=lambda item: -item[1].stated_at)
        return ",".join(
            f"{target}:{round(100 * pace.slowdown)}:{max(0, now - pace.stated_at)}"
            for target, pace in newest[:MAX_REPORTED_TARGETS]
        )

    def parse(self, text: str, now: Milliseconds) -> PaceTable:
        """Parse the form of ``format``."""
        rows = (part.rsplit(":", 2) for part in text.split(",") if part)
        return {
            TargetId(target): StatedPace(
                parse_count(percent, least=1) / 100,
                Milliseconds(now - parse_count(age)),
            )
            for target, percent, age in rows
        }

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the statements that other VMs got."""
        self._paces.record_told(self.of(total), now)


@final
class WorkTopic(Topic[WorkTable]):
    """The work that targets still have to do for running calls."""

    name = "work"

    def __init__(self, outstanding: OutstandingWork, paces: TargetPaces) -> None:
        self._outstanding = outstanding
        self._paces = paces

    def empty(self) -> WorkTable:
        """Return no work."""
        return {}

    def local(self, now: Milliseconds) -> WorkTable:
        """Return the work of this VM's calls."""
        return {
            target: self._outstanding.local_work(
                target, self._paces.pace(target, now), now
            )
            for target in self._outstanding.targets()
        }

    def merge(self, values: Sequence[WorkTable]) -> WorkTable:
        """Return the sum by target."""
        return add_work(values)

    def format(self, value: WorkTable, now: Milliseconds) -> str:
        """Format as ``TARGET:READ_MS:WRITE_MS``, joined by commas."""
        busiest = sorted(
            value.items(), key=lambda item: -item[1].read_ms - item[1].write_ms
        )
        return ",".join(
            f"{target}:{round(work.read_ms)}:{round(work.write_ms)}"
            for target, work in busiest[:MAX_REPORTED_TARGETS]
        )

    def parse(self, text: str, now: Milliseconds) -> WorkTable:
        """Parse the form of ``format``."""
        rows = (part.rsplit(":", 2) for part in text.split(",") if part)
        return {
            TargetId(target): Work(parse_count(read), parse_count(write))
            for target, read, write in rows
        }

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the work of other VMs' calls."""
        self._outstanding.record_told(self.of(total), self.of(local_part), now)


@final
class CostsTopic(Topic[MeanTable]):
    """Means by route and service of what calls cost."""

    name = "costs"

    def __init__(self, estimator: CostEstimator) -> None:
        self._estimator = estimator

    def empty(self) -> MeanTable:
        """Return no means."""
        return {}

    def local(self, now: Milliseconds) -> MeanTable:
        """Return what this VM learned itself."""
        return self._estimator.local_means()

    def merge(self, values: Sequence[MeanTable]) -> MeanTable:
        """Return the means of all samples."""
        return add_means(values)

    def format(self, value: MeanTable, now: Milliseconds) -> str:
        """Format as ``NAME=WEIGHT:MEAN``, joined by commas, of the best known means."""
        best = sorted(value.items(), key=lambda item: -item[1].weight)
        return ",".join(
            f"{quote(key)}={round(mean.weight)}:{mean.mean:.4g}"
            for key, mean in best[:MAX_REPORTED_MEANS]
        )

    def parse(self, text: str, now: Milliseconds) -> MeanTable:
        """Parse the form of ``format``."""
        means = {}
        for row in filter(None, text.split(",")):
            key, _, figures = row.rpartition("=")
            weight, _, mean = figures.partition(":")
            value = float(mean)
            if not 0 <= value <= MAX_COUNT:
                raise ValueError(f"expected a mean of at least 0, got {mean!r:.40}")
            means[unquote(key)] = WeighedMean(parse_count(weight), value)
        return means

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record what other VMs learned."""
        self._estimator.record_told(self.of(total), self.of(local_part))
