"""The side that asks: slots that this VM waits for and holds."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.placement._messages import DenialReason
from yuccafold.placement._messages import HeldSlot
from yuccafold.placement._messages import SlotRelease
from yuccafold.placement._outcome import SlotAsk
from yuccafold.placement._outcome import SlotGranted
from yuccafold.placement._outcome import SlotOutcome
from yuccafold.placement._outcome import SlotRefused
from yuccafold.placement._view import LedgerSettings


@dataclass(slots=True)
class _Pending:
    ask: SlotAsk
    asked: VmId
    asked_at: int
    expires_at: int


@dataclass(slots=True)
class _Held:
    ask: SlotAsk
    expires_at: int
    knowers: set[VmId]
    finished: bool = False


@final
@dataclass(slots=True)
class SlotClient:
    """The slots of this VM's own requests, from the ask to the release.

    A finished request's slot is given back only when no owner counts a floor
    that includes it, so the floors never exceed the slots that are held.
    """

    me: VmId
    incarnation: Incarnation
    settings: LedgerSettings
    _pending: dict[int, _Pending] = field(default_factory=dict)
    _held: dict[int, _Held] = field(default_factory=dict)
    _unreleased: Counter[ServiceId] = field(default_factory=Counter)
    _running: Counter[ServiceId] = field(default_factory=Counter)
    _outcomes: list[SlotOutcome] = field(default_factory=list)
    _finished: dict[int, None] = field(default_factory=dict)
    _earliest: float = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether nothing is asked for or held."""
        return not self._pending and not self._held

    def knows(self, number: int) -> bool:
        """Return whether the slot ``number`` is asked for or held."""
        return number in self._pending or number in self._held

    def target(self, number: int) -> TargetId | None:
        """Return the target that the open ask ``number`` is for."""
        pending = self._pending.get(number)
        return None if pending is None else pending.ask.target

    def take_outcomes(self) -> list[SlotOutcome]:
        """Return the outcomes since the last call, in order."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes

    def running(self, service: ServiceId) -> int:
        """Return how many requests of ``service`` hold slots and go on."""
        return self._running[service]

    def unreleased(self, service: ServiceId) -> int:
        """Return how many slots of ``service`` are held, ended requests' too."""
        return self._unreleased[service]

    def floors(self, now: Milliseconds) -> dict[ServiceId, int]:
        """Return the requests of each service that outlast a floor's lease."""
        horizon = now + self.settings.floor_lease_ms
        ending = Counter(
            held.ask.service
            for held in self._held.values()
            if held.expires_at <= horizon and not held.finished
        )
        return {
            service: running - ending[service]
            for service, running in self._running.items()
        }

    def ask(self, number: int, ask: SlotAsk, owner: VmId, now: Milliseconds) -> None:
        """Note that ``owner`` was asked."""
        expires_at = now + ask.lifetime_ms
        self._pending[number] = _Pending(ask, owner, now, expires_at)

    def refuse(self, number: int, reason: DenialReason) -> VmId | None:
        """End an ask without a slot; return who was asked, if it was open."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        target = pending.ask.target
        self._outcomes.append(SlotRefused(number, target, reason))
        return pending.asked

    def grant(self, number: int, sender: VmId) -> bool:
        """Hold a granted slot; return whether it was still wanted."""
        pending = self._pending.get(number)
        if pending is None or pending.asked != sender:
            held = self._held.get(number)
            return held is not None and sender in held.knowers
        del self._pending[number]
        ask = pending.ask
        self._held[number] = _Held(ask, pending.expires_at, {sender})
        self._earliest = min(self._earliest, pending.expires_at)
        self._running[ask.service] += 1
        self._unreleased[ask.service] += 1
        expires_at = Milliseconds(pending.expires_at)
        self._outcomes.append(SlotGranted(number, ask.target, expires_at))
        return True

    def recorded(self, numbers: Iterable[int], recorder: VmId) -> None:
        """Note that ``recorder`` knows held slots and must hear of their end."""
        for number in numbers:
            if number in self._held:
                self._held[number].knowers.add(recorder)

    def finish(self, number: int) -> None:
        """Note that the request ended; its slot is given back when it may be."""
        held = self._held.get(number)
        if held is not None and not held.finished:
            held.finished = True
            self._finished[number] = None
            self._running[held.ask.service] -= 1

    def releases(self, bounds: dict[ServiceId, int]) -> list[Outgoing]:
        """Give finished slots back as far as ``bounds``, the floors, allow."""
        numbers: dict[VmId, list[int]] = {}
        for number in tuple(self._finished):
            held = self._held[number]
            service = held.ask.service
            if self._unreleased[service] > bounds.get(service, 0):
                self._forget(number)
                for vm in sorted(held.knowers):
                    numbers.setdefault(vm, []).append(number)
        return [
            Outgoing(vm, SlotRelease(self.incarnation, tuple(ended)))
            for vm, ended in numbers.items()
        ]

    def services(self) -> tuple[ServiceId, ...]:
        """Return the services that have had requests here."""
        return tuple(self._running)

    def _forget(self, number: int) -> None:
        held = self._held.pop(number)
        self._finished.pop(number, None)
        self._unreleased[held.ask.service] -= 1
        if not held.finished:
            self._running[held.ask.service] -= 1

    def expire(self, now: Milliseconds) -> None:
        """Drop held slots past their time; their requests have been cut off."""
        if now < self._earliest:
            return
        for number, held in tuple(self._held.items()):
            if held.expires_at <= now:
                self._forget(number)
        expiries = (held.expires_at for held in self._held.values())
        self._earliest = min(expiries, default=math.inf)

    def overdue(self, now: Milliseconds) -> list[int]:
        """Return the asks that nobody answered in time."""
        limit = now - self.settings.answer_timeout_ms
        return [n for n, pending in self._pending.items() if pending.asked_at <= limit]

    def abandoned(self, targets: Iterable[TargetId], owner: VmId) -> list[int]:
        """Return the asks on ``targets`` that went to others than ``owner``."""
        names = frozenset(targets)
        return [
            number
            for number, pending in self._pending.items()
            if pending.ask.target in names and pending.asked != owner
        ]

    def held(self, targets: Iterable[TargetId], now: Milliseconds) -> list[HeldSlot]:
        """Return the slots held on ``targets`` as they are told to others."""
        names = frozenset(targets)
        return [
            self._tell(number, now)
            for number, held in self._held.items()
            if held.ask.target in names
        ]

    def held_numbers(self, numbers: Iterable[int], now: Milliseconds) -> list[HeldSlot]:
        """Return those of the numbered slots that are held, as told to others."""
        return [self._tell(number, now) for number in numbers if number in self._held]

    def _tell(self, number: int, now: Milliseconds) -> HeldSlot:
        held = self._held[number]
        remaining = held.expires_at - now
        target = held.ask.target
        return HeldSlot(target, self.me, self.incarnation, number, remaining)

    def known_by(self, vm: VmId, targets: Iterable[TargetId]) -> None:
        """Note that ``vm`` now knows the slots held on ``targets``."""
        names = frozenset(targets)
        for held in self._held.values():
            if held.ask.target in names:
                held.knowers.add(vm)
