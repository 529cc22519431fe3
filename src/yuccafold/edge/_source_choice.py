"""Chooses the source from which the platform's entries are read next."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold.edge._platform_source import PlatformSource

FAILED_SOURCE_AVOIDANCE = Milliseconds(2_000)
"""How long a source that failed is tried last; VMs recover within seconds."""

PEERS_BEFORE_STORE = 2
"""Seeds that are asked before the store; each unresponsive one costs 400 ms."""


@final
class SourceChoice:
    """Orders the store and the seeds for the next read.

    A VM that reads the platform itself, such as a seed, asks the store first, and
    (other) seeds only if the store is unreachable. Other VMs ask two seeds first, so
    that the store's load doesn't grow with the fleet; each starts at a random one. If
    the store fails too, they don't ask it for ``store_pause``: most likely it is down
    for the seeds as well, and the seeds notice first when it is back.
    """

    def __init__(
        self,
        store: PlatformSource,
        peers: Sequence[PlatformSource],
        reads_platform: bool,
        rng: random.Random,
        store_pause: Milliseconds = FAILED_SOURCE_AVOIDANCE,
    ) -> None:
        self._store = store
        self._store_pause = Milliseconds(0) if reads_platform else store_pause
        shuffled = rng.sample(list(peers), len(peers))
        peers_before_store = 0 if reads_platform else PEERS_BEFORE_STORE
        self._sources = [
            *shuffled[:peers_before_store],
            store,
            *shuffled[peers_before_store:],
        ]
        self._peers = tuple(shuffled)
        self._failed_at: dict[str, Milliseconds] = {}

    @property
    def peers(self) -> tuple[PlatformSource, ...]:
        """The other VMs that views are requested from."""
        return self._peers

    def order(self, now: Milliseconds) -> list[PlatformSource]:
        """Return the sources to try, those that failed recently last."""
        return sorted(
            (source for source in self._sources if not self._is_paused(source, now)),
            key=lambda source: self._is_avoided(source, now),
        )

    def record_failure(self, source: PlatformSource, now: Milliseconds) -> bool:
        """Record a failure; return whether the source was usable before."""
        was_usable = source.name not in self._failed_at
        self._failed_at[source.name] = now
        return was_usable

    def record_success(self, source: PlatformSource) -> bool:
        """Record a success; return whether the source had failed before."""
        return self._failed_at.pop(source.name, None) is not None

    def _is_paused(self, source: PlatformSource, now: Milliseconds) -> bool:
        """Return whether ``source`` is the store and must not be asked for now."""
        failed_at = self._failed_at.get(source.name)
        is_store = source is self._store
        return (
            is_store and failed_at is not None and now - failed_at < self._store_pause
        )

    def _is_avoided(self, source: PlatformSource, now: Milliseconds) -> bool:
        failed_at = self._failed_at.get(source.name)
        return failed_at is not None and now - failed_at < FAILED_SOURCE_AVOIDANCE
