"""Stand-ins and routers of the demonstration, all in one process."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from collections import Counter
from typing import final

import trio

from yuccafold._clock import NS_PER_MS
from yuccafold._ids import RegionId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.demo._settings import REGION
from yuccafold.demo._settings import ZONES
from yuccafold.demo._settings import DemoSettings
from yuccafold.demo._settings import settings_text
from yuccafold.router import Router
from yuccafold.settings import ClaimSettings
from yuccafold.settings import PlatformSettings
from yuccafold.settings import ProcessSettings
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import GenerationSettings
from yuccafold.standins import ListedState
from yuccafold.standins import ListedTarget
from yuccafold.standins import ListedVm
from yuccafold.standins import ModelEngine
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import SettingsService
from yuccafold.standins import SettingsServiceSettings
from yuccafold.standins import VmList
from yuccafold.standins import VmListSettings

VM_LIST_LAG_MS = 1_000
POLL_SECONDS = 0.05
PORTS = random.SystemRandom()
FIRST_PORT = 15_000
FIRST_OUTGOING_PORT = 32_768
FIRST_START_WINDOW_MS = 2_000
"""All routers of the demonstration start within it, and claims wait for it."""


@final
class DemoFleet:
    """Starts everything in one nursery, and disturbs it on request."""

    def __init__(self, settings: DemoSettings, nursery: trio.Nursery) -> None:
        self._settings = settings
        self._nursery = nursery
        cost = CostModel(time_scale=settings.time_scale)
        generation = GenerationSettings(cost=cost, seed=settings.seed)
        self._engines = {
            f"menu-{number}": ModelEngine(EngineSettings(generation=generation))
            for number in range(settings.engines)
        }
        self._plain = {
            f"plain-{number}": PlainService(PlainSettings(name=f"plain-{number}"))
            for number in range(settings.plain_services)
        }
        self._service = SettingsService(SettingsServiceSettings())
        self._list = VmList(VmListSettings(lag_ms=VM_LIST_LAG_MS))
        self._processes: list[ProcessSettings] = []
        self._routers: list[Router] = []
        self._revision = 0
        self._draining: list[str] = []
        self._control_bytes = 0
        self._started_at = time.time_ns() // NS_PER_MS

    @property
    def engines(self) -> tuple[ModelEngine, ...]:
        """The model engines, the one that left included."""
        return tuple(self._engines.values())

    @property
    def router_addresses(self) -> tuple[str, ...]:
        """Where callers reach the routers."""
        return tuple(process.listen for process in self._processes)

    @property
    def runs_by_key(self) -> Counter[str]:
        """How often each non-idempotent call ran, over all plain services."""
        return sum((it.runs_by_key for it in self._plain.values()), Counter())

    @property
    def control_bytes(self) -> int:
        """The bytes that all routers sent for coordination."""
        return self._control_bytes + sum(map(_control_bytes, self._routers))

    async def start(self) -> None:
        """Start the targets, the platform and the routers, in this order."""
        for target in (*self._engines.values(), *self._plain.values()):
            await self._nursery.start(target.serve)
        await self._nursery.start(self._service.serve)
        await self._nursery.start(self._list.serve)
        self._processes = [
            self._process(number) for number in range(self._settings.routers)
        ]
        self._publish()
        # Each waits for the others, so they start together.
        started: dict[str, Router] = {}
        async with trio.open_nursery() as starting:
            for process in self._processes:
                starting.start_soon(self._start_first, process, started)
        self._routers = [started[process.vm] for process in self._processes]
        while any(map(_is_recovering, self._routers)):
            await trio.sleep(POLL_SECONDS)

    def engine_leaves(self) -> None:
        """Let the first engine refuse new chats and end those in flight."""
        name, engine = next(iter(self._engines.items()))
        engine.leave()
        self._draining.append(name)
        self._publish()

    async def restart_router(self) -> None:
        """Drain the first router, then start another in its place."""
        router = self._routers[0]
        router.drain()
        self._control_bytes += _control_bytes(router)
        await router.stopped.wait()
        self._routers[0] = await self._start_router(self._processes[0])

    def _text(self) -> str:
        engines = {name: it.server.address for name, it in self._engines.items()}
        plain = {name: it.server.address for name, it in self._plain.items()}
        return settings_text(self._revision, engines, plain, self._draining)

    def _publish(self) -> None:
        """Publish the present settings and list as a new revision."""
        self._revision += 1
        self._service.publish(self._text(), self._revision)
        vms = (
            ListedVm(VmId(it.vm), it.peer, ZoneId(it.zone), RegionId(it.region))
            for it in self._processes
        )
        targets = (
            ListedTarget(TargetId(name), self._listed_state(name))
            for name in (*self._engines, *self._plain)
        )
        self._list.publish(tuple(vms), tuple(targets))

    def _listed_state(self, name: str) -> ListedState:
        return ListedState.LEAVING if name in self._draining else ListedState.LIVE

    def _process(self, number: int) -> ProcessSettings:
        """Return the settings of one router, on ports that are free."""
        return ProcessSettings(
            vm=f"vm-{number}",
            zone=ZONES[number % len(ZONES)],
            region=REGION,
            listen=_free_address(),
            operator=_free_address(),
            peer=_free_address(),
            platform=PlatformSettings(
                settings_service=self._service.server.address,
                vm_list=self._list.server.address,
            ),
            claims=ClaimSettings(
                first_start_unix_ms=self._started_at,
                first_start_window_ms=FIRST_START_WINDOW_MS,
            ),
            drain_notice_ms=500,
        )

    async def _start_first(
        self, process: ProcessSettings, started: dict[str, Router]
    ) -> None:
        started[process.vm] = await self._start_router(process)

    async def _start_router(self, process: ProcessSettings) -> Router:
        router = Router(process, seed=self._settings.seed)
        await self._nursery.start(router.serve)
        await router.state.became_ready.wait()
        return router


def _free_address() -> str:
    """Return a loopback address whose port nothing uses now.

    The port is below those that the system gives to outgoing connections, so
    that a router that restarts finds its own still free.
    """
    while True:
        # Not the shared generator: a test that seeds it would run into another.
        port = PORTS.randrange(FIRST_PORT, FIRST_OUTGOING_PORT)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


def _is_recovering(router: Router) -> bool:
    """Return whether the router does not vote on claims yet."""
    return router.control.plane.once.is_recovering(router.clock.now())


def _control_bytes(router: Router) -> int:
    """Return how many bytes ``router`` sent for coordination."""
    return router.network.stats().total.wire_sent
