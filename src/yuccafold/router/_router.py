"""The router process: wires listeners, control and tasks, and shuts them down."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from functools import partial
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import MonotonicClock
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._log import log_event
from yuccafold._supervisor import ChildSpec
from yuccafold._supervisor import Supervisor
from yuccafold.control import INBOX_LENGTH
from yuccafold.control import ControlPlane
from yuccafold.control import ControlTask
from yuccafold.control import OfferSettings
from yuccafold.fleet import PeerNetwork
from yuccafold.http import ConnectionPool
from yuccafold.http import Listener
from yuccafold.intake import BYTES_PER_MEGABYTE
from yuccafold.intake import Intake
from yuccafold.intake import IntakeLimits
from yuccafold.replica import read_revision
from yuccafold.router._caller import CallerConnection
from yuccafold.router._forward import Forwarder
from yuccafold.router._gates import FleetAdmission
from yuccafold.router._gates import FleetGuard
from yuccafold.router._gates import FleetOnce
from yuccafold.router._identity import CallIds
from yuccafold.router._meters import Meters
from yuccafold.router._operator import OperatorPort
from yuccafold.router._orders import OrderTasks
from yuccafold.router._platform import PlatformTasks
from yuccafold.router._recent import RecentChats
from yuccafold.router._refusals import RefusalLog
from yuccafold.router._state import RouterState
from yuccafold.router._status import StatusPages
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsTree
from yuccafold.telemetry import Telemetry
from yuccafold.telemetry import open_telemetry

READINESS_INTERVAL_SECONDS = 0.05
TELEMETRY_CLOSE_SECONDS = 3.0
LEAVE_MESSAGE_SECONDS = 0.1
"""Time allowed for sending the leave message to other VMs at shutdown."""


@final
@dataclass(frozen=True, slots=True)
class RouterAddresses:
    """The ``host:port`` addresses of a router, known once it listens."""

    callers: str
    operators: str


@final
class Router:
    """A router; ``serve`` runs it until it is drained or killed."""

    def __init__(
        self,
        settings: ProcessSettings,
        text: str | None = None,
        clock: Clock | None = None,
        seed: int | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or MonotonicClock()
        self._rng = random.Random(seed)
        self._incarnation = Incarnation(time.time_ns() // 1_000_000)
        self._state = RouterState()
        self._telemetry = open_telemetry(settings)
        self._pool = ConnectionPool(self._clock)
        self._ids = CallIds(VmId(settings.vm), self._incarnation)
        commands, inbox = trio.open_memory_channel(INBOX_LENGTH)
        self._network = PeerNetwork(
            settings, self._incarnation, self._clock, commands, self._rng
        )
        plane = ControlPlane(
            settings,
            self._incarnation,
            self._rng,
            self._clock.now(),
            self._put_in_force,
        )
        self._control = ControlTask(
            plane, self._clock, self._network.send, (commands, inbox)
        )
        self._platform = PlatformTasks(
            settings, self._control, self._network, self._clock, self._rng
        )
        self._orders = OrderTasks(
            settings,
            self._incarnation,
            plane,
            self._network,
            self._clock,
            self._rng,
        )
        self._recent = RecentChats()
        self._forwarder = Forwarder(
            self._clock,
            self._rng,
            self._pool,
            FleetAdmission(self._control),
            FleetOnce(self._control, self._clock),
            FleetGuard(self._control, self._clock),
            self._telemetry,
            self._recent,
        )
        self._refusals = RefusalLog()
        caller_memory = settings.caller_memory_mb * BYTES_PER_MEGABYTE
        self._intake = Intake(IntakeLimits(settings.max_connections, caller_memory))
        self._connections: set[CallerConnection] = set()
        self._drain_requested = trio.Event()
        self._kill_scope = trio.CancelScope()
        self._stopped = trio.Event()
        if text is not None:
            self.offer(text)

    @property
    def state(self) -> RouterState:
        """The settings in force and the phase of this router."""
        return self._state

    @property
    def clock(self) -> Clock:
        """The clock of this process."""
        return self._clock

    @property
    def stopped(self) -> trio.Event:
        """Set when ``serve`` has ended."""
        return self._stopped

    @property
    def telemetry(self) -> Telemetry:
        """The metrics and traces of this process."""
        return self._telemetry

    @property
    def control(self) -> ControlTask:
        """The task that makes decisions together with other VMs."""
        return self._control

    @property
    def network(self) -> PeerNetwork:
        """The connections to other VMs."""
        return self._network

    def offer(self, text: str) -> None:
        """Offer the text of a settings tree, as if the settings service returned it."""
        self._control.post(OfferSettings(read_revision(text)))

    def _put_in_force(self, tree: SettingsTree) -> None:
        self._state.accept(tree)
        log_event("settings_accepted", revision=tree.revision)

    def drain(self) -> None:
        """Start a graceful shutdown; ``serve`` returns once it is complete."""
        log_event("drain_started", calls=self._state.calls)
        self._drain_requested.set()

    def kill(self) -> None:
        """Stop at once and abort the calls in flight."""
        self._kill_scope.cancel()

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[RouterAddresses] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until drained or killed; report the addresses once listening."""
        callers = await Listener.open(
            self._settings.listen,
            self._settings.max_connections,
            self._intake.make_room,
        )
        pages = StatusPages(
            self._settings,
            self._state,
            self._telemetry,
            self._control,
            self._network,
            self._clock,
            self._refusals,
            self._recent,
            self._orders.controller,
        )
        port = OperatorPort(pages.handlers(), self._clock)
        operators = await port.listen(self._settings.operator)
        meters = Meters(
            self._control.plane, self._network, self._clock, self._telemetry.metrics
        )
        supervisor = Supervisor("router", self._clock, self._rng)
        children = [
            ChildSpec("control", self._control.run, max_failures=5),
            ChildSpec("peers", self._network.run),
            *self._platform.children(),
            *self._orders.children(),
            ChildSpec("readiness", self._watch_readiness),
            ChildSpec("meters", meters.run),
            ChildSpec("abort", self._forwarder.abort_when_cancelled),
            ChildSpec("callers", partial(callers.run, self._serve_caller)),
            ChildSpec("operators", partial(operators.run, port.serve_connection)),
        ]
        try:
            with self._kill_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(supervisor.run, children)
                    task_status.started(
                        RouterAddresses(callers.address, operators.address)
                    )
                    await self._drain_requested.wait()
                    await self._finish_drain(callers)
                    nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await callers.stop()
                await operators.stop()
                await self._pool.close()
                await self._close_telemetry()
            self._stopped.set()

    async def _close_telemetry(self) -> None:
        """Export pending telemetry; a timeout covers an endpoint that is down."""
        with trio.move_on_after(TELEMETRY_CLOSE_SECONDS):
            await trio.to_thread.run_sync(self._telemetry.close, abandon_on_cancel=True)

    async def _watch_readiness(self) -> None:
        """Keep the readiness up to date.

        The first time, it requires settings that are known to be the fleet's newest.
        """
        while True:
            ready = self._control.plane.may_serve(self._clock.now())
            self._state.set_ready(ready)
            await trio.sleep(READINESS_INTERVAL_SECONDS)

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self._state,
            self._forwarder,
            self._ids,
            self._clock,
            self._telemetry,
            self._refusals,
            self._intake,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _finish_drain(self, callers: Listener) -> None:
        """Announce the drain, stop accepting, wait for calls up to the drain limit."""
        self._state.announce_drain()
        self._control.plane.membership.announce_leaving()
        await trio.sleep(self._settings.drain_notice_ms / MS_PER_SECOND)
        self._state.drain()
        await callers.stop()
        for connection in list(self._connections):
            connection.close_if_idle()
        with trio.move_on_after(self._settings.drain_limit_ms / MS_PER_SECOND) as scope:
            await self._state.wait_until_idle()
        log_event(
            "drain_ended", cut_off=self._state.calls, limit=scope.cancelled_caught
        )
