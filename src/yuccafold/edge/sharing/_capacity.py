"""Estimates what the targets of a service can do for all VMs together."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._model import TargetRecord
from yuccafold.edge.reports import newest
from yuccafold.edge.sharing._returns import UNKNOWN_COST
from yuccafold.edge.sharing._work import ServiceWork

LOAD_LIFETIME = Milliseconds(2_000)
"""How long the figures of a target are used: generations last one to four seconds."""

STATED_LIFETIME = Milliseconds(60_000)
"""How long a service counts as one whose targets state how long work takes, after the
last one did so: longer than the pauses in its traffic."""

USED_SHARE = 0.95
"""Share of the places that is filled: the next call should find a free one."""

BEGINNING_SHARE = 0.125
"""Share of the slots of a target that may hold calls which wait for their first token;
with more, those that wait lack memory if there are free slots."""

FILL_TIME = Milliseconds(1_000)
"""Time in which free places are filled. What VMs know of each other's calls is up to
a second old, so filling them faster would overshoot."""

DRAIN_TIME = Milliseconds(2_000)
"""Time in which calls above the limit are left to end: long enough that others than
those who sent too many go on being served, and short against what callers wait."""

QUICKLY_FILLED_SHARE = 0.75
"""Share of the places up to which free ones are filled within that time, whatever the
work rate is estimated to be: then a wrong estimate leaves few places free."""

FILL_MARGIN = 0.02
"""Part of the work rate by which the remaining places are filled: a fifth of what all
VMs together may admit beyond it, as the estimates need the rest."""

SETTLED_FILL_MARGIN = 0.05
"""The same for all free places once demand has been above the work rate for a while:
half of what may be admitted beyond it."""

TOLERATED_DELAYS = 0.05
"""Share of calls that may be rejected or begin late without a lack of room: some
targets are slow or restart at any time."""

LEAST_FACTOR = 0.6
"""Least part of the places that is used because calls begin late. Below it, delays
have other causes than a lack of room."""

LEAST_PACE_EVIDENCE = 5_000.0
"""Milliseconds of work that have to end before the pace is known."""

LEAST_PACE = 0.05
"""Least multiple that is believed; work can be estimated far too high."""

LEAST_CROWDING = 0.3
"""Share of the places in use from which the pace at full use is extrapolated: with
fewer calls, random variation would be multiplied."""


@final
@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What a target said of its load at ``at``."""

    load: TargetLoad
    at: Milliseconds


LoadsByTarget = Mapping[TargetId, ReportedLoad]

LoadsByService = Mapping[ServiceId, LoadsByTarget]


@final
class ServiceCapacity:
    """What one service can take now from all VMs, corrected by what is seen."""

    def __init__(self) -> None:
        self._slots: dict[TargetId, int] = {}
        self._targets: Sequence[TargetRecord] = ()
        self._loads: dict[TargetId, ReportedLoad] = {}
        self._local_loads: dict[TargetId, ReportedLoad] = {}
        self._stated_at: Milliseconds | None = None
        self._work = ServiceWork()

    @property
    def has_targets(self) -> bool:
        """Whether any target may get calls."""
        return bool(self._slots)

    def states_pace(self, now: Milliseconds) -> bool:
        """Return whether targets state how long work takes there."""
        return self._stated_at is not None and now - self._stated_at <= STATED_LIFETIME

    def record_targets(self, targets: Sequence[TargetRecord]) -> None:
        """Record the targets that may get calls."""
        targets = tuple(targets)
        if targets != self._targets:
            self._targets = targets
            self._slots = {target.id: max(1, target.slots) for target in targets}

    def record_load(
        self, target: TargetId, load: TargetLoad, now: Milliseconds
    ) -> None:
        """Record what an answer of ``target`` to this VM said."""
        reported = ReportedLoad(load, now)
        self._local_loads[target] = reported
        self.record_loads({target: reported})

    def record_loads(self, loads: LoadsByTarget) -> None:
        """Record what targets said to any VM."""
        for target, reported in loads.items():
            known = self._loads.get(target)
            if known is None or reported.at >= known.at:
                self._loads[target] = reported
            if reported.load.slowdown is not None:
                self._stated_at = Milliseconds(max(self._stated_at or 0, reported.at))

    def record_work(self, work: ServiceWork) -> None:
        """Record what all VMs see now of the work of the service."""
        self._work = work

    def local_loads(self, now: Milliseconds) -> dict[TargetId, ReportedLoad]:
        """Return the fresh figures that this VM received, and drop old ones."""
        self._local_loads = {
            target: reported
            for target, reported in self._local_loads.items()
            if now - reported.at <= LOAD_LIFETIME
        }
        self._loads = {
            target: reported
            for target, reported in self._loads.items()
            if now - reported.at <= LOAD_LIFETIME
        }
        return dict(self._local_loads)

    def places(self, now: Milliseconds) -> float:
        """Return how many calls the targets should have in all, as calls begin now."""
        return max(1.0, self._usable(now) * self._delay_factor())

    def _usable(self, now: Milliseconds) -> float:
        """Return how many calls the targets can run in all, with a reserve.

        The memory of a target can be full before its slots are. Where targets say
        nothing, they are taken to be like the others.
        """
        slots = sum(self._slots.values())
        fresh = self._fresh(now)
        known_slots = sum(self._slots[target] for target in fresh)
        if known_slots:
            room = sum(_room(load, self._slots[t]) for t, load in fresh.items())
            slots *= room / known_slots
        return max(1.0, slots * USED_SHARE)

    def reported_calls(self, now: Milliseconds) -> float | None:
        """Return how many calls targets have by their own figures, if enough say so."""
        fresh = self._fresh(now)
        if not fresh or 3 * len(fresh) < len(self._slots):
            return None
        known_slots = sum(self._slots[target] for target in fresh)
        calls = sum(load.running + load.waiting for load in fresh.values())
        return calls / known_slots * sum(self._slots.values())

    @property
    def pace(self) -> float:
        """How long a call holds its place when all are used, by its work.

        The more calls a target runs, the slower is each. What is seen now is
        extrapolated.
        """
        if self._work.cost_ms < LEAST_PACE_EVIDENCE:
            return 1.0
        pace = self._work.held_ms / self._work.cost_ms
        crowding = self._work.crowded_ms / self._work.cost_ms
        return max(LEAST_PACE, pace, 1 + (pace - 1) / max(LEAST_CROWDING, crowding))

    def work_rate(self, now: Milliseconds) -> float:
        """Return the milliseconds of work a second that can be done at all."""
        return self._usable(now) / USED_SHARE * MS_PER_SECOND / self.pace

    @property
    def mean_cost(self) -> float:
        """The work of a call on average."""
        if self._work.cost_ms < LEAST_PACE_EVIDENCE or not self._work.ended:
            return UNKNOWN_COST
        return self._work.cost_ms / self._work.ended

    def room(self, calls: float, now: Milliseconds, is_settled: bool = False) -> float:
        """Return the milliseconds of work a second to admit.

        ``calls`` are in flight now. Free places are filled besides, slowly if demand
        ``is_settled`` above the work rate, and what is above the limit is left to end.
        """
        places = self.places(now)
        rate = places * MS_PER_SECOND / self.pace
        at_once = self.mean_cost * MS_PER_SECOND / FILL_TIME
        free = (places - calls) * at_once
        if free < 0:
            return max(0.0, rate + free * FILL_TIME / DRAIN_TIME)
        quickly_filled = (QUICKLY_FILLED_SHARE * places - calls) * at_once
        if is_settled:
            quickly_filled = min(quickly_filled, SETTLED_FILL_MARGIN * rate)
        return rate + max(quickly_filled, min(free, FILL_MARGIN * rate))

    def wait(self, calls: float, now: Milliseconds) -> Milliseconds:
        """Return how long a call waits for a place behind ``calls`` in flight."""
        places = self.places(now) / USED_SHARE
        held = self.mean_cost * self.pace
        return Milliseconds(round(max(0.0, calls / places - 1) * held))

    def _fresh(self, now: Milliseconds) -> dict[TargetId, TargetLoad]:
        return {
            target: self._loads[target].load
            for target in self._slots
            if target in self._loads and now - self._loads[target].at <= LOAD_LIFETIME
        }

    def _delay_factor(self) -> float:
        if not self._work.begun:
            return 1.0
        delayed = self._work.delayed / max(10.0, self._work.begun)
        return max(LEAST_FACTOR, 1 - max(0.0, delayed - TOLERATED_DELAYS))


def _room(load: TargetLoad, slots: int) -> float:
    """Return how many calls a target can run at once, with its present ones."""
    beginning = slots * BEGINNING_SHARE
    if load.waiting <= beginning:
        return slots
    return min(slots, load.running + beginning)


def newest_loads(tables: Iterable[LoadsByTarget]) -> dict[TargetId, ReportedLoad]:
    """Return what each target said last."""
    return newest(tables, attrgetter("at"))
