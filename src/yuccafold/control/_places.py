"""The calls that wait for a slot, from the ask to the release."""

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
from yuccafold.placement import Placing
from yuccafold.placement import Ranker
from yuccafold.placement import RankerSettings
from yuccafold.placement import SlotOutcome

MIN_LIFETIME = Milliseconds(1)
RETRY_BEST = 2
"""How many of the best candidates a waiting call asks each time."""
RETRY_OTHERS = 2
"""How many of the other candidates, by chance, it asks as well."""


@final
class _Pending:
    """One call that has no slot yet; ``number`` is its own in this process.

    ``placing`` is the present round of asks, none while it only waits.
    """

    __slots__ = ("command", "ended", "number", "placing", "waits_until")

    def __init__(self, number: int, command: PlaceCall, now: Milliseconds) -> None:
        self.number = number
        self.command = command
        self.placing: Placing | None = None
        self.ended = False
        patience = now + command.policy.queue_deadline_ms
        self.waits_until = Milliseconds(min(patience, command.deadline))

    def waiting_call(self) -> WaitingCall:
        """Return the call as the queue sees it."""
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
class Places:
    """Carries each ``PlaceCall`` from candidate to candidate.

    A call that no candidate takes waits in the queue and asks again, until a
    slot is granted, its deadline passes or a better one takes its place.
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
        self._calls: dict[int, _Pending] = {}
        self._by_command: dict[int, _Pending] = {}
        self._by_ask: dict[int, _Pending] = {}
        self._granted: dict[int, PlaceCall] = {}

    @property
    def ledger(self) -> LoadLedger:
        """The slots of this VM."""
        return self._ledger

    @property
    def ranker(self) -> Ranker:
        """The order of targets for each chat."""
        return self._ranker

    @property
    def waiting(self) -> int:
        """How many calls have no slot yet, those that ask first included."""
        return len(self._by_command)

    @property
    def queue_length(self) -> int:
        """How many calls wait because no target had room."""
        return self._queue.length

    def view_changed(self, view: FleetView, now: Milliseconds) -> list[Outgoing]:
        """Adopt a fresh view of VMs and targets."""
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
        kept = [each for each in ranked if each.target not in command.excluded]
        # With every target tried already, a second try beats a refusal.
        return kept or ranked

    def place(self, command: PlaceCall, now: Milliseconds) -> list[Outgoing]:
        """Begin to place a call; it goes behind those that wait already."""
        again = bool(command.excluded)
        over = self._limits.admit(
            command.account, command.policy, command.tokens, now, again
        )
        if over is not None:
            command.reply.put(Err(over))
            return []
        pending = _Pending(next(self._numbers), command, now)
        self._by_command[id(command)] = pending
        self._calls[pending.number] = pending
        call = pending.waiting_call()
        if self._queue.goes_before(call.service, call.rank):
            self._wait(pending, now)
            return self.settle(now)
        return self._begin(pending, now) + self.settle(now)

    def cancel(self, command: PlaceCall, now: Milliseconds) -> list[Outgoing]:
        """Take an ask back; a slot that was granted meanwhile is released."""
        pending = self._by_command.get(id(command))
        if pending is not None:
            self._end(pending)
            self._limits.finish(command.account, command.policy)
            return []
        if not command.reply.is_set:
            return []
        granted = command.reply.value
        if isinstance(granted, Ok) and granted.ok_value.number is not None:
            return self.release(granted.ok_value.number, now)
        return []

    def release(self, number: int, now: Milliseconds) -> list[Outgoing]:
        """Give a slot back; a call that waits may ask for it."""
        command = self._granted.pop(number, None)
        if command is not None:
            self._queue.released(command.service)
            self._limits.finish(command.account, command.policy)
        return self._ledger.release(number, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Refuse the calls that waited long enough and let others ask."""
        for call in self._queue.expire(now):
            pending = self._calls[call.number]
            limit = pending.command.policy.queue_deadline_ms
            self._refuse(pending, f"no target had room within {limit} ms")
        return self.settle(now)

    def settle(self, now: Milliseconds) -> list[Outgoing]:
        """Take what became of asks, and go on with the calls that wait."""
        outgoing = self._take_outcomes(now)
        while due := self._queue.due(now):
            for call in due:
                outgoing += self._begin(self._calls[call.number], now)
            outgoing += self._take_outcomes(now)
        return outgoing

    def _take_outcomes(self, now: Milliseconds) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        while outcomes := self._ledger.take_outcomes():
            for outcome in outcomes:
                outgoing += self._take(outcome, now)
        return outgoing

    def _take(self, outcome: SlotOutcome, now: Milliseconds) -> list[Outgoing]:
        pending = self._by_ask.pop(outcome.number, None)
        if pending is None or pending.placing is None:
            return []
        granted = pending.placing.on_outcome(outcome)
        if pending.ended:
            return self._ledger.release(outcome.number, now) if granted else []
        if not granted:
            return self._ask_next(pending, now)
        self._granted[outcome.number] = pending.command
        self._end(pending)
        # Where there was room for one there may be more.
        self._queue.released(pending.command.service)
        pending.command.reply.put(Ok(pending.placing.placement))
        return []

    def _begin(self, pending: _Pending, now: Milliseconds) -> list[Outgoing]:
        """Ask the candidates, the best first."""
        command = pending.command
        lifetime = max(MIN_LIFETIME, command.deadline - now)
        candidates = self.candidates(command, now)
        if self._queue.holds(pending.number):
            candidates = self._for_retry(candidates)
        pending.placing = Placing(
            command.service,
            candidates,
            command.policy,
            Milliseconds(min(lifetime, self._settings.slot_lifetime_ms)),
        )
        return self._ask_next(pending, now)

    def _for_retry(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the best and some others, as each ask costs control bytes."""
        others = candidates[RETRY_BEST:]
        count = min(RETRY_OTHERS, len(others))
        return candidates[:RETRY_BEST] + self._rng.sample(others, count)

    def _ask_next(self, pending: _Pending, now: Milliseconds) -> list[Outgoing]:
        if pending.placing is None:
            raise AssertionError(f"expected a round of asks of {pending.command}")
        ask = pending.placing.next_ask()
        if ask is None:
            self._wait(pending, now)
            return []
        number, outgoing = self._ledger.request_slot(ask, now)
        self._by_ask[number] = pending
        return outgoing

    def _wait(self, pending: _Pending, now: Milliseconds) -> None:
        """Wait, or go on waiting after an ask in vain."""
        if self._queue.holds(pending.number):
            self._queue.refused(pending.number, now)
            return
        if pending.waits_until <= now:
            self._refuse(pending, "no target had room in time")
            return
        limit = pending.command.policy.queue_length
        shed = self._queue.offer(pending.waiting_call(), limit)
        if shed is not None:
            self._refuse(self._calls[shed.number], "no target had room, queue full")

    def _refuse(self, pending: _Pending, reason: str) -> None:
        command = pending.command
        limit = command.policy.queue_length
        retry_after = self._queue.retry_after_ms(command.service, limit)
        self._end(pending)
        self._limits.finish(command.account, command.policy)
        reason = f"{reason}: {_answers(pending)}"
        refusal = Refusal(503, "no-capacity", reason, Verdict.NOT_RUN, retry_after)
        command.reply.put(Err(refusal))

    def _end(self, pending: _Pending) -> None:
        """Forget a call; a slot that is granted later is released at once."""
        pending.ended = True
        del self._by_command[id(pending.command)]
        del self._calls[pending.number]
        self._queue.remove(pending.number)


def _answers(pending: _Pending) -> str:
    """Return what the targets that were asked last said."""
    if pending.placing is None:
        return "none was asked yet"
    steps = pending.placing.placement.steps
    reasons = sorted({step.refused.value for step in steps if step.refused})
    return ", ".join(reasons) or "none takes work"
