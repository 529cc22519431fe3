"""The routers, stand-in targets and platform of the demonstration, in one process."""

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
PORT_RNG = random.SystemRandom()
FIRST_PORT = 15_000
FIRST_EPHEMERAL_PORT = 32_768
FIRST_START_WINDOW_MS = 2_000
"""All routers must start within this time; no claim is voted on before its end."""


@final
class DemoFleet:
    """Starts the fleet in one nursery; drains an engine or restarts a router."""

    def __init__(self, settings: DemoSettings, nursery: trio.Nursery) -> None:
        self._settings = settings
        self._nursery = nursery
        cost = CostModel(time_scale=settings.time_scale)
        generation = GenerationSettings(cost=cost, seed=settings.seed)
        self._engines = {
            f"menu-{number}": ModelEngine(EngineSettings(generation=generation))
            for number in range(settings.engines)
        }
        self._plain_services = {
            f"plain-{number}": PlainService(PlainSettings(name=f"plain-{number}"))
            for number in range(settings.plain_services)
        }
        self._settings_service = SettingsService(SettingsServiceSettings())
        self._vm_list = VmList(VmListSettings(lag_ms=VM_LIST_LAG_MS))
        self._process_settings: list[ProcessSettings] = []
        self._routers: list[Router] = []
        self._revision = 0
        self._draining: list[str] = []
        self._control_bytes = 0
        self._started_at = time.time_ns() // NS_PER_MS

    @property
    def engines(self) -> tuple[ModelEngine, ...]:
        """All model engines, including a draining one."""
        return tuple(self._engines.values())

    @property
    def router_addresses(self) -> tuple[str, ...]:
        """The addresses at which the routers accept calls."""
        return tuple(process.listen for process in self._process_settings)

    @property
    def runs_by_key(self) -> Counter[str]:
        """How often each non-idempotent call ran on all plain services together."""
        return sum(
            (service.runs_by_key for service in self._plain_services.values()),
            Counter(),
        )

    @property
    def control_bytes(self) -> int:
        """The bytes that all routers have sent to each other for coordination."""
        return self._control_bytes + sum(map(_control_bytes, self._routers))

    async def start(self) -> None:
        """Start the targets, the platform and the routers, in this order.

        Returns when every router votes on claims.
        """
        for target in (*self._engines.values(), *self._plain_services.values()):
            await self._nursery.start(target.serve)
        await self._nursery.start(self._settings_service.serve)
        await self._nursery.start(self._vm_list.serve)
        self._process_settings = [
            self._new_process_settings(number)
            for number in range(self._settings.routers)
        ]
        self._publish()
        # Each router waits for the others, so they start concurrently.
        started: dict[str, Router] = {}
        async with trio.open_nursery() as starting:
            for process in self._process_settings:
                starting.start_soon(self._start_and_register, process, started)
        self._routers = [started[process.vm] for process in self._process_settings]
        while any(map(_is_recovering, self._routers)):
            await trio.sleep(POLL_SECONDS)

    def drain_engine(self) -> None:
        """Let the first engine refuse new chats and finish those in flight."""
        name, engine = next(iter(self._engines.items()))
        engine.drain()
        self._draining.append(name)
        self._publish()

    async def restart_router(self) -> None:
        """Drain the first router, then start a new one with the same settings."""
        router = self._routers[0]
        router.drain()
        self._control_bytes += _control_bytes(router)
        await router.stopped.wait()
        self._routers[0] = await self._start_router(self._process_settings[0])

    def _settings_text(self) -> str:
        engines = {
            name: engine.server.address for name, engine in self._engines.items()
        }
        plain = {
            name: service.server.address
            for name, service in self._plain_services.items()
        }
        return settings_text(self._revision, engines, plain, self._draining)

    def _publish(self) -> None:
        """Publish a new revision of the settings and the current VM list."""
        self._revision += 1
        self._settings_service.publish(self._settings_text(), self._revision)
        vms = (
            ListedVm(
                VmId(process.vm),
                process.peer,
                ZoneId(process.zone),
                RegionId(process.region),
            )
            for process in self._process_settings
        )
        targets = (
            ListedTarget(TargetId(name), self._listed_state(name))
            for name in (*self._engines, *self._plain_services)
        )
        self._vm_list.publish(tuple(vms), tuple(targets))

    def _listed_state(self, name: str) -> ListedState:
        return ListedState.LEAVING if name in self._draining else ListedState.LIVE

    def _new_process_settings(self, number: int) -> ProcessSettings:
        """Return the settings of one router, with free ports."""
        return ProcessSettings(
            vm=f"vm-{number}",
            zone=ZONES[number % len(ZONES)],
            region=REGION,
            listen=_free_address(),
            operator=_free_address(),
            peer=_free_address(),
            platform=PlatformSettings(
                settings_service=self._settings_service.server.address,
                vm_list=self._vm_list.server.address,
            ),
            claims=ClaimSettings(
                first_start_unix_ms=self._started_at,
                first_start_window_ms=FIRST_START_WINDOW_MS,
            ),
            drain_notice_ms=500,
        )

    async def _start_and_register(
        self, process: ProcessSettings, started: dict[str, Router]
    ) -> None:
        started[process.vm] = await self._start_router(process)

    async def _start_router(self, process: ProcessSettings) -> Router:
        router = Router(process, seed=self._settings.seed)
        await self._nursery.start(router.serve)
        await router.state.became_ready.wait()
        return router


def _free_address() -> str:
    """Return a loopback address with a port that is free now.

    The port is below the system's ephemeral ports, so that no outgoing
    connection takes it while a router restarts.
    """
    while True:
        # Tests with the same seed of the global generator would choose equal ports.
        port = PORT_RNG.randrange(FIRST_PORT, FIRST_EPHEMERAL_PORT)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


def _is_recovering(router: Router) -> bool:
    """Return whether the router doesn't vote on claims yet."""
    return router.control.plane.once.is_recovering(router.clock.now())


def _control_bytes(router: Router) -> int:
    """Return how many bytes ``router`` has sent to its peers for coordination."""
    return router.network.stats().total.wire_sent
