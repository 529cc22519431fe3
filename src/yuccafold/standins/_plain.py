"""A stand-in application service: answers any call and records every run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import final

import trio
import xxhash

from yuccafold.standins._chat_request import CALL_ID_HEADER
from yuccafold.standins._chat_request import IDEMPOTENCY_HEADER
from yuccafold.standins._http import BoundAddress
from yuccafold.standins._http import Exchange
from yuccafold.standins._http import HttpServer
from yuccafold.standins._http import ServedRequest
from yuccafold.standins._http import ServerSettings


@final
@dataclass(frozen=True, slots=True)
class PlainSettings:
    """How one instance of a plain service behaves."""

    server: ServerSettings = ServerSettings()
    name: str = "plain"
    """The ``service`` field of the answers."""


@final
@dataclass(frozen=True, slots=True)
class PlainRun:
    """One call that ran; ``started_at`` is in seconds of trio's clock."""

    method: str
    path: str
    call_id: str
    idempotency_key: str
    digest: str
    started_at: float


def body_digest(body: bytes) -> str:
    """Return the XXH64 digest of a body, as in the service's answers."""
    return xxhash.xxh64(body).hexdigest()


@final
class PlainService:
    """Records every call as a run and echoes it.

    A call counts as a run once the complete request was read, even if its
    answer is lost.
    """

    def __init__(self, settings: PlainSettings) -> None:
        self._settings = settings
        self._server = HttpServer(settings.server, self._handle)
        self._runs: list[PlainRun] = []

    @property
    def server(self) -> HttpServer:
        """The HTTP server, which has the address, the faults and ``crash``."""
        return self._server

    @property
    def runs(self) -> tuple[PlainRun, ...]:
        """Every call that ran, the oldest first."""
        return tuple(self._runs)

    @property
    def runs_by_call(self) -> Counter[str]:
        """How many runs each call id had."""
        return Counter(run.call_id for run in self._runs if run.call_id)

    @property
    def runs_by_key(self) -> Counter[str]:
        """How many runs each idempotency key had."""
        return Counter(run.idempotency_key for run in self._runs if run.idempotency_key)

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address once listening."""
        await self._server.serve(task_status=task_status)

    async def _handle(self, exchange: Exchange) -> None:
        run = _run_of(exchange.request)
        self._runs.append(run)
        answer = {
            "service": self._settings.name,
            "method": run.method,
            "path": run.path,
            "call_id": run.call_id,
            "idempotency_key": run.idempotency_key,
            "digest": run.digest,
        }
        await exchange.respond_json(200, answer)


def _run_of(request: ServedRequest) -> PlainRun:
    return PlainRun(
        request.method,
        request.path,
        request.header(CALL_ID_HEADER.lower()) or "",
        request.header(IDEMPOTENCY_HEADER.lower()) or "",
        body_digest(request.body),
        trio.current_time(),
    )
