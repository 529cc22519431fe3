"""What the edge router knows of routes, targets and calls, in its own terms."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import NewType
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId

PartId = NewType("PartId", str)
"""One part of a prompt; equal parts of different prompts have equal ids."""

RouteName = NewType("RouteName", str)
"""The name of one route of a catalogue."""

Bytes = int


class Repeatability(Enum):
    """What may be done with a call that may have run."""

    IDEMPOTENT = "idempotent"
    """Send it again to any target."""
    RESUMABLE = "resumable"
    """Ask another target to go on behind the last event that arrived."""
    ONCE = "once"
    """Nothing: a second run would do the work twice."""


class TargetState(Enum):
    """Whether a target takes new calls."""

    READY = "ready"
    DRAINING = "draining"


@final
@dataclass(frozen=True, slots=True)
class Route:
    """One route: which calls it takes and what it promises them.

    ``services`` are the services it may go to, each with a weight above 0.
    """

    name: RouteName
    host: str
    prefix: str
    services: tuple[tuple[ServiceId, float], ...]
    repeatability: Repeatability
    streams: bool
    timeout: Milliseconds
    latency_objective: Milliseconds
    event_gap_objective: Milliseconds
    priority: int
    max_attempts: int
    public: bool


@final
@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the catalogue says of one service.

    ``slots`` and ``cache_tokens`` are 0 for services that are no model engines.
    """

    id: ServiceId
    health_path: str
    max_connections: int
    slots: int = 0
    cache_tokens: int = 0


@final
@dataclass(frozen=True, slots=True)
class Account:
    """A client account; a lower ``priority`` goes first, ``None`` is unranked."""

    id: AccountId
    priority: int | None = None


@final
@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take."""

    max_head: Bytes = 16_384
    max_body: Bytes = 4_194_304
    head_timeout: Milliseconds = Milliseconds(3_000)
    idle_timeout: Milliseconds = Milliseconds(15_000)


@final
@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the operator's configuration.

    ``accounts`` maps API keys; it is ``None`` where calls need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    accounts: dict[str, Account] | None = None
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, those with the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        hosts.setdefault(route.host, []).append(route)
    return {host: tuple(found) for host, found in hosts.items()}


@final
@dataclass(frozen=True, slots=True)
class TargetRecord:
    """What a target says of itself in the platform's list.

    ``born_ms`` is the Unix time of its start; a target may start again under
    the same id with nothing of its earlier memory. 0 when it is not said.
    """

    id: TargetId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: TargetState
    born_ms: int = 0


@final
@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt and its size in tokens."""

    id: PartId
    tokens: int


@final
@dataclass(frozen=True, slots=True)
class CallHead:
    """What a caller's headers say of its call, without the key itself.

    ``deadline`` is how long the caller waits; 0 when it does not say.
    ``prompt`` lists the parts in order; the last one is the caller's own.
    """

    id: CallId
    deadline: Milliseconds
    api_key: str | None
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other calls may share."""
        return self.prompt[:-1]


@final
@dataclass(frozen=True, slots=True)
class TargetLoad:
    """How many requests a target said it was running and keeping waiting."""

    running: int
    waiting: int
    slots: int


@final
@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of a target's answer says besides its status.

    ``call_id`` is the call that the answer belongs to, if it says so.
    ``not_run`` is the target's word that it did not run the call.
    """

    call_id: CallId | None
    signed: bool
    not_run: bool
    load: TargetLoad | None = None
    idle_timeout: Milliseconds | None = None


@final
@dataclass(frozen=True, slots=True)
class Forwarding:
    """What the router adds to a call for the target it sends it to.

    ``deadline`` is what is left of the caller's time. ``urgency`` is 0 for the
    most urgent. ``fetch_from`` is the address of a target that holds parts of
    the prompt. ``resume_after`` is the id of the last event that arrived.
    """

    target: TargetRecord
    account: Account | None
    deadline: Milliseconds
    urgency: int | None = None
    fetch_from: str | None = None
    resume_after: str | None = None
