"""How many calls all VMs have at each target, as VMs tell the seeds.

A hint for placing: no call waits for it, and without it each VM goes by its own
calls and by what targets report.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId

LOADS_LIFETIME = Milliseconds(1_800)
"""How long what a VM told counts: it tells again every 500 to 750 ms."""

MAX_TOLD_TARGETS = 200
"""Targets that a VM tells of; a VM has calls at a few dozen."""

Loads = Mapping[TargetId, int]


@final
@dataclass(frozen=True, slots=True)
class Told:
    """What another VM said, and when."""

    loads: Loads
    at: Milliseconds
    vms: int = 1


@final
class FleetLoads:
    """Adds up what VMs told this seed, and what other seeds were told."""

    def __init__(self) -> None:
        self._by_vm: dict[str, Told] = {}
        self._by_seed: dict[str, Told] = {}

    def note_vm(self, vm: str, loads: Loads, now: Milliseconds) -> None:
        """Take the calls of a VM that asks this seed."""
        self._by_vm[vm] = Told(loads, now)

    def note_seed(self, seed: str, loads: Loads, vms: int, now: Milliseconds) -> None:
        """Take the sum of another seed, over itself and the VMs that ask it."""
        self._by_seed[seed] = Told(loads, now, vms)

    def partial(self, own: Loads, now: Milliseconds) -> Counter[TargetId]:
        """Return our calls and those of VMs that asked us lately."""
        return _sum(own, self._by_vm, now)

    def total(self, own: Loads, now: Milliseconds) -> Counter[TargetId]:
        """Return the calls of all VMs, as far as seeds know them."""
        return _sum(self.partial(own, now), self._by_seed, now)

    def partial_vms(self, now: Milliseconds) -> int:
        """Return how many VMs asked us lately, this one included."""
        return 1 + _fresh_vms(self._by_vm, now)

    def total_vms(self, now: Milliseconds) -> int:
        """Return how many VMs there are, as far as seeds know them."""
        return self.partial_vms(now) + _fresh_vms(self._by_seed, now)


def _fresh_vms(told: dict[str, Told], now: Milliseconds) -> int:
    fresh = (each for each in told.values() if now - each.at <= LOADS_LIFETIME)
    return sum(each.vms for each in fresh)


def _sum(first: Loads, told: dict[str, Told], now: Milliseconds) -> Counter[TargetId]:
    """Add what is fresh and forget the rest."""
    for name in [name for name, each in told.items() if now - each.at > LOADS_LIFETIME]:
        del told[name]
    total = Counter(first)
    for each in told.values():
        total.update(each.loads)
    return total


def write_loads(loads: Loads) -> str:
    """Return loads as ``TARGET:CALLS`` joined by commas."""
    most = sorted(loads.items(), key=lambda item: -item[1])[:MAX_TOLD_TARGETS]
    return ",".join(f"{target}:{calls}" for target, calls in most)


def read_loads(text: str) -> dict[TargetId, int]:
    """Return the loads in ``text``; raises ``ValueError`` on anything else."""
    pairs = (part.rpartition(":") for part in text.split(",") if part)
    return {TargetId(target): int(calls) for target, _, calls in pairs}
