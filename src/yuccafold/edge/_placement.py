"""Chooses a target for a call from what this VM has seen of the targets.

No other VM is asked. All VMs rank the targets of a prompt alike, so that calls
which share a prompt meet at one target without a word between VMs.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Mapping
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

LOAD_REPORT_LIFETIME = Milliseconds(2_000)
"""How long a target's word on its load counts: generations last one to four seconds."""

FLEET_LIFETIME = Milliseconds(2_000)
"""How long what VMs told each other of their calls counts: generations last one to
four seconds, and they tell every 450 to 750 ms."""

BOUND_SLACK = 3.0
"""Calls that a target may hold above the multiple of the mean, by the users' rule."""

REPORT_MARGIN = 3.0
"""Calls that may have come from other VMs since what is known of a target: at the
pace at which VMs report, 1 in 300 calls then meets a target above the bound."""

OWN_MULTIPLE = 1.5
"""How far above our own mean a target may be: half of the users' multiple is left
for what other VMs do by chance."""

OWN_SLACK = 2.0
"""Calls of ours that a target may have above that: fewer would spill by chance."""

SHARE_HALF_LIFE = Milliseconds(5_000)
"""How fast the counts of prompts lose weight: hot spells last five seconds and more."""

FORGOTTEN_WEIGHT = 0.1
"""Weight below which a prompt is dropped from the counts."""

HOT_WEIGHT = 2.0
"""Calls of this VM about one prompt that tell a hot one from chance."""

HOT_FILL = 0.25
"""Part of the load bound that one prompt may fill at each target it gets: the rest
is for other prompts and for chance."""

HOLDER_MEMORY_PARTS = 4_096
"""Prompt parts whose last holder is remembered; a few hundred are in use at once."""

HOLDER_LIFETIME = Milliseconds(60_000)
"""How long a part is taken to stay in the memory of the target that read it."""

NEW_TARGET = Milliseconds(20_000)
"""How long after a target came the older ones are taken to hold its prompts."""

SAME_GENERATION = Milliseconds(10_000)
"""Targets started within this of the oldest one are none of them new."""

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
        self._others: dict[TargetId, int] = {}
        self._others_at: Milliseconds | None = None
        self._vms = 0

    @property
    def vms(self) -> int:
        """How many VMs there are, as seeds told last; 0 before."""
        return self._vms

    def own(self) -> dict[TargetId, int]:
        """Return this VM's calls by target."""
        return {
            target: load.in_flight
            for target, load in self._loads.items()
            if load.in_flight
        }

    def note_fleet(
        self,
        total: Mapping[TargetId, int],
        own_then: Mapping[TargetId, int],
        vms: int,
        now: Milliseconds,
    ) -> None:
        """Take the calls of all ``vms``, which hold those of ours as told then."""
        self._vms = vms
        self._others = {
            target: max(0, calls - own_then.get(target, 0))
            for target, calls in total.items()
        }
        self._others_at = now

    def of_all_vms(
        self, targets: Sequence[TargetId], now: Milliseconds
    ) -> list[int] | None:
        """Return the calls of all VMs at ``targets``, ``None`` if none told lately."""
        if self._others_at is None or now - self._others_at > FLEET_LIFETIME:
            return None
        return [
            self._others.get(target, 0) + self.in_flight(target) for target in targets
        ]

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

    def forget(self, target: TargetId) -> None:
        """Drop what a target reported, and all of it if it has no call of ours."""
        load = self._loads.get(target)
        if load is None:
            return
        load.reported_at = None
        if load.in_flight == 0:
            del self._loads[target]

    def in_flight(self, target: TargetId) -> int:
        """Return how many calls of this VM the target has."""
        load = self._loads.get(target)
        return 0 if load is None else load.in_flight

    def reported(self, target: TargetId, now: Milliseconds) -> int | None:
        """Return a target's own recent word on its load, and our calls since then."""
        load = self._loads.get(target)
        if load is None or load.reported_at is None:
            return None
        if now - load.reported_at > LOAD_REPORT_LIFETIME:
            return None
        return max(load.in_flight, load.reported + load.in_flight - load.own_at_report)


@final
class HolderMemory:
    """Which targets this VM had read a prompt part, the latest first."""

    def __init__(self) -> None:
        self._holders: OrderedDict[PartId, dict[TargetId, Milliseconds]] = OrderedDict()

    def note(
        self, parts: Iterable[PromptPart], target: TargetId, now: Milliseconds
    ) -> None:
        """Record that ``target`` has read ``parts``."""
        for part in parts:
            self._holders.setdefault(part.id, {})[target] = now
            self._holders.move_to_end(part.id)
        while len(self._holders) > HOLDER_MEMORY_PARTS:
            self._holders.popitem(last=False)

    def held_tokens(
        self, parts: Iterable[PromptPart], now: Milliseconds
    ) -> dict[TargetId, int]:
        """Return how many leading tokens of ``parts`` each target probably holds."""
        tokens: dict[TargetId, int] = {}
        length = 0
        for part in parts:
            known = self._holders.get(part.id, {})
            holders = [
                target for target, at in known.items() if now - at < HOLDER_LIFETIME
            ]
            # A part counts only where all parts before it are held too.
            reached = {
                target: length + part.tokens
                for target in holders
                if tokens.get(target, 0) == length
            }
            if not reached:
                break
            tokens |= reached
            length += part.tokens
        return tokens

    def forget_target(self, target: TargetId) -> None:
        """Record that a target lost its memory."""
        for known in self._holders.values():
            known.pop(target, None)


@final
class PromptShares:
    """Which share of this VM's calls is about each prompt, lately."""

    def __init__(self) -> None:
        self._weights: dict[PartId, float] = {}
        self._total = 0.0
        self._halved_at = Milliseconds(0)

    def note(self, part: PartId, now: Milliseconds) -> None:
        """Count one call."""
        if now - self._halved_at > SHARE_HALF_LIFE:
            self._weights = {
                known: weight / 2
                for known, weight in self._weights.items()
                if weight > 2 * FORGOTTEN_WEIGHT
            }
            self._total = sum(self._weights.values())
            self._halved_at = now
        self._weights[part] = self._weights.get(part, 0.0) + 1
        self._total += 1

    def share(self, part: PartId) -> float:
        """Return the share of calls about ``part``; 0 until it came several times."""
        weight = self._weights.get(part, 0.0)
        return (weight - 1) / self._total if weight >= HOT_WEIGHT else 0.0


def rank(part: PartId, targets: Sequence[KnownTarget]) -> list[KnownTarget]:
    """Return ``targets`` in the order in which every VM prefers them for ``part``."""
    return sorted(targets, key=lambda known: _weight(part, known.record.id))


def _weight(part: PartId, target: TargetId) -> bytes:
    return blake2b(f"{part} {target}".encode(), digest_size=8).digest()


@final
class PromptPlacement:
    """Keeps calls that share a prompt together, under the load bound.

    Answers three loads. Where one prompt gets more calls than a target may
    hold, as many targets as it needs take them by turns. Where a target is near
    the bound, the next in rank fetches the prompt from it. Where targets are
    added or replaced, the new ones take their share of prompts at once and fetch
    them from the old ones.
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
        self._multiple = load_multiple
        self._rng = rng
        self._shares = PromptShares()

    def choose(
        self,
        parts: Sequence[PromptPart],
        usable: Sequence[KnownTarget],
        holders: Sequence[KnownTarget],
        now: Milliseconds,
    ) -> Placement | None:
        """Return where a call goes; ``holders`` are all that may hold prompts."""
        if not usable:
            return None
        shared = parts[:-1] or parts
        if not shared:
            least = min(
                usable, key=lambda known: self._loads.in_flight(known.record.id)
            )
            return Placement(least, "least-loaded")
        self._shares.note(shared[-1].id, now)
        ranked = self._by_turns(shared[-1].id, rank(shared[-1].id, usable), now)
        target = self._within_bound(ranked, now)
        reason = "first-ranked" if target is ranked[0] else "spilled"
        source = self._source(shared, target, holders, now)
        return Placement(target, reason, source)

    def _by_turns(
        self, part: PartId, ranked: list[KnownTarget], now: Milliseconds
    ) -> list[KnownTarget]:
        """Return ``ranked`` with one of those first that a hot prompt needs.

        Reports come too late to share out a prompt that fills a target between
        two of them, so its part of all calls decides how many targets it gets.
        """
        share = self._shares.share(part)
        loads = self._loads.of_all_vms([known.record.id for known in ranked], now)
        if loads is None or share == 0:
            return ranked
        total = sum(loads)
        bound = self._multiple * total / len(ranked) + BOUND_SLACK
        needed = min(len(ranked), math.ceil(share * total / (HOT_FILL * bound)))
        if needed <= 1:
            return ranked
        return self._rng.sample(ranked[:needed], needed) + ranked[needed:]

    def _within_bound(
        self, ranked: Sequence[KnownTarget], now: Milliseconds
    ) -> KnownTarget:
        """Return the first in rank that is below both bounds, else the least loaded.

        Our own calls are known at once and keep each VM's share even. What VMs
        tell each other, and else what targets report, holds the calls of all
        VMs, but comes late.
        """
        names = [known.record.id for known in ranked]
        own = [self._loads.in_flight(name) for name in names]
        loads = self._loads.of_all_vms(names, now)
        reports: Sequence[int | None] = loads or [
            self._loads.reported(name, now) for name in names
        ]
        told = [report for report in reports if report is not None]
        own_bound = OWN_MULTIPLE * (sum(own) + 1) / len(own) + OWN_SLACK
        bound = self._multiple * sum(told) / max(1, len(told)) + BOUND_SLACK
        for known, mine, report in zip(ranked, own, reports, strict=True):
            is_full = report is not None and report + REPORT_MARGIN > bound
            if mine <= own_bound and not is_full:
                return known
        return ranked[own.index(min(own))]

    def _source(
        self,
        shared: Sequence[PromptPart],
        target: KnownTarget,
        holders: Sequence[KnownTarget],
        now: Milliseconds,
    ) -> KnownTarget | None:
        """Return who holds more of the prompt than ``target``.

        Fetching what is there already moves nothing, so a guess may be wrong.
        """
        held = self._holders.held_tokens(shared, now)
        own = held.get(target.record.id, 0)
        whole = sum(part.tokens for part in shared)
        if own == whole:
            return None
        others = [known for known in holders if known is not target]
        if not others:
            return None
        best = max(others, key=lambda known: held.get(known.record.id, 0))
        best_tokens = held.get(best.record.id, 0)
        if best_tokens == whole:
            return best
        # Other VMs send this prompt to the first in rank, unknown to us.
        ranked = _old_first(rank(shared[-1].id, holders), now)
        if ranked[0] is not target:
            return ranked[0]
        # The target may be first only since another one went.
        return best if best_tokens > own else ranked[1]


def _old_first(ranked: Sequence[KnownTarget], now: Milliseconds) -> list[KnownTarget]:
    """Return ``ranked`` with those behind that came lately, after the oldest one."""
    oldest = min((known.record.born_ms for known in ranked), default=0)
    return sorted(
        ranked,
        key=lambda known: (
            known.record.born_ms - oldest > SAME_GENERATION
            and now - known.since < NEW_TARGET
        ),
    )


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
