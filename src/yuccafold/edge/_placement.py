"""Chooses a target for each call from what this VM knows of the targets.

Placement never waits for another VM. All VMs rank the targets of a prompt in the
same order, so calls that share a prompt reach the same target without coordination.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import NewType
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.edge._model import PartId
from yuccafold.edge._model import PromptPart
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._view import KnownTarget

PromptKey = NewType("PromptKey", str)
"""A short digest of a prompt's leading parts, by which VMs tell each other of it."""

LOAD_REPORT_LIFETIME = Milliseconds(2_000)
"""How long a load report of a target is used: generations last one to four seconds."""

COUNT_SETTLE_TIME = Milliseconds(450)
"""The number of VMs is settled once it hasn't grown for this time. VMs report right
after they have started and at such intervals, so it grows while they start."""

COUNT_RETENTION = Milliseconds(3_000)
"""How long the largest number of VMs is used. A seed that has just started hears of all
of them within that time."""

FLEET_REPORT_LIFETIME = Milliseconds(2_000)
"""How long a fleet-wide report of running calls is used: generations last one to
four seconds, and VMs report every 450 to 750 ms."""

LOAD_BOUND_SLACK_CALLS = 3.0
"""Calls that a target may hold above the multiple of the mean load."""

REPORT_LAG_MARGIN_CALLS = 3.0
"""Calls assumed to have come from other VMs since the last report: with this margin
and the interval at which VMs report, 1 in 300 calls meets a target above the bound."""

LOCAL_LOAD_MULTIPLE = 1.5
"""Multiple of this VM's mean calls per target that one target may get from it: half
of what a load multiple of 2 allows above the mean is left for random imbalance from
other VMs."""

LOCAL_LOAD_SLACK_CALLS = 2.0
"""Calls of this VM that a target may have above that multiple: with fewer, random
variation alone would cause spills."""

PROMPT_WEIGHT_HALF_LIFE = Milliseconds(5_000)
"""Interval at which prompt weights are halved: prompts stay hot for five seconds or
more."""

MIN_PROMPT_WEIGHT = 0.1
"""Weight below which a prompt is no longer counted."""

HOT_PROMPT_MIN_WEIGHT = 2.0
"""Weight, in calls of this VM, from which a prompt may count as hot; fewer calls may
be random variation."""

HOT_PROMPT_BOUND_SHARE = 0.25
"""Share of the load bound that one hot prompt may fill at each of its targets: the
rest is left for other prompts and random variation."""

MAX_REMEMBERED_PARTS = 4_096
"""Prompt parts whose holders are remembered; a few hundred are in use at once."""

HOLDER_LIFETIME = Milliseconds(60_000)
"""How long a target is assumed to hold a prompt part in memory after reading it."""

MAX_REMEMBERED_TARGETS = 1_000
"""Targets that restarted or are gone whose earlier reports are ignored."""

NOT_TOLD: tuple[TargetId | None, Milliseconds] = (None, Milliseconds(0))

NEW_TARGET_PERIOD = Milliseconds(20_000)
"""How long after a target appeared its prompts are assumed to be at older targets."""

SAME_START_WINDOW = Milliseconds(10_000)
"""Targets that started within this time of the oldest one don't count as new."""

OTHER_ZONE_PENALTY_CALLS = 2.0
"""How many more calls a target in the local zone may have than one in another zone
before the other one is chosen."""


@final
@dataclass(slots=True)
class LoadEstimate:
    """Load of one target: this VM's running calls and the target's last report.

    ``in_flight_at_report`` is how many calls of this VM ran when it was reported.
    """

    in_flight: int = 0
    reported: int = 0
    in_flight_at_report: int = 0
    reported_at: Milliseconds | None = None


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """The target of one attempt, why it was chosen, and where to fetch its prompt."""

    target: KnownTarget
    reason: str
    fetch_from: KnownTarget | None = None


@final
@dataclass(frozen=True, slots=True)
class LoadBounds:
    """Up to how many calls targets get further ones, of this VM and of all VMs.

    ``local`` and ``reported`` are the calls at each target, ``None`` if unknown.
    """

    local_bound: float
    bound: float
    local: Mapping[TargetId, int]
    reported: Mapping[TargetId, int | None]

    def allows(self, target: TargetId) -> bool:
        """Return whether ``target`` is within both bounds."""
        reported = self.reported[target]
        return self.local[target] <= self.local_bound and (
            reported is None or reported + REPORT_LAG_MARGIN_CALLS <= self.bound
        )


Limits = Mapping[TargetId, Callable[[], bool]]
"""For each limited target, a function that returns whether it has room for a call."""

NO_LIMITS: Limits = {}

TargetOrder = Callable[[Sequence[KnownTarget]], Sequence[KnownTarget]]
"""Returns targets, which are in order of preference, in order of choice."""


def as_ranked(ranked: Sequence[KnownTarget]) -> Sequence[KnownTarget]:
    """Return ``ranked`` as it is."""
    return ranked


def _first_admitted(
    targets: Iterable[KnownTarget], limits: Limits
) -> KnownTarget | None:
    """Return the first target without a limit, or whose limit leaves room."""
    return next(
        (
            known
            for known in targets
            if known.record.id not in limits or limits[known.record.id]()
        ),
        None,
    )


@final
class LoadTable:
    """Estimates the load of each target.

    Combines the running calls of this VM, the load that targets report, and the
    running calls that VMs report to each other through the seeds.
    """

    def __init__(self) -> None:
        self._loads: dict[TargetId, LoadEstimate] = {}
        self._other_vms_calls: dict[TargetId, int] = {}
        self._fleet_reported_at: Milliseconds | None = None
        self._vm_count = 0
        self._largest_count = 0
        self._largest_count_at = Milliseconds(0)
        self._count_grew_at = Milliseconds(0)

    @property
    def vm_count(self) -> int:
        """The number of VMs in the last fleet report; 0 before the first one."""
        return self._vm_count

    @property
    def settled_vm_count(self) -> int:
        """The largest number of VMs in recent fleet reports; 0 before it is settled.

        Seeds that started as late as this VM have not heard of all VMs yet.
        """
        last = self._fleet_reported_at
        is_settled = (
            last is not None and last - self._count_grew_at >= COUNT_SETTLE_TIME
        )
        return self._largest_count if is_settled else 0

    def local_calls(self) -> dict[TargetId, int]:
        """Return the running calls of this VM by target."""
        return {
            target: load.in_flight
            for target, load in self._loads.items()
            if load.in_flight
        }

    def record_fleet_report(
        self,
        total: Mapping[TargetId, int],
        local_part: Mapping[TargetId, int],
        vms: int,
        now: Milliseconds,
    ) -> None:
        """Record the running calls of all ``vms`` VMs by target.

        ``local_part`` is the part of ``total`` that this VM reported; its present
        calls are counted instead.
        """
        self._vm_count = vms
        if vms > self._largest_count:
            self._count_grew_at = now
        is_past = now - self._largest_count_at > COUNT_RETENTION
        if vms >= self._largest_count or is_past:
            self._largest_count, self._largest_count_at = vms, now
        self._other_vms_calls = {
            target: max(0, calls - local_part.get(target, 0))
            for target, calls in total.items()
        }
        self._fleet_reported_at = now

    def fleet_calls(
        self, targets: Sequence[TargetId], now: Milliseconds
    ) -> list[int] | None:
        """Return the calls of all VMs at each of ``targets``.

        Returns ``None`` if there is no fleet report or the last one is too old.
        """
        if (
            self._fleet_reported_at is None
            or now - self._fleet_reported_at > FLEET_REPORT_LIFETIME
        ):
            return None
        return [
            self._other_vms_calls.get(target, 0) + self.in_flight(target)
            for target in targets
        ]

    def start(self, target: TargetId) -> None:
        """Count a call that is about to be sent to ``target``."""
        self._loads.setdefault(target, LoadEstimate()).in_flight += 1

    def finish(self, target: TargetId) -> None:
        """Count the end of a call."""
        load = self._loads[target]
        load.in_flight -= 1
        if load.in_flight == 0 and load.reported_at is None:
            del self._loads[target]

    def record_target_report(
        self, target: TargetId, load: TargetLoad, now: Milliseconds
    ) -> None:
        """Record the load that a target reported."""
        estimate = self._loads.setdefault(target, LoadEstimate())
        estimate.reported = load.running + load.waiting
        estimate.in_flight_at_report = estimate.in_flight
        estimate.reported_at = now

    def forget(self, target: TargetId) -> None:
        """Drop the target's report, and its whole entry if no local call is running."""
        load = self._loads.get(target)
        if load is None:
            return
        load.reported_at = None
        if load.in_flight == 0:
            del self._loads[target]

    def in_flight(self, target: TargetId) -> int:
        """Return how many calls of this VM are running at ``target``."""
        load = self._loads.get(target)
        return 0 if load is None else load.in_flight

    def estimate_from_report(self, target: TargetId, now: Milliseconds) -> int | None:
        """Return the load that a target reported, adjusted by local calls since then.

        Returns ``None`` if there is no report or the last one is too old.
        """
        load = self._loads.get(target)
        if load is None or load.reported_at is None:
            return None
        if now - load.reported_at > LOAD_REPORT_LIFETIME:
            return None
        return max(
            load.in_flight, load.reported + load.in_flight - load.in_flight_at_report
        )


@final
class HolderMemory:
    """Remembers which targets have read each prompt part for calls of this VM.

    Of other VMs' calls it knows what it is told. The least recently read parts are
    dropped once there are too many.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[PartId, dict[TargetId, Milliseconds]] = OrderedDict()
        self._told: OrderedDict[PromptKey, tuple[TargetId, Milliseconds]]
        self._told = OrderedDict()
        self._forgotten: OrderedDict[TargetId, Milliseconds] = OrderedDict()

    def record_read(
        self, parts: Iterable[PromptPart], target: TargetId, now: Milliseconds
    ) -> None:
        """Record that ``target`` has read ``parts``."""
        for part in parts:
            self._holders.setdefault(part.id, {})[target] = now
            self._holders.move_to_end(part.id)
        while len(self._holders) > MAX_REMEMBERED_PARTS:
            self._holders.popitem(last=False)

    def record_told(self, key: PromptKey, target: TargetId, at: Milliseconds) -> None:
        """Record that another VM had ``target`` read a prompt, some time before ``at``.

        What a target read before it restarted is gone.
        """
        known = self._told.get(key)
        is_newer = known is None or at > known[1]
        if is_newer and at > self._forgotten.get(target, at - 1):
            self._told[key] = (target, at)
            self._told.move_to_end(key)
        if len(self._told) > MAX_REMEMBERED_PARTS:
            self._told.popitem(last=False)

    def held_tokens(
        self, parts: Sequence[PromptPart], now: Milliseconds
    ) -> dict[TargetId, int]:
        """Return how many leading tokens of ``parts`` each target probably holds."""
        held = self._held_by_own_calls(parts, now)
        if not self._told:
            return held
        ids = tuple(part.id for part in parts)
        prefix_tokens = 0
        for count, part in enumerate(parts, 1):
            prefix_tokens += part.tokens
            target, read_at = self._told.get(prompt_key(ids[:count]), NOT_TOLD)
            if target is not None and now - read_at < HOLDER_LIFETIME:
                held[target] = max(held.get(target, 0), prefix_tokens)
        return held

    def _held_by_own_calls(
        self, parts: Sequence[PromptPart], now: Milliseconds
    ) -> dict[TargetId, int]:
        held: dict[TargetId, int] = {}
        prefix_tokens = 0
        for part in parts:
            read_times = self._holders.get(part.id, {})
            holders = [
                target
                for target, read_at in read_times.items()
                if now - read_at < HOLDER_LIFETIME
            ]
            # A part counts only at targets that hold all parts before it, too.
            reached = {
                target: prefix_tokens + part.tokens
                for target in holders
                if held.get(target, 0) == prefix_tokens
            }
            if not reached:
                break
            held |= reached
            prefix_tokens += part.tokens
        return held

    def forget_target(self, target: TargetId, now: Milliseconds) -> None:
        """Record that ``target`` no longer holds any prompt part."""
        self._forgotten[target] = now
        self._forgotten.move_to_end(target)
        if len(self._forgotten) > MAX_REMEMBERED_TARGETS:
            self._forgotten.popitem(last=False)
        for read_times in self._holders.values():
            read_times.pop(target, None)
        for key in [key for key, told in self._told.items() if told[0] == target]:
            del self._told[key]


@final
class PromptShares:
    """Tracks which share of this VM's recent calls each shared prompt gets."""

    def __init__(self) -> None:
        self._weights: dict[PartId, float] = {}
        self._total = 0.0
        self._halved_at = Milliseconds(0)

    def record_call(self, part: PartId, now: Milliseconds) -> None:
        """Count one call for ``part``, after halving old weights if it is time."""
        if now - self._halved_at > PROMPT_WEIGHT_HALF_LIFE:
            self._weights = {
                other: weight / 2
                for other, weight in self._weights.items()
                if weight > 2 * MIN_PROMPT_WEIGHT
            }
            self._total = sum(self._weights.values())
            self._halved_at = now
        self._weights[part] = self._weights.get(part, 0.0) + 1
        self._total += 1

    def share(self, part: PartId) -> float:
        """Return the share of recent calls for ``part``.

        Returns 0 below ``HOT_PROMPT_MIN_WEIGHT``, that is, for a part without repeated
        recent calls.
        """
        weight = self._weights.get(part, 0.0)
        return (weight - 1) / self._total if weight >= HOT_PROMPT_MIN_WEIGHT else 0.0


@lru_cache(maxsize=MAX_REMEMBERED_PARTS)
def prompt_key(parts: tuple[PartId, ...]) -> PromptKey:
    """Return the key of prompts that begin with ``parts``."""
    return PromptKey(blake2b("\0".join(parts).encode(), digest_size=4).hexdigest())


def rank(part: PartId, targets: Sequence[KnownTarget]) -> list[KnownTarget]:
    """Return ``targets`` in order of preference for ``part``, the same at every VM."""
    return sorted(targets, key=lambda known: rank_key(part, known.record.id))


def rank_key(part: PartId, target: TargetId) -> bytes:
    """Return what orders targets by preference for ``part``, the lowest first."""
    return blake2b(f"{part} {target}".encode(), digest_size=8).digest()


def affinity(parts: Sequence[PromptPart], target: TargetId) -> float:
    """Return a number from 0 up to 1 that calls with equal shared parts have in common.

    It is another one at each target, and 0 for calls without shared parts.
    """
    if not parts:
        return 0.0
    digest = blake2b(f"{target} {parts[-1].id}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


@final
class PromptPlacement:
    """Sends calls that share a prompt to the same target, within the load bound.

    Handles three kinds of load. If one prompt gets more calls than a target may
    hold, its calls are spread at random over as many targets as it needs. If a
    target is near the bound, the next in rank gets the call and fetches the prompt
    from it. If targets are added or replaced, the new ones get their share of
    prompts at once and fetch them from the old ones.
    """

    def __init__(
        self,
        loads: LoadTable,
        holders: HolderMemory,
        load_multiple: float,
        rng: random.Random,
    ) -> None:
        self._loads = loads
        self._holders = holders
        self._load_multiple = load_multiple
        self._rng = rng
        self._shares = PromptShares()

    def choose(
        self,
        parts: Sequence[PromptPart],
        usable: Sequence[KnownTarget],
        holders: Sequence[KnownTarget],
        now: Milliseconds,
        limits: Limits = NO_LIMITS,
        order: TargetOrder = as_ranked,
    ) -> Placement | None:
        """Choose a target of ``usable`` for a call with the prompt ``parts``.

        ``holders`` are the targets that the prompt may be fetched from. ``order`` may
        put targets in another order than that of the prompt's rank. Returns ``None``
        if no target is usable or none has room by its limit.
        """
        if not usable:
            return None
        shared = parts[:-1] or parts
        if not shared:
            by_load = sorted(
                usable, key=lambda known: self._loads.in_flight(known.record.id)
            )
            least_loaded = _first_admitted(order(by_load), limits)
            return least_loaded and Placement(least_loaded, "least-loaded")
        self._shares.record_call(shared[-1].id, now)
        ranked = self._spread_hot_prompt(
            shared[-1].id, rank(shared[-1].id, usable), now
        )
        ordered = order(ranked)
        target = self._first_below_bounds(ordered, now, limits)
        if target is None:
            return None
        reason = "first-ranked"
        if target is not ranked[0]:
            reason = "spilled" if target is not ordered[0] else "sooner"
        source = self._fetch_source(shared, target, holders, now)
        return Placement(target, reason, source)

    def _spread_hot_prompt(
        self, part: PartId, ranked: list[KnownTarget], now: Milliseconds
    ) -> list[KnownTarget]:
        """Return ``ranked`` with its first targets shuffled: those a hot prompt needs.

        Reports come too late to spread a prompt that fills a target between two of
        them, so the prompt's share of all calls decides how many targets it gets.
        """
        share = self._shares.share(part)
        fleet_calls = self._loads.fleet_calls(
            [known.record.id for known in ranked], now
        )
        if fleet_calls is None or share == 0:
            return ranked
        total = sum(fleet_calls)
        bound = self._load_multiple * total / len(ranked) + LOAD_BOUND_SLACK_CALLS
        target_count = min(
            len(ranked), math.ceil(share * total / (HOT_PROMPT_BOUND_SHARE * bound))
        )
        if target_count <= 1:
            return ranked
        return (
            self._rng.sample(ranked[:target_count], target_count)
            + ranked[target_count:]
        )

    def _first_below_bounds(
        self,
        ranked: Sequence[KnownTarget],
        now: Milliseconds,
        limits: Limits,
    ) -> KnownTarget | None:
        """Return the first target in rank that is within the local and fleet bounds.

        If there is none, returns the target with the fewest local calls. Local calls
        are known at once and keep each VM's share even. The reports of VMs, or of
        targets if there are none, cover the calls of all VMs but arrive late. Targets
        whose limit leaves no room are passed over. The bounds are those of the other
        targets, which take the calls of the limited ones.
        """
        unlimited = [known for known in ranked if known.record.id not in limits]
        bounds = self.bounds(unlimited, now)
        for known in ranked:
            target = known.record.id
            if limits[target]() if target in limits else bounds.allows(target):
                return known
        by_load = sorted(
            unlimited, key=lambda known: self._loads.in_flight(known.record.id)
        )
        return next(iter(by_load), None)

    def bounds(self, targets: Sequence[KnownTarget], now: Milliseconds) -> LoadBounds:
        """Return the local and fleet bounds of ``targets``, by their mean load."""
        target_ids = [known.record.id for known in targets]
        local_calls = [self._loads.in_flight(target) for target in target_ids]
        fleet_calls = self._loads.fleet_calls(target_ids, now)
        reports: Sequence[int | None] = fleet_calls or [
            self._loads.estimate_from_report(target, now) for target in target_ids
        ]
        known_reports = [report for report in reports if report is not None]
        local_bound = (
            LOCAL_LOAD_MULTIPLE * (sum(local_calls) + 1) / max(1, len(local_calls))
            + LOCAL_LOAD_SLACK_CALLS
        )
        bound = (
            self._load_multiple * sum(known_reports) / max(1, len(known_reports))
            + LOAD_BOUND_SLACK_CALLS
        )
        return LoadBounds(
            local_bound,
            bound,
            dict(zip(target_ids, local_calls, strict=True)),
            dict(zip(target_ids, reports, strict=True)),
        )

    def _fetch_source(
        self,
        shared: Sequence[PromptPart],
        target: KnownTarget,
        holders: Sequence[KnownTarget],
        now: Milliseconds,
    ) -> KnownTarget | None:
        """Return a target that probably holds more of the prompt than ``target``.

        Returns ``None`` if ``target`` holds all of it or there is no other holder. A
        wrong guess does no harm: parts that ``target`` holds aren't transferred. What a
        target of another software version keeps in memory is of no use.
        """
        held = self._holders.held_tokens(shared, now)
        held_by_target = held.get(target.record.id, 0)
        prompt_tokens = sum(part.tokens for part in shared)
        if held_by_target == prompt_tokens:
            return None
        holders = [
            known
            for known in holders
            if known.record.software == target.record.software
        ]
        others = [known for known in holders if known is not target]
        if not others:
            return None
        best = max(others, key=lambda known: held.get(known.record.id, 0))
        best_tokens = held.get(best.record.id, 0)
        if best_tokens == prompt_tokens:
            return best
        # Other VMs send this prompt to the first in rank; this VM doesn't see that.
        ranked = _new_targets_last(rank(shared[-1].id, holders), now)
        if ranked[0] is not target:
            return ranked[0]
        # The target may rank first only because another one is gone.
        return best if best_tokens > held_by_target else ranked[1]


def _new_targets_last(
    ranked: Sequence[KnownTarget], now: Milliseconds
) -> list[KnownTarget]:
    """Return ``ranked`` with new targets moved to the end.

    A target is new if it appeared recently and started well after the oldest one.
    """
    first_start_ms = min((known.record.born_ms for known in ranked), default=0)
    return sorted(
        ranked,
        key=lambda known: (
            known.record.born_ms - first_start_ms > SAME_START_WINDOW
            and now - known.first_seen_at < NEW_TARGET_PERIOD
        ),
    )


@final
class PlainPlacement:
    """Chooses the target with the fewest local calls and prefers the local zone.

    Suits a steady load of short calls: each VM balances its own calls, and there is
    no traffic between zones while the target in the local zone keeps up.
    """

    def __init__(self, loads: LoadTable, zone: ZoneId, rng: random.Random) -> None:
        self._loads = loads
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        usable: Sequence[KnownTarget],
        now: Milliseconds,
        limits: Limits = NO_LIMITS,
        order: TargetOrder = as_ranked,
    ) -> Placement | None:
        """Choose a target for a call; ``order`` may put others before the least loaded.

        Returns ``None`` if none is usable or none has room by its limit.
        """

        def cost(known: KnownTarget) -> tuple[float, float]:
            record = known.record
            penalty = 0.0 if record.zone == self._zone else OTHER_ZONE_PENALTY_CALLS
            return self._loads.in_flight(record.id) + penalty, self._rng.random()

        chosen = _first_admitted(order(sorted(usable, key=cost)), limits)
        return chosen and Placement(chosen, "least-loaded")
