"""Encodes and decodes the messages between VMs.

A message is the CBOR array ``[protocol version, kind, fields]``, and a frame
is a CBOR array of messages. For any input, decoding returns a message or a
typed fault and raises nothing. Unknown versions, kinds, enum members and
trailing fields come from newer releases; the caller skips and counts them, so
that a fleet can be upgraded one VM at a time.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any
from typing import NoReturn
from typing import final

import cbor2
from result import Err
from result import Ok
from result import Result

from yuccafold.fleet._fields import FieldError
from yuccafold.fleet._fields import UnknownMemberError
from yuccafold.fleet._fields import construct
from yuccafold.fleet._registry import ByteClass
from yuccafold.fleet._registry import MessageKind
from yuccafold.fleet._registry import kind_named
from yuccafold.fleet._registry import kind_of

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 65_536
MAX_FRAME_BYTES = 2 * MAX_MESSAGE_BYTES
MAX_DEPTH = 16
"""Input with more levels of nesting is rejected."""

# CBOR stores the length of an array of up to 23 items in its first byte.
_MAX_SHORT_ARRAY_ITEMS = 23
_SHORT_ARRAY_HEADER = 0x80
_ARRAY_16_BIT_HEADER = 0x99
# The tags that cbor2 decodes by default, all of which are rejected.
_BUILT_IN_TAGS = (
    *range(6),
    *(25, 28, 29, 30, 35, 36, 37, 100, 256, 258, 260, 261, 1004, 43000, 55799),
)


class DecodeReason(Enum):
    """Why input could not be decoded as a message by this release."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNKNOWN_VERSION = "unknown-version"
    UNKNOWN_KIND = "unknown-kind"
    UNKNOWN_MEMBER = "unknown-member"

    @property
    def is_from_newer_release(self) -> bool:
        """Whether a healthy peer of a newer release may have sent the input."""
        return self.name.startswith("UNKNOWN")


@final
@dataclass(frozen=True, slots=True)
class DecodeFault:
    """Why bytes, or a value, could not be decoded as a message."""

    reason: DecodeReason
    detail: str


@final
@dataclass(frozen=True, slots=True)
class Decoded:
    """A decoded message; ``skipped_fields`` counts its unknown trailing fields."""

    message: Any
    byte_class: ByteClass
    skipped_fields: int


def encode(message: object) -> bytes:
    """Encode ``message``.

    Raises ``ValueError`` when its class is not registered or its encoding is
    larger than ``MAX_MESSAGE_BYTES``.
    """
    kind = kind_of(message)
    data = cbor2.dumps([PROTOCOL_VERSION, kind.name, kind.fields_of(message)])
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(
            f"expected a message of at most {MAX_MESSAGE_BYTES} bytes, "
            f"got a {kind.name} of {len(data)}"
        )
    return data


def byte_class_of(message: object) -> ByteClass:
    """Return the class under which the bytes of ``message`` are counted."""
    return kind_of(message).byte_class


def decode(data: bytes) -> Result[object, DecodeFault]:
    """Decode the single message in ``data``."""
    if len(data) > MAX_MESSAGE_BYTES:
        return _fault(DecodeReason.TOO_LARGE, f"{len(data)} bytes")
    return _load_cbor(data).and_then(decode_value).map(lambda decoded: decoded.message)


def encode_frame(messages: Iterable[bytes]) -> bytes:
    """Join at most 65,535 encoded messages into one frame."""
    items = list(messages)
    if len(items) <= _MAX_SHORT_ARRAY_ITEMS:
        header = bytes([_SHORT_ARRAY_HEADER + len(items)])
    else:
        header = bytes([_ARRAY_16_BIT_HEADER]) + len(items).to_bytes(2, "big")
    return header + b"".join(items)


def decode_frame(data: bytes) -> Iterator[Result[Decoded, DecodeFault]]:
    """Decode each message of a frame; yield one fault when it is not a frame."""
    if len(data) > MAX_FRAME_BYTES:
        yield _fault(DecodeReason.TOO_LARGE, f"{len(data)} bytes")
        return
    loaded = _load_cbor(data)
    if isinstance(loaded, Err):
        yield loaded
    elif type(loaded.ok_value) is not list:
        yield _fault(DecodeReason.MALFORMED, "frame is not an array")
    else:
        yield from map(decode_value, loaded.ok_value)


def decode_value(value: Any) -> Result[Decoded, DecodeFault]:
    """Decode the message in ``value``, which was loaded from CBOR."""
    if type(value) is not list or len(value) < 3:
        return _fault(
            DecodeReason.MALFORMED, "message is not an array of at least three items"
        )
    version, name, fields = value[:3]
    if type(version) is not int or type(name) is not str or type(fields) is not list:
        return _fault(
            DecodeReason.MALFORMED, "version, kind or fields have the wrong type"
        )
    if version != PROTOCOL_VERSION:
        return _fault(DecodeReason.UNKNOWN_VERSION, str(version)[:40])
    kind = kind_named(name)
    if kind is None:
        return _fault(DecodeReason.UNKNOWN_KIND, name[:40])
    return _decode_fields(kind, fields)


def _decode_fields(
    kind: MessageKind, fields: list[Any]
) -> Result[Decoded, DecodeFault]:
    if len(fields) < kind.required_count:
        return _fault(DecodeReason.MALFORMED, f"{kind.name} has too few fields")
    try:
        message = construct(kind.message_type, kind.readers, fields)
    except FieldError as error:
        return _fault(DecodeReason.MALFORMED, f"{kind.name}: {error}")
    except UnknownMemberError as error:
        return _fault(DecodeReason.UNKNOWN_MEMBER, f"{kind.name}: {error}")
    skipped = max(0, len(fields) - len(kind.readers))
    return Ok(Decoded(message, kind.byte_class, skipped))


def _load_cbor(data: bytes) -> Result[Any, DecodeFault]:
    try:
        value = cbor2.loads(
            data,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            semantic_decoders=_REJECTING_TAG_DECODERS,
        )
    except Exception as error:  # input from a peer must not raise
        return _fault(DecodeReason.MALFORMED, str(error)[:80])
    return Ok(value)


def _reject_tag(*_: Any) -> NoReturn:
    raise cbor2.CBORDecodeError("tags are not allowed")


_REJECTING_TAG_DECODERS = dict.fromkeys(_BUILT_IN_TAGS, _reject_tag)


def _fault(reason: DecodeReason, detail: str) -> Err[DecodeFault]:
    return Err(DecodeFault(reason, detail))
