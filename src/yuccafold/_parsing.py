"""Parses JSON and numbers from outside; whatever is malformed raises ``ValueError``."""

from __future__ import annotations

import json
import math
import zlib
from typing import Any
from typing import NoReturn

MAX_NUMBER = 10**15
"""Bound of numbers from outside: floats hold whole numbers up to it exactly."""

MAX_INT_DIGITS = 20
"""Digits of a whole number in JSON; positions in the store have up to 20."""

MALFORMED_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    zlib.error,
)
"""What reading a malformed message may raise."""


def parse_json(data: bytes | str) -> Any:
    """Parse JSON; raises ``ValueError`` if malformed or a number is out of range."""
    try:
        return _DECODER.decode(data if isinstance(data, str) else data.decode())
    except RecursionError as error:
        raise ValueError("expected JSON, got too many levels") from error


def parse_number(text: str) -> float:
    """Parse a decimal number; raises ``ValueError`` if it is out of range."""
    return bounded(float(text))


def parse_whole(text: str) -> int:
    """Parse a whole number; raises ``ValueError`` if it is out of range."""
    number = int(text)
    bounded(number)
    return number


def bounded(value: float) -> float:
    """Return a number; raises ``ValueError`` if it is out of range or no number."""
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError(f"expected at most {MAX_NUMBER:.0e}, got {value!s:.20}")
    return value


def _parse_int(text: str) -> int:
    if len(text) > MAX_INT_DIGITS:
        raise ValueError(f"expected {MAX_INT_DIGITS} digits, got {len(text)}")
    return int(text)


def _parse_float(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        raise ValueError(f"expected a number, got {text:.20}")
    return value


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"expected a number, got {text}")


_DECODER = json.JSONDecoder(
    parse_int=_parse_int, parse_float=_parse_float, parse_constant=_reject_constant
)
