"""One VM's part in the fleet's load bound: asks, holds, counts and grants."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from functools import singledispatchmethod
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._clock import PauseDetector
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.placement._client import SlotClient
from yuccafold.placement._floors import GivenFloors
from yuccafold.placement._floors import TakenFloors
from yuccafold.placement._messages import DenialReason
from yuccafold.placement._messages import Farewell
from yuccafold.placement._messages import Floors
from yuccafold.placement._messages import FloorsReply
from yuccafold.placement._messages import HeldSlot
from yuccafold.placement._messages import RecordReply
from yuccafold.placement._messages import RecordRequest
from yuccafold.placement._messages import SlotDenial
from yuccafold.placement._messages import SlotGrant
from yuccafold.placement._messages import SlotQuery
from yuccafold.placement._messages import SlotRelease
from yuccafold.placement._messages import SlotReport
from yuccafold.placement._messages import SlotRequest
from yuccafold.placement._outcome import SlotAsk
from yuccafold.placement._outcome import SlotOutcome
from yuccafold.placement._owner import SlotOwner
from yuccafold.placement._slots import SlotKey
from yuccafold.placement._view import FleetView
from yuccafold.placement._view import LedgerSettings

InFlightSource = Callable[[ServiceId, Milliseconds], int]
"""Returns a lower bound of other VMs' requests in flight."""


@final
class LoadLedger:
    """Keeps every admission within ceil(multiple * (in flight + 1) / targets).

    ``request_slot`` starts an ask; ``take_outcomes`` gives what became of it,
    perhaps at once. A held slot is given back by ``release``. ``tick`` is due
    ten times a second.
    """

    def __init__(
        self,
        me: VmId,
        incarnation: Incarnation,
        settings: LedgerSettings,
        now: Milliseconds,
        others: InFlightSource | None = None,
    ) -> None:
        """Start with nothing held.

        ``others`` replaces the floors that VMs promise directly to each other,
        which cost a message for every pair of VMs.
        """
        self._others = others
        self._me = me
        self._incarnation = incarnation
        self._settings = settings
        self._owner = SlotOwner(me, incarnation, settings, now)
        self._client = SlotClient(me, incarnation, settings)
        self._given = GivenFloors(incarnation, settings)
        self._taken = TakenFloors(incarnation, settings)
        self._pauses = PauseDetector(settings.pause_limit_ms, now)
        self._viewed_at = -1
        self._peers: tuple[VmId, ...] = ()
        self._listed_at = now
        # A former process of this VM may have floors in force until then; its
        # slots must stay counted as long, so nobody may learn of this process.
        self._silent_until = now + settings.floor_lease_ms
        self._number = 0
        self._unrecorded: dict[int, int] = {}
        self._loads: dict[TargetId, int] = {}

    @property
    def owner(self) -> SlotOwner:
        """The side that grants, for operators and tests to look at."""
        return self._owner

    @property
    def client(self) -> SlotClient:
        """The side that asks, for operators and tests to look at."""
        return self._client

    @property
    def grants_from(self) -> Milliseconds:
        """The instant before which this process neither asks nor promises."""
        return Milliseconds(self._silent_until)

    def view_changed(self, view: FleetView, now: Milliseconds) -> list[Outgoing]:
        """Adopt a fresh view; also due after each pause, even if it is equal."""
        self._observe(now)
        self._viewed_at = now
        if self._me in view.vms:
            self._listed_at = now
        before = self._owner.owners
        self._owner.view_changed(view, now)
        self._peers = tuple(vm for vm in view.vms if vm != self._me)
        self._given.receivers_changed(self._peers)
        targets = [s.id for states in view.targets.values() for s in states]
        moved = [
            target
            for target in targets
            if self._owner.owners.owner(target) == self._me
            and before.owner(target) == self._me
            and self._owner.owners.successor(target) != before.successor(target)
        ]
        self._mark_unrecorded(moved, now)
        return self.tick(now)

    def request_slot(self, ask: SlotAsk, now: Milliseconds) -> tuple[int, list]:
        """Ask for a slot; return its number and the messages to send."""
        self._observe(now)
        self._number += 1
        number = self._number
        owner = self._owner.owners.owner(ask.target)
        if ask.lifetime_ms > self._settings.slot_lifetime_ms:
            raise ValueError(
                f"expected a lifetime of at most {self._settings.slot_lifetime_ms} ms,"
                f" got {ask.lifetime_ms} ms"
            )
        self._client.ask(number, ask, owner or self._me, now)
        if now < self._silent_until:
            self._client.refuse(number, DenialReason.NOT_READY)
            return number, []
        if owner is None or self._is_stale:
            self._client.refuse(number, DenialReason.STALE_VIEW)
            return number, []
        if self._given.is_silent(owner, now):
            self._client.refuse(number, DenialReason.UNANSWERED)
            return number, []
        if owner == self._me:
            return number, self._grant_own(number, ask, now)
        request = SlotRequest(
            ask.service,
            ask.target,
            self._incarnation,
            number,
            ask.lifetime_ms,
            ask.multiple,
        )
        return number, [Outgoing(owner, request)]

    def release(self, number: int, now: Milliseconds) -> list[Outgoing]:
        """Note that the request with slot ``number`` ended."""
        self._client.finish(number)
        return self._settle(now)

    def take_outcomes(self) -> list[SlotOutcome]:
        """Return what became of asks since the last call."""
        return self._client.take_outcomes()

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Expire, renew and retry what is due."""
        self._observe(now)
        self._client.expire(now)
        outgoing = []
        for number in self._client.overdue(now):
            outgoing += self._abandon(number, DenialReason.UNANSWERED)
        outgoing += self._owner.tick(self._client.held, now)
        self._record_taken_over(now)
        outgoing += self._retry_records(now)
        return outgoing + self._settle(now)

    def leave(self, now: Milliseconds) -> list[Outgoing]:
        """Say farewell if nothing known here would be missed, else nothing."""
        waited = now - self._listed_at >= 2 * self._settings.list_lag_ms
        if not waited or not self._client.is_idle or not self._owner.is_unneeded:
            return []
        return [Outgoing(vm, Farewell()) for vm in self._peers]

    def loads(self) -> Mapping[TargetId, int]:
        """Return the latest known in-flight of targets, some of it old."""
        own = {load.target: load.in_flight for load in self._owner.loads()}
        return {**self._loads, **own}

    def in_flight(self, service: ServiceId, now: Milliseconds) -> int:
        """Return a lower bound of the service's requests in flight."""
        if self._others is not None:
            others = self._others(service, now)
        else:
            promised = self._taken.total(service, now)
            others = max(0, promised - self._settings.completion_margin)
        return self._client.running(service) + others

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Take a message of another VM; return what to send.

        Messages to an earlier process of this VM must not reach this one.
        """
        self._observe(now)
        return self._on(message, sender, now)

    @property
    def _is_stale(self) -> bool:
        return self._viewed_at < max(0, self._pauses.renewed_after)

    def _observe(self, now: Milliseconds) -> None:
        if self._pauses.observe(now):
            self._owner.void(now)
            self._taken.clear()

    def _settle(self, now: Milliseconds) -> list[Outgoing]:
        bounds = {
            service: self._given.bound(service, now)
            for service in self._client.services()
        }
        self._client.expire(now)
        released = self._client.releases(bounds)
        for outgoing in released:
            if outgoing.to == self._me:
                self._drop(self._me, outgoing.message)
        outgoing = [out for out in released if out.to != self._me]
        if now < self._silent_until or self._others is not None:
            return outgoing
        floors = self._client.floors(now)
        return outgoing + self._given.messages(floors, self._peers, now)

    def _drop(self, holder: VmId, gone: SlotRelease) -> None:
        for number in gone.numbers:
            self._owner.slots.remove(SlotKey(holder, gone.incarnation, number))

    def _mark_unrecorded(self, targets: list[TargetId], now: Milliseconds) -> None:
        overdue = now - self._settings.answer_timeout_ms
        slots = self._client.held(targets, now)
        self._unrecorded.update({slot.number: overdue for slot in slots})

    def _record_taken_over(self, now: Milliseconds) -> None:
        targets = self._owner.take_taken_over()
        if targets:
            self._client.known_by(self._me, targets)
            self._mark_unrecorded(targets, now)

    def _retry_records(self, now: Milliseconds) -> list[Outgoing]:
        limit = now - self._settings.answer_timeout_ms
        due = [number for number, at in self._unrecorded.items() if at <= limit]
        slots = self._client.held_numbers(due, now)
        self._unrecorded.update(dict.fromkeys(due, now))
        for number in set(due) - {slot.number for slot in slots}:
            del self._unrecorded[number]
        return self._record(slots)

    def _abandon(self, number: int, reason: DenialReason) -> list[Outgoing]:
        asked = self._client.refuse(number, reason)
        gone = SlotRelease(self._incarnation, (number,))
        self._drop(self._me, gone)
        return [] if asked in (None, self._me) else [Outgoing(asked, gone)]

    def _grant(
        self, key: SlotKey, ask: SlotAsk, now: Milliseconds
    ) -> DenialReason | None:
        if self._is_stale:
            return DenialReason.STALE_VIEW
        self._client.expire(now)
        in_flight = self.in_flight(ask.service, now)
        limit = self._owner.limit(ask.service, ask.multiple, in_flight, now)
        lifetime = min(ask.lifetime_ms, self._settings.slot_lifetime_ms)
        expires_at = Milliseconds(now + lifetime)
        return self._owner.grant(key, ask.target, limit, expires_at, now)

    def _grant_own(self, number: int, ask: SlotAsk, now: Milliseconds) -> list:
        key = SlotKey(self._me, self._incarnation, number)
        reason = self._grant(key, ask, now)
        if reason is not None:
            self._client.refuse(number, reason)
            return []
        successor = self._owner.owners.successor(ask.target)
        if successor is None:
            self._client.grant(number, self._me)
            return []
        lifetime = ask.lifetime_ms
        slot = HeldSlot(ask.target, self._me, self._incarnation, number, lifetime)
        return self._record([slot])

    def _record(self, slots: list[HeldSlot]) -> list[Outgoing]:
        by_recorder: dict[VmId, list[HeldSlot]] = {}
        for slot in slots:
            successor = self._owner.owners.successor(slot.target)
            if successor is not None:
                by_recorder.setdefault(successor, []).append(slot)
        return [
            Outgoing(recorder, RecordRequest(tuple(recorded)))
            for recorder, recorded in by_recorder.items()
        ]

    @singledispatchmethod
    def _on(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        raise TypeError(f"expected a placement message, got {message!r}")

    @_on.register
    def _(self, message: SlotRequest, sender: VmId, now: Milliseconds) -> list:
        self._owner.see(sender, message.incarnation, now)
        key = SlotKey(sender, message.incarnation, message.number)
        lifetime = Milliseconds(message.lifetime_ms)
        ask = SlotAsk(message.service, message.target, lifetime, message.multiple)
        reason = self._grant(key, ask, now)
        if reason is not None:
            return [Outgoing(sender, SlotDenial(message.number, reason))]
        in_flight = self._owner.slots.count(message.target)
        return [Outgoing(sender, SlotGrant(message.number, in_flight))]

    @_on.register
    def _(self, message: SlotGrant, sender: VmId, now: Milliseconds) -> list:
        target = self._client.target(message.number)
        if target is not None:
            self._loads[target] = message.in_flight
        if self._client.grant(message.number, sender):
            return self._settle(now)
        return [self._release_to(sender, message.number)]

    def _release_to(self, vm: VmId, number: int) -> Outgoing:
        return Outgoing(vm, SlotRelease(self._incarnation, (number,)))

    @_on.register
    def _(self, message: SlotDenial, sender: VmId, now: Milliseconds) -> list:
        self._client.refuse(message.number, message.reason)
        return []

    @_on.register
    def _(self, message: SlotRelease, sender: VmId, now: Milliseconds) -> list:
        self._drop(sender, message)
        return []

    @_on.register
    def _(self, message: RecordRequest, sender: VmId, now: Milliseconds) -> list:
        accepted = all(self._owner.accepts_record(s.target) for s in message.slots)
        for slot in message.slots if accepted else ():
            self._owner.see(slot.holder, slot.incarnation, now)
            key = SlotKey(slot.holder, slot.incarnation, slot.number)
            expires_at = Milliseconds(now + slot.remaining_ms)
            self._owner.slots.add(key, slot.target, expires_at)
        numbers = tuple(slot.number for slot in message.slots)
        return [Outgoing(sender, RecordReply(numbers, accepted))]

    @_on.register
    def _(self, message: RecordReply, sender: VmId, now: Milliseconds) -> list:
        outgoing = []
        for number in message.numbers:
            if not message.accepted:
                outgoing += self._abandon(number, DenialReason.NOT_OWNER)
                continue
            self._unrecorded.pop(number, None)
            if not self._client.grant(number, self._me):
                outgoing.append(self._release_to(sender, number))
        self._client.recorded(message.numbers, sender)
        return outgoing + self._settle(now)

    @_on.register
    def _(self, message: Floors, sender: VmId, now: Milliseconds) -> list:
        self._owner.see(sender, message.incarnation, now)
        loads = self._owner.loads()
        reply = self._taken.on_floors(sender, message, loads, now)
        return [Outgoing(sender, reply)]

    @_on.register
    def _(self, message: FloorsReply, sender: VmId, now: Milliseconds) -> list:
        self._given.on_reply(sender, message, now)
        self._loads.update({load.target: load.in_flight for load in message.loads})
        return self._settle(now)

    @_on.register
    def _(self, message: SlotQuery, sender: VmId, now: Milliseconds) -> list:
        if now < self._silent_until:
            return []
        outgoing = []
        for number in self._client.abandoned(message.targets, sender):
            outgoing += self._abandon(number, DenialReason.NOT_OWNER)
        own = self._client.held(message.targets, now)
        self._client.known_by(sender, message.targets)
        report = self._owner.on_query(message, own, now)
        return [*outgoing, Outgoing(sender, report)]

    @_on.register
    def _(self, message: SlotReport, sender: VmId, now: Milliseconds) -> list:
        self._owner.see(sender, message.incarnation, now)
        return self._owner.on_report(sender, message, now)

    @_on.register
    def _(self, message: Farewell, sender: VmId, now: Milliseconds) -> list:
        self._owner.farewell(sender)
        return []
