"""Readers and writers of message fields, built once from their type hints.

A reader takes a plain CBOR value and returns the field's value; it raises
``FieldError`` when the value does not have the field's type. No value is
coerced, except that an integer is taken where a float is expected.
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
"""Integers lie between minus and plus this; digests have 64 unsigned bits."""


@final
class FieldError(Exception):
    """A value that does not have the type of its field."""


@final
class UnknownMemberError(Exception):
    """A value of an enumeration that this release does not know."""


@cache
def _hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls)


def reader_of(cls: type, field: str) -> Reader:
    """Return the reader of ``field`` of the dataclass ``cls``."""
    return _reader(_hints(cls)[field])


def writer_of(cls: type, field: str) -> Writer | None:
    """Return the writer of ``field``; ``None`` when its value is plain CBOR."""
    return _writer(_hints(cls)[field])


@cache
def _reader(hint: Any) -> Reader:
    hint = _without_new_type(hint)
    if hint in _PLAIN:
        return _PLAIN[hint]
    if _is_optional(hint):
        return _optional_reader(_reader(_present(hint)))
    if typing.get_origin(hint) is tuple:
        return _tuple_reader(typing.get_args(hint))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _enum_reader(hint)
    if dataclasses.is_dataclass(hint):
        return _record_reader(typing.cast(type, hint))
    raise TypeError(f"expected a type that can travel, got {hint}")


@cache
def _writer(hint: Any) -> Writer | None:
    hint = _without_new_type(hint)
    if hint in _PLAIN:
        return None
    if _is_optional(hint):
        return _optional_writer(_writer(_present(hint)))
    if typing.get_origin(hint) is tuple:
        return _tuple_writer(typing.get_args(hint))
    if issubclass(hint, Enum):
        return lambda member: member.value
    return _record_writer(hint)


def _without_new_type(hint: Any) -> Any:
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    return hint


def _is_optional(hint: Any) -> bool:
    if typing.get_origin(hint) not in (types.UnionType, typing.Union):
        return False
    options = typing.get_args(hint)
    return len(options) == 2 and type(None) in options


def _present(hint: Any) -> Any:
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


def _exactly(expected: type) -> Reader:
    def read(value: Any) -> Any:
        if type(value) is not expected:
            raise FieldError(f"expected {expected.__name__}")
        return value

    return read


_PLAIN: dict[Any, Reader] = {
    int: _read_int,
    float: _read_float,
    str: _exactly(str),
    bool: _exactly(bool),
    bytes: _exactly(bytes),
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
        return lambda value: tuple(read_item(item) for item in _list(value))
    readers = [_reader(item) for item in items]

    def read(value: Any) -> tuple[Any, ...]:
        if len(_list(value)) != len(readers):
            raise FieldError(f"expected {len(readers)} items")
        return tuple(
            read_item(item) for read_item, item in zip(readers, value, strict=True)
        )

    return read


def _list(value: Any) -> list[Any]:
    if type(value) is not list:
        raise FieldError("expected an array")
    return value


def _tuple_writer(items: tuple[Any, ...]) -> Writer | None:
    if len(items) == 2 and items[1] is Ellipsis:
        write_item = _writer(items[0])
        if write_item is None:
            return None
        return lambda value: [write_item(item) for item in value]
    writers = [_writer(item) or _same for item in items]
    return lambda value: [
        write(item) for write, item in zip(writers, value, strict=True)
    ]


def _same(value: Any) -> Any:
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


def _record_reader(cls: type) -> Reader:
    readers = tuple(reader_of(cls, field.name) for field in dataclasses.fields(cls))

    def read(value: Any) -> Any:
        if len(_list(value)) < len(readers):
            raise FieldError(f"expected {len(readers)} fields of {cls.__name__}")
        return construct(cls, readers, value)

    return read


def construct(cls: type, readers: tuple[Reader, ...], values: list[Any]) -> Any:
    """Read ``values`` and return a ``cls``; its own checks count as ``FieldError``."""
    arguments = [read(value) for read, value in zip(readers, values, strict=False)]
    try:
        return cls(*arguments)
    except (ValueError, AssertionError) as error:
        raise FieldError(f"{cls.__name__} refused its fields: {error}") from error


def _record_writer(cls: type) -> Writer:
    names = [field.name for field in dataclasses.fields(cls)]
    writers = [writer_of(cls, name) or _same for name in names]
    return lambda value: [
        write(getattr(value, name)) for name, write in zip(names, writers, strict=True)
    ]
