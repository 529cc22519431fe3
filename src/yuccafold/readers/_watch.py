"""Decides when a reader calls the platform next: watch, poll or backoff."""

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
    """Intervals and limits of calls to the platform; times are in milliseconds."""

    wait_ms: int = 30_000
    """How long one long poll of a watching VM waits for something newer."""
    poll_interval_ms: int = 5_000
    """The mean time between two calls of a VM that doesn't watch."""
    min_interval_ms: int = 200
    """The pause after an answer to a watching VM, for values that change often."""
    first_backoff_ms: int = 500
    max_backoff_ms: int = 30_000
    watchers: int = 8
    """How many VMs of the fleet watch; the others get new revisions from peers."""


class ReadOutcome(Enum):
    """How a call ended."""

    NEWER = "newer"
    NOTHING_NEWER = "nothing newer"
    FAILED = "failed"


@final
class CallPacer:
    """Decides how long to wait before the next call, from how the last one ended."""

    def __init__(self, options: WatchOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._failures = 0

    def pause_after(self, outcome: ReadOutcome, watches: bool) -> Milliseconds:
        """Return the time to wait after a call that ended with ``outcome``."""
        if outcome is ReadOutcome.FAILED:
            return self._backoff()
        self._failures = 0
        if watches:
            return Milliseconds(self._options.min_interval_ms)
        interval = self._options.poll_interval_ms
        return Milliseconds(round(interval * self._rng.uniform(0.5, 1.5)))

    def _backoff(self) -> Milliseconds:
        """Return a random pause of an exponential backoff.

        The longest pause doubles with each failure up to ``max_backoff_ms``; the
        pause is at least half of it.
        """
        max_pause_ms = self._options.first_backoff_ms * 2 ** min(self._failures, 16)
        self._failures += 1
        max_pause_ms = min(max_pause_ms, self._options.max_backoff_ms)
        return Milliseconds(round(self._rng.uniform(max_pause_ms / 2, max_pause_ms)))


def chosen_watchers(vms: Iterable[VmId], count: int) -> frozenset[VmId]:
    """Return the ``count`` VMs that watch: the lowest by the hash of their ids.

    This is rendezvous hashing: all VMs that know the same ``vms`` choose the same
    ones.
    """
    ranked = sorted(vms, key=lambda vm: (xxhash.xxh3_64_intdigest(vm.encode()), vm))
    return frozenset(ranked[:count])


def calls_per_second(
    vm_count: int, options: WatchOptions, changes_per_day: int
) -> float:
    """Return the rate at which ``vm_count`` VMs call the settings service."""
    watchers = min(vm_count, options.watchers)
    changes_per_second = changes_per_day / 86_400
    watch_calls = watchers * (MS_PER_SECOND / options.wait_ms + changes_per_second)
    return (
        watch_calls + (vm_count - watchers) * MS_PER_SECOND / options.poll_interval_ms
    )
