"""What is known of each target of a service for one call."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import replace
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._call import Call
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._placement import LoadBounds
from yuccafold.edge._placement import Placement
from yuccafold.edge._placement import rank
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import KnownTarget
from yuccafold.edge._view import PlatformView
from yuccafold.edge.explain._explanation import Estimate
from yuccafold.edge.explain._explanation import Load
from yuccafold.edge.explain._explanation import RuledOut
from yuccafold.edge.explain._explanation import TargetExplanation
from yuccafold.edge.plain import NoRoom

MAX_ROWS = 100
"""Targets in an explanation; calls go to the first few in order."""


@final
class TargetTable:
    """Places a call by a copy of ``Targets``, and says why each target got it or not.

    What a target was asked on the way is recorded. The others are asked afterwards, as
    the copy isn't used for anything else.
    """

    def __init__(
        self,
        view: PlatformView,
        targets: Targets,
        call: Call,
        version: SoftwareVersion | None,
        now: Milliseconds,
    ) -> None:
        self._view = view
        self._targets = targets
        self._call = call
        self._now = now
        self._present = view.present(call.service)
        self._ready = _ids(view.ready(call.service, now))
        self._evacuated = view.evacuated_zones(now)
        self._candidates = targets.candidates(call, (), now, version)
        self._allowed = _ids(self._candidates.ready)
        self._usable = _ids(self._candidates.usable)
        self._limits = {
            target: _once(admits) for target, admits in self._candidates.limits.items()
        }
        self._ordered: Sequence[KnownTarget] = ()
        self._ranked: Sequence[KnownTarget] = ()
        self._notes: list[str] = []

    @property
    def notes(self) -> list[str]:
        """What is said of all targets together."""
        return self._notes

    def place(self) -> Placement | NoRoom | None:
        """Return the target that the call would be sent to, as ``Targets.place``."""
        traced = replace(self._candidates, limits=self._limits, order=self._order)
        return self._targets.choose(self._call, traced, self._now)

    def rows(self, placement: Placement | None) -> list[TargetExplanation]:
        """Return what is known of each target, those tried first on top.

        Further ones than ``MAX_ROWS`` are left out.
        """
        chosen = None if placement is None else placement.target
        shared = self._call.head.shared_parts or self._call.head.prompt
        ranks = _places(rank(shared[-1].id, self._present)) if shared else {}
        choices = _places(self._ordered)
        last = len(self._present) + 1

        def place(known: KnownTarget) -> tuple[int, int, TargetId]:
            target = known.record.id
            return choices.get(target, last), ranks.get(target, last), target

        in_order = sorted(self._present, key=place)
        shown = in_order[:MAX_ROWS]
        if chosen in in_order[MAX_ROWS:]:
            shown.append(chosen)
        if len(shown) < len(in_order):
            self._notes.append(f"{len(in_order) - len(shown)} targets are left out")
        held = self._targets.held_tokens(self._call, self._now)
        bounds = self._bounds()
        overdue = self._targets.overdue(self._call, shown, self._now)
        rows = []
        for known in shown:
            target = known.record.id
            ruled_out = tuple(self._ruled_out(known, bounds, overdue))
            if known is chosen and RuledOut.OVER_BOUND in ruled_out:
                self._notes.append("all targets are over the load bound")
            rows.append(
                TargetExplanation(
                    target,
                    known.record.zone,
                    known.record.software,
                    known is chosen,
                    () if known is chosen else ruled_out,
                    self._load(known, bounds),
                    self._estimate(known),
                    ranks.get(target),
                    choices.get(target),
                    held.get(target, 0) if shared else None,
                )
            )
        return rows

    def _order(self, ranked: Sequence[KnownTarget]) -> Sequence[KnownTarget]:
        self._ranked = ranked
        self._ordered = self._candidates.order(ranked)
        return self._ordered

    def _bounds(self) -> LoadBounds | None:
        """Return the bounds that a prompt's targets have to be within."""
        if not self._call.head.prompt:
            return None
        unlimited = [
            known
            for known in self._candidates.usable
            if known.record.id not in self._limits
        ]
        return self._targets.load_bounds(unlimited, self._now)

    def _ruled_out(
        self,
        known: KnownTarget,
        bounds: LoadBounds | None,
        overdue: Collection[TargetId],
    ) -> Iterator[RuledOut]:
        """Yield why a target would not get the call: the first stage that says so."""
        target = known.record.id
        if self._targets.evidence.reach.is_cut_off(self._call.service):
            yield RuledOut.CUT_OFF
        if target not in self._ready:
            yield from self._not_ready(known)
        elif self._targets.is_paused(known.record, self._now):
            yield RuledOut.PAUSED
        elif target not in self._allowed:
            yield RuledOut.OTHER_VERSION
        elif target not in self._usable:
            is_failing = target in self._candidates.unhealthy
            yield RuledOut.FAILING if is_failing else RuledOut.AVOIDED
        elif target in self._limits:
            yield from self._limit(known)
        elif bounds is not None and not bounds.allows(target):
            yield RuledOut.OVER_BOUND
        if target in overdue:
            yield RuledOut.SILENT

    def _not_ready(self, known: KnownTarget) -> Iterator[RuledOut]:
        is_leaving = known.leaving_since is not None or self._view.leaving.is_leaving(
            known.record
        )
        if is_leaving:
            yield RuledOut.LEAVING
        if known.record.zone in self._evacuated:
            yield RuledOut.EVACUATED
        elif not is_leaving:
            yield RuledOut.NOT_READY

    def _limit(self, known: KnownTarget) -> Iterator[RuledOut]:
        lacks_permit = self._targets.lacks_permit(known, self._now)
        if self._limits[known.record.id]():
            return
        if lacks_permit:
            yield RuledOut.COLD
        elif self._targets.is_brittle(self._call.service, self._now):
            yield RuledOut.BRITTLE
        else:
            yield RuledOut.LIMITED

    def _load(self, known: KnownTarget, bounds: LoadBounds | None) -> Load:
        target = known.record.id
        loads = self._targets.evidence.loads
        fleet_calls = loads.fleet_calls([target], self._now)
        reported = (
            loads.estimate_from_report(target, self._now)
            if fleet_calls is None
            else fleet_calls[0]
        )
        if bounds is None or target not in bounds.local:
            return Load(loads.in_flight(target), reported)
        return Load(
            bounds.local[target],
            bounds.reported[target],
            round(bounds.local_bound, 1),
            round(bounds.bound, 1),
        )

    def _estimate(self, known: KnownTarget) -> Estimate | None:
        work, call, now = self._targets.evidence.work, self._call, self._now
        is_plain = not call.head.prompt
        if self._targets.places_by_pace(call.service):
            paces = self._targets.evidence.answer_paces
            return Estimate(round(paces.slowdown(known.record.id, now), 2))
        if not work.is_in_effect(call.service) or (
            is_plain and not work.states_slowdown(call.service)
        ):
            return None
        is_holder = known in self._ranked[:1]
        times = work.placement.expected_at(call, known, is_holder, now)
        pace = work.paces.pace(known.record.id, now)
        outstanding = work.outstanding.work(known.record.id, pace, now)
        return Estimate(
            round(pace, 2),
            round(pace * times.cost.prefill_ms),
            round(times.first_ms - pace * times.cost.typical_ms),
            round(pace * times.cost.decode_ms),
            round(times.first_ms),
            round(outstanding.read_ms),
            round(outstanding.write_ms),
        )


def _once(admits: Callable[[], bool]) -> Callable[[], bool]:
    """Return a function that keeps the first answer of ``admits``."""
    answers: list[bool] = []

    def ask() -> bool:
        if not answers:
            answers.append(admits())
        return answers[0]

    return ask


def _ids(targets: Sequence[KnownTarget]) -> frozenset[TargetId]:
    return frozenset(known.record.id for known in targets)


def _places(targets: Sequence[KnownTarget]) -> Mapping[TargetId, int]:
    return {known.record.id: place for place, known in enumerate(targets, 1)}
