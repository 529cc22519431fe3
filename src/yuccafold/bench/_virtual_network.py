"""A virtual clock, periodic ticks and a lossy network for decision objects."""

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

Step = Callable[[], None]


@final
@dataclass(slots=True)
class LinkFaults:
    """What the network does to a message; ``cut`` holds pairs that lose all."""

    delay_ms: int = 1
    jitter_ms: int = 0
    loss: float = 0.0
    doubling: float = 0.0
    cut: set[frozenset[VmId]] = field(default_factory=set)

    def part(self, side: set[VmId], vms: tuple[VmId, ...]) -> None:
        """Cut every pair with one VM in ``side`` and one outside."""
        others = set(vms) - side
        self.cut = {frozenset((vm, other)) for vm in side for other in others}


@final
class VirtualNetwork:
    """Runs what is due in the order of a clock that only ``advance`` moves."""

    def __init__(self, rng: random.Random) -> None:
        self.clock = ManualClock()
        self.links = LinkFaults()
        self._waiting: dict[VmId, list[Step]] = {}
        self._rng = rng
        self._order = count()
        self._due: list[tuple[int, int, VmId | None, Step]] = []

    @property
    def stopped(self) -> frozenset[VmId]:
        """The VMs whose processes are stopped."""
        return frozenset(self._waiting)

    def stop(self, vm: VmId) -> None:
        """Stop the process of ``vm``; what it would do waits."""
        self._waiting.setdefault(vm, [])

    def resume(self, vm: VmId) -> None:
        """Let the process of ``vm`` go on, with what waited in its order."""
        for step in self._waiting.pop(vm, ()):
            self.call_at(self.clock.now(), step, vm)

    def call_at(self, due: int, step: Step, vm: VmId | None = None) -> None:
        """Run ``step`` at ``due``, or once ``vm`` is no longer stopped."""
        heapq.heappush(self._due, (due, next(self._order), vm, step))

    def send(self, sender: VmId, to: VmId, deliver: Step) -> None:
        """Deliver a message from one VM to another, if the network does."""
        if frozenset((sender, to)) in self.links.cut:
            return
        if self._rng.random() < self.links.loss:
            return
        copies = 2 if self._rng.random() < self.links.doubling else 1
        for _ in range(copies):
            delay = self.links.delay_ms + self._rng.randint(0, self.links.jitter_ms)
            self.call_at(self.clock.now() + delay, deliver, to)

    def advance(self, duration: int) -> None:
        """Let ``duration`` milliseconds pass."""
        end = self.clock.now() + duration
        while self._due and self._due[0][0] <= end:
            due, _, vm, step = heapq.heappop(self._due)
            self.clock.advance(max(0, due - self.clock.now()))
            if vm is not None and vm in self._waiting:
                self._waiting[vm].append(step)
            else:
                step()
        self.clock.advance(end - self.clock.now())
