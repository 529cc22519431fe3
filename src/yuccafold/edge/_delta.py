"""Differences between two versions of a long value, made of pieces that repeat.

A configuration of some hundred routes changes in one or two of them, and every
VM needs each version: links of a few Mbit/s carry the differences only.
"""

from __future__ import annotations

from itertools import islice

SEPARATOR = b"},"
"""Ends a piece: in JSON, one object of a list."""

Delta = list[list[int] | str]
"""Runs of pieces of the old value as ``[first, count]``, and new pieces as text."""


def make_delta(old: bytes, new: bytes) -> Delta:
    """Return what turns ``old`` into ``new``; both are UTF-8 text."""
    where: dict[bytes, int] = {}
    for index, piece in enumerate(old.split(SEPARATOR)):
        where.setdefault(piece, index)
    delta: Delta = []
    for piece in new.split(SEPARATOR):
        index = where.get(piece)
        last = delta[-1] if delta else None
        if index is None:
            delta.append(piece.decode())
        elif isinstance(last, list) and last[0] + last[1] == index:
            last[1] += 1
        else:
            delta.append([index, 1])
    return delta


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """Return the new value; raises ``ValueError`` if ``delta`` is not of ``old``."""
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
