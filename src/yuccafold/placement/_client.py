"""The requesting side: slots that this VM has requested or holds."""

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
from yuccafold.placement._outcome import SlotGranted
from yuccafold.placement._outcome import SlotOutcome
from yuccafold.placement._outcome import SlotRefused
from yuccafold.placement._outcome import SlotSpec
from yuccafold.placement._view import LedgerSettings


@dataclass(slots=True)
class _Pending:
    spec: SlotSpec
    owner: VmId
    requested_at: int
    expires_at: int


@dataclass(slots=True)
class _Held:
    spec: SlotSpec
    expires_at: int
    recorded_by: set[VmId]
    finished: bool = False


@final
@dataclass(slots=True)
class SlotClient:
    """Tracks the slots of this VM's requests from slot request to release.

    The slot of a finished request is released only when no owner counts a floor
    that includes it, so floors never exceed the number of held slots.
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
    _next_expiry_at: float = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether no slot is requested or held."""
        return not self._pending and not self._held

    def knows(self, number: int) -> bool:
        """Return whether the slot ``number`` is requested or held."""
        return number in self._pending or number in self._held

    def target(self, number: int) -> TargetId | None:
        """Return the target of the pending slot request ``number``, if any."""
        pending = self._pending.get(number)
        return None if pending is None else pending.spec.target

    def pop_outcomes(self) -> list[SlotOutcome]:
        """Return and clear the outcomes since the last call, in order."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes

    def running(self, service: ServiceId) -> int:
        """Return how many unfinished requests of ``service`` hold slots."""
        return self._running[service]

    def unreleased(self, service: ServiceId) -> int:
        """Return the held slots of ``service``, including those of ended requests."""
        return self._unreleased[service]

    def floors(self, now: Milliseconds) -> dict[ServiceId, int]:
        """Return, by service, how many requests may outlast a floor's lease."""
        horizon = now + self.settings.floor_lease_ms
        ending = Counter(
            held.spec.service
            for held in self._held.values()
            if held.expires_at <= horizon and not held.finished
        )
        return {
            service: running - ending[service]
            for service, running in self._running.items()
        }

    def request(
        self, number: int, spec: SlotSpec, owner: VmId, now: Milliseconds
    ) -> None:
        """Record a slot request that is sent to ``owner``."""
        expires_at = now + spec.lifetime_ms
        self._pending[number] = _Pending(spec, owner, now, expires_at)

    def refuse(self, number: int, reason: DenialReason) -> VmId | None:
        """End a pending slot request without a slot; return its owner, if pending."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        target = pending.spec.target
        self._outcomes.append(SlotRefused(number, target, reason))
        return pending.owner

    def grant(self, number: int, sender: VmId) -> bool:
        """Hold a granted slot; return whether it is still needed."""
        pending = self._pending.get(number)
        if pending is None or pending.owner != sender:
            held = self._held.get(number)
            return held is not None and sender in held.recorded_by
        del self._pending[number]
        spec = pending.spec
        self._held[number] = _Held(spec, pending.expires_at, {sender})
        self._next_expiry_at = min(self._next_expiry_at, pending.expires_at)
        self._running[spec.service] += 1
        self._unreleased[spec.service] += 1
        expires_at = Milliseconds(pending.expires_at)
        self._outcomes.append(SlotGranted(number, spec.target, expires_at))
        return True

    def mark_recorded(self, numbers: Iterable[int], recorder: VmId) -> None:
        """Record that ``recorder`` knows these slots, so it gets their release."""
        for number in numbers:
            if number in self._held:
                self._held[number].recorded_by.add(recorder)

    def finish(self, number: int) -> None:
        """Mark the request as ended; ``releases`` returns its slot when allowed."""
        held = self._held.get(number)
        if held is not None and not held.finished:
            held.finished = True
            self._finished[number] = None
            self._running[held.spec.service] -= 1

    def releases(self, bounds: dict[ServiceId, int]) -> list[Outgoing]:
        """Release finished slots while held slots exceed ``bounds``, the floors."""
        numbers: dict[VmId, list[int]] = {}
        for number in tuple(self._finished):
            held = self._held[number]
            service = held.spec.service
            if self._unreleased[service] > bounds.get(service, 0):
                self._remove(number)
                for vm in sorted(held.recorded_by):
                    numbers.setdefault(vm, []).append(number)
        return [
            Outgoing(vm, SlotRelease(self.incarnation, tuple(released)))
            for vm, released in numbers.items()
        ]

    def services(self) -> tuple[ServiceId, ...]:
        """Return the services for which this VM has held slots."""
        return tuple(self._running)

    def _remove(self, number: int) -> None:
        held = self._held.pop(number)
        self._finished.pop(number, None)
        self._unreleased[held.spec.service] -= 1
        if not held.finished:
            self._running[held.spec.service] -= 1

    def expire(self, now: Milliseconds) -> None:
        """Drop expired slots; the requests that held them have been cut off."""
        if now < self._next_expiry_at:
            return
        for number, held in tuple(self._held.items()):
            if held.expires_at <= now:
                self._remove(number)
        expiries = (held.expires_at for held in self._held.values())
        self._next_expiry_at = min(expiries, default=math.inf)

    def overdue(self, now: Milliseconds) -> list[int]:
        """Return the slot requests that got no answer within the timeout."""
        limit = now - self.settings.answer_timeout_ms
        return [
            number
            for number, pending in self._pending.items()
            if pending.requested_at <= limit
        ]

    def requests_to_other_owners(
        self, targets: Iterable[TargetId], owner: VmId
    ) -> list[int]:
        """Return pending requests on ``targets`` not sent to ``owner``."""
        names = frozenset(targets)
        return [
            number
            for number, pending in self._pending.items()
            if pending.spec.target in names and pending.owner != owner
        ]

    def held(self, targets: Iterable[TargetId], now: Milliseconds) -> list[HeldSlot]:
        """Return the slots held on ``targets``, as reported to other VMs."""
        names = frozenset(targets)
        return [
            self._as_held_slot(number, now)
            for number, held in self._held.items()
            if held.spec.target in names
        ]

    def held_numbers(self, numbers: Iterable[int], now: Milliseconds) -> list[HeldSlot]:
        """Return those of ``numbers`` that are held, as reported to other VMs."""
        return [
            self._as_held_slot(number, now)
            for number in numbers
            if number in self._held
        ]

    def _as_held_slot(self, number: int, now: Milliseconds) -> HeldSlot:
        held = self._held[number]
        remaining = held.expires_at - now
        target = held.spec.target
        return HeldSlot(target, self.me, self.incarnation, number, remaining)

    def mark_targets_recorded(
        self, recorder: VmId, targets: Iterable[TargetId]
    ) -> None:
        """Record that ``recorder`` now knows the slots held on ``targets``."""
        names = frozenset(targets)
        for held in self._held.values():
            if held.spec.target in names:
                held.recorded_by.add(recorder)
