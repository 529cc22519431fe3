"""Plays one soak: stand-ins, router processes, callers and faults."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from pathlib import Path
from typing import Any
from typing import final

import trio

from yuccafold._clock import Milliseconds
from yuccafold._clock import MonotonicClock
from yuccafold._clock import seconds
from yuccafold.soak._clients import SoakClient
from yuccafold.soak._process import EdgeProcess
from yuccafold.soak._promises import Promises
from yuccafold.soak._promises import Violation
from yuccafold.soak._settings import FaultKind
from yuccafold.soak._settings import SoakSettings
from yuccafold.standins import Mood
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings
from yuccafold.standins import PlatformTarget
from yuccafold.standins import PlatformTargetSettings
from yuccafold.standins import PublishedRoute
from yuccafold.standins import PublishedTarget
from yuccafold.standins import Relay
from yuccafold.standins import ServedRequest
from yuccafold.standins import attempt_of
from yuccafold.standins import configuration
from yuccafold.standins import has_caller_key

MAX_SEEDS = 3
FOR_ALL_VMS = frozenset({FaultKind.STORE_REFUSES, FaultKind.STORE_FORGETS})
KEYS = 6
SERVICE = "desk"
RESUMABLE = (("resumable", True),)
HEALED_WITHIN_S = 8.0
"""How long after the last fault callers must be served again: a start, a view, and
the pauses of targets that were avoided."""

FILES_AT_REST = 24
"""Descriptors of a router without callers: listeners, store, log, event loop."""

FILES_FOR_EACH_VM = 4
"""Descriptors for what two VMs ask each other, in both directions."""

AT_REST_WITHIN_S = 12.0
"""How long after the last caller left connections to targets may stay open: their
idle timeout, and what calls that were under way need."""

HEALED_CALLS = 20
"""Answers that must come once all faults have ended."""


@final
@dataclass(slots=True)
class SoakReport:
    """What a soak did and saw."""

    seed: int
    faults: Counter[FaultKind] = field(default_factory=Counter)
    checked: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Return the report as text."""
        kinds = " ".join(f"{kind.value}={n}" for kind, n in self.faults.items())
        statuses = " ".join(f"{status}:{n}" for status, n in self.statuses.items())
        return [
            f"seed={self.seed} calls={self.checked} violations={len(self.violations)}",
            f"  answers {statuses}",
            f"  faults {kinds}",
            *(f"  BROKEN {v.promise}: {v.attempt}: {v.seen}" for v in self.violations),
        ]


@final
class _Soak:
    """The world of one soak."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._promises = Promises(
            MonotonicClock(),
            Milliseconds(settings.key_lifetime_ms),
            Milliseconds(settings.drain_ms),
        )
        self._report = SoakReport(settings.seed)
        self._store = PlatformStore(PlatformStoreSettings())
        self._vms = [EdgeProcess(n, settings, folder) for n in range(settings.vms)]
        self._targets: dict[str, tuple[PlatformTarget, Relay]] = {}
        self._born = 0
        self._version = 0
        self._keys = [f"key-{n}" for n in range(KEYS)]
        self._extra_route = False
        self._busy: set[str] = set()
        self._caller_scopes: list[trio.CancelScope] = []

    async def run(self) -> SoakReport:
        async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
            for vm in self._vms:
                stack.callback(vm.close)
            await self._start(nursery)
            with trio.move_on_after(self._settings.duration_s):
                await self._inject()
            await self._heal()
            for scope in self._caller_scopes:
                scope.cancel()
            await self._check_rest()
            await self._check_ends()
            nursery.cancel_scope.cancel()
        self._report.checked = self._promises.checked
        self._report.statuses = self._promises.statuses
        self._report.violations += self._promises.violations
        return self._report

    async def _start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        await nursery.start(self._store.serve)
        self._configure()
        for _ in range(self._settings.targets):
            await self._add_target()
        for vm in self._vms:
            vm.relay = Relay(self._store.server.address)
            await nursery.start(vm.relay.serve)
        seeds = [vm.peers for vm in self._vms[:MAX_SEEDS]]
        for vm in self._vms:
            vm.write_settings(seeds)
            vm.start()
            for number in range(self._settings.clients_per_vm):
                name = f"{vm.name}-c{number}"
                rng = random.Random(f"{self._settings.seed} {name}")
                client = SoakClient(name, vm, self._keys, self._promises, rng)
                nursery.start_soon(self._call, client)

    async def _call(self, client: SoakClient) -> None:
        """Run a caller until all callers leave."""
        scope = trio.CancelScope()
        self._caller_scopes.append(scope)
        with scope:
            await client.run()

    def _configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += self._rng.randint(1, 3)
        routes = [
            PublishedRoute("/look/", "safe", SERVICE),
            PublishedRoute("/book/", "unsafe", SERVICE, max_attempts=1),
            PublishedRoute("/chat/", "streaming", SERVICE, extra_fields=RESUMABLE),
            PublishedRoute("/chat/once/", "streaming", SERVICE, max_attempts=1),
            *(
                [PublishedRoute("/later/", "safe", SERVICE)]
                if self._extra_route
                else []
            ),
        ]
        self._store.configure(configuration(routes, list(self._keys), self._version))

    async def _add_target(self) -> None:
        self._born += 1
        name = f"t{self._born}"
        settings = PlatformTargetSettings(
            name, work_ms=self._rng.randint(2, 40), event_pause_ms=15
        )
        target = PlatformTarget(settings, self._ran)
        await self._nursery.start(target.serve)
        relay = Relay(target.server.address)
        await self._nursery.start(relay.serve)
        self._targets[name] = (target, relay)
        self._list_target(name, "ready")

    def _list_target(self, name: str, state: str) -> None:
        address = self._targets[name][1].address
        entry = PublishedTarget(SERVICE, address, state, born_ms=int(name[1:]))
        self._store.list_target(name, entry)

    def _ran(self, target: str, request: ServedRequest) -> None:
        self._promises.ran(target, attempt_of(request), has_caller_key(request))

    async def _inject(self) -> None:
        """Start faults one after the other; they last and overlap."""
        kinds = list(FaultKind)
        while True:
            pause = self._settings.fault_pause_s
            await trio.sleep(self._rng.uniform(pause / 2, pause * 1.5))
            kind = self._rng.choice(kinds)
            length = self._rng.uniform(0.3, 1.7) * self._settings.fault_length_s
            self._report.faults[kind] += 1
            self._nursery.start_soon(self._play, kind, length)

    async def _play(self, kind: FaultKind, length: float) -> None:
        if kind.value.startswith("store"):
            await self._play_store(kind, length)
        elif kind.value.startswith("target"):
            await self._play_target(kind, length)
        elif kind.value.startswith("vm"):
            await self._play_vm(kind, length)
        elif kind is FaultKind.KEY_REVOKED and len(self._keys) > 2:
            # Callers go on to use the key.
            key = self._keys[-1]
            self._keys = self._keys[:-1]
            self._configure()
            self._promises.revoked(key)
        else:
            self._extra_route = not self._extra_route
            self._configure()

    async def _play_store(self, kind: FaultKind, length: float) -> None:
        vm = self._rng.choice(self._vms)
        relay = vm.relay
        if relay is None:
            raise AssertionError("expected a relay to the store")
        for other in self._vms if kind in FOR_ALL_VMS else [vm]:
            self._promises.out_of_touch(other.name, seconds(length))
        if kind is FaultKind.STORE_SILENT:
            relay.forget()
        elif kind is FaultKind.STORE_CUT:
            relay.cut()
            await trio.sleep(length)
            relay.mend()
        elif kind is FaultKind.STORE_SLOW:
            relay.set_delay(150)
            await trio.sleep(length)
            relay.set_delay(0)
        elif kind is FaultKind.STORE_REFUSES:
            self._store.refuse_with = 503
            await trio.sleep(length)
            self._store.refuse_with = None
        else:
            self._store.compact()

    async def _play_target(self, kind: FaultKind, length: float) -> None:
        name = self._rng.choice(list(self._targets))
        target, relay = self._targets[name]
        moods = {
            FaultKind.TARGET_FULL: Mood.FULL,
            FaultKind.TARGET_FAILING: Mood.FAILING,
            FaultKind.TARGET_BREAKING: Mood.BREAKING,
            FaultKind.TARGET_HANGING: Mood.HANGING,
        }
        if kind in moods:
            target.mood = moods[kind]
            await trio.sleep(length)
            target.mood = Mood.WELL
        elif kind is FaultKind.TARGET_SILENT:
            relay.forget()
        elif kind is FaultKind.TARGET_CUT:
            relay.cut()
            await trio.sleep(length)
            relay.mend()
        else:
            await self._replace_target(name)

    async def _replace_target(self, name: str) -> None:
        """Add a target, have ``name`` drain, and take it away later."""
        if len(self._targets) > self._settings.targets:
            return
        await self._add_target()
        self._list_target(name, "draining")
        self._promises.leaving(name)
        await trio.sleep(self._settings.drain_ms / 1000 + 1.0)
        target, relay = self._targets.pop(name)
        self._store.unlist_target(name)
        relay.cut()
        target.server.crash()

    async def _play_vm(self, kind: FaultKind, length: float) -> None:
        vm = self._rng.choice(self._vms)
        if kind is FaultKind.VM_RELOADED:
            vm.signal(signal.SIGHUP)
            return
        if vm.name in self._busy:
            return
        self._busy.add(vm.name)
        self._promises.out_of_touch(vm.name, seconds(length))
        try:
            if kind is FaultKind.VM_PAUSED:
                vm.signal(signal.SIGSTOP)
                await trio.sleep(length)
                vm.signal(signal.SIGCONT)
            elif kind is FaultKind.VM_KILLED:
                vm.kill()
                await trio.sleep(length / 4)
                vm.start()
            else:
                if not await vm.stop():
                    self._break("ends by itself", vm.name, "killed after its grace")
                vm.start()
        finally:
            self._busy.discard(vm.name)

    async def _heal(self) -> None:
        """Wait for all faults to end; callers must be served after that."""
        while self._busy:
            await trio.sleep(0.1)
        await trio.sleep(2 * self._settings.fault_length_s)
        before = self._promises.statuses.get(200, 0)
        with trio.move_on_after(HEALED_WITHIN_S):
            while self._promises.statuses.get(200, 0) < before + HEALED_CALLS:
                await trio.sleep(0.1)
            return
        self._break("recovery", "all", "not served after the last fault")

    async def _check_rest(self) -> None:
        """Once callers are gone, no router may keep what it opened for them."""
        limit = FILES_AT_REST + FILES_FOR_EACH_VM * len(self._vms)
        with trio.move_on_after(AT_REST_WITHIN_S):
            while any(vm.open_files > limit for vm in self._vms):
                await trio.sleep(0.2)
            return
        for vm in self._vms:
            if vm.open_files > limit:
                seen = f"{vm.open_files} descriptors, at most {limit} expected"
                self._break("nothing leaks", vm.name, seen)

    async def _check_ends(self) -> None:
        """Stop every process; each must end by itself within its grace period."""
        ends: list[Callable[[], Awaitable[Any]]] = [vm.stop for vm in self._vms]

        async def check(vm: EdgeProcess, stop: Callable[[], Awaitable[Any]]) -> None:
            if not await stop():
                self._break("ends by itself", vm.name, "killed after its grace")

        async with trio.open_nursery() as nursery:
            for vm, stop in zip(self._vms, ends, strict=True):
                nursery.start_soon(partial(check, vm, stop))

    def _break(self, promise: str, who: str, seen: str) -> None:
        self._report.violations.append(Violation(promise, who, seen))


async def run_soak(settings: SoakSettings, folder: Path) -> SoakReport:
    """Play one soak; logs of the routers go to ``folder``."""
    return await _Soak(settings, folder).run()
