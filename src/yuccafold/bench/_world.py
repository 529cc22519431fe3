"""The simulated world of one run: engines, virtual time and measures."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import final

from hdrh.histogram import HdrHistogram

from yuccafold._ids import TargetId
from yuccafold.bench._arrivals import Turn
from yuccafold.bench._engines import Engine

SAMPLE_INTERVAL_MS = 500
LOAD_MULTIPLE = 1.25
SKEW_SCALE = 1_000


@final
@dataclass(slots=True)
class Measures:
    """What was measured in one phase of a run.

    ``above_running_bound`` counts admissions above the load bound of the requests
    in flight, ``above_bound`` those that are also above the bound of all slots that
    aren't released.
    """

    turns: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    reused_tokens: int = 0
    above_bound: int = 0
    above_running_bound: int = 0
    admitted: int = 0
    slot_requests: int = 0
    skew: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 1_000_000, 3))
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 10_000_000, 3)
    )
    bytes: Counter[str] = field(default_factory=Counter)
    duration_ms: int = 0

    @property
    def reuse(self) -> float:
        """Percentage of prompt tokens that were cached and needed no prefill."""
        return 100 * self.reused_tokens / max(1, self.prompt_tokens)

    def skew_at(self, percentile: float) -> float:
        """Return a percentile of the skew: the maximum in flight over the mean."""
        return self.skew.get_value_at_percentile(percentile) / SKEW_SCALE


@final
class World:
    """The engines, their true loads, and the measures of the current phase.

    ``accepting`` holds the listed engines that accept work, ``accepting_count``
    their number for the load bound; a joining engine is listed shortly before it
    is included in that number. ``unreleased`` returns the number of slots that
    aren't released: a request is in flight until its router has released its slot.
    """

    def __init__(
        self, engines: int, cache_tokens: int, decode_ms_per_token: float
    ) -> None:
        names = [TargetId(f"engine-{number}") for number in range(engines)]
        self.engines = {
            name: Engine(name, cache_tokens, decode_ms_per_token) for name in names
        }
        self.accepting = dict.fromkeys(names)
        self.accepting_count = len(names)
        self.in_flight = 0
        self.unreleased: Callable[[], int] = lambda: 0
        self.now = 0
        self.measures = Measures()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.after(SAMPLE_INTERVAL_MS, self._sample)

    def after(self, delay: int, action: Callable[[], None]) -> None:
        """Schedule ``action`` in ``delay`` milliseconds."""
        heappush(self._events, (self.now + delay, next(self._order), action))

    def run_until(self, end: int) -> None:
        """Advance virtual time to ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heappop(self._events)
            action()
        self.now = end

    def begin_phase(self) -> Measures:
        """Start new measures and return them."""
        self.measures = Measures()
        return self.measures

    def admit(self, target: TargetId) -> None:
        """Count an admission, and whether it exceeds the load bound."""
        engine = self.engines[target]
        bound = math.ceil(
            LOAD_MULTIPLE * (self.in_flight + 1) / self.accepting_count - 1e-9
        )
        engine.in_flight += 1
        self.in_flight += 1
        self.measures.admitted += 1
        if engine.in_flight > bound:
            self.measures.above_running_bound += 1
            self.measures.above_bound += engine.in_flight > self._slot_bound()

    def _slot_bound(self) -> int:
        held_slots = max(self.in_flight, self.unreleased() + 1)
        return math.ceil(LOAD_MULTIPLE * held_slots / self.accepting_count - 1e-9)

    def withdraw(self, target: TargetId) -> None:
        """Remove a request from the load of its engine, as it ended or wasn't sent."""
        self.engines[target].in_flight -= 1
        self.in_flight -= 1

    def start(self, turn: Turn, target: TargetId, done: Callable[[], None]) -> None:
        """Start an admitted turn; ``done`` is called when it ends."""
        engine = self.engines[target]
        engine.in_flight -= 1
        reused = engine.start(turn)
        measures = self.measures
        measures.turns += 1
        measures.prompt_tokens += turn.prompt_tokens
        measures.reused_tokens += reused
        first_token = engine.first_token_ms(turn, reused)
        measures.first_token.record_value(max(1, round(first_token)))

        def end() -> None:
            self.withdraw(target)
            done()

        self.after(max(1, round(engine.duration_ms(turn, reused))), end)

    def refuse(self) -> None:
        """Count a refused turn."""
        self.measures.refused += 1

    def _sample(self) -> None:
        loads = [self.engines[target].in_flight for target in self.accepting]
        total = sum(loads)
        if total:
            skew = max(loads) * len(loads) / total
            self.measures.skew.record_value(round(skew * SKEW_SCALE))
        self.measures.duration_ms += SAMPLE_INTERVAL_MS
        self.after(SAMPLE_INTERVAL_MS, self._sample)
