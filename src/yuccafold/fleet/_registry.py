"""Registry of the kinds of messages between VMs, and how each is encoded."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from operator import attrgetter
from typing import Any
from typing import final

from yuccafold.fleet._fields import Reader
from yuccafold.fleet._fields import reader_of
from yuccafold.fleet._fields import writer_of


class ByteClass(Enum):
    """The class under which the bytes of a message are counted."""

    MEMBERSHIP = "membership"
    CLAIMS = "claims"
    SLOTS = "slots"
    SETTINGS = "settings"
    LIMITS = "limits"
    QUARANTINE = "quarantine"
    ORDERS = "orders"
    OTHER = "other"


@final
@dataclass(frozen=True, slots=True)
class MessageKind:
    """A registered kind of message.

    ``required_count`` is how many leading fields have no default. A peer of an
    older release omits newer fields, which have one.
    """

    name: str
    message_type: type
    byte_class: ByteClass
    readers: tuple[Reader, ...]
    writers: tuple[Callable[[Any], Any], ...]
    required_count: int

    def fields_of(self, message: Any) -> list[Any]:
        """Return the plain CBOR values of the fields of ``message``."""
        return [write(message) for write in self.writers]


_by_name: dict[str, MessageKind] = {}
_by_type: dict[type, MessageKind] = {}


def register(kind: str, cls: type, byte_class: ByteClass | None = None) -> None:
    """Register ``cls``, a frozen dataclass, under the name ``kind``.

    ``kind`` is sent with each message, so it is short, and it is never reused
    for another meaning. Later releases may only append fields with defaults.
    Without ``byte_class``, the part of ``kind`` before the first dot is the
    value of its ``ByteClass``, such as ``claims`` in ``claims.ask``; an unknown
    prefix counts as ``OTHER``.

    Raises ``ValueError`` when the name or the class is already registered
    differently, and ``TypeError`` when a field's type cannot be encoded.
    """
    known = _by_name.get(kind)
    if known is not None and known.message_type is cls:
        return
    if known is not None or cls in _by_type:
        raise ValueError(f"expected a new kind and class, got {kind!r} and {cls}")
    _add(_kind_of(kind, cls, byte_class or _byte_class_for_prefix(kind)))


def kind_named(name: str) -> MessageKind | None:
    """Return the kind registered as ``name``, if any."""
    return _by_name.get(name)


def kind_of(message: Any) -> MessageKind:
    """Return the kind of ``message``; raises ``ValueError`` for unregistered ones."""
    kind = _by_type.get(type(message))
    if kind is None:
        raise ValueError(f"expected a registered message, got {type(message)}")
    return kind


def _add(kind: MessageKind) -> None:
    _by_name[kind.name] = kind
    _by_type[kind.message_type] = kind


def _kind_of(name: str, cls: type, byte_class: ByteClass) -> MessageKind:
    fields = dataclasses.fields(cls)
    required = [field for field in fields if not _has_default(field)]
    return MessageKind(
        name=name,
        message_type=cls,
        byte_class=byte_class,
        readers=tuple(reader_of(cls, field.name) for field in fields),
        writers=tuple(_field_writer(cls, field.name) for field in fields),
        required_count=len(required),
    )


def _has_default(field: dataclasses.Field[Any]) -> bool:
    return (
        field.default is not dataclasses.MISSING
        or field.default_factory is not dataclasses.MISSING
    )


def _field_writer(cls: type, name: str) -> Callable[[Any], Any]:
    get = attrgetter(name)
    write = writer_of(cls, name)
    if write is None:
        return get
    return lambda message: write(get(message))


def _byte_class_for_prefix(kind: str) -> ByteClass:
    prefix = kind.partition(".")[0]
    known = {byte_class.value: byte_class for byte_class in ByteClass}
    return known.get(prefix, ByteClass.OTHER)
