"""Data types of routes, targets and calls, independent of the platform's format."""

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
"""Identifies one part of a prompt; equal parts of different prompts have equal ids."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""A version of a target's software: a name without an order, empty if none is stated.

What targets of two versions write doesn't fit together.
"""

RouteName = NewType("RouteName", str)
"""The name of one route of a catalogue."""

Bytes = int


class Repeatability(Enum):
    """Whether and how a call that may have run can be retried."""

    IDEMPOTENT = "idempotent"
    """It can be sent again to any target."""
    RESUMABLE = "resumable"
    """Another target can continue the stream after the last event received."""
    ONCE = "once"
    """It can't be retried: a second run would do the work twice."""


class FeatureMode(Enum):
    """For which services an operator has a feature take effect."""

    AUTO = "auto"
    """Those that state what the feature goes by."""
    ON = "on"
    OFF = "off"


class TargetState(Enum):
    """Whether a target accepts new calls."""

    READY = "ready"
    DRAINING = "draining"


@final
@dataclass(frozen=True, slots=True)
class Route:
    """One route: which calls match it, and how they are handled.

    ``services`` are the services that get its calls, each with a weight above 0 that
    sets its share of them.
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
    """The configuration of one service.

    ``slots`` and ``cache_tokens`` are 0 for services that aren't model engines. A cold
    target takes ``cold_rate`` calls a second from all VMs together, and falls over at
    a rate well above that; 0 means that targets aren't cold after their start.
    """

    id: ServiceId
    health_path: str
    max_connections: int
    slots: int = 0
    cache_tokens: int = 0
    cold_rate: float = 0.0


@final
@dataclass(frozen=True, slots=True)
class Account:
    """A client account; a lower ``priority`` goes first, ``None`` means unranked."""

    id: AccountId
    priority: int | None = None


@final
@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers send, in bytes, and on how long they take."""

    max_head: Bytes = 16_384
    max_body: Bytes = 4_194_304
    head_timeout: Milliseconds = Milliseconds(3_000)
    idle_timeout: Milliseconds = Milliseconds(15_000)


@final
@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the operator's configuration.

    ``accounts`` maps API keys to accounts; it is ``None`` if calls need no key.
    ``by_host`` holds the routes of each host as ``index_routes`` returns them.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    accounts: dict[str, Account] | None = None
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path``."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, those with the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        hosts.setdefault(route.host, []).append(route)
    return {host: tuple(host_routes) for host, host_routes in hosts.items()}


@final
@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target's entry in the platform's list.

    ``born_ms`` is the Unix time of its start in milliseconds, or 0 if the entry
    doesn't have it. A target may restart under the same id, without its earlier
    memory, and with another ``software``. ``cold_for`` is how much longer the target
    is cold, counted from when it wrote its entry.
    """

    id: TargetId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: TargetState
    born_ms: int = 0
    software: SoftwareVersion = SoftwareVersion("")
    cold_for: Milliseconds = Milliseconds(0)


@final
@dataclass(frozen=True, slots=True)
class TargetGone:
    """The entry of a target was removed or can't be used."""

    id: TargetId


@final
@dataclass(frozen=True, slots=True)
class ZoneEvacuated:
    """The operator wants targets in ``zone`` to get no more calls."""

    zone: ZoneId


@final
@dataclass(frozen=True, slots=True)
class ZoneRestored:
    """Targets in ``zone`` may get calls again."""

    zone: ZoneId


@final
@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt and its size in tokens."""

    id: PartId
    tokens: int


@final
@dataclass(frozen=True, slots=True)
class CallHead:
    """What the headers of a call say about it.

    ``deadline`` is how long the caller waits, or 0 if the headers don't say.
    ``prompt`` lists the parts in order; the last one belongs to this call only.
    A call that takes a stream up has ``resume_after``, the id of the last event that
    the caller has, and ``resumes``, the call that brought the first one. ``detoured``
    is set if another VM sent the call, as it reaches no target. ``output_tokens`` is
    the most tokens to generate, and ``length_hint`` the caller's estimate of them,
    which is often far off.
    """

    id: CallId
    deadline: Milliseconds
    api_key: str | None
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    resumes: CallId | None = None
    resume_after: str | None = None
    detoured: bool = False
    length_hint: int | None = None

    @property
    def takes_up(self) -> bool:
        """Whether the caller has events of the stream already."""
        return self.resumes is not None or self.resume_after is not None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt that other calls may share."""
        return self.prompt[:-1]


@final
@dataclass(frozen=True, slots=True)
class TargetLoad:
    """How many requests a target reports as running and waiting, and its slots.

    ``slowdown`` is how long work takes there now as a multiple of the usual time; it
    changes several times a second. ``None`` if the target doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@final
@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of a target's answer say.

    ``call_id`` is the call that the answer belongs to, if the headers name it.
    ``signed`` is set if the answer carries a signature. ``not_run`` is set if the
    target states that it did not run the call. ``limit`` is how many calls a second
    the target takes from all VMs together, if it names a limit. ``leaving`` is set if
    the target says that it is about to stop. ``brittle`` is the number of calls in a
    second with more of which it falls over if it has to reject them, if it says so.
    ``cold_for`` is how much longer the target is cold, if it says so. ``pause`` is for
    how long it wants no calls from this VM, if it turned the call away for that.
    """

    call_id: CallId | None
    signed: bool
    not_run: bool
    load: TargetLoad | None = None
    idle_timeout: Milliseconds | None = None
    limit: float | None = None
    leaving: bool = False
    brittle: int | None = None
    cold_for: Milliseconds | None = None
    pause: Milliseconds | None = None


@final
@dataclass(frozen=True, slots=True)
class Forwarding:
    """What the router adds to a call that it forwards to a target.

    ``deadline`` is the time that the caller still waits. ``urgency`` is 0 for the
    most urgent calls. ``fetch_from`` is the address of a target that holds parts of
    the prompt. ``resume_after`` is the id of the last event received.
    """

    target: TargetRecord
    account: Account | None
    deadline: Milliseconds
    urgency: int | None = None
    fetch_from: str | None = None
    resume_after: str | None = None
