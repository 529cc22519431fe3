"""When each fault of a run begins and ends; two last at any time."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from itertools import cycle
from typing import final

from yuccafold._ids import VmId
from yuccafold.chaos._faults import Fault
from yuccafold.chaos._faults import calm
from yuccafold.chaos._faults import disturb
from yuccafold.chaos._platform import Platform
from yuccafold.chaos._router import Router
from yuccafold.chaos._world import World

FAULTS_AT_ONCE = 2
SHORTEST_FAULT_MS = 4_000.0
LONGEST_FAULT_MS = 15_000.0
RESTART_EVERY_MS = 1_200.0
ROLLING_RESTART_EVERY_MS = 5_000.0
PAUSE_EVERY_MS = 3_000.0
LONGEST_PAUSE_MS = 45_000.0
PARTED_ROUTERS = 3
LIST_SETTLES_MS = 4_000.0
LONGEST_ISOLATION_MS = 70_000.0

RouterAction = Callable[[Router], None]


@final
class Schedule:
    """Keeps two different faults going until the run ends."""

    def __init__(
        self,
        world: World,
        routers: Sequence[Router],
        platform: Platform,
        faults: Sequence[Fault],
    ) -> None:
        self._world = world
        self._routers = routers
        self._platform = platform
        self._faults = faults
        self._active: set[Fault] = set()
        self._rolling = cycle(routers)

    def begin(self, at_ms: float, until_ms: float) -> None:
        """Let faults follow each other between two instants."""
        for _ in range(min(FAULTS_AT_ONCE, len(self._faults))):
            self._world.after(at_ms, lambda: self._next(until_ms))

    def _next(self, until_ms: float) -> None:
        if self._world.exact_now >= until_ms:
            return
        idle = [fault for fault in self._faults if fault not in self._active]
        fault = self._world.rng.choice(idle)
        duration = self._world.rng.uniform(SHORTEST_FAULT_MS, LONGEST_FAULT_MS)
        if fault is Fault.ISOLATION:
            duration = LONGEST_ISOLATION_MS
        self._active.add(fault)
        self._world.note(f"fault begins: {fault.value} for {duration:.0f} ms")
        disturb(self._world.conditions, fault)
        self._act(fault, self._world.exact_now + duration)
        self._world.after(duration, lambda: self._end(fault, until_ms))

    def _end(self, fault: Fault, until_ms: float) -> None:
        self._active.discard(fault)
        calm(self._world.conditions, fault)
        if fault in (Fault.LISTS, Fault.ISOLATION):
            self._platform.heal()
        self._world.note(f"fault ends: {fault.value}")
        self._next(until_ms)

    def _act(self, fault: Fault, until_ms: float) -> None:
        """Do what a fault does by events."""
        if fault is Fault.PARTITION:
            size = self._world.rng.randint(1, PARTED_ROUTERS)
            parted = self._world.rng.sample(self._vms(), size)
            self._world.conditions.parted = frozenset(parted)
        elif fault is Fault.LISTS:
            self._platform.disagree()
        elif fault is Fault.ISOLATION:
            self._isolate()
        elif fault is Fault.RESTARTS:
            self._repeatedly(RESTART_EVERY_MS, until_ms, Router.restart)
        elif fault is Fault.ROLLING_RESTART:
            self._repeatedly(ROLLING_RESTART_EVERY_MS, until_ms, self._restart_next)
        elif fault is Fault.PAUSES:
            self._repeatedly(PAUSE_EVERY_MS, until_ms, self._pause)

    def _isolate(self) -> None:
        """Cut off most of a short list's VMs while the others get a new list."""
        isolated = self._platform.list_few()

        def cut_off() -> None:
            if Fault.ISOLATION in self._active:
                self._world.conditions.isolated = isolated
                self._platform.heal()

        self._world.after(LIST_SETTLES_MS, cut_off)

    def _repeatedly(
        self, interval_ms: float, until_ms: float, act: RouterAction
    ) -> None:
        if self._world.exact_now >= until_ms:
            return
        act(self._world.rng.choice(self._routers))
        self._world.after(
            interval_ms, lambda: self._repeatedly(interval_ms, until_ms, act)
        )

    def _restart_next(self, _: Router) -> None:
        next(self._rolling).restart()

    def _pause(self, router: Router) -> None:
        router.pause(self._world.rng.choice((700.0, 3_000.0, LONGEST_PAUSE_MS)))

    def _vms(self) -> list[VmId]:
        return [router.vm for router in self._routers]
