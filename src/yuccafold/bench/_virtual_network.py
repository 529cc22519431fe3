"""A virtual clock and a lossy network for simulated VMs."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from typing import final

from yuccafold._clock import ManualClock
from yuccafold._ids import VmId

Action = Callable[[], None]


@final
@dataclass(slots=True)
class LinkFaults:
    """Faults of the network; ``cut`` holds the pairs that lose all messages."""

    delay_ms: int = 1
    jitter_ms: int = 0
    loss: float = 0.0
    duplicates: float = 0.0
    cut: set[frozenset[VmId]] = field(default_factory=set)

    def partition(self, side: set[VmId], vms: tuple[VmId, ...]) -> None:
        """Cut every pair of one VM in ``side`` and one outside of it."""
        others = set(vms) - side
        self.cut = {frozenset((vm, other)) for vm in side for other in others}


@final
class VirtualNetwork:
    """Runs actions in the order of a virtual clock, which only ``advance`` moves."""

    def __init__(self, rng: random.Random) -> None:
        self.clock = ManualClock()
        self.links = LinkFaults()
        self._held_actions: dict[VmId, list[Action]] = {}
        self._rng = rng
        self._order = count()
        self._due: list[tuple[int, int, VmId | None, Action]] = []

    @property
    def stopped(self) -> frozenset[VmId]:
        """The VMs whose processes are stopped."""
        return frozenset(self._held_actions)

    def stop(self, vm: VmId) -> None:
        """Stop the process of ``vm``; its actions wait until it is resumed."""
        self._held_actions.setdefault(vm, [])

    def resume(self, vm: VmId) -> None:
        """Continue the process of ``vm``, with the waiting actions in their order."""
        for action in self._held_actions.pop(vm, ()):
            self.call_at(self.clock.now(), action, vm)

    def call_at(self, due: int, action: Action, vm: VmId | None = None) -> None:
        """Run ``action`` at ``due``, or later when ``vm`` is no longer stopped."""
        heapq.heappush(self._due, (due, next(self._order), vm, action))

    def send(self, sender: VmId, to: VmId, deliver: Action) -> None:
        """Send a message; ``deliver`` runs once for each copy that arrives."""
        if frozenset((sender, to)) in self.links.cut:
            return
        if self._rng.random() < self.links.loss:
            return
        copies = 2 if self._rng.random() < self.links.duplicates else 1
        for _ in range(copies):
            delay = self.links.delay_ms + self._rng.randint(0, self.links.jitter_ms)
            self.call_at(self.clock.now() + delay, deliver, to)

    def advance(self, duration: int) -> None:
        """Advance the clock by ``duration`` milliseconds and run what is due."""
        end = self.clock.now() + duration
        while self._due and self._due[0][0] <= end:
            due, _, vm, action = heapq.heappop(self._due)
            self.clock.advance(max(0, due - self.clock.now()))
            if vm is not None and vm in self._held_actions:
                self._held_actions[vm].append(action)
            else:
                action()
        self.clock.advance(end - self.clock.now())
