"""Placement of calls on targets: requesting slots, queueing and releasing."""

from __future__ import annotations

import itertools
import random
from typing import final

from result import Err
from result import Ok

from yuccafold._clock import Milliseconds
from yuccafold._ids import ZoneId
from yuccafold._outgoing import Outgoing
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.admission import AccountLimits
from yuccafold.admission import QueueSettings
from yuccafold.admission import WaitingCall
from yuccafold.admission import WaitQueue
from yuccafold.control._commands import PlaceCall
from yuccafold.placement import Candidate
from yuccafold.placement import FleetView
from yuccafold.placement import LedgerSettings
from yuccafold.placement import LoadLedger
from yuccafold.placement import PlacementSearch
from yuccafold.placement import Ranker
from yuccafold.placement import RankerSettings
from yuccafold.placement import SlotOutcome

MIN_SLOT_LIFETIME = Milliseconds(1)
RETRY_BEST_CANDIDATES = 2
"""How many of the best candidates a queued call tries in each round."""
RETRY_OTHER_CANDIDATES = 2
"""How many of the other candidates, chosen at random, it tries as well."""


@final
class _PendingCall:
    """A call that has no slot yet; ``number`` identifies it within this process.

    ``search`` is the latest round of slot requests, ``None`` before the first.
    """

    __slots__ = ("command", "ended", "number", "search", "waits_until")

    def __init__(self, number: int, command: PlaceCall, now: Milliseconds) -> None:
        self.number = number
        self.command = command
        self.search: PlacementSearch | None = None
        self.ended = False
        queue_deadline = now + command.policy.queue_deadline_ms
        self.waits_until = Milliseconds(min(queue_deadline, command.deadline))

    def waiting_call(self) -> WaitingCall:
        """Return the call in the form that the queue takes."""
        command = self.command
        return WaitingCall(
            self.number,
            command.service,
            command.account,
            command.policy.priority,
            command.tokens,
            self.waits_until,
        )


@final
class CallPlacer:
    """Requests a slot for each ``PlaceCall`` from one candidate after another.

    A call that every candidate refuses waits in the queue and is retried until a
    slot is granted, its deadline passes or it is shed from a full queue.
    """

    def __init__(
        self,
        zone: ZoneId,
        ledger: LoadLedger,
        settings: LedgerSettings,
        limits: AccountLimits,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._limits = limits
        self._rng = rng
        self._ranker = Ranker(zone, RankerSettings())
        self._settings = settings
        self._queue = WaitQueue(QueueSettings(), rng)
        self._numbers = itertools.count(1)
        self._calls: dict[int, _PendingCall] = {}
        self._by_command: dict[int, _PendingCall] = {}
        self._by_slot_request: dict[int, _PendingCall] = {}
        self._granted: dict[int, PlaceCall] = {}

    @property
    def ledger(self) -> LoadLedger:
        """The slot ledger of this VM."""
        return self._ledger

    @property
    def ranker(self) -> Ranker:
        """Ranks the targets for each chat."""
        return self._ranker

    @property
    def waiting(self) -> int:
        """How many calls have no slot yet, including those not yet in the queue."""
        return len(self._by_command)

    @property
    def queue_length(self) -> int:
        """How many calls are queued because no target had room."""
        return self._queue.length

    def view_changed(self, view: FleetView, now: Milliseconds) -> list[Outgoing]:
        """Apply a new view of VMs and targets."""
        for service, states in view.targets.items():
            self._ranker.targets_changed(service, states, now)
        return self._ledger.view_changed(view, now)

    def candidates(self, command: PlaceCall, now: Milliseconds) -> list[Candidate]:
        """Return the targets that the call may go to, the best first."""
        if command.chat is None:
            ranked = self._ranker.rank_plain(command.service, command.call, now)
        else:
            latest, earlier = (*command.hints, None, None)[:2]
            ranked = self._ranker.rank(
                command.service,
                command.chat,
                latest,
                now,
                self._ledger.loads() if command.is_hinted else None,
                earlier,
            )
        untried = [each for each in ranked if each.target not in command.excluded]
        # If every target was tried already, trying one again is better than refusing.
        return untried or ranked

    def place(self, command: PlaceCall, now: Milliseconds) -> list[Outgoing]:
        """Start placing a call; waiting calls of the same or a better rank go first."""
        is_retry = bool(command.excluded)
        refusal = self._limits.admit(
            command.account, command.policy, command.tokens, now, is_retry
        )
        if refusal is not None:
            command.reply.put(Err(refusal))
            return []
        pending = _PendingCall(next(self._numbers), command, now)
        self._by_command[id(command)] = pending
        self._calls[pending.number] = pending
        call = pending.waiting_call()
        if self._queue.has_call_before(call.service, call.rank):
            self._enqueue(pending, now)
            return self.settle(now)
        return self._begin(pending, now) + self.settle(now)

    def cancel(self, command: PlaceCall, now: Milliseconds) -> list[Outgoing]:
        """Cancel a call; a slot that was granted meanwhile is released."""
        pending = self._by_command.get(id(command))
        if pending is not None:
            self._forget(pending)
            self._limits.finish(command.account, command.policy)
            return []
        if not command.reply.is_set:
            return []
        granted = command.reply.value
        if isinstance(granted, Ok) and granted.ok_value.number is not None:
            return self.release(granted.ok_value.number, now)
        return []

    def release(self, number: int, now: Milliseconds) -> list[Outgoing]:
        """Release a slot; a queued call may request it."""
        command = self._granted.pop(number, None)
        if command is not None:
            self._queue.record_release(command.service)
            self._limits.finish(command.account, command.policy)
        return self._ledger.release(number, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Refuse the calls whose time in the queue is over, and retry others."""
        for call in self._queue.expire(now):
            pending = self._calls[call.number]
            limit = pending.command.policy.queue_deadline_ms
            self._refuse(pending, f"no target had room within {limit} ms")
        return self.settle(now)

    def settle(self, now: Milliseconds) -> list[Outgoing]:
        """Apply the outcomes of slot requests; retry the queued calls that are due."""
        outgoing = self._apply_outcomes(now)
        while due := self._queue.due(now):
            for call in due:
                outgoing += self._begin(self._calls[call.number], now)
            outgoing += self._apply_outcomes(now)
        return outgoing

    def _apply_outcomes(self, now: Milliseconds) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        while outcomes := self._ledger.pop_outcomes():
            for outcome in outcomes:
                outgoing += self._apply_outcome(outcome, now)
        return outgoing

    def _apply_outcome(self, outcome: SlotOutcome, now: Milliseconds) -> list[Outgoing]:
        pending = self._by_slot_request.pop(outcome.number, None)
        if pending is None or pending.search is None:
            return []
        granted = pending.search.on_outcome(outcome)
        if pending.ended:
            return self._ledger.release(outcome.number, now) if granted else []
        if not granted:
            return self._request_next_slot(pending, now)
        self._granted[outcome.number] = pending.command
        self._forget(pending)
        # A target that had room for one call may have room for more.
        self._queue.record_release(pending.command.service)
        pending.command.reply.put(Ok(pending.search.placement))
        return []

    def _begin(self, pending: _PendingCall, now: Milliseconds) -> list[Outgoing]:
        """Start a round of slot requests, with the best candidate first."""
        command = pending.command
        lifetime = max(MIN_SLOT_LIFETIME, command.deadline - now)
        candidates = self.candidates(command, now)
        if self._queue.is_waiting(pending.number):
            candidates = self._retry_candidates(candidates)
        pending.search = PlacementSearch(
            command.service,
            candidates,
            command.policy,
            Milliseconds(min(lifetime, self._settings.slot_lifetime_ms)),
        )
        return self._request_next_slot(pending, now)

    def _retry_candidates(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the best and some others: each slot request costs control traffic."""
        others = candidates[RETRY_BEST_CANDIDATES:]
        count = min(RETRY_OTHER_CANDIDATES, len(others))
        return candidates[:RETRY_BEST_CANDIDATES] + self._rng.sample(others, count)

    def _request_next_slot(
        self, pending: _PendingCall, now: Milliseconds
    ) -> list[Outgoing]:
        if pending.search is None:
            raise AssertionError(f"expected a started round for {pending.command}")
        slot_request = pending.search.next_slot()
        if slot_request is None:
            self._enqueue(pending, now)
            return []
        number, outgoing = self._ledger.request_slot(slot_request, now)
        self._by_slot_request[number] = pending
        return outgoing

    def _enqueue(self, pending: _PendingCall, now: Milliseconds) -> None:
        """Queue the call, or keep it queued after a round without a slot."""
        if self._queue.is_waiting(pending.number):
            self._queue.record_refusal(pending.number, now)
            return
        if pending.waits_until <= now:
            self._refuse(pending, "no target had room in time")
            return
        limit = pending.command.policy.queue_length
        shed = self._queue.offer(pending.waiting_call(), limit)
        if shed is not None:
            self._refuse(self._calls[shed.number], "no target had room, queue full")

    def _refuse(self, pending: _PendingCall, reason: str) -> None:
        command = pending.command
        limit = command.policy.queue_length
        retry_after = self._queue.retry_after_ms(command.service, limit)
        self._forget(pending)
        self._limits.finish(command.account, command.policy)
        reason = f"{reason}: {_describe_refusals(pending)}"
        refusal = Refusal(503, "no-capacity", reason, Verdict.NOT_RUN, retry_after)
        command.reply.put(Err(refusal))

    def _forget(self, pending: _PendingCall) -> None:
        """Forget a call; a slot that is granted later is released at once."""
        pending.ended = True
        del self._by_command[id(pending.command)]
        del self._calls[pending.number]
        self._queue.remove(pending.number)


def _describe_refusals(pending: _PendingCall) -> str:
    """Return why the targets refused in the latest round."""
    if pending.search is None:
        return "none was asked yet"
    steps = pending.search.placement.steps
    reasons = sorted({step.refused.value for step in steps if step.refused})
    return ", ".join(reasons) or "none takes work"
