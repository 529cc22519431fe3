from __future__ import annotations

import json
import zlib

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from yuccafold.replica._patch import PatchError
from yuccafold.replica._patch import apply
from yuccafold.replica._patch import difference
from yuccafold.replica._patch import inflate
from yuccafold.replica._patch import pack
from yuccafold.replica._patch import unpack
from yuccafold.settings import canonical_bytes

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(0, 3) | st.sampled_from([0.0, 1.0, "a"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from("abc"), inner, max_size=3)
    ),
    max_leaves=12,
)
TREES = st.dictionaries(st.sampled_from("abcd"), VALUES, max_size=4)


@settings(max_examples=300)
@given(TREES, TREES)
def test_difference_turns_old_into_new(old, new):
    wanted = canonical_bytes(new)
    copied = json.loads(canonical_bytes(old))
    changed = apply(copied, unpack(pack(difference(old, new))))
    assert canonical_bytes(changed) == wanted


@settings(max_examples=200)
@given(TREES, st.binary(max_size=20) | VALUES.map(lambda v: json.dumps(v).encode()))
def test_malformed_patch_is_an_error(tree, data):
    try:
        apply(tree, unpack(zlib.compress(data)))
        apply(tree, unpack(data))
    except PatchError:
        pass


def test_one_target_among_many_is_a_small_patch():
    old = {"t": [{"id": f"engine-{n}", "zone": "a"} for n in range(64)]}
    new = {"t": [*old["t"][:30], {"id": "engine-30", "zone": "b"}, *old["t"][31:]]}
    assert len(list(difference(old, new))) == 1
    assert len(pack(difference(old, new))) < 100


@pytest.mark.parametrize("size", [100, 101])
def test_inflate_stops_at_its_limit(size):
    packed = zlib.compress(b"x" * size)
    if size == 100:
        assert len(inflate(packed, 100)) == 100
    else:
        with pytest.raises(PatchError):
            inflate(packed, 100)
