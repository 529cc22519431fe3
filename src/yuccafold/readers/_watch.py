"""When a reader calls the platform next: watching, polling slowly, backing off."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import final

import xxhash

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId


@final
@dataclass(frozen=True, slots=True)
class WatchOptions:
    """How often the platform is called; times are in milliseconds."""

    wait_ms: int = 30_000
    """How long one watch waits for something newer."""
    poll_interval_ms: int = 5_000
    """The mean time between the calls of a VM that does not watch."""
    min_interval_ms: int = 200
    """The least time between two answers, should the value change fast."""
    first_backoff_ms: int = 500
    max_backoff_ms: int = 30_000
    watchers: int = 8
    """How many VMs of the fleet watch; the others hear of news from peers."""


class Answer(Enum):
    """How the last call ended."""

    NEWER = "newer"
    NOTHING_NEWER = "nothing newer"
    FAILED = "failed"


@final
class CallPacer:
    """Decides how long to wait before the next call."""

    def __init__(self, options: WatchOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._failures = 0

    def pause_after(self, answer: Answer, watches: bool) -> Milliseconds:
        """Return the time to wait after a call that ended with ``answer``."""
        if answer is Answer.FAILED:
            return self._backoff()
        self._failures = 0
        if watches:
            return Milliseconds(self._options.min_interval_ms)
        interval = self._options.poll_interval_ms
        return Milliseconds(round(interval * self._rng.uniform(0.5, 1.5)))

    def _backoff(self) -> Milliseconds:
        """Return a random part of a time that doubles with each failure."""
        longest = self._options.first_backoff_ms * 2 ** min(self._failures, 16)
        self._failures += 1
        longest = min(longest, self._options.max_backoff_ms)
        return Milliseconds(round(self._rng.uniform(longest / 2, longest)))


def chosen_watchers(vms: Iterable[VmId], count: int) -> frozenset[VmId]:
    """Return the VMs that watch: the first few by rendezvous hash."""
    ranked = sorted(vms, key=lambda vm: (xxhash.xxh3_64_intdigest(vm.encode()), vm))
    return frozenset(ranked[:count])


def calls_per_second(vms: int, options: WatchOptions, changes_per_day: int) -> float:
    """Return the calls that a fleet of ``vms`` makes on the settings service."""
    watchers = min(vms, options.watchers)
    changes = changes_per_day / 86_400
    watching = watchers * (MS_PER_SECOND / options.wait_ms + changes)
    return watching + (vms - watchers) * MS_PER_SECOND / options.poll_interval_ms
