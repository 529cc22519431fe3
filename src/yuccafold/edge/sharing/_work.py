"""What VMs see of the work that a service does: calls in flight, durations, delays."""

from __future__ import annotations

from collections import Counter
from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold.edge.sharing._decay import DecayingSum
from yuccafold.edge.sharing._decay import seconds_of_weight
from yuccafold.edge.sharing._demand import DEMAND_HALF_LIFE
from yuccafold.edge.sharing._demand import QUIET_TIME

PACE_HALF_LIFE = Milliseconds(3_000)
"""Half-life of the weight of a call in the pace of a service: generations last one to
four seconds."""

DELAY_HALF_LIFE = Milliseconds(1_500)
"""Half-life of the weight of rejections and late first events."""


SURE_TIME = Milliseconds(1_000)
"""Time for which targets must have more calls than reports tell: longer than reports
are late."""

REMEMBERED_TIME = Milliseconds(10_000)
"""Time for which a VM whose reports ended counts as one that may still send calls."""


@final
@dataclass(frozen=True, slots=True)
class ServiceWork:
    """What one VM, or several together, see of a service.

    Calls with ``admitted_ms`` of work are admitted a second. ``in_flight`` are those
    at targets by urgency. The ``ended`` calls that ended lately would have taken
    ``cost_ms`` at idle targets, and held their places for ``held_ms``; ``crowded_ms``
    is their work times the share of the places in use meanwhile. ``delayed`` of
    ``begun`` calls were rejected or began late.
    """

    in_flight: Mapping[int, int] = field(default_factory=dict)
    admitted_ms: float = 0.0
    ended: float = 0.0
    cost_ms: float = 0.0
    held_ms: float = 0.0
    crowded_ms: float = 0.0
    begun: float = 0.0
    delayed: float = 0.0

    @property
    def calls(self) -> int:
        """The calls in flight at all levels."""
        return sum(self.in_flight.values())

    def minus(self, part: ServiceWork) -> ServiceWork:
        """Return what is left without ``part``."""
        return ServiceWork(
            {
                level: max(0, calls - part.in_flight.get(level, 0))
                for level, calls in self.in_flight.items()
            },
            max(0.0, self.admitted_ms - part.admitted_ms),
            max(0.0, self.ended - part.ended),
            max(0.0, self.cost_ms - part.cost_ms),
            max(0.0, self.held_ms - part.held_ms),
            max(0.0, self.crowded_ms - part.crowded_ms),
            max(0.0, self.begun - part.begun),
            max(0.0, self.delayed - part.delayed),
        )


NOTHING_SEEN = ServiceWork()

WorkByService = Mapping[ServiceId, ServiceWork]


@final
class LocalWork:
    """What this VM sees of the work of one service."""

    def __init__(self, now: Milliseconds) -> None:
        self._began_at = now - QUIET_TIME
        self._in_flight: Counter[int] = Counter()
        self._admitted = DecayingSum(DEMAND_HALF_LIFE, now)
        self._ended = DecayingSum(PACE_HALF_LIFE, now)
        self._cost = DecayingSum(PACE_HALF_LIFE, now)
        self._held = DecayingSum(PACE_HALF_LIFE, now)
        self._crowded = DecayingSum(PACE_HALF_LIFE, now)
        self._begun = DecayingSum(DELAY_HALF_LIFE, now)
        self._delayed = DecayingSum(DELAY_HALF_LIFE, now)

    def start(self, level: int, cost_ms: float, now: Milliseconds) -> None:
        """Count a call that was admitted."""
        self._in_flight[level] += 1
        self._admitted.add(cost_ms, now)

    def end(self, level: int) -> None:
        """Count the end of an admitted call."""
        self._in_flight[level] -= 1

    def record_whole(
        self, cost_ms: float, held_ms: float, crowding: float, now: Milliseconds
    ) -> None:
        """Record how long a call that was answered completely held a place.

        ``crowding`` is how many calls there were for each place meanwhile.
        """
        self._ended.add(1, now)
        self._cost.add(cost_ms, now)
        # The time in a queue is no time in a place.
        self._held.add(held_ms / max(1.0, crowding), now)
        self._crowded.add(cost_ms * min(1.0, crowding), now)

    def record_begin(self, delayed: bool, now: Milliseconds) -> None:
        """Record that a target began an answer, or that it rejected the call."""
        self._begun.add(1, now)
        self._delayed.add(delayed, now)

    def report(self, now: Milliseconds) -> ServiceWork:
        """Return what was seen up to ``now``."""
        weight = seconds_of_weight(DEMAND_HALF_LIFE, now - self._began_at)
        return ServiceWork(
            {level: calls for level, calls in self._in_flight.items() if calls},
            self._admitted.value(now) / weight,
            self._ended.value(now),
            self._cost.value(now),
            self._held.value(now),
            self._crowded.value(now),
            self._begun.value(now),
            self._delayed.value(now),
        )


@final
class UnreportedCalls:
    """Calls that targets have and no VM reports."""

    def __init__(self) -> None:
        self._calls: deque[tuple[Milliseconds, float]] = deque()
        self._vms: deque[tuple[Milliseconds, int]] = deque()

    def update(self, calls: float, vms: int, now: Milliseconds) -> float:
        """Return how many of ``calls`` are not just reported late.

        All count once there are fewer ``vms`` that report.
        """
        self._calls.append((now, calls))
        self._vms.append((now, vms))
        while now - self._calls[0][0] > SURE_TIME:
            self._calls.popleft()
        while now - self._vms[0][0] > REMEMBERED_TIME:
            self._vms.popleft()
        if vms < max(known for _, known in self._vms):
            return calls
        return min(calls for _, calls in self._calls)


def add_work(parts: Iterable[ServiceWork]) -> ServiceWork:
    """Return what several VMs see together."""
    parts = list(parts)
    in_flight: Counter[int] = Counter()
    for part in parts:
        in_flight.update(part.in_flight)
    return ServiceWork(
        dict(in_flight),
        sum(part.admitted_ms for part in parts),
        sum(part.ended for part in parts),
        sum(part.cost_ms for part in parts),
        sum(part.held_ms for part in parts),
        sum(part.crowded_ms for part in parts),
        sum(part.begun for part in parts),
        sum(part.delayed for part in parts),
    )
