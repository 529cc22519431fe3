"""Readers and writers of message fields, built from type hints and cached.

A reader converts a plain CBOR value to the field's value; it raises
``FieldError`` when the value does not have the field's type, and
``UnknownMemberError`` for an unknown enum value. No value is coerced, except
that an integer is accepted where a float is expected.
"""

from __future__ import annotations

import dataclasses
import types
import typing
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any
from typing import final

Reader = Callable[[Any], Any]
Writer = Callable[[Any], Any]

INTEGER_LIMIT = 2**64
"""Integers are at least ``-2**64`` and below ``2**64``.

Digests are unsigned integers of 64 bits.
"""


@final
class FieldError(Exception):
    """A value does not have the type of its field."""


@final
class UnknownMemberError(Exception):
    """A value is not a member of the enum in this release."""


@cache
def _hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls)


def reader_of(cls: type, field: str) -> Reader:
    """Return the reader of ``field`` of the dataclass ``cls``."""
    return _reader(_hints(cls)[field])


def writer_of(cls: type, field: str) -> Writer | None:
    """Return the writer of ``field``; ``None`` when CBOR can encode it as it is."""
    return _writer(_hints(cls)[field])


@cache
def _reader(hint: Any) -> Reader:
    hint = _unwrap_new_type(hint)
    if hint in _SCALAR_READERS:
        return _SCALAR_READERS[hint]
    if _is_optional(hint):
        return _optional_reader(_reader(_non_none_type(hint)))
    if typing.get_origin(hint) is tuple:
        return _tuple_reader(typing.get_args(hint))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _enum_reader(hint)
    if dataclasses.is_dataclass(hint):
        return _dataclass_reader(typing.cast(type, hint))
    raise TypeError(f"expected a type that a message can carry, got {hint}")


@cache
def _writer(hint: Any) -> Writer | None:
    hint = _unwrap_new_type(hint)
    if hint in _SCALAR_READERS:
        return None
    if _is_optional(hint):
        return _optional_writer(_writer(_non_none_type(hint)))
    if typing.get_origin(hint) is tuple:
        return _tuple_writer(typing.get_args(hint))
    if issubclass(hint, Enum):
        return lambda member: member.value
    return _dataclass_writer(hint)


def _unwrap_new_type(hint: Any) -> Any:
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    return hint


def _is_optional(hint: Any) -> bool:
    if typing.get_origin(hint) not in (types.UnionType, typing.Union):
        return False
    options = typing.get_args(hint)
    return len(options) == 2 and type(None) in options


def _non_none_type(hint: Any) -> Any:
    return next(option for option in typing.get_args(hint) if option is not type(None))


def _read_int(value: Any) -> int:
    if type(value) is not int or not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
        raise FieldError(f"expected an integer within 64 bits, got {value!r:.40}")
    return value


def _read_float(value: Any) -> float:
    if type(value) is int and abs(value) < INTEGER_LIMIT:
        return float(value)
    if type(value) is not float:
        raise FieldError("expected a number")
    return value


def _exact_type_reader(expected: type) -> Reader:
    def read(value: Any) -> Any:
        if type(value) is not expected:
            raise FieldError(f"expected {expected.__name__}")
        return value

    return read


_SCALAR_READERS: dict[Any, Reader] = {
    int: _read_int,
    float: _read_float,
    str: _exact_type_reader(str),
    bool: _exact_type_reader(bool),
    bytes: _exact_type_reader(bytes),
}


def _optional_reader(read: Reader) -> Reader:
    return lambda value: None if value is None else read(value)


def _optional_writer(write: Writer | None) -> Writer | None:
    if write is None:
        return None
    return lambda value: None if value is None else write(value)


def _tuple_reader(items: tuple[Any, ...]) -> Reader:
    if len(items) == 2 and items[1] is Ellipsis:
        read_item = _reader(items[0])
        return lambda value: tuple(read_item(item) for item in _expect_list(value))
    readers = [_reader(item) for item in items]

    def read(value: Any) -> tuple[Any, ...]:
        if len(_expect_list(value)) != len(readers):
            raise FieldError(f"expected {len(readers)} items")
        return tuple(
            read_item(item) for read_item, item in zip(readers, value, strict=True)
        )

    return read


def _expect_list(value: Any) -> list[Any]:
    if type(value) is not list:
        raise FieldError("expected an array")
    return value


def _tuple_writer(items: tuple[Any, ...]) -> Writer | None:
    if len(items) == 2 and items[1] is Ellipsis:
        write_item = _writer(items[0])
        if write_item is None:
            return None
        return lambda value: [write_item(item) for item in value]
    writers = [_writer(item) or _identity for item in items]
    return lambda value: [
        write(item) for write, item in zip(writers, value, strict=True)
    ]


def _identity(value: Any) -> Any:
    return value


def _enum_reader(enum: type[Enum]) -> Reader:
    members = {(type(member.value), member.value): member for member in enum}

    def read(value: Any) -> Enum:
        if type(value) not in (int, str):
            raise FieldError(f"expected a value of {enum.__name__}")
        member = members.get((type(value), value))
        if member is None:
            raise UnknownMemberError(f"expected a known {enum.__name__}")
        return member

    return read


def _dataclass_reader(cls: type) -> Reader:
    readers = tuple(reader_of(cls, field.name) for field in dataclasses.fields(cls))

    def read(value: Any) -> Any:
        if len(_expect_list(value)) < len(readers):
            raise FieldError(f"expected {len(readers)} fields of {cls.__name__}")
        return construct(cls, readers, value)

    return read


def construct(cls: type, readers: tuple[Reader, ...], values: list[Any]) -> Any:
    """Construct a ``cls`` from plain ``values``.

    A ``ValueError`` or ``AssertionError`` of its constructor is raised as
    ``FieldError``.
    """
    arguments = [read(value) for read, value in zip(readers, values, strict=False)]
    try:
        return cls(*arguments)
    except (ValueError, AssertionError) as error:
        raise FieldError(f"{cls.__name__} rejected its fields: {error}") from error


def _dataclass_writer(cls: type) -> Writer:
    names = [field.name for field in dataclasses.fields(cls)]
    writers = [writer_of(cls, name) or _identity for name in names]
    return lambda value: [
        write(getattr(value, name)) for name, write in zip(names, writers, strict=True)
    ]
