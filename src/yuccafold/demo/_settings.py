"""The size of the demonstration, and the settings tree of its routers."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import final

import yaml

KEY = "demonstration-key"
ACCOUNT = "kitchen"
REGION = "south"
ZONES = ("a", "b", "c", "d")


@final
@dataclass(frozen=True, slots=True)
class DemoSettings:
    """Sizes of the demonstration and the seed of its random choices."""

    routers: int = 2
    engines: int = 5
    plain_services: int = 4
    chats: int = 40
    turns: int = 5
    calls: int = 100
    rate: float = 25.0
    """Turns and calls started per second."""
    time_scale: float = 0.4
    """Factor by which the engines' processing times are multiplied."""
    limit_seconds: float = 50.0
    """The demonstration fails if it takes longer."""
    seed: int = 1


def settings_text(
    revision: int,
    engines: Mapping[str, str],
    plain: Mapping[str, str],
    draining: Sequence[str] = (),
) -> str:
    """Return the settings tree as YAML; the mappings hold addresses by target name."""
    return yaml.safe_dump(
        {
            "revision": revision,
            "services": {
                "menu": {
                    "kind": "model",
                    "paths": ["/v1"],
                    "targets": _targets(engines, draining),
                    "traits": {"trusted_not_run": True, "callers_carry_hints": True},
                },
                "reservations": {
                    "kind": "plain",
                    "paths": ["/reservations"],
                    "targets": _targets(plain, draining),
                },
            },
            "accounts": {ACCOUNT: {"keys": [hashlib.sha256(KEY.encode()).hexdigest()]}},
        },
        sort_keys=False,
    )


def _targets(
    addresses: Mapping[str, str], draining: Sequence[str]
) -> list[dict[str, Any]]:
    return [
        {
            "id": name,
            "address": address,
            "zone": ZONES[number % len(ZONES)],
            "draining": name in draining,
        }
        for number, (name, address) in enumerate(addresses.items())
    ]
