"""Stand-in for the platform's list of VMs and targets, which shows changes late."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from enum import Enum
from typing import Any
from typing import final

import trio

from yuccafold._ids import RegionId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.standins._http import BoundAddress
from yuccafold.standins._http import Exchange
from yuccafold.standins._http import HttpServer
from yuccafold.standins._http import ServerSettings
from yuccafold.standins._published import PublishedValues
from yuccafold.standins._published import ServiceCall
from yuccafold.standins._published import parse_call


class ListedState(Enum):
    """The state of a VM or target in the list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM of the list; other VMs connect to ``address``."""

    id: VmId
    address: str
    zone: ZoneId
    region: RegionId
    state: ListedState = ListedState.LIVE


@final
@dataclass(frozen=True, slots=True)
class ListedTarget:
    """One target of the list."""

    id: TargetId
    state: ListedState = ListedState.LIVE


@final
@dataclass(frozen=True, slots=True)
class VmListSettings:
    """Where the list is served, and after which delay changes are visible."""

    server: ServerSettings = ServerSettings()
    lag_ms: int = 0


@final
class VmList:
    """Serves ``GET /vms`` with long-poll watches, and records every call."""

    def __init__(self, settings: VmListSettings) -> None:
        self._published: PublishedValues[dict[str, Any]] = PublishedValues(
            settings.lag_ms
        )
        self._version = 0
        self._calls: list[ServiceCall] = []
        self._server = HttpServer(settings.server, self._handle)

    @property
    def server(self) -> HttpServer:
        """The HTTP server, which has the address, the faults and ``crash``."""
        return self._server

    @property
    def calls(self) -> tuple[ServiceCall, ...]:
        """Every call, the oldest first."""
        return tuple(self._calls)

    def publish(
        self, vms: tuple[ListedVm, ...], targets: tuple[ListedTarget, ...] = ()
    ) -> None:
        """Publish a new list, visible after the lag; must be called within trio."""
        self._version += 1
        value = {
            "version": self._version,
            "vms": [_as_json(vm) for vm in vms],
            "targets": [_as_json(target) for target in targets],
        }
        self._published.publish(self._version, value, trio.current_time())

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address once listening."""
        await self._server.serve(task_status=task_status)

    async def _handle(self, exchange: Exchange) -> None:
        try:
            call = parse_call(exchange.request)
        except ValueError as error:
            return await exchange.refuse(400, "bad-request", str(error))
        if (exchange.request.method, call.path) != ("GET", "/vms"):
            return await exchange.refuse(404, "unknown-path", "expected GET /vms")
        self._calls.append(call)
        found = await self._published.wait_for_newer(call, lambda: None)
        if found is None:
            return await exchange.respond(304, b"")
        return await exchange.respond_json(200, found.value)


def _as_json(entry: ListedVm | ListedTarget) -> dict[str, Any]:
    return {**asdict(entry), "state": entry.state.value}
