"""When a call that may be repeated is sent to a second target beside the first."""

from __future__ import annotations

from collections import deque
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold.edge._model import RouteName

REMEMBERED_DURATIONS = 128
"""Recent durations of a route: enough to tell what the slowest few calls take."""

HEDGE_QUANTILE = 0.8
"""Share of calls that answer before a second target is tried. With it, hedges need at
most a fifth of the calls."""

SILENT_QUANTILE = 0.95
"""Share of calls that answer before a target counts as silent."""

SILENT_MULTIPLE = 3
"""Multiple of that time for which a target has to be silent in all, with no answer in
between, to count as failed: single calls may be long work."""

ANSWER_QUANTILE = 0.9
"""Share of calls that would answer in the time that has to be left."""

UNKNOWN_DELAY_SHARE = 1 / 3
"""Share of the latency objective after which a second target is tried while nothing is
known of such calls: it leaves the second target twice as long."""

Kind = tuple[ServiceId, RouteName | None]
"""The calls of a route, or all calls of a service."""


@final
class AnswerTimes:
    """Tells from recent durations how long to wait for a target's answer.

    While few calls of a route are known, all calls of its service are used.
    """

    def __init__(self) -> None:
        self._recent: dict[Kind, deque[Milliseconds]] = {}
        self._sorted: dict[Kind, list[Milliseconds]] = {}

    def record_duration(
        self, service: ServiceId, route: RouteName, duration: Milliseconds
    ) -> None:
        """Record how long a call took until its answer came."""
        for kind in ((service, route), (service, None)):
            if kind not in self._recent:
                self._recent[kind] = deque(maxlen=REMEMBERED_DURATIONS)
            self._recent[kind].append(duration)
            self._sorted.pop(kind, None)

    def quantile(
        self, service: ServiceId, route: RouteName, share: float
    ) -> Milliseconds | None:
        """Return the time in which a share of a route's calls answers, if known."""
        needed = round(1 / (1 - share))
        kinds: tuple[Kind, Kind] = (service, route), (service, None)
        for kind in kinds:
            recent = self._recent.get(kind, ())
            if len(recent) < needed:
                continue
            durations = self._sorted.get(kind)
            if durations is None:
                durations = self._sorted[kind] = sorted(recent)
            return durations[min(len(durations) - 1, int(share * len(durations)))]
        return None

    def hedge_delay(
        self,
        service: ServiceId,
        route: RouteName,
        objective: Milliseconds,
        time_left: Milliseconds,
    ) -> Milliseconds | None:
        """Return after which silence a second target is tried beside the first.

        ``None`` if a second target would most likely not answer within ``time_left``.
        """
        delay = self.usual_silence(service, route, objective)
        needed = self.quantile(service, route, ANSWER_QUANTILE)
        needed = objective if needed is None else needed
        return delay if delay + needed <= time_left else None

    def usual_silence(
        self, service: ServiceId, route: RouteName, objective: Milliseconds
    ) -> Milliseconds:
        """Return the time up to which a target's silence tells nothing."""
        usual = self.quantile(service, route, HEDGE_QUANTILE)
        if usual is None:
            return Milliseconds(int(objective * UNKNOWN_DELAY_SHARE))
        return usual

    def failing_silence(
        self, service: ServiceId, route: RouteName, objective: Milliseconds
    ) -> Milliseconds:
        """Return how long a target that fails is silent, over several calls.

        While nothing is known of such calls, they are expected to take half of the
        ``objective`` at most.
        """
        usual = self.quantile(service, route, SILENT_QUANTILE)
        usual = objective // 2 if usual is None else usual
        return Milliseconds(SILENT_MULTIPLE * usual)
