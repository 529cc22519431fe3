"""Differences between two versions of a long value, by the pieces they share.

Usually only one or two of a configuration's hundreds of routes change, and every VM
needs each version, so only the differences are sent over links of a few Mbit/s.
"""

from __future__ import annotations

from itertools import islice

SEPARATOR = b"},"
"""Separates the pieces of a value: in JSON, the objects of a list."""

Delta = list[list[int] | str]
"""Runs of pieces of the old value as ``[first, count]``, and new pieces as strings."""


def make_delta(old: bytes, new: bytes) -> Delta:
    """Return the delta that turns ``old`` into ``new``; both are UTF-8 text."""
    piece_indexes: dict[bytes, int] = {}
    for index, piece in enumerate(old.split(SEPARATOR)):
        piece_indexes.setdefault(piece, index)
    delta: Delta = []
    for piece in new.split(SEPARATOR):
        index = piece_indexes.get(piece)
        last = delta[-1] if delta else None
        if index is None:
            delta.append(piece.decode())
        elif isinstance(last, list) and last[0] + last[1] == index:
            last[1] += 1
        else:
            delta.append([index, 1])
    return delta


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """Return the new value; raises ``ValueError`` if ``delta`` doesn't fit ``old``."""
    pieces = old.split(SEPARATOR)
    result: list[bytes] = []
    for step in delta:
        if isinstance(step, str):
            result.append(step.encode())
            continue
        first, count = step
        if not 0 <= first < first + count <= len(pieces):
            raise ValueError(f"expected pieces below {len(pieces)}, got {step}")
        result += islice(pieces, first, first + count)
    return SEPARATOR.join(result)
