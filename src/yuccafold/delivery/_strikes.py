"""The strikes against fingerprints that one VM knows."""

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
"""Fingerprints with strikes; beyond this, the first to expire is evicted."""

MAX_STRIKES_PER_MESSAGE = 128
"""Limits a message's size: with the longest names a strike takes 350 bytes."""


class Standing(Enum):
    """Whether a request is known to crash targets.

    A request with strikes is ``SUSPECT``, and ``QUARANTINED`` once they reach the
    limit.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@final
@dataclass(frozen=True, slots=True)
class Suspect:
    """A fingerprint with strikes, as shown to operators."""

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
    expires_at: Milliseconds
    strikes: set[StrikeId] = field(default_factory=set)


@final
class StrikeTable:
    """A set of strikes that can be merged in any order.

    Cleared strikes are remembered, so that late reports don't add them again.
    """

    def __init__(self, limit: int = MAX_FINGERPRINTS) -> None:
        self._limit = limit
        self._entries: dict[Fingerprint, _Entry] = {}
        self._cleared: dict[tuple[Fingerprint, StrikeId], Milliseconds] = {}

    def add(self, strike: Strike, now: Milliseconds) -> None:
        """Record a strike; all strikes of a fingerprint expire with the latest one."""
        if (strike.fingerprint, strike.id) in self._cleared:
            return
        if strike.remaining_ms <= 0:
            return
        expires_at = Milliseconds(now + strike.remaining_ms)
        entry = self._live(strike.fingerprint, now)
        if entry is None:
            entry = _Entry(strike.service, strike.limit, expires_at)
            self._entries[strike.fingerprint] = entry
            self._evict_excess()
        entry.limit = min(entry.limit, strike.limit)
        entry.expires_at = max(entry.expires_at, expires_at)
        entry.strikes.add(strike.id)

    def clear(
        self,
        fingerprint: Fingerprint,
        ids: Iterable[StrikeId],
        until: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Remove the strikes ``ids``; ignore reports of them until ``until``."""
        cleared = frozenset(ids)
        for strike in cleared:
            self._cleared[fingerprint, strike] = until
        entry = self._live(fingerprint, now)
        if entry is None:
            return
        entry.strikes -= cleared
        if not entry.strikes:
            del self._entries[fingerprint]

    def standing(self, fingerprint: Fingerprint, now: Milliseconds) -> Standing:
        """Return whether ``fingerprint`` is clear, suspect or quarantined."""
        entry = self._live(fingerprint, now)
        if entry is None:
            return Standing.CLEAR
        crashes = {(strike.target, strike.trial) for strike in entry.strikes}
        if len(crashes) >= entry.limit:
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def ids(self, fingerprint: Fingerprint, now: Milliseconds) -> tuple[StrikeId, ...]:
        """Return the ids of the strikes against ``fingerprint``."""
        entry = self._live(fingerprint, now)
        return () if entry is None else tuple(sorted(entry.strikes))

    def remaining(self, fingerprint: Fingerprint, now: Milliseconds) -> int:
        """Return the time until the strikes expire, in milliseconds."""
        entry = self._live(fingerprint, now)
        return 0 if entry is None else entry.expires_at - now

    def suspects(self, now: Milliseconds) -> tuple[Suspect, ...]:
        """Return every fingerprint with strikes."""
        return tuple(
            Suspect(
                entry.service,
                fingerprint,
                self.standing(fingerprint, now),
                tuple(sorted(entry.strikes)),
                entry.expires_at - now,
            )
            for fingerprint, entry in sorted(self._entries.items())
            if entry.expires_at > now
        )

    def strikes(self, now: Milliseconds) -> tuple[Strike, ...]:
        """Return all unexpired strikes, to be sent to another VM."""
        return tuple(
            Strike(
                entry.service, fingerprint, strike, entry.limit, entry.expires_at - now
            )
            for fingerprint, entry in sorted(self._entries.items())
            for strike in sorted(entry.strikes)
            if entry.expires_at > now
        )

    def digest(self, now: Milliseconds) -> int:
        """Return a digest of the unexpired strikes, to compare them between VMs.

        It covers the class and field names in the ``repr`` of ``StrikeId``, so these
        must be the same in all VMs.
        """
        parts = (
            strike.fingerprint + repr(strike.id).encode()
            for strike in self.strikes(now)
        )
        # Peer messages carry signed integers of 64 bits.
        return xxhash.xxh64_intdigest(b"".join(parts)) >> 1

    def cleared(self, now: Milliseconds) -> tuple[StrikesCleared, ...]:
        """Return the cleared strikes that may still be reported late."""
        by_fingerprint: dict[Fingerprint, list[StrikeId]] = defaultdict(list)
        for fingerprint, strike in self._cleared:
            by_fingerprint[fingerprint].append(strike)
        return tuple(
            StrikesCleared(
                fingerprint,
                tuple(sorted(strikes)),
                max(self._cleared[fingerprint, strike_id] for strike_id in strikes)
                - now,
            )
            for fingerprint, strikes in sorted(by_fingerprint.items())
        )

    def expire(self, now: Milliseconds) -> None:
        """Drop expired strikes and expired records of cleared ones."""
        for fingerprint in tuple(self._entries):
            self._live(fingerprint, now)
        self._cleared = {
            key: until for key, until in self._cleared.items() if until > now
        }

    def _live(self, fingerprint: Fingerprint, now: Milliseconds) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_at <= now:
            del self._entries[fingerprint]
            return None
        return entry

    def _evict_excess(self) -> None:
        if len(self._entries) > self._limit:
            first = min(
                self._entries,
                key=lambda fingerprint: self._entries[fingerprint].expires_at,
            )
            del self._entries[first]


def split_for_messages(strikes: tuple[Strike, ...]) -> list[tuple[Strike, ...]]:
    """Split ``strikes`` into parts that each fit into one message."""
    starts = range(0, len(strikes), MAX_STRIKES_PER_MESSAGE)
    return [strikes[start : start + MAX_STRIKES_PER_MESSAGE] for start in starts]
