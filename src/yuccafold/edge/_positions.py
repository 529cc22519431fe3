"""Orders the states of the store, also when it comes back from an older copy.

After such a return, revisions are lower and are given to other changes than before.
So a position is a revision within an era, and every comparison of positions compares
the eras first.
"""

from __future__ import annotations

from typing import NewType

StoreEra = NewType("StoreEra", int)
"""Counts how often the store came back from an older copy; 0 if it names no era."""

Position = NewType("Position", int)
"""A state of the store, or a change of it: the era in the high bits, then the revision.

Without an era, a position is the revision.
"""

REVISION_BITS = 64
MAX_REVISION = (1 << REVISION_BITS) - 1

NO_ERA = StoreEra(0)
FIRST_ERA = StoreEra(1)
"""The era of a store that has not come back from a copy yet."""

START = Position(0)
"""The position before anything was read."""


def position_of(era: StoreEra, revision: int) -> Position:
    """Return the position of ``revision`` in ``era``."""
    return Position((era << REVISION_BITS) | revision)


def era_of(position: Position) -> StoreEra:
    """Return the era of a position."""
    return StoreEra(position >> REVISION_BITS)


def revision_of(position: Position) -> int:
    """Return the revision of a position within its era."""
    return position & MAX_REVISION
