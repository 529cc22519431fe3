"""Builders of routes, targets and settings for tests of the edge router."""

from __future__ import annotations

import json

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.edge import Account
from yuccafold.edge import Catalogue
from yuccafold.edge import EdgeSettings
from yuccafold.edge import PartId
from yuccafold.edge import PromptPart
from yuccafold.edge import Repeatability
from yuccafold.edge import Route
from yuccafold.edge import RouteName
from yuccafold.edge import ServiceSpec
from yuccafold.edge import SocketAddress
from yuccafold.edge import TargetRecord
from yuccafold.edge import TargetState
from yuccafold.edge import index_routes
from yuccafold.standins import HEALTH_PATH
from yuccafold.standins import PublishedRoute
from yuccafold.standins import PublishedTarget
from yuccafold.standins import configuration

DESK = ServiceId("desk")
ENGINES = ServiceId("engines")
ZONE = ZoneId("a")
KEY = "key-1"


def edge_settings(**changes):
    values = {
        "vm": VmId("vm-1"),
        "zone": ZONE,
        "callers": SocketAddress("127.0.0.1", 0),
        "readiness": SocketAddress("127.0.0.1", 0),
        "platform": SocketAddress("127.0.0.1", 1),
        "key_lifetime": Milliseconds(5_000),
        "fails_closed": True,
        "apply_within": Milliseconds(2_000),
        "drain_within": Milliseconds(2_000),
        "grace_period": Milliseconds(8_000),
        "retry_ratio": 0.2,
        "retry_slack": 56.0,
        "load_multiple": 2.0,
    }
    return EdgeSettings(**(values | changes))


def route(prefix="/desk/", service=DESK, repeatability=Repeatability.ONCE, **changes):
    values = {
        "name": RouteName(f"r{prefix}"),
        "host": "fleet.example",
        "prefix": prefix,
        "services": ((service, 1.0),),
        "repeatability": repeatability,
        "streams": False,
        "timeout": Milliseconds(5_000),
        "latency_objective": Milliseconds(200),
        "event_gap_objective": Milliseconds(400),
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    }
    return Route(**(values | changes))


def catalogue(*routes, version=1, accounts=None):
    all_routes = routes or (route(),)
    return Catalogue(
        version=version,
        routes=all_routes,
        services={DESK: ServiceSpec(DESK, "/health", 100)},
        accounts={KEY: Account(AccountId("acme"))} if accounts is None else accounts,
        by_host=index_routes(all_routes),
    )


def target(name="t1", service=DESK, **changes):
    values = {
        "id": TargetId(name),
        "service": service,
        "address": f"10.0.0.1:{int(name[1:]) + 8000}",
        "zone": ZONE,
        "slots": 6,
        "state": TargetState.READY,
        "born_ms": 1_000,
    }
    return TargetRecord(**(values | changes))


def prompt(*parts):
    return tuple(PromptPart(PartId(id), tokens) for id, tokens in parts)


def wire_route(prefix, kind, **changes):
    """Return a route in the platform's format."""
    return PublishedRoute(prefix, kind, "desk").as_json() | changes


def wire_config(*routes, version=1, keys=(KEY,)):
    """Return a configuration in the platform's format."""
    value = json.loads(configuration([], list(keys), version))
    names = sorted({route["service"] for route in routes if "service" in route})
    services = [
        {"name": name, "health_path": HEALTH_PATH, "max_connections": 100}
        for name in names
    ]
    return json.dumps(value | {"routes": list(routes), "services": services}).encode()


def wire_target(address, **changes):
    """Return a target's entry in the platform's format."""
    return json.dumps(PublishedTarget("desk", address).as_json() | changes).encode()
