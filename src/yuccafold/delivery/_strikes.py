"""The strikes against fingerprints that one VM knows of."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

import xxhash

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold.delivery._keys import Fingerprint
from yuccafold.delivery._messages import Strike
from yuccafold.delivery._messages import StrikeId
from yuccafold.delivery._messages import StrikesCleared

MAX_FINGERPRINTS = 4_096
"""Fingerprints with strikes; when more come, those that lapse first go."""

MAX_STRIKES_PER_MESSAGE = 128
"""With the longest names a strike takes 350 bytes."""


class Standing(Enum):
    """What is known of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@final
@dataclass(frozen=True, slots=True)
class Suspect:
    """A fingerprint with strikes, as operators see it."""

    service: ServiceId
    fingerprint: Fingerprint
    standing: Standing
    strikes: tuple[StrikeId, ...]
    remaining_ms: int


@final
@dataclass(slots=True)
class _Entry:
    """The strikes against one fingerprint; ``limit`` of them quarantine it."""

    service: ServiceId
    limit: int
    lapses: Milliseconds
    strikes: set[StrikeId] = field(default_factory=set)


@final
class StrikeTable:
    """A set of strikes that merges in any order; cleared strikes stay out."""

    def __init__(self, limit: int = MAX_FINGERPRINTS) -> None:
        self._limit = limit
        self._entries: dict[Fingerprint, _Entry] = {}
        self._cleared: dict[tuple[Fingerprint, StrikeId], Milliseconds] = {}

    def add(self, strike: Strike, now: Milliseconds) -> None:
        """Record one strike; the lapse counts from the latest one."""
        if (strike.fingerprint, strike.id) in self._cleared:
            return
        if strike.remaining_ms <= 0:
            return
        lapses = Milliseconds(now + strike.remaining_ms)
        entry = self._live(strike.fingerprint, now)
        if entry is None:
            entry = _Entry(strike.service, strike.limit, lapses)
            self._entries[strike.fingerprint] = entry
            self._bound()
        entry.limit = min(entry.limit, strike.limit)
        entry.lapses = max(entry.lapses, lapses)
        entry.strikes.add(strike.id)

    def clear(
        self,
        fingerprint: Fingerprint,
        ids: Iterable[StrikeId],
        until: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Take back ``ids``; reports of them that come before ``until`` are void."""
        cleared = frozenset(ids)
        for each in cleared:
            self._cleared[fingerprint, each] = until
        entry = self._live(fingerprint, now)
        if entry is None:
            return
        entry.strikes -= cleared
        if not entry.strikes:
            del self._entries[fingerprint]

    def standing(self, fingerprint: Fingerprint, now: Milliseconds) -> Standing:
        """Return what is known of ``fingerprint``."""
        entry = self._live(fingerprint, now)
        if entry is None:
            return Standing.CLEAR
        deaths = {(strike.target, strike.trial) for strike in entry.strikes}
        if len(deaths) >= entry.limit:
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def ids(self, fingerprint: Fingerprint, now: Milliseconds) -> tuple[StrikeId, ...]:
        """Return the strikes against ``fingerprint``."""
        entry = self._live(fingerprint, now)
        return () if entry is None else tuple(sorted(entry.strikes))

    def remaining(self, fingerprint: Fingerprint, now: Milliseconds) -> int:
        """Return how long the strikes still count, in milliseconds."""
        entry = self._live(fingerprint, now)
        return 0 if entry is None else entry.lapses - now

    def suspects(self, now: Milliseconds) -> tuple[Suspect, ...]:
        """Return every fingerprint with strikes."""
        return tuple(
            Suspect(
                entry.service,
                fingerprint,
                self.standing(fingerprint, now),
                tuple(sorted(entry.strikes)),
                entry.lapses - now,
            )
            for fingerprint, entry in sorted(self._entries.items())
            if entry.lapses > now
        )

    def strikes(self, now: Milliseconds) -> tuple[Strike, ...]:
        """Return every strike, for a VM that knows none."""
        return tuple(
            Strike(entry.service, fingerprint, each, entry.limit, entry.lapses - now)
            for fingerprint, entry in sorted(self._entries.items())
            for each in sorted(entry.strikes)
            if entry.lapses > now
        )

    def digest(self, now: Milliseconds) -> int:
        """Return a digest that is equal where the strikes are."""
        parts = (
            each.fingerprint + repr(each.id).encode() for each in self.strikes(now)
        )
        # Peer messages carry signed integers of 64 bits.
        return xxhash.xxh64_intdigest(b"".join(parts)) >> 1

    def cleared(self, now: Milliseconds) -> tuple[StrikesCleared, ...]:
        """Return the strikes taken back whose reports may still come."""
        by_print: dict[Fingerprint, list[StrikeId]] = defaultdict(list)
        for fingerprint, strike in self._cleared:
            by_print[fingerprint].append(strike)
        return tuple(
            StrikesCleared(
                fingerprint,
                tuple(sorted(strikes)),
                max(self._cleared[fingerprint, each] for each in strikes) - now,
            )
            for fingerprint, strikes in sorted(by_print.items())
        )

    def expire(self, now: Milliseconds) -> None:
        """Forget what lapsed."""
        for fingerprint in tuple(self._entries):
            self._live(fingerprint, now)
        self._cleared = {
            each: until for each, until in self._cleared.items() if until > now
        }

    def _live(self, fingerprint: Fingerprint, now: Milliseconds) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.lapses <= now:
            del self._entries[fingerprint]
            return None
        return entry

    def _bound(self) -> None:
        if len(self._entries) > self._limit:
            first = min(self._entries, key=lambda each: self._entries[each].lapses)
            del self._entries[first]


def pieces(strikes: tuple[Strike, ...]) -> list[tuple[Strike, ...]]:
    """Return ``strikes`` in pieces that a message can carry each."""
    starts = range(0, len(strikes), MAX_STRIKES_PER_MESSAGE)
    return [strikes[start : start + MAX_STRIKES_PER_MESSAGE] for start in starts]
