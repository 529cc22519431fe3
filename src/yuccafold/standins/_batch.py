"""Continuous batching: which sequences run, and how long each step takes."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import final

import trio

MS_PER_SECOND = 1000


class Priority(IntEnum):
    """Scheduling priority; waiting sequences with the lowest value run first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@final
@dataclass(frozen=True, slots=True)
class CostModel:
    """How long an engine's work takes, in milliseconds.

    ``time_scale`` multiplies all durations; 0 makes every step immediate.
    """

    prefill_ms_per_token: float = 0.2
    decode_ms: float = 20.0
    decode_ms_per_sequence: float = 0.5
    max_batch: int = 32
    time_scale: float = 1.0

    def step_seconds(self, prefill_tokens: int, sequences: int) -> float:
        """Return the duration of one step in seconds.

        The step prefills ``prefill_tokens`` and generates one token for each of
        ``sequences``.
        """
        decode = self.decode_ms + self.decode_ms_per_sequence * sequences
        total = decode + self.prefill_ms_per_token * prefill_tokens
        return total * self.time_scale / MS_PER_SECOND


@final
class Sequence:
    """One answer being generated; ``tokens`` yields each token once generated.

    ``uncached`` is the number of prompt tokens to prefill. The first
    ``already_generated`` tokens come from an earlier run that is resumed; they
    can be read at once.
    """

    def __init__(
        self,
        priority: Priority,
        uncached: int,
        tokens: tuple[str, ...],
        already_generated: int = 0,
    ) -> None:
        self.priority = priority
        self.uncached = uncached
        self._tokens = tokens
        self._generated = already_generated
        # The buffer holds all tokens, so that a slow reader never blocks a step.
        self._send, self._receive = trio.open_memory_channel[str](len(tokens) + 1)
        for token in tokens[:already_generated]:
            self._send.send_nowait(token)
        if self.is_done:
            self._send.close()

    @property
    def generated(self) -> int:
        """How many tokens were generated, those of a resumed run included."""
        return self._generated

    @property
    def is_done(self) -> bool:
        """Whether the whole answer was generated."""
        return self._generated == len(self._tokens)

    @property
    def work_tokens(self) -> int:
        """The tokens that are still to prefill and to generate."""
        return self.uncached + len(self._tokens) - self._generated

    @property
    def tokens(self) -> trio.MemoryReceiveChannel[str]:
        """The channel of generated tokens, which is closed after the last one."""
        return self._receive

    def advance(self) -> None:
        """Generate one token."""
        self.uncached = 0
        self._send.send_nowait(self._tokens[self._generated])
        self._generated += 1
        if self.is_done:
            self._send.close()


@final
class Batch:
    """The running and the waiting sequences; ``run`` executes the steps.

    ``on_change`` is called after waiting sequences have entered the batch and
    after each step.
    """

    def __init__(self, cost: CostModel, on_change: Callable[[], None]) -> None:
        self._cost = cost
        self._on_change = on_change
        self._waiting: list[tuple[Priority, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._arrival_numbers = itertools.count()
        self._work_added = trio.Event()
        self._steps = 0

    @property
    def running(self) -> int:
        """How many sequences run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many sequences wait to enter the batch."""
        return len(self._waiting)

    @property
    def waiting_priorities(self) -> tuple[Priority, ...]:
        """The priorities of the waiting sequences, the next one first."""
        return tuple(entry[0] for entry in sorted(self._waiting))

    @property
    def steps(self) -> int:
        """How many steps were executed."""
        return self._steps

    @property
    def work_tokens(self) -> int:
        """The tokens that are still to prefill and to generate."""
        return sum(sequence.work_tokens for sequence in self._sequences())

    def add(self, sequence: Sequence) -> None:
        """Queue ``sequence`` until the batch has room; ignore it if it is done."""
        if not sequence.is_done:
            entry = (sequence.priority, next(self._arrival_numbers), sequence)
            heapq.heappush(self._waiting, entry)
            self._work_added.set()

    def remove(self, sequence: Sequence) -> None:
        """Cancel ``sequence`` if it is not done."""
        self._running = [other for other in self._running if other is not sequence]
        self._waiting = [entry for entry in self._waiting if entry[2] is not sequence]
        heapq.heapify(self._waiting)

    def clear(self) -> None:
        """Drop all sequences."""
        self._running = []
        self._waiting = []

    async def run(self) -> None:
        """Execute steps, and wait while there is no sequence."""
        while True:
            if not self._running and not self._waiting:
                self._work_added = trio.Event()
                await self._work_added.wait()
            self._fill()
            self._on_change()
            assert len(self._running) <= self._cost.max_batch, len(self._running)
            prefill = sum(sequence.uncached for sequence in self._running)
            await trio.sleep(self._cost.step_seconds(prefill, len(self._running)))
            self._step()

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self._cost.max_batch:
            self._running.append(heapq.heappop(self._waiting)[2])

    def _step(self) -> None:
        self._steps += 1
        for sequence in self._running:
            sequence.advance()
        self._running = [running for running in self._running if not running.is_done]
        self._on_change()

    def _sequences(self) -> Iterator[Sequence]:
        return itertools.chain(self._running, (entry[2] for entry in self._waiting))
