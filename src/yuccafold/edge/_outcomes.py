"""Recent outcomes of calls at each target, from this VM and from all VMs.

A VM of a large fleet sends each target a call only every few seconds, which is too
few to notice that it is unhealthy. So VMs report outcomes to the seeds, together with
their running calls. The reports are hints: without them each VM uses its own outcomes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._parsing import parse_whole

OUTCOME_HALF_LIFE = Milliseconds(1_000)
"""Half-life of the weight of outcomes: short, so that a target that has recovered gets
calls again within the two to three seconds for which faults of targets last."""

FLEET_REPORT_LIFETIME = Milliseconds(2_000)
"""How long a fleet-wide report of outcomes is used: VMs report every 450 to 750 ms."""

MIN_OUTCOME_WEIGHT = 0.1
"""Weight of a target's outcomes below which they are dropped."""

UNHEALTHY_FAILURES = 2.6
"""Weighted failures at all VMs that make a target unhealthy: three at nearly the same
time."""

UNHEALTHY_FAILED_SHARE = 0.5
"""Share of failed calls that makes a target unhealthy: more failed than good."""

UNHEALTHY_FAILURE_MULTIPLE = 2.0
"""A target is unhealthy if it fails this many times as often as all other targets."""

OTHER_TARGETS = TargetId("")
"""Stands for all targets that a report doesn't list one by one."""


@final
@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """Weighted counts of good and failed calls, of one target or of several."""

    good: float = 0.0
    failed: float = 0.0

    @property
    def failed_share(self) -> float:
        """The share of failed calls; 0 if there were no calls."""
        calls = self.good + self.failed
        return self.failed / calls if calls else 0.0

    def __add__(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return the sum of both."""
        return OutcomeCounts(self.good + other.good, self.failed + other.failed)

    def minus(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return these outcomes less those of ``other``, but at least 0."""
        return OutcomeCounts(
            max(0.0, self.good - other.good), max(0.0, self.failed - other.failed)
        )

    def decayed(self, age: int) -> OutcomeCounts:
        """Return these outcomes with their weight after ``age`` milliseconds."""
        factor = 0.5 ** (age / OUTCOME_HALF_LIFE)
        return OutcomeCounts(self.good * factor, self.failed * factor)


OutcomeTable = Mapping[TargetId, OutcomeCounts]


def add_outcomes(tables: Iterable[OutcomeTable]) -> dict[TargetId, OutcomeCounts]:
    """Return the sum of the outcomes of several VMs by target."""
    total: dict[TargetId, OutcomeCounts] = defaultdict(OutcomeCounts)
    for table in tables:
        for target, outcomes in table.items():
            total[target] += outcomes
    return dict(total)


@final
class RecentOutcomes:
    """Holds the recent outcomes of this VM and of the other ones.

    Finds targets that accept calls and then fail them or never answer, even if each
    VM of a large fleet sends them a call only now and then.
    """

    def __init__(self) -> None:
        self._local: dict[TargetId, tuple[OutcomeCounts, Milliseconds]] = {}
        self._other_vms: dict[TargetId, OutcomeCounts] = {}
        self._fleet_reported_at: Milliseconds | None = None

    def record_outcome(
        self, target: TargetId, is_good: bool, now: Milliseconds
    ) -> None:
        """Record the outcome of a call of this VM."""
        outcomes = self._local_outcomes_of(target, now) + (
            OutcomeCounts(1.0) if is_good else OutcomeCounts(0.0, 1.0)
        )
        self._local[target] = (outcomes, now)

    def local_outcomes(self, now: Milliseconds) -> dict[TargetId, OutcomeCounts]:
        """Return the outcomes of this VM by target, and drop those of low weight."""
        decayed = {
            target: self._local_outcomes_of(target, now) for target in self._local
        }
        for target, outcomes in decayed.items():
            if outcomes.good + outcomes.failed < MIN_OUTCOME_WEIGHT:
                del self._local[target]
        return {target: decayed[target] for target in self._local}

    def newly_failing(self, total: OutcomeTable) -> set[TargetId]:
        """Return the targets that fail in ``total`` and weren't in the last report."""
        return {
            target
            for target, outcomes in total.items()
            if target not in self._other_vms
            and target != OTHER_TARGETS
            and _exceeds_failure_limits(outcomes)
        }

    def record_fleet_report(
        self, total: OutcomeTable, local_part: OutcomeTable, now: Milliseconds
    ) -> None:
        """Record the outcomes of all VMs.

        ``local_part`` is the part of ``total`` that this VM reported; its present
        outcomes are counted instead.
        """
        nothing = OutcomeCounts()
        self._other_vms = {
            target: outcomes.minus(local_part.get(target, nothing))
            for target, outcomes in total.items()
        }
        self._fleet_reported_at = now

    def unhealthy(
        self, targets: Collection[TargetId], now: Milliseconds
    ) -> set[TargetId]:
        """Return those of ``targets`` that are unhealthy by the outcomes of all VMs.

        Returns none if the last fleet report is missing or too old.
        """
        if (
            self._fleet_reported_at is None
            or now - self._fleet_reported_at > FLEET_REPORT_LIFETIME
        ):
            return set()
        age = now - self._fleet_reported_at
        recent = {
            target: reported.decayed(age) + self._local_outcomes_of(target, now)
            for target, reported in self._other_vms.items()
        }
        sum_of_all = sum(recent.values(), OutcomeCounts())
        return {
            target
            for target in targets
            if target in recent
            and _is_unhealthy(recent[target], sum_of_all.minus(recent[target]))
        }

    def forget(self, target: TargetId) -> None:
        """Drop the outcomes of a target that restarted or is gone."""
        self._local.pop(target, None)
        self._other_vms.pop(target, None)

    def _local_outcomes_of(self, target: TargetId, now: Milliseconds) -> OutcomeCounts:
        outcomes, recorded_at = self._local.get(target, (OutcomeCounts(), now))
        return outcomes.decayed(now - recorded_at)


def _exceeds_failure_limits(outcomes: OutcomeCounts) -> bool:
    return (
        outcomes.failed >= UNHEALTHY_FAILURES
        and outcomes.failed_share >= UNHEALTHY_FAILED_SHARE
    )


def _is_unhealthy(outcomes: OutcomeCounts, rest: OutcomeCounts) -> bool:
    return (
        _exceeds_failure_limits(outcomes)
        and outcomes.failed_share >= UNHEALTHY_FAILURE_MULTIPLE * rest.failed_share
    )


def format_outcomes(outcomes: OutcomeTable) -> str:
    """Format outcomes as ``TARGET:GOOD:FAILED`` in tenths, joined by commas."""
    return ",".join(
        f"{target}:{round(counts.good * 10)}:{round(counts.failed * 10)}"
        for target, counts in outcomes.items()
    )


def parse_outcomes(text: str) -> dict[TargetId, OutcomeCounts]:
    """Parse the form of ``format_outcomes``; raises ``ValueError`` if malformed."""
    rows = (part.rsplit(":", 2) for part in text.split(",") if part)
    return {
        TargetId(target): OutcomeCounts(
            parse_whole(good) / 10, parse_whole(failed) / 10
        )
        for target, good, failed in rows
    }


def summarize_failing(outcomes: OutcomeTable) -> dict[TargetId, OutcomeCounts]:
    """Return the targets that failed calls, and the sum of all other targets.

    The sum is listed under ``OTHER_TARGETS``. Returns nothing if no target failed.
    """
    failing_targets = {
        target: counts for target, counts in outcomes.items() if counts.failed >= 1.0
    }
    others = (
        counts for target, counts in outcomes.items() if target not in failing_targets
    )
    return (
        failing_targets | {OTHER_TARGETS: sum(others, OutcomeCounts())}
        if failing_targets
        else {}
    )
