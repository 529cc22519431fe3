"""The calls that wait for a slot, from the ask to the release."""

from __future__ import annotations

import random
from typing import final

from result import Err
from result import Ok

from yuccafold._clock import Milliseconds
from yuccafold._ids import ZoneId
from yuccafold._outgoing import Outgoing
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


@final
class _Pending:
    """One ask on its way to an owner."""

    __slots__ = ("cancelled", "command", "placing")

    def __init__(self, command: PlaceCall, placing: Placing) -> None:
        self.command = command
        self.placing = placing
        self.cancelled = False


@final
class Places:
    """Carries each ``PlaceCall`` from candidate to candidate."""

    def __init__(
        self,
        zone: ZoneId,
        ledger: LoadLedger,
        settings: LedgerSettings,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._rng = rng
        self._ranker = Ranker(zone, RankerSettings())
        self._settings = settings
        self._pending: dict[int, _Pending] = {}
        self._by_command: dict[int, _Pending] = {}

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
        """How many calls wait for an owner's answer."""
        return len(self._by_command)

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
            ranked = self._ranker.rank(command.service, command.chat, command.hint, now)
        kept = [each for each in ranked if each.target not in command.excluded]
        # With every target tried already, a second try beats a refusal.
        return kept or ranked

    def place(self, command: PlaceCall, now: Milliseconds) -> list[Outgoing]:
        """Begin to place a call."""
        lifetime = max(MIN_LIFETIME, command.deadline - now)
        placing = Placing(
            command.service,
            self.candidates(command, now),
            command.policy,
            Milliseconds(min(lifetime, self._settings.slot_lifetime_ms)),
        )
        pending = _Pending(command, placing)
        self._by_command[id(command)] = pending
        return self._ask_next(pending, now) + self.settle(now)

    def cancel(self, command: PlaceCall, now: Milliseconds) -> list[Outgoing]:
        """Take an ask back; a slot that was granted meanwhile is released."""
        pending = self._by_command.get(id(command))
        if pending is not None:
            pending.cancelled = True
            return []
        if not command.reply.is_set:
            return []
        granted = command.reply.value
        if isinstance(granted, Ok) and granted.ok_value.number is not None:
            return self.release(granted.ok_value.number, now)
        return []

    def release(self, number: int, now: Milliseconds) -> list[Outgoing]:
        """Give a slot back."""
        return self._ledger.release(number, now)

    def settle(self, now: Milliseconds) -> list[Outgoing]:
        """Take what became of asks and go on with the refused ones."""
        outgoing: list[Outgoing] = []
        while outcomes := self._ledger.take_outcomes():
            for outcome in outcomes:
                outgoing += self._take(outcome, now)
        return outgoing

    def _take(self, outcome: SlotOutcome, now: Milliseconds) -> list[Outgoing]:
        pending = self._pending.pop(outcome.number, None)
        if pending is None:
            return []
        granted = pending.placing.on_outcome(outcome)
        if pending.cancelled:
            self._by_command.pop(id(pending.command))
            return self.release(outcome.number, now) if granted else []
        if not granted:
            return self._ask_next(pending, now)
        self._by_command.pop(id(pending.command))
        pending.command.reply.put(Ok(pending.placing.placement))
        return []

    def _ask_next(self, pending: _Pending, now: Milliseconds) -> list[Outgoing]:
        ask = pending.placing.next_ask()
        if ask is None:
            self._by_command.pop(id(pending.command))
            pending.command.reply.put(Err(pending.placing.refusal(self._rng)))
            return []
        number, outgoing = self._ledger.request_slot(ask, now)
        self._pending[number] = pending
        return outgoing
