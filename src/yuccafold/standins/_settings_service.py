"""Stand-in for the platform's configuration service, which serves only reads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

import trio

from yuccafold.standins._http import BoundAddress
from yuccafold.standins._http import Exchange
from yuccafold.standins._http import HttpServer
from yuccafold.standins._http import ServerSettings
from yuccafold.standins._published import PublishedValues
from yuccafold.standins._published import ServiceCall
from yuccafold.standins._published import parse_call

YAML_TYPE = ("Content-Type", "application/yaml")


@final
@dataclass(frozen=True, slots=True)
class SettingsFaults:
    """The faults of the service; by default none."""

    down: bool = False
    """Every call is answered 503."""
    newest_revision: int | None = None
    """Serve nothing newer than this revision, as a stale replica does."""
    slow_ms: int = 0
    """How long each answer is delayed."""


HEALTHY = SettingsFaults()


@final
@dataclass(frozen=True, slots=True)
class SettingsServiceSettings:
    """Where the service listens, and its faults at the start."""

    server: ServerSettings = ServerSettings()
    faults: SettingsFaults = HEALTHY


@final
class SettingsService:
    """Serves ``GET /settings`` with long-poll watches, and records every call."""

    def __init__(self, settings: SettingsServiceSettings) -> None:
        self._faults = settings.faults
        self._published: PublishedValues[str] = PublishedValues(lag_ms=0)
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

    def publish(self, text: str, revision: int) -> None:
        """Publish the settings tree ``text`` under ``revision``."""
        # Time 0 is in the past on every clock, so the text is visible at once.
        self._published.publish(revision, text, now=0.0)

    def set_faults(self, faults: SettingsFaults) -> None:
        """Apply ``faults`` from now on, also to watches that are waiting."""
        self._faults = faults
        self._published.wake_readers()

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
        if (exchange.request.method, call.path) != ("GET", "/settings"):
            return await exchange.refuse(404, "unknown-path", "expected GET /settings")
        self._calls.append(call)
        await trio.sleep(self._faults.slow_ms / 1000)
        if self._faults.down:
            return await exchange.refuse(503, "down", "the service is down")
        found = await self._published.wait_for_newer(call, self._newest_revision)
        if self._faults.down:
            return await exchange.refuse(503, "down", "the service went down")
        if found is None:
            return await exchange.respond(304, b"")
        revision = ("Revision", str(found.number))
        return await exchange.respond(200, found.value.encode(), (YAML_TYPE, revision))

    def _newest_revision(self) -> int | None:
        return self._faults.newest_revision
