"""A target as the users' platform has them: plain answers and event streams."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import final

import trio

from yuccafold.standins._http import BoundAddress
from yuccafold.standins._http import Exchange
from yuccafold.standins._http import Headers
from yuccafold.standins._http import HttpServer
from yuccafold.standins._http import ServedRequest
from yuccafold.standins._http import ServerSettings
from yuccafold.standins._platform_forms import ATTEMPT
from yuccafold.standins._platform_forms import attempt_of

MS_PER_SECOND = 1000
SIGNATURE = "X-Response-Signature"


class Mood(Enum):
    """How a target treats the calls that come."""

    WELL = "well"
    FULL = "full"
    """Refuses as not run."""
    FAILING = "failing"
    """Runs calls and answers 500."""
    UNSIGNED = "unsigned"
    """Runs calls and answers without a signature."""
    FOREIGN = "foreign"
    """Answers with the id of another call."""
    HANGING = "hanging"
    """Runs calls and never answers."""
    BREAKING = "breaking"
    """Runs a stream and closes within it."""


@final
@dataclass(frozen=True, slots=True)
class PlatformTargetSettings:
    """The target's id, and how long and what it answers."""

    id: str
    server: ServerSettings = ServerSettings()
    work_ms: int = 0
    events: int = 4
    event_pause_ms: int = 0
    break_after: int = 2
    idle_timeout_s: int = 5


@final
class PlatformTarget:
    """Serves calls and keeps what it was sent and what it ran."""

    def __init__(
        self,
        settings: PlatformTargetSettings,
        on_run: Callable[[str, ServedRequest], None] | None = None,
    ) -> None:
        self._settings = settings
        self._on_run = on_run
        self._server = HttpServer(settings.server, self._handle)
        self._received: list[ServedRequest] = []
        self._runs: list[str] = []
        self._abandoned: list[str] = []
        self.mood = Mood.WELL

    @property
    def id(self) -> str:
        """The target's id."""
        return self._settings.id

    @property
    def server(self) -> HttpServer:
        """The HTTP server: its address, faults and ``crash``."""
        return self._server

    @property
    def received(self) -> tuple[ServedRequest, ...]:
        """Every call that came, the oldest first."""
        return tuple(self._received)

    @property
    def runs(self) -> tuple[str, ...]:
        """The attempt ids of the calls that ran."""
        return tuple(self._runs)

    @property
    def abandoned(self) -> tuple[str, ...]:
        """The attempt ids whose caller left while they ran."""
        return tuple(self._abandoned)

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address."""
        await self._server.serve(task_status=task_status)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        self._received.append(request)
        attempt = attempt_of(request)
        expected = request.header("x-expect-instance")
        if expected not in (None, self.id):
            headers = (("X-Engine-Id", self.id), ("X-Not-Executed", "1"))
            return await exchange.respond(421, b"", headers)
        if self.mood is Mood.FULL:
            return await exchange.respond(503, b"", (("X-Not-Executed", "1"),))
        self._runs.append(attempt)
        if self._on_run is not None:
            self._on_run(self.id, request)
        try:
            await trio.sleep(self._settings.work_ms / MS_PER_SECOND)
            await self._answer(exchange, attempt)
        except trio.Cancelled:
            self._abandoned.append(attempt)
            raise
        return None

    async def _answer(self, exchange: Exchange, attempt: str) -> None:
        headers = self._headers(attempt)
        if self.mood is Mood.HANGING:
            await trio.sleep_forever()
        if self.mood is Mood.FAILING:
            await exchange.respond(500, b"failed", headers)
        elif exchange.request.path.startswith("/chat/"):
            await self._stream(exchange, headers)
        else:
            await exchange.respond(200, exchange.request.body or b"found", headers)

    def _headers(self, attempt: str) -> Headers:
        shown = "another" if self.mood is Mood.FOREIGN else attempt
        signature = ((SIGNATURE, f"signed-{self.id}"),)
        return (
            (ATTEMPT, shown),
            ("X-Engine-Load", "1,0,8"),
            ("Keep-Alive", f"timeout={self._settings.idle_timeout_s}"),
            *(() if self.mood is Mood.UNSIGNED else signature),
        )

    async def _stream(self, exchange: Exchange, headers: Headers) -> None:
        """Send the events behind the last one that the caller has."""
        first = int(exchange.request.header("last-event-id") or 0) + 1
        await exchange.start(200, (*headers, ("Content-Type", "text/event-stream")))
        for number in range(first, self._settings.events + 1):
            broke = number - first >= self._settings.break_after
            if self.mood is Mood.BREAKING and broke:
                raise trio.BrokenResourceError("told to break off")
            await exchange.send(f"id: {number}\ndata: token {number}\n\n".encode())
            await trio.sleep(self._settings.event_pause_ms / MS_PER_SECOND)
        await exchange.finish()
