"""How calls ended at each target lately, at this VM and at all of them.

A VM of a large fleet sends a target a call every few seconds: too few to see
that it is sick. So VMs tell the seeds what they saw, with the calls they have
running. It is a hint: without it each VM goes by what it saw itself.
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

OUTCOME_HALF_LIFE = Milliseconds(1_000)
"""How fast outcomes lose weight: a target that is well again gets calls within the
two to three seconds for which troubles of targets last."""

TOLD_LIFETIME = Milliseconds(2_000)
"""How long what all VMs saw counts: it is told every 450 to 750 ms."""

FORGOTTEN_WEIGHT = 0.1
"""Weight of outcomes below which a target is dropped."""

SICK_FAILURES = 2.6
"""Weighted failures of all VMs that make a target sick: three at about one time."""

SICK_SHARE = 0.5
"""Share of failed calls that makes a target sick: more failed than good."""

SICK_MULTIPLE = 2.0
"""A sick target fails this many times as often as the rest of the targets."""

REST = TargetId("")
"""Stands for all targets that are not told of one by one."""


@final
@dataclass(frozen=True, slots=True)
class Seen:
    """Weighted outcomes of calls at one target."""

    good: float = 0.0
    failed: float = 0.0

    @property
    def failed_share(self) -> float:
        """The share of failed calls; 0 where there were none."""
        calls = self.good + self.failed
        return self.failed / calls if calls else 0.0

    def __add__(self, other: Seen) -> Seen:
        """Return the outcomes of both."""
        return Seen(self.good + other.good, self.failed + other.failed)

    def less(self, other: Seen) -> Seen:
        """Return these outcomes without ``other``."""
        return Seen(
            max(0.0, self.good - other.good), max(0.0, self.failed - other.failed)
        )

    def faded(self, age: int) -> Seen:
        """Return these outcomes as they count after ``age`` milliseconds."""
        factor = 0.5 ** (age / OUTCOME_HALF_LIFE)
        return Seen(self.good * factor, self.failed * factor)


OutcomeTable = Mapping[TargetId, Seen]


def add_outcomes(tables: Iterable[OutcomeTable]) -> dict[TargetId, Seen]:
    """Return the outcomes of several VMs by target."""
    total: dict[TargetId, Seen] = defaultdict(Seen)
    for table in tables:
        for target, seen in table.items():
            total[target] += seen
    return dict(total)


@final
class RecentOutcomes:
    """What this VM saw lately, and what others did.

    Answers targets that take calls and fail them, or never answer, while the
    calls of a large fleet come to each of its VMs only now and then.
    """

    def __init__(self) -> None:
        self._own: dict[TargetId, tuple[Seen, Milliseconds]] = {}
        self._others: dict[TargetId, Seen] = {}
        self._others_at: Milliseconds | None = None

    def note(self, target: TargetId, is_good: bool, now: Milliseconds) -> None:
        """Record how a call ended."""
        seen = self._own_of(target, now) + (Seen(1.0) if is_good else Seen(0.0, 1.0))
        self._own[target] = (seen, now)

    def own(self, now: Milliseconds) -> dict[TargetId, Seen]:
        """Return what this VM saw, and drop what no longer counts."""
        faded = {target: self._own_of(target, now) for target in self._own}
        for target, seen in faded.items():
            if seen.good + seen.failed < FORGOTTEN_WEIGHT:
                del self._own[target]
        return {target: faded[target] for target in self._own}

    def newly_told(self, total: OutcomeTable) -> set[TargetId]:
        """Return which targets look sick in ``total`` and were not told of before."""
        return {
            target
            for target, seen in total.items()
            if target not in self._others and target != REST and _looks_sick(seen)
        }

    def note_fleet(
        self, total: OutcomeTable, own_then: OutcomeTable, now: Milliseconds
    ) -> None:
        """Take what all VMs saw, which holds what we told then."""
        nothing = Seen()
        self._others = {
            target: seen.less(own_then.get(target, nothing))
            for target, seen in total.items()
        }
        self._others_at = now

    def sick(self, targets: Collection[TargetId], now: Milliseconds) -> set[TargetId]:
        """Return those of ``targets`` that fail calls by what all VMs saw."""
        if self._others_at is None or now - self._others_at > TOLD_LIFETIME:
            return set()
        age = now - self._others_at
        seen = {
            target: told.faded(age) + self._own_of(target, now)
            for target, told in self._others.items()
        }
        whole = sum(seen.values(), Seen())
        return {
            target
            for target in targets
            if target in seen and _is_sick(seen[target], whole.less(seen[target]))
        }

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that started anew or is gone."""
        self._own.pop(target, None)
        self._others.pop(target, None)

    def _own_of(self, target: TargetId, now: Milliseconds) -> Seen:
        seen, at = self._own.get(target, (Seen(), now))
        return seen.faded(now - at)


def _looks_sick(seen: Seen) -> bool:
    return seen.failed >= SICK_FAILURES and seen.failed_share >= SICK_SHARE


def _is_sick(seen: Seen, rest: Seen) -> bool:
    return _looks_sick(seen) and seen.failed_share >= SICK_MULTIPLE * rest.failed_share


def write_outcomes(outcomes: OutcomeTable) -> str:
    """Return outcomes as ``TARGET:GOOD:FAILED`` in tenths, joined by commas."""
    return ",".join(
        f"{target}:{round(seen.good * 10)}:{round(seen.failed * 10)}"
        for target, seen in outcomes.items()
    )


def read_outcomes(text: str) -> dict[TargetId, Seen]:
    """Return the outcomes in ``text``; raises ``ValueError`` on anything else."""
    rows = (part.rsplit(":", 2) for part in text.split(",") if part)
    return {
        TargetId(target): Seen(int(good) / 10, int(failed) / 10)
        for target, good, failed in rows
    }


def failing(outcomes: OutcomeTable) -> dict[TargetId, Seen]:
    """Return the targets that failed calls, and the sum of all others."""
    told = {target: seen for target, seen in outcomes.items() if seen.failed >= 1.0}
    others = (seen for target, seen in outcomes.items() if target not in told)
    return told | {REST: sum(others, Seen())} if told else {}
