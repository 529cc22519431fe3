"""How much slower than usual each target is, from the calls of all VMs."""

from __future__ import annotations

import math
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import RouteName
from yuccafold.edge.reports import Topic
from yuccafold.edge.reports import VmReport
from yuccafold.edge.reports import parse_count

EVIDENCE_HALF_LIFE = Milliseconds(2_000)
"""Half-life of the weight of a duration. Reports are about 700 ms old when they are
used: to follow changes that are over by then would send calls to targets that were
fast."""

PRIOR_WEIGHT = 4.0
"""Weight, in calls, of the assumption that a target is as fast as usual: single calls
differ in their work far more than targets in their pace."""

STATED_WEIGHT = 16.0
"""Weight of a slowdown that a target states itself."""

STATED_HALF_LIFE = Milliseconds(300)
"""Half-life of a slowdown that a target stated to this VM: targets change several times
a second."""

MAX_LOG_RATIO = math.log(8.0)
"""Bound on what one call says of a target: its work may have a long tail."""

USUAL_CALLS = 50
"""Calls over which the usual duration of a route is a mean."""

MIN_WEIGHT = 0.05
"""Weight below which evidence is dropped."""

MAX_REPORTED_TARGETS = 32
"""Targets in a report: small services have a few."""


@final
@dataclass(frozen=True, slots=True)
class PaceEvidence:
    """Weighted sum of the logarithms of slowdowns, and the weight, at a time."""

    log_sum: float
    weight: float
    at: Milliseconds

    def decayed(self, now: Milliseconds) -> PaceEvidence:
        """Return what is left of the evidence at ``now``."""
        factor = 0.5 ** (max(0, now - self.at) / EVIDENCE_HALF_LIFE)
        return PaceEvidence(self.log_sum * factor, self.weight * factor, now)

    def plus(self, log_ratio: float, weight: float) -> PaceEvidence:
        """Return this evidence and another one of the same time."""
        return PaceEvidence(
            self.log_sum + log_ratio * weight, self.weight + weight, self.at
        )


PaceReport = Mapping[TargetId, PaceEvidence]


@final
@dataclass(slots=True)
class UsualDuration:
    """The mean logarithm of durations, and of how many calls, up to a bound."""

    log_mean: float
    calls: int = 0

    def record(self, log_ratio: float) -> None:
        """Record how far a call was from the mean."""
        self.calls = min(USUAL_CALLS, self.calls + 1)
        self.log_mean += log_ratio / self.calls


@final
class AnswerPaces:
    """Estimates the slowdown of targets, 1 for one that is as fast as usual.

    Each call's duration is compared with what calls of its route usually take over all
    targets. Old evidence fades, so that what isn't confirmed goes back to 1 within
    seconds.
    """

    def __init__(self) -> None:
        self._local: dict[TargetId, PaceEvidence] = {}
        self._others: dict[TargetId, PaceEvidence] = {}
        self._stated: dict[TargetId, tuple[float, Milliseconds]] = {}
        self._usual: dict[tuple[ServiceId, RouteName], UsualDuration] = {}

    def record_duration(
        self,
        target: TargetId,
        service: ServiceId,
        route: RouteName,
        duration: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Record how long a call took at ``target``."""
        log_duration = math.log(max(1.0, duration))
        usual = self._usual.setdefault((service, route), UsualDuration(log_duration))
        difference = log_duration - usual.log_mean
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, difference))
        usual.record(ratio)
        self._add(target, ratio, 1.0, now)

    def record_stated(
        self, target: TargetId, slowdown: float, now: Milliseconds
    ) -> None:
        """Record the slowdown that ``target`` states itself."""
        if slowdown > 0 and math.isfinite(slowdown):
            self._local.pop(target, None)
            self._add(target, math.log(slowdown), STATED_WEIGHT, now)
            self._stated[target] = math.log(slowdown), now

    def current_slowdown(self, target: TargetId, now: Milliseconds) -> float:
        """Return the slowdown with what ``target`` stated last to this VM.

        Only this VM knows that, so that VMs don't all turn to the same target by it.
        """
        known = self.slowdown(target, now)
        if target not in self._stated:
            return known
        log_stated, stated_at = self._stated[target]
        share = 0.5 ** (max(0, now - stated_at) / STATED_HALF_LIFE)
        return known * math.exp(share * (log_stated - math.log(known)))

    def slowdown(self, target: TargetId, now: Milliseconds) -> float:
        """Return how many times longer than usual work takes at ``target``."""
        known = [
            table[target].decayed(now)
            for table in (self._local, self._others)
            if target in table
        ]
        weight = sum(evidence.weight for evidence in known)
        log_sum = sum(evidence.log_sum for evidence in known)
        return math.exp(log_sum / (weight + PRIOR_WEIGHT))

    def usual_duration(self, service: ServiceId, route: RouteName) -> float | None:
        """Return how many ms calls of a route usually take, ``None`` if unknown."""
        usual = self._usual.get((service, route))
        return None if usual is None else math.exp(usual.log_mean)

    def local_report(self, now: Milliseconds) -> PaceReport:
        """Return what the calls of this VM say, and drop what is old."""
        decayed = {
            target: evidence.decayed(now) for target, evidence in self._local.items()
        }
        self._local = {
            target: evidence
            for target, evidence in decayed.items()
            if evidence.weight >= MIN_WEIGHT
        }
        return dict(self._local)

    def record_fleet_report(
        self, total: PaceReport, local_part: PaceReport, now: Milliseconds
    ) -> None:
        """Record what the calls of all VMs say; ``local_part`` is that of this VM."""
        self._others = {
            target: _without(evidence.decayed(now), local_part.get(target), now)
            for target, evidence in total.items()
        }

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._local.pop(target, None)
        self._others.pop(target, None)
        self._stated.pop(target, None)

    def _add(
        self, target: TargetId, log_ratio: float, weight: float, now: Milliseconds
    ) -> None:
        known = self._local.get(target, PaceEvidence(0.0, 0.0, now))
        self._local[target] = known.decayed(now).plus(log_ratio, weight)


def _without(
    total: PaceEvidence, part: PaceEvidence | None, now: Milliseconds
) -> PaceEvidence:
    if part is None:
        return total
    own = part.decayed(now)
    if own.weight >= total.weight:
        return PaceEvidence(0.0, 0.0, now)
    return PaceEvidence(total.log_sum - own.log_sum, total.weight - own.weight, now)


@final
class AnswerPacesTopic(Topic[PaceReport]):
    """What the durations of calls say of the pace of targets of small services."""

    name = "plain_paces"

    def __init__(self, paces: AnswerPaces) -> None:
        self._paces = paces

    def empty(self) -> PaceReport:
        """Return no evidence."""
        return {}

    def local(self, now: Milliseconds) -> PaceReport:
        """Return what the calls of this VM say."""
        return self._paces.local_report(now)

    def merge(self, values: Sequence[PaceReport]) -> PaceReport:
        """Return the sum by target, each part faded to the time of the latest."""
        latest = max(
            (evidence.at for value in values for evidence in value.values()),
            default=Milliseconds(0),
        )
        total: dict[TargetId, PaceEvidence] = {}
        for value in values:
            for target, evidence in value.items():
                part = evidence.decayed(latest)
                known = total.get(target, PaceEvidence(0.0, 0.0, latest))
                total[target] = PaceEvidence(
                    known.log_sum + part.log_sum, known.weight + part.weight, latest
                )
        return total

    def format(self, value: PaceReport, now: Milliseconds) -> str:
        """Format as ``TARGET:LOG_SUM:WEIGHT`` in hundredths, faded to ``now``."""
        faded = ((target, evidence.decayed(now)) for target, evidence in value.items())
        kept = sorted(faded, key=lambda item: -item[1].weight)[:MAX_REPORTED_TARGETS]
        return ",".join(
            f"{target}:{round(evidence.log_sum * 100)}:{round(evidence.weight * 100)}"
            for target, evidence in kept
            if evidence.weight >= MIN_WEIGHT
        )

    def parse(self, text: str, now: Milliseconds) -> PaceReport:
        """Parse the form of ``format``."""
        rows = (part.rsplit(":", 2) for part in text.split(",") if part)
        return {
            TargetId(target): PaceEvidence(
                _bounded_sum(int(log_sum) / 100, parse_count(weight) / 100),
                parse_count(weight) / 100,
                now,
            )
            for target, log_sum, weight in rows
        }

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the evidence of other VMs."""
        self._paces.record_fleet_report(self.of(total), self.of(local_part), now)


def _bounded_sum(log_sum: float, weight: float) -> float:
    """Return a sum of logarithms within what calls of that weight can say."""
    most = MAX_LOG_RATIO * weight
    return max(-most, min(most, log_sum))
