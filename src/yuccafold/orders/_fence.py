"""Fencing numbers, which let an engine refuse an outdated order."""

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
    """A settings revision, a term of the lease, and a permit's serial in the term.

    The revision is compared first, so that an order for an older revision has a
    lower fence whichever VM sent it, even if every VM has lost the earlier terms.
    """

    revision: RevisionNumber
    term: int
    serial: int

    @property
    def number(self) -> int:
        """The fence as an integer of at most 63 bits."""
        high_bits = (self.revision << TERM_BITS) | self.term
        return (high_bits << SERIAL_BITS) | self.serial

    @classmethod
    def from_number(cls, number: int) -> Fence:
        """Return the fence whose ``number`` is the given one."""
        high_bits = number >> SERIAL_BITS
        revision = RevisionNumber(high_bits >> TERM_BITS)
        return cls(revision, high_bits & MAX_TERM, number & MAX_SERIAL)
