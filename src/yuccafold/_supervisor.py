"""A supervision tree: tasks that fail are restarted."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._log import log_event

FIRST_BACKOFF = Milliseconds(50)
LONGEST_BACKOFF = Milliseconds(5_000)


class TooManyFailuresError(Exception):
    """A child failed more often than its ``ChildSpec`` allows."""


@final
@dataclass(frozen=True, slots=True)
class ChildSpec:
    """A task to run, and how many failures within ``window`` are tolerated."""

    name: str
    run: Callable[[], Awaitable[None]]
    max_failures: int = 20
    window: Milliseconds = Milliseconds(60_000)


@final
class Supervisor:
    """Runs children and restarts those that fail, with jittered backoff.

    A child that returns is not restarted. When one fails too often, ``run``
    raises ``TooManyFailuresError`` to its parent, which is another supervisor or
    the process.
    """

    def __init__(self, name: str, clock: Clock, rng: random.Random) -> None:
        self._name = name
        self._clock = clock
        self._rng = rng

    async def run(self, children: list[ChildSpec]) -> None:
        """Run ``children`` until all have returned or one has failed too often."""
        async with trio.open_nursery() as nursery:
            for child in children:
                nursery.start_soon(
                    self.run_child, child, name=f"{self._name}/{child.name}"
                )

    async def run_child(self, child: ChildSpec) -> None:
        """Run one child, restarting it, until it returns or has failed too often."""
        failures: deque[Milliseconds] = deque()
        while True:
            try:
                await child.run()
                return
            except Exception as error:
                self._record_failure(child, failures, error)
            await trio.sleep(self._backoff(len(failures)) / MS_PER_SECOND)

    def _record_failure(
        self, child: ChildSpec, failures: deque[Milliseconds], error: Exception
    ) -> None:
        now = self._clock.now()
        failures.append(now)
        while now - failures[0] > child.window:
            failures.popleft()
        log_event(
            "child_failed",
            supervisor=self._name,
            child=child.name,
            error=repr(error),
            failures=len(failures),
        )
        if len(failures) > child.max_failures:
            raise TooManyFailuresError(
                f"expected at most {child.max_failures} failures of "
                f"{self._name}/{child.name} in {child.window} ms, "
                f"got {len(failures)}"
            ) from error

    def _backoff(self, failures: int) -> float:
        ceiling = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2 ** min(failures, 10))
        return self._rng.uniform(ceiling / 2, ceiling)
