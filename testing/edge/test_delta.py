from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yuccafold.edge._delta import apply_delta
from yuccafold.edge._delta import make_delta

VALUES = st.lists(st.sampled_from(["a", "bc", "é", ""]), max_size=12).map(
    lambda pieces: "},".join(pieces).encode()
)


@given(VALUES, VALUES)
def test_delta_turns_one_value_into_the_other(old, new):
    assert apply_delta(old, make_delta(old, new)) == new


def test_small_change_is_a_small_delta():
    old = b"},".join(b"route %d" % n for n in range(500))
    new = old.replace(b"route 77", b"route x")
    assert make_delta(old, new) == [[0, 77], "route x", [78, 422]]


@pytest.mark.parametrize("step", [[0, 9], [-1, 1], [3, 0]])
def test_delta_of_another_value_is_refused(step):
    with pytest.raises(ValueError, match="expected pieces"):
        apply_delta(b"a},b", [step])
