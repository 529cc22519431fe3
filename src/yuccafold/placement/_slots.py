"""The held slots that a VM knows of, by target."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from heapq import heappop
from heapq import heappush
from typing import NamedTuple
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.placement._messages import HeldSlot


class SlotKey(NamedTuple):
    """The fleet-wide identity of a slot."""

    holder: VmId
    incarnation: Incarnation
    number: int


@final
class SlotTable:
    """Counts held slots; each is counted until it is released or expires.

    Only the slots of a process are dropped earlier, when a newer process of the
    same VM is seen, because the old one and its connections are gone by then.
    """

    def __init__(self) -> None:
        self._slots: dict[TargetId, dict[SlotKey, int]] = defaultdict(dict)
        self._targets: dict[SlotKey, TargetId] = {}
        self._expiries: list[tuple[int, SlotKey]] = []
        self._incarnations: dict[VmId, Incarnation] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def incarnation(self, vm: VmId) -> Incarnation:
        """Return the newest incarnation of ``vm`` seen, or 0."""
        return self._incarnations.get(vm, Incarnation(0))

    def record_incarnation(self, vm: VmId, incarnation: Incarnation) -> bool:
        """Record a process of ``vm``; return whether it replaced an older one."""
        known = self._incarnations.get(vm, Incarnation(0))
        if incarnation <= known:
            return False
        self._incarnations[vm] = incarnation
        ended = [
            key
            for key in self._targets
            if key.holder == vm and key.incarnation < incarnation
        ]
        for key in ended:
            self.remove(key)
        return known != 0

    def count(self, target: TargetId) -> int:
        """Return how many slots are held on ``target``."""
        return len(self._slots[target])

    def add(self, key: SlotKey, target: TargetId, expires_at: Milliseconds) -> None:
        """Hold a slot; the later expiry counts if the slot is already held."""
        if key.incarnation < self.incarnation(key.holder):
            return
        held = self._slots[target]
        if held.get(key, -1) >= expires_at:
            return
        held[key] = expires_at
        self._targets[key] = target
        heappush(self._expiries, (expires_at, key))

    def remove(self, key: SlotKey) -> bool:
        """Remove a slot; return whether it was held."""
        target = self._targets.pop(key, None)
        if target is None:
            return False
        del self._slots[target][key]
        return True

    def expire(self, now: Milliseconds) -> None:
        """Remove expired slots."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, key = heappop(self._expiries)
            target = self._targets.get(key)
            if target is not None and self._slots[target][key] <= expires_at:
                self.remove(key)

    def held(
        self,
        targets: Iterable[TargetId],
        now: Milliseconds,
        predicate: Callable[[SlotKey], bool] = lambda key: True,
    ) -> list[HeldSlot]:
        """Return slots on ``targets`` that match ``predicate``, to report them."""
        return [
            HeldSlot(target, *key, expires_at - now)
            for target in targets
            for key, expires_at in self._slots.get(target, {}).items()
            if predicate(key)
        ]
