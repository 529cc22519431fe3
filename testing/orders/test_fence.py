from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from yuccafold.orders import Fence
from yuccafold.orders._fence import MAX_SERIAL
from yuccafold.orders._fence import MAX_TERM
from yuccafold.settings import MAX_REVISION

FENCES = st.builds(
    Fence,
    st.integers(0, MAX_REVISION),
    st.integers(0, MAX_TERM),
    st.integers(0, MAX_SERIAL),
)


@given(FENCES, FENCES)
def test_numbers_order_as_fences_do_and_fit_63_bits(one, other):
    assert (one < other) == (one.number < other.number)
    assert Fence.from_number(one.number) == one
    assert one.number < 2**63
