"""Merges what several VMs report of the same things."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeVar

from yuccafold._clock import Milliseconds

Key = TypeVar("Key")
Value = TypeVar("Value")


def newest(
    tables: Iterable[Mapping[Key, Value]], time_of: Callable[[Value], Milliseconds]
) -> dict[Key, Value]:
    """Return of each key the value with the latest time, the first of equal ones."""
    merged: dict[Key, Value] = {}
    for table in tables:
        for key, value in table.items():
            known = merged.get(key)
            if known is None or time_of(value) > time_of(known):
                merged[key] = value
    return merged
