"""Reads fields of JSON objects and checks their types and ranges."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

from yuccafold._parsing import bounded
from yuccafold._parsing import parse_json

Kind = TypeVar("Kind")

JsonObject = dict[str, Any]


def parse_object(data: bytes) -> JsonObject:
    """Parse a JSON object; raises ``ValueError`` if ``data`` holds anything else."""
    try:
        value = parse_json(data)
    except ValueError as error:
        raise ValueError(f"expected JSON, got {data[:40]!r}: {error}") from error
    if not isinstance(value, dict):
        raise ValueError(f"expected an object, got {type(value).__name__}")
    return value


def field(source: JsonObject, name: str, kind: type[Kind]) -> Kind:
    """Return a required field of type ``kind``; raises ``ValueError`` otherwise.

    A text that can't be encoded is malformed, too.
    """
    value = source.get(name)
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        got = type(value).__name__
        raise ValueError(f"{name}: expected {kind.__name__}, got {got}")
    if isinstance(value, str):
        value.encode()
    return value


def number(source: JsonObject, name: str, default: float | None = None) -> float:
    """Return a numeric field, or ``default`` if it is missing.

    Raises ``ValueError`` on another type, if it is out of range, or if there is no
    default either.
    """
    value = source.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{name}: expected a number, got {type(value).__name__}")
    try:
        return bounded(value)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from error
