"""Runs several edge routers with a store and targets that restart after a crash."""

from __future__ import annotations

import random
from collections import defaultdict
from contextlib import asynccontextmanager
from itertools import count

import trio

from edge.builders import KEY
from edge.builders import edge_settings
from edge.builders import wire_config
from edge.builders import wire_route
from edge.builders import wire_target
from edge.cut_links import VM_NAME
from edge.loopback_edge import ROUTES
from support.loopback import read_to_end
from yuccafold._clock import Milliseconds
from yuccafold._clock import MonotonicClock
from yuccafold._ids import VmId
from yuccafold.edge import EdgeRouter
from yuccafold.edge import SocketAddress
from yuccafold.platform import HeaderTranslator
from yuccafold.platform import StoreSource
from yuccafold.platform import decode
from yuccafold.soak._process import reserve_port
from yuccafold.standins import NO_FAULTS
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings
from yuccafold.standins import PlatformTarget
from yuccafold.standins import PlatformTargetSettings
from yuccafold.standins import ServerSettings

SEED_COUNT = 3
RESTART_S = 0.3
"""How long a crashed target is away; another one starts at its address then."""

PLAIN_ROUTES = (
    wire_route("/plain/", "safe", service="plain"),
    wire_route("/plain/once/", "unsafe", service="plain", max_attempts=1),
)

OPEN_CHAT = "/open/chat/"
"""The path of streams that need no API key."""

OPEN_ROUTES = (
    wire_route(OPEN_CHAT, "streaming", resumable=True, public=True, timeout_ms=3_000),
)

LAPSE_S = 0.5
"""How long after a crash a target's entry leaves the store."""


class FleetVm:
    """One router of the fleet, which can be stopped and started again."""

    def __init__(self, fleet, number, settings):
        self._fleet = fleet
        self._settings = settings
        self._starts = count()
        self._number = number
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self.router = None
        self.address = ""

    async def start(self):
        self.router = EdgeRouter(
            self._settings,
            StoreSource(self._settings.platform),
            decode,
            HeaderTranslator(),
            MonotonicClock(),
            random.Random(f"{self._number} {next(self._starts)}"),
        )
        self.address = await self._fleet.nursery.start(self._run)
        while not self.router.ready:
            await trio.sleep(0.005)

    @property
    def name(self):
        return f"vm-{self._number}"

    async def _run(self, task_status):
        VM_NAME.set(self.name)
        self._ended = trio.Event()
        with trio.CancelScope() as self._scope:
            await self.router.run(task_status)
        self._ended.set()

    def kill(self):
        self._scope.cancel()

    async def restart(self):
        """Kill the router, and start one that knows nothing in its place."""
        self.kill()
        await self._ended.wait()
        await self.start()


class EdgeFleet:
    """Routers that exchange reports through seeds, and targets in front of them.

    ``reached`` has the time and attempt of each call with a lethal part that a target
    ran, ``crashes`` the time of each crash, ``arrivals`` the times of all runs by
    target.
    """

    def __init__(self, vm_count, target_settings, restart_s=RESTART_S, store_history=0):
        self._store_history = Milliseconds(store_history)
        self._target_settings = target_settings
        self._restart_s = restart_s
        self._attempts = count(1)
        self._target_numbers = count(1)
        self.store = PlatformStore(PlatformStoreSettings())
        self.targets = []
        self.versions = {}
        self.reservations = [reserve_port() for _ in range(vm_count)]
        self.vms = []
        self.reached = []
        self.arrivals = defaultdict(list)
        self.crashes = []
        self.nursery = None
        self.max_waiting = None

    async def start(self, nursery):
        self.nursery = nursery
        await nursery.start(self.store.serve)
        self.store.put("op/config", wire_config(*ROUTES, *PLAIN_ROUTES, *OPEN_ROUTES))
        for settings in self._target_settings:
            await nursery.start(self._serve_target, settings)
        controls = [
            SocketAddress("127.0.0.1", reservation.getsockname()[1])
            for reservation in self.reservations
        ]
        for number, control in enumerate(controls):
            settings = edge_settings(
                vm=VmId(f"vm-{number}"),
                platform=SocketAddress.parse(self.store.server.address),
                peers=control,
                seeds=tuple(controls[:SEED_COUNT]),
                evacuate_within=Milliseconds(5_000),
                cold_multiple=1.5,
                cold_slack=5.0,
                store_history=self._store_history,
            )
            vm = FleetVm(self, number, settings)
            self.vms.append(vm)
            await vm.start()

    async def _serve_target(self, settings, task_status):
        """Serve a target; after each crash start another one at its address."""
        port = 0
        faults = settings.get("faults", NO_FAULTS)
        version = settings.get("version", "v1")
        service = settings.get("service", "desk")
        values = {
            name: value
            for name, value in settings.items()
            if name not in ("faults", "version", "service", "brittle", "zone", "born")
        }
        while True:
            name = f"t{next(self._target_numbers)}"
            server = ServerSettings(port=port, faults=faults)
            target = PlatformTarget(
                PlatformTargetSettings(name, server=server, **values), self._record_run
            )
            target.brittle = settings.get("brittle")
            target.max_waiting = self.max_waiting or target.max_waiting
            async with trio.open_nursery() as serving:
                address = await serving.start(target.serve)
                port = address.port
                self.targets.append(target)
                born = settings.get("born", 1_000 + len(self.targets))
                self.versions[name] = version
                entry = wire_target(
                    target.server.address,
                    born=born,
                    version=version,
                    service=service,
                    slots=settings.get("slots", 6),
                    zone=settings.get("zone", "a"),
                )
                self.store.put(f"servers/{name}", entry)
                if port and task_status is not None:
                    task_status.started()
                    task_status = None
            self.crashes.append(trio.current_time())
            self.nursery.start_soon(self._unlist, name)
            await trio.sleep(self._restart_s)

    async def _unlist(self, name):
        await trio.sleep(LAPSE_S)
        self.store.remove(f"servers/{name}")

    def _record_run(self, target, request):
        self.arrivals[target].append(trio.current_time())
        prompt = request.header("x-prompt-prefix") or ""
        if "lethal" in prompt or b"lethal" in request.body:
            self.reached.append((trio.current_time(), request.header("x-attempt-id")))

    @property
    def runs(self):
        """The attempt ids of all runs at all targets."""
        return [run for target in self.targets for run in target.runs]

    def complete_histories(self):
        """Have all VMs know targets and services as if they had run for a long time."""
        long_ago = Milliseconds(-(10**9))
        for vm in self.vms:
            history = vm.router._view.history
            history._horizon = history._first_listed_at = long_ago
            vm.router._targets.streams.route_services._known_since = long_ago

    async def call(
        self, vm, path, parts, body=b"question", *headers, key=KEY, deadline_ms=3_000
    ):
        """Make one call; return status, head and body.

        It has a prompt of ``parts`` and a last part of its own, unless there are none.
        """
        number = next(self._attempts)
        prompt = ",".join([*(f"{part}:100" for part in parts), f"own{number}:10"])
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: fleet.example",
            f"X-Attempt-Id: a{number}",
            f"Content-Length: {len(body)}",
            f"X-Key: {key}",
            *headers,
            *([f"X-Prompt-Prefix: {prompt}"] if parts else []),
            f"X-Deadline-Ms: {deadline_ms}",
            "Connection: close",
        ]
        host, _, port = vm.address.partition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)
            raw = await read_to_end(stream)
        head, _, body = raw.partition(b"\r\n\r\n")
        return int(head.split()[1]) if head else 0, head, body


@asynccontextmanager
async def running_fleet(
    vm_count, *target_settings, restart_s=RESTART_S, store_history=0
):
    fleet = EdgeFleet(vm_count, target_settings, restart_s, store_history)
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            yield fleet
            nursery.cancel_scope.cancel()
    finally:
        for reservation in fleet.reservations:
            reservation.close()


CONTACT = Milliseconds(3_000)
"""How long VMs may take to learn what the others know."""
