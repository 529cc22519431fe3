"""Chooses where the platform's entries are read next."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold.edge._platform_source import PlatformSource

AVOID_FAILED = Milliseconds(2_000)
"""How long a source that failed comes last; VMs are back within seconds."""

PEERS_BEFORE_STORE = 2
"""Other VMs that are asked before the store: each may cost 400 ms of silence."""


@final
class SourceChoice:
    """Orders the store and other VMs for the next read.

    A VM that reads the platform asks the store first and other VMs when it is
    out of reach. The others ask two VMs first, so that the store's calls do not
    grow with the fleet; each begins with another one. If the store fails too, they
    leave it alone for ``store_pause``: most likely it is down for the seeds as
    well, and they are the first to know when it is back.
    """

    def __init__(
        self,
        store: PlatformSource,
        peers: Sequence[PlatformSource],
        reads_platform: bool,
        rng: random.Random,
        store_pause: Milliseconds = AVOID_FAILED,
    ) -> None:
        self._store = store
        self._store_pause = Milliseconds(0) if reads_platform else store_pause
        shuffled = rng.sample(list(peers), len(peers))
        first = 0 if reads_platform else PEERS_BEFORE_STORE
        self._sources = [*shuffled[:first], store, *shuffled[first:]]
        self._failed_at: dict[str, Milliseconds] = {}

    def order(self, now: Milliseconds) -> list[PlatformSource]:
        """Return the sources to try, those that failed lately last."""
        return sorted(
            (source for source in self._sources if not self._rests(source, now)),
            key=lambda source: self._is_avoided(source, now),
        )

    def failed(self, source: PlatformSource, now: Milliseconds) -> bool:
        """Record a failure; return whether the source was sound before."""
        was_sound = source.name not in self._failed_at
        self._failed_at[source.name] = now
        return was_sound

    def succeeded(self, source: PlatformSource) -> bool:
        """Record an answer; return whether the source had failed before."""
        return self._failed_at.pop(source.name, None) is not None

    def _rests(self, source: PlatformSource, now: Milliseconds) -> bool:
        """Return whether the store failed so lately that it is not asked at all."""
        failed_at = self._failed_at.get(source.name)
        is_store = source is self._store
        return (
            is_store and failed_at is not None and now - failed_at < self._store_pause
        )

    def _is_avoided(self, source: PlatformSource, now: Milliseconds) -> bool:
        failed_at = self._failed_at.get(source.name)
        return failed_at is not None and now - failed_at < AVOID_FAILED
