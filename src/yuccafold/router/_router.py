"""One router process: its listeners, its decisions and its shutdown."""

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
from yuccafold.router._caller import CallerConnection
from yuccafold.router._forward import Forwarder
from yuccafold.router._identity import CallIds
from yuccafold.router._listener import Listener
from yuccafold.router._local import LocalAdmission
from yuccafold.router._local import LocalGuard
from yuccafold.router._local import LocalOnce
from yuccafold.router._operator import OperatorPort
from yuccafold.router._state import RouterState
from yuccafold.router._status import StatusPages
from yuccafold.router._supervisor import ChildSpec
from yuccafold.router._supervisor import Supervisor
from yuccafold.router._upstream import TargetPool
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsTree
from yuccafold.telemetry import Telemetry
from yuccafold.telemetry import log_event
from yuccafold.telemetry import open_telemetry


@final
@dataclass(frozen=True, slots=True)
class RouterAddresses:
    """Where a router listens, as ``host:port``; known once it serves."""

    callers: str
    operators: str


@final
class Router:
    """A router process as an object; ``serve`` runs it until it has drained."""

    def __init__(
        self,
        settings: ProcessSettings,
        tree: SettingsTree | None = None,
        clock: Clock | None = None,
        seed: int | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or MonotonicClock()
        self._rng = random.Random(seed)
        self._incarnation = Incarnation(time.time_ns() // 1_000_000)
        self._state = RouterState()
        self._telemetry = open_telemetry(settings)
        self._pool = TargetPool(self._clock)
        self._ids = CallIds(VmId(settings.vm), self._incarnation)
        self._forwarder = Forwarder(
            self._clock,
            self._rng,
            self._pool,
            LocalAdmission(),
            LocalOnce(),
            LocalGuard(),
            self._telemetry,
        )
        self._connections: set[CallerConnection] = set()
        self._drain = trio.Event()
        self._kill = trio.CancelScope()
        self._stopped = trio.Event()
        if tree is not None:
            self.accept(tree)

    @property
    def state(self) -> RouterState:
        """The settings in force and the phase."""
        return self._state

    @property
    def stopped(self) -> trio.Event:
        """Set when ``serve`` is over."""
        return self._stopped

    @property
    def telemetry(self) -> Telemetry:
        """The instruments of this process."""
        return self._telemetry

    def accept(self, tree: SettingsTree) -> bool:
        """Put a settings tree in force unless that would go back."""
        accepted = self._state.accept(tree)
        if accepted:
            log_event("settings_accepted", revision=tree.revision)
        return accepted

    def drain(self) -> None:
        """Begin a graceful shutdown: ``serve`` returns when it is over."""
        log_event("drain_started", calls=self._state.calls)
        self._drain.set()

    def kill(self) -> None:
        """End at once, cutting off what is in flight."""
        self._kill.cancel()

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[RouterAddresses] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until drained or killed; report the addresses when listening."""
        callers = await Listener.open(
            self._settings.listen, self._settings.max_connections
        )
        operators = await Listener.open(self._settings.operator, 64)
        port = OperatorPort(
            StatusPages(self._settings, self._state, self._telemetry).handlers()
        )
        supervisor = Supervisor("router", self._clock, self._rng)
        children = [
            ChildSpec("callers", partial(callers.run, self._serve_caller)),
            ChildSpec("operators", partial(operators.run, port.serve_connection)),
        ]
        try:
            with self._kill:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(supervisor.run, children)
                    task_status.started(
                        RouterAddresses(callers.address, operators.address)
                    )
                    await self._drain.wait()
                    await self._finish(callers)
                    nursery.cancel_scope.cancel()
        finally:
            await self._pool.close()
            self._telemetry.close()
            self._stopped.set()

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self._state,
            self._forwarder,
            self._ids,
            self._clock,
            self._telemetry,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _finish(self, callers: Listener) -> None:
        """Take no new calls, then wait for those in flight up to the limit."""
        self._state.announce_drain()
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
