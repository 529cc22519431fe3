"""The calls of one VM that wait for slots."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold.admission._lane import Lane
from yuccafold.admission._waiting import PRIORITIES
from yuccafold.admission._waiting import WaitingCall


@final
@dataclass(frozen=True, slots=True)
class QueueSettings:
    """How waiting calls ask again.

    The time between two asks is drawn between the two spacings, which double
    up to ``backoff`` times while every ask is refused. ``askers`` calls of a
    service ask at a time. ``quantum`` is in tokens.
    """

    min_spacing_ms: int = 25
    max_spacing_ms: int = 100
    backoff: int = 3
    askers: int = 2
    quantum: int = 1_024
    retry_after_ms: int = 1_000


class _Asker:
    """One of the first calls of a service."""

    __slots__ = ("asking", "call", "due_at", "refusals")

    def __init__(self, call: WaitingCall, due_at: int) -> None:
        self.call = call
        self.due_at = due_at
        self.asking = False
        self.refusals = 0


class _ServiceQueue:
    """The waiting calls of one service: lanes by priority, and the askers."""

    def __init__(self, settings: QueueSettings) -> None:
        self.lanes = [Lane(settings.quantum) for _ in PRIORITIES]
        self.askers: dict[int, _Asker] = {}
        self.released = 0

    def __len__(self) -> int:
        return len(self.askers) + sum(map(len, self.lanes))

    def calls(self) -> Iterator[WaitingCall]:
        yield from (asker.call for asker in self.askers.values())
        for lane in self.lanes:
            yield from lane

    def put_back(self, asker: _Asker) -> None:
        del self.askers[asker.call.number]
        self.lanes[asker.call.rank].put_back(asker.call)

    def put_idle_back(self) -> None:
        """Return the askers that wait for their next ask, in their order."""
        for asker in reversed(tuple(self.askers.values())):
            if not asker.asking:
                self.put_back(asker)

    def first_rank(self) -> int:
        """Return the best rank among the calls that don't ask yet."""
        ranks = (rank for rank, lane in enumerate(self.lanes) if len(lane))
        return next(ranks, len(PRIORITIES))

    def least(self) -> WaitingCall:
        """Return the call to shed; some call doesn't ask yet."""
        rank, lane = next((r, held) for r, held in self._from_last() if held)
        last = self.last_asker()
        if last is not None and last.call.rank > rank:
            return last.call
        return lane.heaviest()

    def _from_last(self) -> Iterator[tuple[int, Lane]]:
        return reversed(tuple(enumerate(self.lanes)))

    def last_asker(self) -> _Asker | None:
        """Return the idle asker of the lowest priority, the newest first."""
        idle = [asker for asker in self.askers.values() if not asker.asking]
        return max(reversed(idle), key=lambda asker: asker.call.rank, default=None)


@final
class WaitQueue:
    """Waiting calls by service, priority and client account, without I/O.

    A call enters by ``offer`` and leaves by ``remove``, by being shed or by
    ``expire``. ``due`` names the calls that ask for a slot now; ``refused``
    says that such an ask was in vain. ``released`` hastens the next ask.
    """

    def __init__(self, settings: QueueSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._services: dict[ServiceId, _ServiceQueue] = {}
        self._calls: dict[int, WaitingCall] = {}

    @property
    def length(self) -> int:
        """How many calls wait, of all services."""
        return len(self._calls)

    def waiting(self, service: ServiceId) -> int:
        """Return how many calls of ``service`` wait."""
        queue = self._services.get(service)
        return 0 if queue is None else len(queue)

    def holds(self, number: int) -> bool:
        """Return whether the call ``number`` waits."""
        return number in self._calls

    def goes_before(self, service: ServiceId, rank: int) -> bool:
        """Return whether a waiting call is served before a newcomer of ``rank``."""
        queue = self._services.get(service)
        return queue is not None and any(call.rank <= rank for call in queue.calls())

    def offer(self, call: WaitingCall, limit: int) -> WaitingCall | None:
        """Let a call wait where at most ``limit`` may; return whom that sheds.

        The lowest priority is shed first, and of it the newest call of the
        account with the most tokens waiting; that may be ``call`` itself.
        """
        if limit <= 0:
            return call
        queue = self._services.setdefault(call.service, _ServiceQueue(self._settings))
        queue.lanes[call.rank].append(call)
        self._calls[call.number] = call
        if len(queue) <= limit:
            return None
        shed = queue.least()
        self.remove(shed.number)
        return shed

    def remove(self, number: int) -> None:
        """Forget a call that was served, refused or taken back."""
        call = self._calls.pop(number, None)
        if call is None:
            return
        queue = self._services[call.service]
        if queue.askers.pop(number, None) is None:
            queue.lanes[call.rank].remove(call)
        if not queue:
            del self._services[call.service]

    def released(self, service: ServiceId) -> None:
        """Note that a slot of ``service`` was given back: ask at once."""
        queue = self._services.get(service)
        if queue is not None:
            queue.released += 1

    def refused(self, number: int, now: Milliseconds) -> None:
        """Note that the ask of a call was refused; it goes on waiting."""
        call = self._calls.get(number)
        if call is None:
            return
        asker = self._services[call.service].askers[number]
        asker.asking = False
        factor = 2 ** min(asker.refusals, self._settings.backoff)
        asker.refusals += 1
        asker.due_at = now + self._spacing() * factor

    def due(self, now: Milliseconds) -> list[WaitingCall]:
        """Return the calls that ask now; each then awaits its outcome."""
        return [
            call for queue in self._services.values() for call in self._due(queue, now)
        ]

    def expire(self, now: Milliseconds) -> list[WaitingCall]:
        """Remove and return the calls that have waited long enough."""
        ended = [call for call in self._calls.values() if call.deadline <= now]
        for call in ended:
            self.remove(call.number)
        return ended

    def retry_after_ms(self, service: ServiceId, limit: int) -> int:
        """Return when a refused call may come back.

        It grows with the queue, and is spread so that callers don't return
        together.
        """
        filled = min(1.0, self.waiting(service) / max(1, limit))
        base = self._settings.retry_after_ms * (1 + filled)
        return round(base * self._rng.uniform(0.5, 1.5))

    def _due(self, queue: _ServiceQueue, now: Milliseconds) -> list[WaitingCall]:
        if queue.released:
            # Whose turn it is may have changed since the idle ones were chosen.
            queue.put_idle_back()
        self._choose_askers(queue, now)
        idle = [asker for asker in queue.askers.values() if not asker.asking]
        idle.sort(key=lambda asker: asker.call.rank)
        for asker in idle[: queue.released]:
            asker.due_at = now
            asker.refusals = 0
        # A slot that came free while all asked is for the next that asks.
        queue.released = max(0, queue.released - len(idle))
        queue.released = min(queue.released, self._settings.askers)
        ready = [asker for asker in idle if asker.due_at <= now]
        for asker in ready:
            asker.asking = True
        return [asker.call for asker in ready]

    def _spacing(self) -> int:
        settings = self._settings
        return self._rng.randint(settings.min_spacing_ms, settings.max_spacing_ms)

    def _choose_askers(self, queue: _ServiceQueue, now: Milliseconds) -> None:
        """Let the first calls ask; a better priority replaces an idle asker."""
        while (rank := queue.first_rank()) < len(PRIORITIES):
            if len(queue.askers) >= self._settings.askers:
                last = queue.last_asker()
                if last is None or last.call.rank <= rank:
                    return
                queue.put_back(last)
            call = queue.lanes[rank].pop()
            queue.askers[call.number] = _Asker(call, now + self._spacing())
