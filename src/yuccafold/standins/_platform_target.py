"""A stand-in target of the platform, with plain answers and event streams."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from collections.abc import Set
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
from yuccafold.standins._platform_forms import ATTEMPT_HEADER
from yuccafold.standins._platform_forms import HEALTH_PATH
from yuccafold.standins._platform_forms import attempt_of
from yuccafold.standins._platform_forms import last_event_of
from yuccafold.standins._platform_forms import shared_parts

MS_PER_SECOND = 1000
BODILESS_STATUSES = (204, 304)
SIGNATURE = "X-Response-Signature"
NOT_RUN = ("X-Not-Executed", "1")
LIMIT_HEADER = "Server-Limit"
BRITTLE_HEADER = "Server-Brittle"
COLD_HEADER = "X-Cold-Ms"
MAX_SLOTS = 1_000
USUAL_PACE = 100
LEAVING: Headers = (("Server-Leaving", "1"),)


REPEATED_REFUSAL = (
    b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


class TargetMode(Enum):
    """How a target responds to calls."""

    HEALTHY = "well"
    FULL = "full"
    """Refuses calls, which are marked as not run."""
    REPEATING = "repeating"
    """Runs calls, and writes a refusal that names none before its answers, on
    connections that had an answer before."""
    FAILING = "failing"
    """Runs calls and answers 500."""
    UNSIGNED = "unsigned"
    """Runs calls and answers without a signature."""
    WRONG_ATTEMPT = "foreign"
    """Runs calls and answers with the id of another attempt."""
    HANGING = "hanging"
    """Runs calls and never answers."""
    BREAKING = "breaking"
    """Runs calls and closes the connection between two events of each stream."""
    TEARING = "tearing"
    """Runs calls and closes the connection inside an event of each stream."""
    TEARING_UNFRAMED = "tearing-unframed"
    """The same with streams that have neither a length nor chunks."""


TEARING_MODES = (TargetMode.TEARING, TargetMode.TEARING_UNFRAMED)
TORN_BYTES = 5
"""How many bytes of its last event a torn stream lacks."""


@final
@dataclass(frozen=True, slots=True)
class PlatformTargetSettings:
    """The target's id, and the delays and lengths of its answers.

    ``work_ms`` is the delay before each answer. ``events_before_break`` is the number
    of whole events that a stream gets before a mode breaks it off. Answers state
    ``idle_timeout_s`` in ``Keep-Alive``, but the target closes no idle connection.
    ``status`` and ``content_type`` are those of plain answers; those with 204 and 304
    have no body. ``lethal_parts`` are the parts of a prompt that crash the target
    ``crash_delay_ms`` after it began to answer a call with one of them. A call whose
    body contains ``lethal_body`` does so ``crash_delay_ms`` after its run began.
    With ``slots``, so many calls run and ``max_waiting`` more wait; the others are
    rejected.
    """

    id: str
    server: ServerSettings = ServerSettings()
    work_ms: int = 0
    events: int = 4
    event_pause_ms: int = 0
    events_before_break: int = 2
    idle_timeout_s: int = 5
    status: int = 200
    content_type: str = "text/plain"
    lethal_parts: Set[str] = frozenset()
    lethal_body: bytes | None = None
    crash_delay_ms: int = 10
    slots: int | None = None
    max_waiting: int = 0


@final
class PlatformTarget:
    """Serves calls, and records those that it received and those that it ran.

    ``on_run`` is called with the target's id and the request when a run begins.
    """

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
        self._lethal_runs: list[str] = []
        self.limit: float | None = None
        """The requests a second that answers name as the limit of all VMs together."""
        self.on_received: Callable[[ServedRequest], None] = lambda _: None
        """Called with each request that arrives, health checks as well."""
        self.leaving = False
        """Whether all answers say that the target is about to stop."""
        self.retry_after: str | None = None
        """For how many seconds rejections ask for a pause."""
        self.mode = TargetMode.HEALTHY
        self.brittle: int | None = None
        """The rejections in a second with more of which it crashes, as answers say."""
        self._cold_until = -math.inf
        self._cold_arrivals: deque[float] = deque()
        self.cold_most: int | None = None
        """The calls in a second with more of which it crashes while it is cold."""
        self.max_waiting = settings.max_waiting
        """How many calls wait while all slots are taken; the others are rejected."""
        self.slowdown: float | None = None
        """How many times its usual time work takes; answers say so if it is set."""
        self._held = 0
        self._rejected_at: deque[float] = deque()
        slots = settings.slots or MAX_SLOTS
        self._slots = trio.Semaphore(slots)

    @property
    def id(self) -> str:
        """The target's id."""
        return self._settings.id

    @property
    def server(self) -> HttpServer:
        """The HTTP server, which has the address, the faults and ``crash``."""
        return self._server

    @property
    def received(self) -> tuple[ServedRequest, ...]:
        """Every call received, the oldest first."""
        return tuple(self._received)

    @property
    def runs(self) -> tuple[str, ...]:
        """The attempt ids of the calls that ran."""
        return tuple(self._runs)

    @property
    def abandoned(self) -> tuple[str, ...]:
        """The ids of attempts whose caller disconnected while they ran."""
        return tuple(self._abandoned)

    @property
    def lethal_runs(self) -> tuple[str, ...]:
        """The attempt ids of the calls that ran with a lethal part."""
        return tuple(self._lethal_runs)

    @property
    def cold_ms(self) -> int:
        """How much longer the target is cold."""
        remaining = self._cold_until - trio.current_time()
        return max(0, round(remaining * MS_PER_SECOND)) if remaining > 0 else 0

    def turn_cold(self, for_ms: int) -> None:
        """Be cold from now on; answers say so."""
        self._cold_until = trio.current_time() + for_ms / MS_PER_SECOND

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address once listening."""
        await self._server.serve(task_status=task_status)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        self._received.append(request)
        self.on_received(request)
        attempt = attempt_of(request)
        expected = request.header("x-expect-instance")
        if expected not in (None, self.id):
            headers = (
                ("X-Engine-Id", self.id),
                (ATTEMPT_HEADER, attempt),
                NOT_RUN,
                *self._notice(),
            )
            return await exchange.respond(421, b"", headers)
        self._record_cold_arrival()
        if self.mode is TargetMode.FULL:
            return await exchange.respond(503, b"", self._rejection(attempt))
        if not self._has_room():
            await exchange.respond(503, b"", self._rejection(attempt))
            return self._record_rejection()
        self._held += 1
        try:
            async with self._slots:
                if request.path == HEALTH_PATH:
                    await self._answer_health_check(exchange)
                else:
                    await self._run(exchange, attempt)
        finally:
            self._held -= 1
        return None

    def _record_cold_arrival(self) -> None:
        """Crash if the target is cold and gets too many calls in a second."""
        if not self.cold_ms or self.cold_most is None:
            return
        now = trio.current_time()
        self._cold_arrivals.append(now)
        while self._cold_arrivals[0] <= now - 1:
            self._cold_arrivals.popleft()
        if len(self._cold_arrivals) > self.cold_most:
            self._server.crash()

    def _has_room(self) -> bool:
        slots = self._settings.slots
        return slots is None or self._held < slots + self.max_waiting

    def _record_rejection(self) -> None:
        """Crash once a brittle target has rejected too many calls in a second."""
        now = trio.current_time()
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - 1:
            self._rejected_at.popleft()
        if self.brittle is not None and len(self._rejected_at) > self.brittle:
            self._server.crash()

    async def _answer_health_check(self, exchange: Exchange) -> None:
        """Answer a health check, which waits for a slot as calls do but is no run."""
        if self.mode is TargetMode.HANGING:
            await trio.sleep_forever()
        await exchange.respond(200, b"", (("X-Engine-Id", self.id), *self._notice()))

    async def _run(self, exchange: Exchange, attempt: str) -> None:
        request = exchange.request
        self._runs.append(attempt)
        if self._on_run is not None:
            self._on_run(self.id, request)
        try:
            marker = self._settings.lethal_body
            if marker is not None and marker in request.body:
                await self._crash(exchange)
            await self._work(self._settings.work_ms)
            await self._answer(exchange, attempt)
        except trio.Cancelled:
            self._abandoned.append(attempt)
            raise

    async def _answer(self, exchange: Exchange, attempt: str) -> None:
        headers = self._headers(attempt)
        if not self._settings.lethal_parts.isdisjoint(shared_parts(exchange.request)):
            content_type = ("Content-Type", "text/event-stream")
            await exchange.start(200, (*headers, content_type))
            await self._crash(exchange)
        if self.mode is TargetMode.HANGING:
            await trio.sleep_forever()
        if self.mode is TargetMode.REPEATING:
            await exchange.send_stray(REPEATED_REFUSAL)
        if self.mode is TargetMode.FAILING:
            await exchange.respond(500, b"failed", headers)
        elif exchange.request.path.startswith("/chat/"):
            await self._stream(exchange, headers)
        elif self._settings.status in BODILESS_STATUSES:
            await exchange.start(self._settings.status, headers)
            await exchange.finish()
        else:
            body = exchange.request.body or b"found"
            headers += (("Content-Type", self._settings.content_type),)
            await exchange.respond(self._settings.status, body, headers)

    async def _crash(self, exchange: Exchange) -> None:
        """End as a crashed process does."""
        self._lethal_runs.append(attempt_of(exchange.request))
        await trio.sleep(self._settings.crash_delay_ms / MS_PER_SECOND)
        self._server.crash()
        await trio.sleep_forever()

    def _rejection(self, attempt: str) -> Headers:
        """Return the headers with which a call is turned away."""
        pause = () if self.retry_after is None else (("Retry-After", self.retry_after),)
        return ((ATTEMPT_HEADER, attempt), NOT_RUN, *pause, *self._notice())

    def _notice(self) -> Headers:
        notice = LEAVING if self.leaving else ()
        if self.brittle is not None:
            notice += ((BRITTLE_HEADER, str(self.brittle)),)
        return notice

    def _headers(self, attempt: str) -> Headers:
        answered_attempt = (
            "another" if self.mode is TargetMode.WRONG_ATTEMPT else attempt
        )
        signature = ((SIGNATURE, f"signed-{self.id}"),)
        return (
            (ATTEMPT_HEADER, answered_attempt),
            ("X-Engine-Load", self._load()),
            ("Keep-Alive", f"timeout={self._settings.idle_timeout_s}"),
            *(((COLD_HEADER, str(self.cold_ms)),) if self.cold_ms else ()),
            *(() if self.limit is None else ((LIMIT_HEADER, str(self.limit)),)),
            *(() if self.mode is TargetMode.UNSIGNED else signature),
            *self._notice(),
        )

    def _load(self) -> str:
        """Return how many calls run and wait, the slots, and the pace if it is stated.

        Without a limit of calls, the figures are those of a target with room.
        """
        counts = [1, 0, 8]
        slots = self._settings.slots
        if slots is not None:
            counts = [min(self._held, slots), max(0, self._held - slots), slots]
        if self.slowdown is not None:
            counts.append(round(USUAL_PACE * self.slowdown))
        return ",".join(map(str, counts))

    async def _work(self, usual_ms: int) -> None:
        await trio.sleep(usual_ms * (self.slowdown or 1.0) / MS_PER_SECOND)

    async def _stream(self, exchange: Exchange, headers: Headers) -> None:
        """Send the events after the last one that the caller has received."""
        first = last_event_of(exchange.request) + 1
        unframed = self.mode is TargetMode.TEARING_UNFRAMED
        headers += (("Content-Type", "text/event-stream"),)
        await exchange.start(200, headers, unframed=unframed)
        if self.mode in TEARING_MODES:
            last = min(
                first + self._settings.events_before_break, self._settings.events
            )
            # One write: a connection that is cut between two events is not torn.
            events = b"".join(map(_event, range(first, last + 1)))
            await exchange.send(events[:-TORN_BYTES])
            raise trio.BrokenResourceError("the target tears its stream")
        for number in range(first, self._settings.events + 1):
            is_at_break = number - first >= self._settings.events_before_break
            if self.mode is TargetMode.BREAKING and is_at_break:
                raise trio.BrokenResourceError("the target breaks off its stream")
            await exchange.send(_event(number))
            await self._work(self._settings.event_pause_ms)
        await exchange.finish()


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: token {number}\n\n".encode()
