"""Starts and ends the faults of a run, two at any time."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from itertools import cycle
from typing import final

from yuccafold._ids import VmId
from yuccafold.chaos._faults import Fault
from yuccafold.chaos._faults import begin_fault
from yuccafold.chaos._faults import end_fault
from yuccafold.chaos._platform import Platform
from yuccafold.chaos._router import SimulatedRouter
from yuccafold.chaos._world import World

FAULTS_AT_ONCE = 2
MIN_FAULT_MS = 4_000.0
MAX_FAULT_MS = 15_000.0
RESTART_INTERVAL_MS = 1_200.0
ROLLING_RESTART_INTERVAL_MS = 5_000.0
PAUSE_INTERVAL_MS = 3_000.0
MAX_PAUSE_MS = 45_000.0
MAX_PARTITIONED_ROUTERS = 3
LIST_SETTLE_MS = 4_000.0
ISOLATION_MS = 70_000.0

RouterAction = Callable[[SimulatedRouter], None]


@final
class Schedule:
    """Keeps two different faults active, or the only one, until a given time."""

    def __init__(
        self,
        world: World,
        routers: Sequence[SimulatedRouter],
        platform: Platform,
        faults: Sequence[Fault],
    ) -> None:
        self._world = world
        self._routers = routers
        self._platform = platform
        self._faults = faults
        self._active: set[Fault] = set()
        self._restart_order = cycle(routers)

    def begin(self, at_ms: float, until_ms: float) -> None:
        """Keep faults active from ``at_ms`` on; start none after ``until_ms``."""
        for _ in range(min(FAULTS_AT_ONCE, len(self._faults))):
            self._world.after(at_ms, lambda: self._begin_next(until_ms))

    def _begin_next(self, until_ms: float) -> None:
        if self._world.exact_now >= until_ms:
            return
        inactive = [fault for fault in self._faults if fault not in self._active]
        fault = self._world.rng.choice(inactive)
        duration = self._world.rng.uniform(MIN_FAULT_MS, MAX_FAULT_MS)
        if fault is Fault.ISOLATION:
            duration = ISOLATION_MS
        self._active.add(fault)
        self._world.record(f"fault begins: {fault.value} for {duration:.0f} ms")
        begin_fault(self._world.conditions, fault)
        self._start_events(fault, self._world.exact_now + duration)
        self._world.after(duration, lambda: self._end(fault, until_ms))

    def _end(self, fault: Fault, until_ms: float) -> None:
        self._active.discard(fault)
        end_fault(self._world.conditions, fault)
        if fault in (Fault.LISTS, Fault.ISOLATION):
            self._platform.publish_full_list()
        self._world.record(f"fault ends: {fault.value}")
        self._begin_next(until_ms)

    def _start_events(self, fault: Fault, until_ms: float) -> None:
        """Start the events of ``fault``, such as restarts."""
        if fault is Fault.PARTITION:
            size = self._world.rng.randint(1, MAX_PARTITIONED_ROUTERS)
            partitioned = self._world.rng.sample(self._vms(), size)
            self._world.conditions.parted = frozenset(partitioned)
        elif fault is Fault.LISTS:
            self._platform.publish_diverging_list()
        elif fault is Fault.ISOLATION:
            self._isolate()
        elif fault is Fault.RESTARTS:
            self._repeat(RESTART_INTERVAL_MS, until_ms, SimulatedRouter.restart)
        elif fault is Fault.ROLLING_RESTART:
            self._repeat(ROLLING_RESTART_INTERVAL_MS, until_ms, self._restart_next)
        elif fault is Fault.PAUSES:
            self._repeat(PAUSE_INTERVAL_MS, until_ms, self._pause)

    def _isolate(self) -> None:
        """Isolate all but one VM of a short list; the others then get the full list."""
        isolated = self._platform.publish_shortest_list()

        def cut_off() -> None:
            if Fault.ISOLATION in self._active:
                self._world.conditions.isolated = isolated
                self._platform.publish_full_list()

        self._world.after(LIST_SETTLE_MS, cut_off)

    def _repeat(self, interval_ms: float, until_ms: float, act: RouterAction) -> None:
        if self._world.exact_now >= until_ms:
            return
        act(self._world.rng.choice(self._routers))
        self._world.after(interval_ms, lambda: self._repeat(interval_ms, until_ms, act))

    def _restart_next(self, _: SimulatedRouter) -> None:
        next(self._restart_order).restart()

    def _pause(self, router: SimulatedRouter) -> None:
        router.pause(self._world.rng.choice((700.0, 3_000.0, MAX_PAUSE_MS)))

    def _vms(self) -> list[VmId]:
        return [router.vm for router in self._routers]
