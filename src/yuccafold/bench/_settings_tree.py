"""Generates settings trees of any size and their successive revisions."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import final

import yaml

CHANGES_PER_DAY = 1_500
SECONDS_PER_DAY = 86_400
LARGE_ACCOUNTS = 4_200
LARGE_ENGINES = 830
LARGE_MODELS = 13


@final
@dataclass(frozen=True, slots=True)
class TreeSize:
    """The number of each kind of entry in a tree."""

    accounts: int
    engines: int
    services: int


LARGE_SIZE = TreeSize(LARGE_ACCOUNTS, LARGE_ENGINES, LARGE_MODELS)
SMALL_SIZE = TreeSize(40, 10, 2)


def tree_text(size: TreeSize, revision: int) -> str:
    """Return the YAML text of revision ``revision``.

    Odd revisions move the raised rate limit from one client account to the next;
    even ones change that limit and move the draining to the next engine.
    """
    tree = {
        "revision": revision,
        "defaults": {"load_multiple": 1.25},
        "services": {
            f"model-{number}": _service(size, number, revision)
            for number in range(size.services)
        },
        "accounts": {
            f"account-{number}": _account(size, number, revision)
            for number in range(size.accounts)
        },
    }
    dumper = getattr(yaml, "CSafeDumper", yaml.SafeDumper)
    return yaml.dump(tree, Dumper=dumper, sort_keys=False)


def _service(size: TreeSize, number: int, revision: int) -> dict[str, object]:
    engines = range(number, size.engines, size.services)
    drained_engine = (revision // 2) % size.engines
    return {
        "kind": "model",
        "paths": [f"/model-{number}"],
        "targets": [
            {
                "id": f"engine-{engine}",
                "address": f"10.0.{engine // 250}.{engine % 250 + 1}:8000",
                "zone": f"zone-{engine % 6}",
                **({"draining": True} if engine == drained_engine else {}),
            }
            for engine in engines
        ],
    }


def _account(size: TreeSize, number: int, revision: int) -> dict[str, object]:
    digest = hashlib.sha256(f"key of {number}".encode()).hexdigest()
    changed = ((revision + 1) // 2) % size.accounts == number
    rate = 20 + revision % 50 if changed else 10
    return {"keys": [digest], "policy": {"requests_per_second": rate}}
