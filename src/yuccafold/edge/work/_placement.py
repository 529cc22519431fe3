"""Orders the targets of a call by when they are likely to answer it."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import TargetId
from yuccafold.edge._call import Call
from yuccafold.edge._placement import HolderMemory
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._view import KnownTarget
from yuccafold.edge.work._costs import CallCost
from yuccafold.edge.work._estimator import CostEstimator
from yuccafold.edge.work._outstanding import OutstandingWork
from yuccafold.edge.work._paces import TargetPaces

CLEAR_GAIN_SHARE = 0.25
"""Share of a route's latency objective from which a gain counts: callers hardly notice
less, and each move has a prompt read again or a call cross zones."""

PROMPT_CHOICES = 4
"""Targets that are weighed for a prompt, in order of its rank: with a third of the
targets slow, 1 in 80 prompts has only slow ones. With all targets, calls of many
prompts would gather at the few that look best until the next report."""

PLAIN_PREFERENCE = 2.0
"""Exponent by which plain calls prefer targets that answer sooner: with 1, targets at
work would be filled alike, and the slow ones answer late even if there is room."""


@final
@dataclass(frozen=True, slots=True)
class ExpectedTimes:
    """What is expected of one target for a call, in milliseconds.

    ``cost`` is what the call costs there. ``first_ms`` is when its first event comes,
    for plain calls the answer. ``rank_ms`` adds what the call and those that run keep
    others waiting for.
    """

    cost: CallCost
    first_ms: float
    rank_ms: float


@final
class WorkPlacement:
    """Orders targets by expected time, but keeps a call's first choice if it is close.

    The load bound, limits and fetches stay those of the placement that it orders for.
    All VMs know nearly the same, from reports that are up to a second old. So that
    they don't all pick the same target, each prompt goes by its own rank among those
    that are close to the best, and plain calls by chance, the sooner the likelier.
    """

    def __init__(
        self,
        loads: LoadTable,
        holders: HolderMemory,
        estimator: CostEstimator,
        paces: TargetPaces,
        outstanding: OutstandingWork,
        rng: random.Random,
    ) -> None:
        self._loads = loads
        self._holders = holders
        self._estimator = estimator
        self._paces = paces
        self._outstanding = outstanding
        self._rng = rng
        self._ordered: tuple[CallId, Mapping[TargetId, ExpectedTimes]] | None = None

    def order(
        self, call: Call, ranked: Sequence[KnownTarget], now: Milliseconds
    ) -> list[KnownTarget]:
        """Return ``ranked``, which is in order of preference, in order of choice."""
        count = PROMPT_CHOICES if call.head.prompt else len(ranked)
        choices, others = ranked[:count], ranked[count:]
        if not choices:
            return []
        times = self.expected(call, choices, ranked[:1], now)
        self._ordered = (call.head.id, times)
        rank_ms = {target: expected.rank_ms for target, expected in times.items()}
        tolerance = CLEAR_GAIN_SHARE * call.admitted.route.latency_objective
        close_to = min(rank_ms.values()) + tolerance
        close = [known for known in choices if rank_ms[known.record.id] <= close_to]
        if not call.head.prompt and close[0] is not ranked[0]:
            return self._by_chance(choices, rank_ms)
        # Where the first choice has no room, the best comes before the next.
        return [*close, *_by_time(choices, rank_ms, close_to), *others]

    def expected(
        self,
        call: Call,
        targets: Sequence[KnownTarget],
        holders: Sequence[KnownTarget],
        now: Milliseconds,
    ) -> Mapping[TargetId, ExpectedTimes]:
        """Return what is expected of each of ``targets``.

        ``holders`` are taken to hold the shared parts, as other VMs send them there.
        """
        ids = [known.record.id for known in targets]
        calls = self._calls(ids, now)
        shared_tokens = sum(part.tokens for part in call.head.shared_parts)
        held_cost = self._estimator.estimate(call, shared_tokens)
        held = self._held(call, holders, now)
        ms_a_token = self._estimator.read_ms(call, 1)
        times = {}
        for known, running in zip(targets, calls, strict=True):
            target = known.record.id
            pace = self._paces.pace(target, now)
            work = self._outstanding.work(target, pace, now)
            slots = known.record.slots or math.inf
            remaining = work.write_ms / running if running else 0.0
            wait = max(0.0, running + 1 - slots) * remaining / slots
            missing = shared_tokens - held.get(target, 0)
            cost = held_cost.reading(missing, missing * ms_a_token)
            first = work.read_ms + wait + cost.typical_ms
            fullness = min(1.0, running / slots)
            crowding = fullness * (work.write_ms + cost.decode_ms) / slots
            times[target] = ExpectedTimes(cost, pace * first, pace * (first + crowding))
        return times

    def expected_at(
        self, call: Call, target: KnownTarget, is_holder: bool, now: Milliseconds
    ) -> ExpectedTimes:
        """Return what is expected of ``target``; as when ``call`` was ordered, if so.

        ``is_holder`` is set if the target is taken to hold the shared parts.
        """
        if self._ordered is not None and self._ordered[0] == call.head.id:
            times = self._ordered[1].get(target.record.id)
            if times is not None:
                return times
        holders = [target] if is_holder else []
        return self.expected(call, [target], holders, now)[target.record.id]

    def _held(
        self, call: Call, holders: Sequence[KnownTarget], now: Milliseconds
    ) -> Mapping[TargetId, int]:
        """Return how many tokens targets probably hold."""
        shared = call.head.shared_parts
        if not shared:
            return {}
        tokens = sum(part.tokens for part in shared)
        held = self._holders.held_tokens(shared, now)
        return held | {known.record.id: tokens for known in holders}

    def _calls(self, targets: Sequence[TargetId], now: Milliseconds) -> list[int]:
        """Return the calls at each target: what VMs report, checked by the target."""
        told = self._loads.fleet_calls(targets, now) or [
            self._loads.in_flight(target) for target in targets
        ]
        return [
            max(calls, self._loads.estimate_from_report(target, now) or 0)
            for target, calls in zip(targets, told, strict=True)
        ]

    def _by_chance(
        self, ranked: Sequence[KnownTarget], rank_ms: Mapping[TargetId, float]
    ) -> list[KnownTarget]:
        """Return ``ranked`` in random order, sooner targets first with more weight."""

        def draw(known: KnownTarget) -> float:
            weight = max(1.0, rank_ms[known.record.id]) ** -PLAIN_PREFERENCE
            return self._rng.expovariate(1.0) / weight

        return sorted(ranked, key=draw)


def _by_time(
    ranked: Sequence[KnownTarget], rank_ms: Mapping[TargetId, float], above: float
) -> list[KnownTarget]:
    """Return those whose time is ``above``, the soonest first."""
    later = [known for known in ranked if rank_ms[known.record.id] > above]
    return sorted(later, key=lambda known: rank_ms[known.record.id])
