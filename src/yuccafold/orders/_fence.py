"""Fencing numbers, by which an engine refuses an old order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._ids import RevisionNumber

TERM_BITS = 18
SERIAL_BITS = 14
MAX_TERM = 2**TERM_BITS - 1
MAX_SERIAL = 2**SERIAL_BITS - 1


@final
@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """A settings revision, the term of the lease, and a permit within it.

    The revision comes first, so that an order of an older revision is lower
    whoever sent it, even if every VM has forgotten the earlier terms.
    """

    revision: RevisionNumber
    term: int
    serial: int

    @property
    def number(self) -> int:
        """The fence as a whole number of at most 63 bits."""
        high = (self.revision << TERM_BITS) | self.term
        return (high << SERIAL_BITS) | self.serial

    @classmethod
    def of(cls, number: int) -> Fence:
        """Return the fence that ``number`` stands for."""
        high = number >> SERIAL_BITS
        revision = RevisionNumber(high >> TERM_BITS)
        return cls(revision, high & MAX_TERM, number & MAX_SERIAL)
