"""The forms of the users' platform, for tools and tests that play its part."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from typing import final

from yuccafold.standins._http import ServedRequest

CONFIGURATION = "op/config"
TARGETS = "servers/"
HOST = "fleet.example"
ATTEMPT = "X-Attempt-Id"
KEY = "X-Key"

RequestHeaders = list[tuple[str, str]]


@final
@dataclass(frozen=True, slots=True)
class PublishedRoute:
    """One route as the operator writes it; ``kind`` is the platform's word."""

    prefix: str
    kind: str
    service: str
    max_attempts: int = 2
    timeout_ms: int = 5_000
    more: tuple[tuple[str, Any], ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the route in the platform's form."""
        return {
            "name": f"r{self.prefix}",
            "host": HOST,
            "prefix": self.prefix,
            "kind": self.kind,
            "timeout_ms": self.timeout_ms,
            "target_latency_ms": 200,
            "priority": 1,
            "service": self.service,
            "max_attempts": self.max_attempts,
            "public": False,
            **dict(self.more),
        }


@final
@dataclass(frozen=True, slots=True)
class PublishedTarget:
    """One target as it lists itself."""

    service: str
    address: str
    state: str = "ready"
    born_ms: int = 1_000

    def as_json(self) -> dict[str, Any]:
        """Return the entry in the platform's form."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        }


def configuration(
    routes: list[PublishedRoute], keys: list[str], version: int = 1
) -> bytes:
    """Return a configuration with one client account that holds ``keys``."""
    services = sorted({route.service for route in routes})
    value = {
        "version": version,
        "routes": [route.as_json() for route in routes],
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 100}
            for name in services
        ],
        "limits": {"max_body_bytes": 4_096, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "acme", "api_keys": keys, "priority": 1}],
    }
    return json.dumps(value).encode()


def call_headers(attempt: str, key: str, deadline_ms: int) -> RequestHeaders:
    """Return the headers with which a caller sends an attempt."""
    return [
        ("Host", HOST),
        (ATTEMPT, attempt),
        (KEY, key),
        ("X-Deadline-Ms", str(deadline_ms)),
    ]


def attempt_of(request: ServedRequest) -> str:
    """Return the attempt that a target was sent."""
    return request.header(ATTEMPT.lower()) or ""


def shows_key(request: ServedRequest) -> bool:
    """Return whether a target was shown a caller's key."""
    return request.header(KEY.lower()) is not None


def process_settings(fields: dict[str, object]) -> str:
    """Return a settings file of a process in the platform's form."""
    return "".join(f"{name}={value}\n" for name, value in fields.items())
