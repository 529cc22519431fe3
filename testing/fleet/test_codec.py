from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import cbor2
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from result import Err
from result import Ok

from yuccafold import fleet
from yuccafold._ids import VmId
from yuccafold.fleet._codec import MAX_FRAME_BYTES
from yuccafold.fleet._codec import decode_frame
from yuccafold.fleet._codec import encode_frame


class Colour(Enum):
    RED = "red"
    BLUE = "blue"


@dataclass(frozen=True, slots=True)
class Part:
    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Sample:
    vm: VmId
    count: int
    colour: Colour
    parts: tuple[Part, ...]
    pair: tuple[int, str]
    body: bytes | None
    urgent: bool = False


fleet.register("claims.test-sample", Sample)

integers = st.integers(-(2**63), 2**63 - 1)
samples = st.builds(
    Sample,
    vm=st.text(max_size=8),
    count=integers,
    colour=st.sampled_from(Colour),
    parts=st.lists(
        st.builds(Part, st.text(max_size=5), st.floats(allow_nan=False)), max_size=3
    ).map(tuple),
    pair=st.tuples(integers, st.text(max_size=5)),
    body=st.none() | st.binary(max_size=8),
    urgent=st.booleans(),
)
plain = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
sample = Sample(VmId("a"), 1, Colour.RED, (Part("p", 0.5),), (2, "x"), None)


def fault_reason(data: bytes) -> fleet.DecodeReason:
    fault = fleet.decode(data)
    assert isinstance(fault, Err)
    return fault.err_value.reason


@settings(max_examples=60)
@given(samples)
def test_message_survives_the_wire(message):
    assert fleet.decode(fleet.encode(message)) == Ok(message)


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_raw_bytes_never_raise(data):
    assert isinstance(fleet.decode(data), Ok | Err)
    assert all(isinstance(item, Ok | Err) for item in decode_frame(data))


@settings(max_examples=300)
@given(samples, st.data())
def test_mutated_message_is_refused_or_well_typed(message, data):
    body = bytearray(fleet.encode(message))
    for _ in range(data.draw(st.integers(1, 4))):
        place = data.draw(st.integers(0, len(body) - 1))
        body[place] = data.draw(st.integers(0, 255))
    decoded = fleet.decode(bytes(body))
    if isinstance(decoded, Ok):
        assert fleet.decode(fleet.encode(decoded.ok_value)).is_ok()


@settings(max_examples=200)
@given(st.integers(0, 6), plain)
def test_field_of_another_type_is_refused(place, value):
    fields = cbor2.loads(fleet.encode(sample))[2]
    fields[place] = value
    decoded = fleet.decode(cbor2.dumps([1, "claims.test-sample", fields]))
    if isinstance(decoded, Ok):
        again = cbor2.loads(fleet.encode(decoded.ok_value))[2][place]
        assert cbor2.dumps(again) == cbor2.dumps(value) or isinstance(value, int)


def test_added_and_missing_trailing_fields_are_accepted():
    fields = cbor2.loads(fleet.encode(sample))[2]
    newer = [1, "claims.test-sample", [*fields, "a later field"]]
    (decoded,) = decode_frame(cbor2.dumps([newer]))
    assert decoded.ok_value.message == sample
    assert decoded.ok_value.skipped_fields == 1
    older = [1, "claims.test-sample", fields[:-1]]
    assert fleet.decode(cbor2.dumps(older)) == Ok(sample)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ([2, "claims.test-sample", []], fleet.DecodeReason.UNKNOWN_VERSION),
        ([1, "no-such-kind", []], fleet.DecodeReason.UNKNOWN_KIND),
        ([1, "claims.test-sample", []], fleet.DecodeReason.MALFORMED),
        ([True, "claims.test-sample", []], fleet.DecodeReason.MALFORMED),
        ({"version": 1}, fleet.DecodeReason.MALFORMED),
    ],
)
def test_undecodable_message_gives_its_reason(value, expected):
    assert fault_reason(cbor2.dumps(value)) is expected


def test_unknown_enum_member_is_not_malformed_input():
    fields = cbor2.loads(fleet.encode(sample))[2]
    fields[2] = "green"
    data = cbor2.dumps([1, "claims.test-sample", fields])
    assert fault_reason(data) is fleet.DecodeReason.UNKNOWN_MEMBER


def test_deep_large_and_tagged_input_is_refused():
    assert fault_reason(b"\x81" * 1000) is fleet.DecodeReason.MALFORMED
    assert fault_reason(b"\x00" * 65_537) is fleet.DecodeReason.TOO_LARGE
    tagged = cbor2.dumps([1, "claims.test-sample", [cbor2.CBORTag(35, "(")]])
    assert fault_reason(tagged) is fleet.DecodeReason.MALFORMED
    (frame,) = decode_frame(bytes(MAX_FRAME_BYTES + 1))
    assert frame.err_value.reason is fleet.DecodeReason.TOO_LARGE


@pytest.mark.parametrize("count", [0, 1, 23, 24, 300])
def test_frame_keeps_its_messages(count):
    frame = encode_frame([fleet.encode(sample)] * count)
    assert [item.ok_value.message for item in decode_frame(frame)] == [sample] * count


def test_kind_is_not_reused():
    with pytest.raises(ValueError):
        fleet.register("claims.test-sample", Part)
    with pytest.raises(TypeError):
        fleet.register("test-set", dataclass(frozen=True)(_WithSet))


class _WithSet:
    items: set[str]


def test_byte_class_comes_from_the_kind():
    assert fleet.byte_class_of(sample) is fleet.ByteClass.CLAIMS
