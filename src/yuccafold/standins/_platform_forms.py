"""Data formats of the platform, for stand-ins, tools and tests."""

from __future__ import annotations

import json
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import final

from yuccafold.standins._http import ServedRequest

CONFIGURATION_KEY = "op/config"
TARGET_KEY_PREFIX = "servers/"
EVACUATION_KEY_PREFIX = "op/evacuate/"
HOST = "fleet.example"
HEALTH_PATH = "/health"
ATTEMPT_HEADER = "X-Attempt-Id"
KEY_HEADER = "X-Key"
PROMPT_HEADER = "X-Prompt-Prefix"
RESUMES_HEADER = "Resumes"
LAST_EVENT_HEADER = "Last-Event-Id"

RequestHeaders = list[tuple[str, str]]


@final
@dataclass(frozen=True, slots=True)
class PublishedRoute:
    """One route of the operator's configuration.

    ``kind`` is in the platform's terms, such as ``safe``. ``extra_fields`` are
    added to the route's JSON.
    """

    prefix: str
    kind: str
    service: str
    max_attempts: int = 2
    timeout_ms: int = 5_000
    extra_fields: tuple[tuple[str, Any], ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the route in the platform's format."""
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
            **dict(self.extra_fields),
        }


@final
@dataclass(frozen=True, slots=True)
class PublishedTarget:
    """The entry that a target writes about itself."""

    service: str
    address: str
    state: str = "ready"
    born_ms: int = 1_000
    version: str = "v1"
    zone: str = "a"
    cold_ms: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the entry in the platform's format."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms,
            "sequence": 1,
            "born": self.born_ms,
        }


def configuration(
    routes: list[PublishedRoute],
    keys: list[str],
    version: int = 1,
    others: Mapping[str, str] | None = None,
) -> bytes:
    """Return a configuration with a client account whose API keys are ``keys``.

    ``others`` are further accounts, each with one key.
    """
    accounts = {"acme": keys} | {name: [key] for name, key in (others or {}).items()}
    services = sorted({route.service for route in routes})
    value = {
        "version": version,
        "routes": [route.as_json() for route in routes],
        "services": [
            {"name": name, "health_path": HEALTH_PATH, "max_connections": 100}
            for name in services
        ],
        "limits": {"max_body_bytes": 4_096, "idle_timeout_ms": 15_000},
        "tenants": [
            {"name": name, "api_keys": account_keys, "priority": 1}
            for name, account_keys in accounts.items()
        ],
    }
    return json.dumps(value).encode()


def call_headers(
    attempt: str, key: str, deadline_ms: int, parts: tuple[str, ...] = ()
) -> RequestHeaders:
    """Return the headers of an attempt that a caller sends.

    If it has a prompt, its shared ``parts`` are followed by one of its own.
    """
    prompt = ",".join(f"{part}:10" for part in (*parts, attempt))
    return [
        *([(PROMPT_HEADER, prompt)] if parts else []),
        ("Host", HOST),
        (ATTEMPT_HEADER, attempt),
        (KEY_HEADER, key),
        ("X-Deadline-Ms", str(deadline_ms)),
    ]


def attempt_of(request: ServedRequest) -> str:
    """Return the attempt id of a request that a target received, empty if none."""
    return request.header(ATTEMPT_HEADER.lower()) or ""


def first_attempt_of(request: ServedRequest) -> str:
    """Return the attempt that brought the first event of a request's stream."""
    return request.header(RESUMES_HEADER.lower()) or attempt_of(request)


def last_event_of(request: ServedRequest) -> int:
    """Return the id of the last event that the caller of a stream has, 0 if none."""
    return int(request.header(LAST_EVENT_HEADER.lower()) or 0)


def take_up_headers(
    headers: Iterable[tuple[bytes, bytes]],
    attempt: str,
    first_attempt: str,
    last_event: int,
) -> RequestHeaders:
    """Return the headers of the ``attempt`` that takes the stream of a request up."""
    kept = [
        (name.decode(), value.decode())
        for name, value in headers
        if name.lower() != ATTEMPT_HEADER.lower().encode()
    ]
    return [
        *kept,
        (ATTEMPT_HEADER, attempt),
        (RESUMES_HEADER, first_attempt),
        (LAST_EVENT_HEADER, str(last_event)),
    ]


def shared_parts(request: ServedRequest) -> tuple[str, ...]:
    """Return the ids of all parts of a call's prompt but the last, which is its own."""
    prompt = request.header(PROMPT_HEADER.lower()) or ""
    return tuple(part.partition(":")[0] for part in prompt.split(","))[:-1]


def has_caller_key(request: ServedRequest) -> bool:
    """Return whether a request that a target received contains a caller's key."""
    return request.header(KEY_HEADER.lower()) is not None


def process_settings(fields: dict[str, object]) -> str:
    """Return the text of a process's settings file in the platform's format."""
    return "".join(f"{name}={value}\n" for name, value in fields.items())
