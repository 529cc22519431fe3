"""Decodes the operator's configuration and the entries of targets."""

from __future__ import annotations

import ipaddress
import re

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.edge import Account
from yuccafold.edge import CallerLimits
from yuccafold.edge import Catalogue
from yuccafold.edge import Repeatability
from yuccafold.edge import Route
from yuccafold.edge import RouteName
from yuccafold.edge import ServiceSpec
from yuccafold.edge import SocketAddress
from yuccafold.edge import SoftwareVersion
from yuccafold.edge import TargetRecord
from yuccafold.edge import TargetState
from yuccafold.edge import index_routes
from yuccafold.platform._json import JsonObject
from yuccafold.platform._json import field
from yuccafold.platform._json import number
from yuccafold.platform._json import parse_object

DEFAULT_LATENCY_OBJECTIVE_MS = 1_000
"""Latency objective of a route that states none: answers within it are on time."""

DEFAULT_EVENT_GAP_MS = 1_000
"""Objective for the time between two events of a stream if a route states none."""

MAX_SLOTS = 65_536
"""Largest number of slots of a target; an entry with more is malformed."""

TARGET_ID = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,199}", re.ASCII)
"""Ids are sent in headers, and in lists that VMs send each other."""


def read_catalogue(data: bytes) -> Catalogue:
    """Parse a configuration; raises ``ValueError`` if it is malformed."""
    source = parse_object(data)
    routes = tuple(map(_route, field(source, "routes", list)))
    specs = map(_service, field(source, "services", list))
    return Catalogue(
        version=field(source, "version", int),
        routes=routes,
        services={spec.id: spec for spec in specs},
        limits=_limits(source.get("limits") or {}),
        accounts=_accounts(source["tenants"]) if "tenants" in source else None,
        by_host=index_routes(routes),
    )


def _milliseconds(
    source: JsonObject, name: str, default: float | None = None
) -> Milliseconds:
    return Milliseconds(round(number(source, name, default)))


def _route(source: JsonObject) -> Route:
    streams = field(source, "kind", str) == "streaming"
    return Route(
        name=RouteName(field(source, "name", str)),
        host=field(source, "host", str).lower(),
        prefix=field(source, "prefix", str),
        services=_services(source),
        repeatability=_repeatability(source),
        streams=streams,
        timeout=_milliseconds(source, "timeout_ms"),
        latency_objective=Milliseconds(
            round(number(source, "target_latency_ms", 1000))
        ),
        event_gap_objective=_milliseconds(source, "gap_aim_ms", DEFAULT_EVENT_GAP_MS),
        priority=round(number(source, "priority", 0)),
        max_attempts=max(1, round(number(source, "max_attempts", 1))),
        public=source.get("public") is True,
    )


def _services(source: JsonObject) -> tuple[tuple[ServiceId, float], ...]:
    """Return the services of a route with their weights.

    ``traffic_split`` divides the calls of a route between several services; a route
    without it has one service.
    """
    if source.get("traffic_split"):
        shares = tuple(
            (ServiceId(field(share, "service", str)), number(share, "weight"))
            for share in field(source, "traffic_split", list)
        )
        weighted = tuple(share for share in shares if share[1] > 0)
        if not weighted:
            raise ValueError("traffic_split: expected a weight above 0")
        return weighted
    return ((ServiceId(field(source, "service", str)), 1.0),)


def _repeatability(source: JsonObject) -> Repeatability:
    if source["kind"] == "safe":
        return Repeatability.IDEMPOTENT
    if source["kind"] == "streaming" and source.get("resumable") is True:
        return Repeatability.RESUMABLE
    return Repeatability.ONCE


def _service(source: JsonObject) -> ServiceSpec:
    engine = source.get("engine") or {}
    return ServiceSpec(
        id=ServiceId(field(source, "name", str)),
        health_path=field(source, "health_path", str),
        max_connections=round(number(source, "max_connections", 1)),
        slots=round(number(engine, "slots", 0)),
        cache_tokens=round(number(engine, "kv_cache_tokens", 0)),
        cold_rate=max(0.0, number(source, "cold_per_s", 0)),
    )


def _limits(source: JsonObject) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_head=round(number(source, "max_header_bytes", defaults.max_head)),
        max_body=round(number(source, "max_body_bytes", defaults.max_body)),
        head_timeout=_milliseconds(source, "header_timeout_ms", defaults.head_timeout),
        idle_timeout=_milliseconds(source, "idle_timeout_ms", defaults.idle_timeout),
    )


def _accounts(tenants: list[JsonObject]) -> dict[str, Account]:
    """Return the account of each API key."""
    return {
        key: _account(tenant)
        for tenant in tenants
        for key in field(tenant, "api_keys", list)
        if isinstance(key, str)
    }


def _account(tenant: JsonObject) -> Account:
    priority = tenant.get("priority")
    return Account(
        AccountId(field(tenant, "name", str)),
        None if priority is None else round(number(tenant, "priority")),
    )


def read_target(id: TargetId, data: bytes) -> TargetRecord:
    """Parse the entry of a target; raises ``ValueError`` if it is malformed."""
    source = parse_object(data)
    if TARGET_ID.fullmatch(id) is None:
        raise ValueError(f"expected the id of a target, got {id!r:.40}")
    address = field(source, "address", str)
    _check_address(address)
    slots = round(number(source, "slots", 1))
    if not 0 <= slots <= MAX_SLOTS:
        raise ValueError(f"slots: expected 0 to {MAX_SLOTS}, got {slots}")
    return TargetRecord(
        id=id,
        service=ServiceId(field(source, "service", str)),
        address=address,
        zone=ZoneId(field(source, "zone", str)),
        slots=slots,
        state=TargetState(field(source, "state", str)),
        # ``born`` holds the start time of the target in Unix milliseconds.
        born_ms=round(number(source, "born", 0)),
        software=_software(source),
        cold_for=_cold_time(source),
    )


def _check_address(text: str) -> None:
    address = SocketAddress.parse(text)
    ipaddress.IPv4Address(address.host)
    if str(address) != text or not address.port:
        raise ValueError(f"address: expected one like 10.0.0.1:80, got {text!r:.40}")


def _cold_time(source: JsonObject) -> Milliseconds:
    """Return how much longer a target is cold; 0 if the entry has no usable figure."""
    try:
        return Milliseconds(max(0, round(number(source, "cold_remaining_ms", 0))))
    except ValueError:
        return Milliseconds(0)


def _software(source: JsonObject) -> SoftwareVersion:
    """Return the version of a target's software, empty if it is no name or number.

    ``version`` here is not that of the weights, which only targets' answers name.
    """
    version = source.get("version")
    is_name = isinstance(version, str | int) and not isinstance(version, bool)
    name = str(version) if is_name else ""
    name.encode()
    return SoftwareVersion(name)
