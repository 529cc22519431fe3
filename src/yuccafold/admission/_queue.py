"""The queue of calls on one VM that wait for slots."""

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
    """How waiting calls retry their slot requests.

    The time between two slot requests of a call is random between the two spacings,
    which double up to ``max_doublings`` times while requests are refused. At most
    ``max_requesters`` calls of a service request slots at a time.
    """

    min_spacing_ms: int = 25
    max_spacing_ms: int = 100
    max_doublings: int = 3
    max_requesters: int = 2
    quantum_tokens: int = 1_024
    retry_after_ms: int = 1_000


class _Requester:
    """A call that may request a slot, as one of the first of its service."""

    __slots__ = ("awaits_outcome", "call", "due_at", "refusals")

    def __init__(self, call: WaitingCall, due_at: int) -> None:
        self.call = call
        self.due_at = due_at
        self.awaits_outcome = False
        self.refusals = 0


class _ServiceQueue:
    """Waiting calls of one service: lanes by priority, and the requesters."""

    def __init__(self, settings: QueueSettings) -> None:
        self.lanes = [Lane(settings.quantum_tokens) for _ in PRIORITIES]
        self.requesters: dict[int, _Requester] = {}
        self.freed_slots = 0

    def __len__(self) -> int:
        return len(self.requesters) + sum(map(len, self.lanes))

    def calls(self) -> Iterator[WaitingCall]:
        yield from (requester.call for requester in self.requesters.values())
        for lane in self.lanes:
            yield from lane

    def put_back(self, requester: _Requester) -> None:
        del self.requesters[requester.call.number]
        self.lanes[requester.call.rank].put_back(requester.call)

    def put_idle_back(self) -> None:
        """Put requesters without a pending request back into their lanes, in order."""
        for requester in reversed(tuple(self.requesters.values())):
            if not requester.awaits_outcome:
                self.put_back(requester)

    def best_waiting_rank(self) -> int:
        """Return the best rank among the calls in the lanes."""
        ranks = (rank for rank, lane in enumerate(self.lanes) if len(lane))
        return next(ranks, len(PRIORITIES))

    def call_to_shed(self) -> WaitingCall:
        """Return the call to shed; at least one lane must not be empty."""
        rank, lane = next((r, each) for r, each in self._from_last() if each)
        last = self.last_idle_requester()
        if last is not None and last.call.rank > rank:
            return last.call
        return lane.call_to_shed()

    def _from_last(self) -> Iterator[tuple[int, Lane]]:
        return reversed(tuple(enumerate(self.lanes)))

    def last_idle_requester(self) -> _Requester | None:
        """Return the newest of the idle requesters with the lowest priority, if any.

        A requester without a pending request is idle.
        """
        idle = [
            requester
            for requester in self.requesters.values()
            if not requester.awaits_outcome
        ]
        return max(
            reversed(idle), key=lambda requester: requester.call.rank, default=None
        )


@final
class WaitQueue:
    """Waiting calls by service, priority and client account, without I/O.

    ``offer`` adds a call; it leaves by ``remove``, by ``expire`` or by being shed.
    ``due`` returns the calls that must request a slot now; ``refused`` reports that
    such a request was refused. ``released`` triggers the next request early.
    """

    def __init__(self, settings: QueueSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._services: dict[ServiceId, _ServiceQueue] = {}
        self._calls: dict[int, WaitingCall] = {}

    @property
    def length(self) -> int:
        """The number of waiting calls of all services."""
        return len(self._calls)

    def waiting(self, service: ServiceId) -> int:
        """Return how many calls of ``service`` wait."""
        queue = self._services.get(service)
        return 0 if queue is None else len(queue)

    def is_waiting(self, number: int) -> bool:
        """Return whether the call ``number`` is waiting."""
        return number in self._calls

    def has_call_before(self, service: ServiceId, rank: int) -> bool:
        """Return whether a waiting call is served before a new call of ``rank``."""
        queue = self._services.get(service)
        return queue is not None and any(call.rank <= rank for call in queue.calls())

    def offer(self, call: WaitingCall, limit: int) -> WaitingCall | None:
        """Add a call; return the call that is shed if more than ``limit`` wait.

        The lowest priority is shed first, and within it the newest call of the
        account with the most waiting tokens; that may be ``call`` itself.
        """
        if limit <= 0:
            return call
        queue = self._services.setdefault(call.service, _ServiceQueue(self._settings))
        queue.lanes[call.rank].append(call)
        self._calls[call.number] = call
        if len(queue) <= limit:
            return None
        shed = queue.call_to_shed()
        self.remove(shed.number)
        return shed

    def remove(self, number: int) -> None:
        """Remove a call that was served, refused or cancelled."""
        call = self._calls.pop(number, None)
        if call is None:
            return
        queue = self._services[call.service]
        if queue.requesters.pop(number, None) is None:
            queue.lanes[call.rank].remove(call)
        if not queue:
            del self._services[call.service]

    def record_release(self, service: ServiceId) -> None:
        """Record the release of a slot of ``service``, so the next call requests it."""
        queue = self._services.get(service)
        if queue is not None:
            queue.freed_slots += 1

    def record_refusal(self, number: int, now: Milliseconds) -> None:
        """Record that the slot request of a call was refused; it keeps waiting."""
        call = self._calls.get(number)
        if call is None:
            return
        requester = self._services[call.service].requesters[number]
        requester.awaits_outcome = False
        factor = 2 ** min(requester.refusals, self._settings.max_doublings)
        requester.refusals += 1
        requester.due_at = now + self._spacing() * factor

    def due(self, now: Milliseconds) -> list[WaitingCall]:
        """Return the calls that must request a slot now and then await its outcome."""
        return [
            call for queue in self._services.values() for call in self._due(queue, now)
        ]

    def expire(self, now: Milliseconds) -> list[WaitingCall]:
        """Remove and return the calls whose deadline has passed."""
        ended = [call for call in self._calls.values() if call.deadline <= now]
        for call in ended:
            self.remove(call.number)
        return ended

    def retry_after_ms(self, service: ServiceId, limit: int) -> int:
        """Return the time after which a refused call may be retried.

        It grows with the queue and is random, so that callers don't all retry at
        the same time.
        """
        filled = min(1.0, self.waiting(service) / max(1, limit))
        base = self._settings.retry_after_ms * (1 + filled)
        return round(base * self._rng.uniform(0.5, 1.5))

    def _due(self, queue: _ServiceQueue, now: Milliseconds) -> list[WaitingCall]:
        if queue.freed_slots:
            # The order of calls may have changed since the idle requesters were chosen.
            queue.put_idle_back()
        self._choose_requesters(queue, now)
        idle = [
            requester
            for requester in queue.requesters.values()
            if not requester.awaits_outcome
        ]
        idle.sort(key=lambda requester: requester.call.rank)
        for requester in idle[: queue.freed_slots]:
            requester.due_at = now
            requester.refusals = 0
        # A slot released while all requesters have pending requests is kept for
        # the next requester.
        queue.freed_slots = max(0, queue.freed_slots - len(idle))
        queue.freed_slots = min(queue.freed_slots, self._settings.max_requesters)
        ready = [requester for requester in idle if requester.due_at <= now]
        for requester in ready:
            requester.awaits_outcome = True
        return [requester.call for requester in ready]

    def _spacing(self) -> int:
        settings = self._settings
        return self._rng.randint(settings.min_spacing_ms, settings.max_spacing_ms)

    def _choose_requesters(self, queue: _ServiceQueue, now: Milliseconds) -> None:
        """Choose the requesters; a call of better priority replaces an idle one."""
        while (rank := queue.best_waiting_rank()) < len(PRIORITIES):
            if len(queue.requesters) >= self._settings.max_requesters:
                last = queue.last_idle_requester()
                if last is None or last.call.rank <= rank:
                    return
                queue.put_back(last)
            call = queue.lanes[rank].pop()
            queue.requesters[call.number] = _Requester(call, now + self._spacing())
