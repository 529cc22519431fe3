"""Measures how other accounts' first-token times change when one account surges."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.admission import QueueSettings
from yuccafold.admission import WaitingCall
from yuccafold.admission import WaitQueue

SERVICE = ServiceId("chat")
SURGING_ACCOUNT = 0


@final
@dataclass(frozen=True, slots=True)
class FairnessSettings:
    """The load of one service on one VM, from ``accounts`` equal accounts.

    Without a surge they use the share ``utilization`` of the slots. ``seconds``
    is the virtual duration of the run.
    """

    seconds: int
    slots: int = 48
    accounts: int = 10
    utilization: float = 0.6
    answer_ms: float = 2_000.0
    first_token_ms: float = 450.0
    """The median. With the spread used, 95% of first tokens take at most 0.74 s,
    which is the objective.
    """
    queue_length: int = 64
    deadline_ms: int = 2_000


@final
@dataclass(frozen=True, slots=True)
class FairnessResult:
    """The 95th percentile of first-token times and the refused calls of the others."""

    p95_ms: float
    refused_percent: float


@final
class _SlotPool:
    """The slots of one service in virtual time, and the queue of waiting calls."""

    def __init__(self, settings: FairnessSettings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._queue = WaitQueue(QueueSettings(), random.Random(seed + 1))
        self._end_times: list[float] = []
        self._unstarted_calls: dict[int, tuple[int, float]] = {}
        self.first_tokens: list[float] = []
        self.refused = 0
        self.calls = 0

    def arrive(self, number: int, account: int, fair: bool, now: float) -> None:
        """Start a call if a slot is free, or queue it.

        Without ``fair`` all calls are queued as calls of one account.
        """
        self._advance(now)
        self.calls += account != SURGING_ACCOUNT
        self._unstarted_calls[number] = (account, now)
        has_free_slot = len(self._end_times) < self._settings.slots
        if has_free_slot and not self._queue.has_call_before(SERVICE, 1):
            self._start(number, now)
            return
        queue_account = AccountId(f"account-{account}" if fair else "all")
        tokens = 900
        deadline = Milliseconds(round(now) + self._settings.deadline_ms)
        call = WaitingCall(number, SERVICE, queue_account, "normal", tokens, deadline)
        shed = self._queue.offer(call, self._settings.queue_length)
        if shed is not None:
            self._refuse(shed.number)

    def _advance(self, now: float) -> None:
        while self._end_times and self._end_times[0] <= now:
            ended_at = heapq.heappop(self._end_times)
            ended_ms = Milliseconds(round(ended_at))
            for call in self._queue.expire(ended_ms):
                self._refuse(call.number)
            self._queue.record_release(SERVICE)
            for call in self._queue.due(ended_ms):
                if len(self._end_times) < self._settings.slots:
                    self._queue.remove(call.number)
                    self._start(call.number, ended_at)
                else:
                    self._queue.record_refusal(call.number, ended_ms)

    def _refuse(self, number: int) -> None:
        account, _ = self._unstarted_calls.pop(number)
        self.refused += account != SURGING_ACCOUNT

    def _start(self, number: int, now: float) -> None:
        account, arrived_at = self._unstarted_calls.pop(number)
        settings = self._settings
        answer_ms = self._rng.expovariate(1 / settings.answer_ms)
        heapq.heappush(self._end_times, now + answer_ms)
        first_token_ms = settings.first_token_ms * self._rng.lognormvariate(0, 0.3)
        if account != SURGING_ACCOUNT:
            self.first_tokens.append(now - arrived_at + first_token_ms)


def measure_other_accounts(
    settings: FairnessSettings, seed: int, surge: float, fair: bool
) -> FairnessResult:
    """Run one account at ``surge`` times its share; return what the others get."""
    rng = random.Random(seed)
    slots = _SlotPool(settings, seed)
    weights = [surge, *(1.0 for _ in range(settings.accounts - 1))]
    calls_per_ms = settings.utilization * settings.slots / settings.answer_ms
    calls_per_ms *= sum(weights) / settings.accounts
    now = 0.0
    number = 0
    while now < settings.seconds * MS_PER_SECOND:
        now += rng.expovariate(calls_per_ms)
        number += 1
        account = rng.choices(range(settings.accounts), weights)[0]
        slots.arrive(number, account, fair, now)
    sorted_times = sorted(slots.first_tokens)
    p95_ms = sorted_times[round(len(sorted_times) * 0.95) - 1]
    return FairnessResult(p95_ms, 100 * slots.refused / slots.calls)
