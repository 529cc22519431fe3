"""Chooses a target for a call from what this VM has seen of the targets.

No other VM is asked. All VMs rank the targets of a prompt alike, so that calls
which share a prompt meet at one target without a word between VMs.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.edge._model import PartId
from yuccafold.edge._model import PromptPart
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._view import KnownTarget

LOAD_REPORT_LIFETIME = Milliseconds(1_500)
"""After this a target's word on its load says less than our own count."""

BOUND_SLACK = 3.0
"""Calls that a target may hold above the multiple of the mean, by the users' rule."""

HOLDER_MEMORY_PARTS = 4_096
"""Prompt parts whose last holder is remembered; a few hundred are in use at once."""

HOLDER_LIFETIME = Milliseconds(60_000)
"""How long a part is taken to stay in the memory of the target that read it."""

YOUNG_TARGET = Milliseconds(20_000)
"""How long after a target came other targets may hold more of its prompts."""

OTHER_ZONE_PENALTY = 2.0
"""Calls that the target of our own zone may have more before another one is taken."""


@final
@dataclass(slots=True)
class LoadEstimate:
    """Our own calls at a target, and what it said last with our count then."""

    in_flight: int = 0
    reported: int = 0
    own_at_report: int = 0
    reported_at: Milliseconds | None = None


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """The target of one attempt, why, and where its prompt may be fetched."""

    target: KnownTarget
    reason: str
    fetch_from: KnownTarget | None = None


@final
class LoadTable:
    """How busy each target is, as far as this VM can tell."""

    def __init__(self) -> None:
        self._loads: dict[TargetId, LoadEstimate] = {}

    def start(self, target: TargetId) -> None:
        """Count a call that is on its way to ``target``."""
        self._loads.setdefault(target, LoadEstimate()).in_flight += 1

    def finish(self, target: TargetId) -> None:
        """Count the end of a call."""
        load = self._loads[target]
        load.in_flight -= 1
        if load.in_flight == 0 and load.reported_at is None:
            del self._loads[target]

    def report(self, target: TargetId, load: TargetLoad, now: Milliseconds) -> None:
        """Take a target's own word on its load."""
        known = self._loads.setdefault(target, LoadEstimate())
        known.reported = load.running + load.waiting
        known.own_at_report = known.in_flight
        known.reported_at = now

    def forget(self, kept: Iterable[TargetId]) -> None:
        """Drop targets that are not in ``kept`` and have no call of ours."""
        names = set(kept)
        self._loads = {
            target: load
            for target, load in self._loads.items()
            if target in names or load.in_flight
        }

    def in_flight(self, target: TargetId) -> int:
        """Return how many calls of this VM the target has."""
        load = self._loads.get(target)
        return 0 if load is None else load.in_flight

    def estimate(self, target: TargetId, now: Milliseconds) -> float:
        """Return how many calls of all VMs the target probably has."""
        load = self._loads.get(target)
        if load is None:
            return 0.0
        if load.reported_at is None or now - load.reported_at > LOAD_REPORT_LIFETIME:
            return float(load.in_flight)
        since = load.in_flight - load.own_at_report
        return float(max(load.in_flight, load.reported + since))


@final
class HolderMemory:
    """Which targets this VM sent a prompt part to, the latest first."""

    def __init__(self) -> None:
        self._holders: OrderedDict[PartId, dict[TargetId, Milliseconds]] = OrderedDict()

    def note(
        self, parts: Iterable[PromptPart], target: TargetId, now: Milliseconds
    ) -> None:
        """Record that ``target`` reads ``parts``."""
        for part in parts:
            self._holders.setdefault(part.id, {})[target] = now
            self._holders.move_to_end(part.id)
        while len(self._holders) > HOLDER_MEMORY_PARTS:
            self._holders.popitem(last=False)

    def holders(self, part: PartId, now: Milliseconds) -> dict[TargetId, Milliseconds]:
        """Return when each target that may still hold ``part`` got it last."""
        known = self._holders.get(part, {})
        return {
            target: at for target, at in known.items() if now - at < HOLDER_LIFETIME
        }

    def forget_target(self, target: TargetId) -> None:
        """Record that a target lost its memory."""
        for known in self._holders.values():
            known.pop(target, None)


def rank(part: PartId, targets: Sequence[KnownTarget]) -> list[KnownTarget]:
    """Return ``targets`` in the order in which every VM prefers them for ``part``."""
    return sorted(targets, key=lambda known: _weight(part, known.record.id))


def _weight(part: PartId, target: TargetId) -> bytes:
    return blake2b(f"{part} {target}".encode(), digest_size=8).digest()


@final
class PromptPlacement:
    """Keeps calls that share a prompt together, under the load bound.

    Answers the load in which a few prompts get much of the traffic: the target
    that ranks first holds the prompt; once it is near the bound the next one
    fetches the prompt from it.
    """

    def __init__(
        self, loads: LoadTable, holders: HolderMemory, load_multiple: float
    ) -> None:
        self._loads = loads
        self._holders = holders
        self._multiple = load_multiple

    def choose(
        self,
        parts: Sequence[PromptPart],
        usable: Sequence[KnownTarget],
        present: Sequence[KnownTarget],
        now: Milliseconds,
    ) -> Placement | None:
        """Return where a call goes; ``present`` are all that may hold prompts."""
        if not usable:
            return None
        shared = parts[:-1] or parts
        if not shared:
            least = min(usable, key=lambda known: self._load(known, now))
            return Placement(least, "least-loaded")
        key = shared[-1]
        ranked = rank(key.id, usable)
        target = self._within_bound(ranked, now)
        reason = "first-ranked" if target is ranked[0] else "spilled"
        source = self._source(key, target, present, now)
        return Placement(target, reason, source)

    def _within_bound(
        self, ranked: Sequence[KnownTarget], now: Milliseconds
    ) -> KnownTarget:
        """Return the first in rank whose load stays below the bound."""
        loads = [self._load(known, now) for known in ranked]
        mean = (sum(loads) + 1) / len(loads)
        # The bound holds for loads that arrive late; stay a half below it.
        bound = (1 + (self._multiple - 1) / 2) * mean + BOUND_SLACK - 1
        within = (
            known
            for known, load in zip(ranked, loads, strict=True)
            if load + 1 <= bound
        )
        return next(within, ranked[loads.index(min(loads))])

    def _load(self, known: KnownTarget, now: Milliseconds) -> float:
        return self._loads.estimate(known.record.id, now)

    def _source(
        self,
        key: PromptPart,
        target: KnownTarget,
        present: Sequence[KnownTarget],
        now: Milliseconds,
    ) -> KnownTarget | None:
        """Return who holds the prompt that ``target`` probably lacks."""
        held = self._holders.holders(key.id, now)
        if target.record.id in held:
            return None
        others = [known for known in present if known is not target]
        seen = [known for known in others if known.record.id in held]
        if seen:
            return max(seen, key=lambda known: held[known.record.id])
        ranked = rank(key.id, [*others, target])
        is_first = ranked[0] is target
        is_young = target.since and now - target.since < YOUNG_TARGET
        if is_first and not is_young:
            return None
        return next((known for known in ranked if known is not target), None)


@final
class PlainPlacement:
    """Takes the target with the fewest calls of ours, that of our zone first.

    Answers steady load of short calls: each VM alone keeps its own calls even,
    and traffic between zones is spared while the near target keeps up.
    """

    def __init__(self, loads: LoadTable, zone: ZoneId, rng: random.Random) -> None:
        self._loads = loads
        self._zone = zone
        self._rng = rng

    def choose(
        self, usable: Sequence[KnownTarget], now: Milliseconds
    ) -> Placement | None:
        """Return where a call goes."""
        if not usable:
            return None

        def cost(known: KnownTarget) -> tuple[float, float]:
            record = known.record
            penalty = 0.0 if record.zone == self._zone else OTHER_ZONE_PENALTY
            return self._loads.in_flight(record.id) + penalty, self._rng.random()

        return Placement(min(usable, key=cost), "least-loaded")
