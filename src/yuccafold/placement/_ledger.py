"""The load ledger of one VM: requests, holds, counts and grants slots."""

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
from yuccafold.placement._floors import ReceivedFloors
from yuccafold.placement._floors import SentFloors
from yuccafold.placement._messages import DenialReason
from yuccafold.placement._messages import Floors
from yuccafold.placement._messages import FloorsReply
from yuccafold.placement._messages import HeldSlot
from yuccafold.placement._messages import LeaveNotice
from yuccafold.placement._messages import RecordReply
from yuccafold.placement._messages import RecordRequest
from yuccafold.placement._messages import SlotDenial
from yuccafold.placement._messages import SlotGrant
from yuccafold.placement._messages import SlotQuery
from yuccafold.placement._messages import SlotRelease
from yuccafold.placement._messages import SlotReport
from yuccafold.placement._messages import SlotRequest
from yuccafold.placement._outcome import SlotOutcome
from yuccafold.placement._outcome import SlotSpec
from yuccafold.placement._owner import SlotOwner
from yuccafold.placement._slots import SlotKey
from yuccafold.placement._view import FleetView
from yuccafold.placement._view import LedgerSettings

InFlightSource = Callable[[ServiceId, Milliseconds], int]
"""Returns a lower bound of the requests in flight on other VMs."""


@final
class LoadLedger:
    """Keeps every admission within ceil(multiple * (in flight + 1) / targets).

    ``request_slot`` requests a slot; ``pop_outcomes`` returns the outcome, which
    may be available at once. ``release`` gives a held slot back. ``tick`` must be
    called ten times a second.
    """

    def __init__(
        self,
        me: VmId,
        incarnation: Incarnation,
        settings: LedgerSettings,
        now: Milliseconds,
        others: InFlightSource | None = None,
    ) -> None:
        """Create a ledger without slots.

        ``others`` replaces the floors that VMs send directly to each other, which
        cost one message for every pair of VMs.
        """
        self._others_in_flight = others
        self._me = me
        self._incarnation = incarnation
        self._settings = settings
        self._owner = SlotOwner(me, incarnation, settings, now)
        self._client = SlotClient(me, incarnation, settings)
        self._sent_floors = SentFloors(incarnation, settings)
        self._received_floors = ReceivedFloors(incarnation, settings)
        self._pauses = PauseDetector(settings.pause_limit_ms, now)
        self._view_updated_at = -1
        self._peers: tuple[VmId, ...] = ()
        self._last_listed_at = now
        # Floors of this VM's previous process may be in force until then, so its
        # slots must stay counted for that long. Owners drop them when they see the
        # new incarnation, so no other VM may learn of this process earlier.
        self._ready_at = now + settings.floor_lease_ms
        self._last_number = 0
        self._record_attempts: dict[int, int] = {}
        self._loads: dict[TargetId, int] = {}

    @property
    def owner(self) -> SlotOwner:
        """The granting side, exposed for operators and tests."""
        return self._owner

    @property
    def client(self) -> SlotClient:
        """The requesting side, exposed for operators and tests."""
        return self._client

    @property
    def ready_at(self) -> Milliseconds:
        """The time before which this process requests no slots and sends no floors."""
        return Milliseconds(self._ready_at)

    def view_changed(self, view: FleetView, now: Milliseconds) -> list[Outgoing]:
        """Apply a fresh view; call it after each pause, even with an equal view."""
        self._observe(now)
        self._view_updated_at = now
        if self._me in view.vms:
            self._last_listed_at = now
        before = self._owner.owners
        self._owner.view_changed(view, now)
        self._peers = tuple(vm for vm in view.vms if vm != self._me)
        self._sent_floors.receivers_changed(self._peers)
        targets = [s.id for states in view.targets.values() for s in states]
        moved = [
            target
            for target in targets
            if self._owner.owners.owner(target) == self._me
            and before.owner(target) == self._me
            and self._owner.owners.successor(target) != before.successor(target)
        ]
        self._schedule_records(moved, now)
        return self.tick(now)

    def request_slot(self, spec: SlotSpec, now: Milliseconds) -> tuple[int, list]:
        """Request a slot; return its number and the messages to send."""
        self._observe(now)
        self._last_number += 1
        number = self._last_number
        owner = self._owner.owners.owner(spec.target)
        if spec.lifetime_ms > self._settings.slot_lifetime_ms:
            raise ValueError(
                f"expected a lifetime of at most {self._settings.slot_lifetime_ms} ms,"
                f" got {spec.lifetime_ms} ms"
            )
        self._client.request(number, spec, owner or self._me, now)
        if now < self._ready_at:
            self._client.refuse(number, DenialReason.NOT_READY)
            return number, []
        if owner is None or self._is_stale:
            self._client.refuse(number, DenialReason.STALE_VIEW)
            return number, []
        if self._sent_floors.is_unresponsive(owner, now):
            self._client.refuse(number, DenialReason.UNANSWERED)
            return number, []
        if owner == self._me:
            return number, self._grant_local(number, spec, now)
        request = SlotRequest(
            spec.service,
            spec.target,
            self._incarnation,
            number,
            spec.lifetime_ms,
            spec.multiple,
        )
        return number, [Outgoing(owner, request)]

    def release(self, number: int, now: Milliseconds) -> list[Outgoing]:
        """Release the slot ``number`` after its request ended."""
        self._client.finish(number)
        return self._releases_and_floors(now)

    def pop_outcomes(self) -> list[SlotOutcome]:
        """Return and clear the outcomes of slot requests since the last call."""
        return self._client.pop_outcomes()

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Expire slots, renew floors and retry messages that are due."""
        self._observe(now)
        self._client.expire(now)
        outgoing = []
        for number in self._client.overdue(now):
            outgoing += self._cancel(number, DenialReason.UNANSWERED)
        outgoing += self._owner.tick(self._client.held, now)
        self._record_taken_over(now)
        outgoing += self._retry_records(now)
        return outgoing + self._releases_and_floors(now)

    def leave(self, now: Milliseconds) -> list[Outgoing]:
        """Return leave messages if no other VM needs this VM's records, else none."""
        waited = now - self._last_listed_at >= 2 * self._settings.list_lag_ms
        if not waited or not self._client.is_idle or not self._owner.may_leave:
            return []
        return [Outgoing(vm, LeaveNotice()) for vm in self._peers]

    def loads(self) -> Mapping[TargetId, int]:
        """Return the last known requests in flight per target; some are outdated."""
        owned = {load.target: load.in_flight for load in self._owner.loads()}
        return {**self._loads, **owned}

    def in_flight(self, service: ServiceId, now: Milliseconds) -> int:
        """Return a lower bound of the service's requests in flight."""
        if self._others_in_flight is not None:
            others = self._others_in_flight(service, now)
        else:
            floors = self._received_floors.total(service, now)
            others = max(0, floors - self._settings.completion_margin)
        return self._client.running(service) + others

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Handle a message of another VM; return the messages to send.

        Messages sent to an earlier process of this VM must not be passed in.
        """
        self._observe(now)
        return self._handle(message, sender, now)

    @property
    def _is_stale(self) -> bool:
        return self._view_updated_at < max(0, self._pauses.leases_expired_before)

    def _observe(self, now: Milliseconds) -> None:
        if self._pauses.observe(now):
            self._owner.reset(now)
            self._received_floors.expire_all()

    def _releases_and_floors(self, now: Milliseconds) -> list[Outgoing]:
        bounds = {
            service: self._sent_floors.bound(service, now)
            for service in self._client.services()
        }
        self._client.expire(now)
        released = self._client.releases(bounds)
        for outgoing in released:
            if outgoing.to == self._me:
                self._remove_released(self._me, outgoing.message)
        outgoing = [out for out in released if out.to != self._me]
        if now < self._ready_at or self._others_in_flight is not None:
            return outgoing
        floors = self._client.floors(now)
        return outgoing + self._sent_floors.messages(floors, self._peers, now)

    def _remove_released(self, holder: VmId, release: SlotRelease) -> None:
        for number in release.numbers:
            self._owner.slots.remove(SlotKey(holder, release.incarnation, number))

    def _schedule_records(self, targets: list[TargetId], now: Milliseconds) -> None:
        overdue = now - self._settings.answer_timeout_ms
        slots = self._client.held(targets, now)
        self._record_attempts.update({slot.number: overdue for slot in slots})

    def _record_taken_over(self, now: Milliseconds) -> None:
        targets = self._owner.pop_taken_over()
        if targets:
            self._client.mark_targets_recorded(self._me, targets)
            self._schedule_records(targets, now)

    def _retry_records(self, now: Milliseconds) -> list[Outgoing]:
        limit = now - self._settings.answer_timeout_ms
        due = [
            number
            for number, attempted_at in self._record_attempts.items()
            if attempted_at <= limit
        ]
        slots = self._client.held_numbers(due, now)
        self._record_attempts.update(dict.fromkeys(due, now))
        for number in set(due) - {slot.number for slot in slots}:
            del self._record_attempts[number]
        return self._record_requests(slots)

    def _cancel(self, number: int, reason: DenialReason) -> list[Outgoing]:
        owner = self._client.refuse(number, reason)
        release = SlotRelease(self._incarnation, (number,))
        self._remove_released(self._me, release)
        return [] if owner in (None, self._me) else [Outgoing(owner, release)]

    def _grant(
        self, key: SlotKey, spec: SlotSpec, now: Milliseconds
    ) -> DenialReason | None:
        if self._is_stale:
            return DenialReason.STALE_VIEW
        self._client.expire(now)
        in_flight = self.in_flight(spec.service, now)
        limit = self._owner.limit(spec.service, spec.multiple, in_flight, now)
        lifetime = min(spec.lifetime_ms, self._settings.slot_lifetime_ms)
        expires_at = Milliseconds(now + lifetime)
        return self._owner.grant(key, spec.target, limit, expires_at, now)

    def _grant_local(self, number: int, spec: SlotSpec, now: Milliseconds) -> list:
        key = SlotKey(self._me, self._incarnation, number)
        reason = self._grant(key, spec, now)
        if reason is not None:
            self._client.refuse(number, reason)
            return []
        successor = self._owner.owners.successor(spec.target)
        if successor is None:
            self._client.grant(number, self._me)
            return []
        lifetime = spec.lifetime_ms
        slot = HeldSlot(spec.target, self._me, self._incarnation, number, lifetime)
        return self._record_requests([slot])

    def _record_requests(self, slots: list[HeldSlot]) -> list[Outgoing]:
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
    def _handle(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        raise TypeError(f"expected a placement message, got {message!r}")

    @_handle.register
    def _(self, message: SlotRequest, sender: VmId, now: Milliseconds) -> list:
        self._owner.record_incarnation(sender, message.incarnation, now)
        key = SlotKey(sender, message.incarnation, message.number)
        lifetime = Milliseconds(message.lifetime_ms)
        spec = SlotSpec(message.service, message.target, lifetime, message.multiple)
        reason = self._grant(key, spec, now)
        if reason is not None:
            return [Outgoing(sender, SlotDenial(message.number, reason))]
        in_flight = self._owner.slots.count(message.target)
        return [Outgoing(sender, SlotGrant(message.number, in_flight))]

    @_handle.register
    def _(self, message: SlotGrant, sender: VmId, now: Milliseconds) -> list:
        target = self._client.target(message.number)
        if target is not None:
            self._loads[target] = message.in_flight
        if self._client.grant(message.number, sender):
            return self._releases_and_floors(now)
        return [self._release_to(sender, message.number)]

    def _release_to(self, vm: VmId, number: int) -> Outgoing:
        return Outgoing(vm, SlotRelease(self._incarnation, (number,)))

    @_handle.register
    def _(self, message: SlotDenial, sender: VmId, now: Milliseconds) -> list:
        self._client.refuse(message.number, message.reason)
        return []

    @_handle.register
    def _(self, message: SlotRelease, sender: VmId, now: Milliseconds) -> list:
        self._remove_released(sender, message)
        return []

    @_handle.register
    def _(self, message: RecordRequest, sender: VmId, now: Milliseconds) -> list:
        accepted = all(self._owner.accepts_record(s.target) for s in message.slots)
        for slot in message.slots if accepted else ():
            self._owner.record_incarnation(slot.holder, slot.incarnation, now)
            key = SlotKey(slot.holder, slot.incarnation, slot.number)
            expires_at = Milliseconds(now + slot.remaining_ms)
            self._owner.slots.add(key, slot.target, expires_at)
        numbers = tuple(slot.number for slot in message.slots)
        return [Outgoing(sender, RecordReply(numbers, accepted))]

    @_handle.register
    def _(self, message: RecordReply, sender: VmId, now: Milliseconds) -> list:
        outgoing = []
        for number in message.numbers:
            if not message.accepted:
                outgoing += self._cancel(number, DenialReason.NOT_OWNER)
                continue
            self._record_attempts.pop(number, None)
            if not self._client.grant(number, self._me):
                outgoing.append(self._release_to(sender, number))
        self._client.mark_recorded(message.numbers, sender)
        return outgoing + self._releases_and_floors(now)

    @_handle.register
    def _(self, message: Floors, sender: VmId, now: Milliseconds) -> list:
        self._owner.record_incarnation(sender, message.incarnation, now)
        loads = self._owner.loads()
        reply = self._received_floors.on_floors(sender, message, loads, now)
        return [Outgoing(sender, reply)]

    @_handle.register
    def _(self, message: FloorsReply, sender: VmId, now: Milliseconds) -> list:
        self._sent_floors.on_reply(sender, message, now)
        self._loads.update({load.target: load.in_flight for load in message.loads})
        return self._releases_and_floors(now)

    @_handle.register
    def _(self, message: SlotQuery, sender: VmId, now: Milliseconds) -> list:
        if now < self._ready_at:
            return []
        outgoing = []
        for number in self._client.requests_to_other_owners(message.targets, sender):
            outgoing += self._cancel(number, DenialReason.NOT_OWNER)
        local_slots = self._client.held(message.targets, now)
        self._client.mark_targets_recorded(sender, message.targets)
        report = self._owner.on_query(message, local_slots, now)
        return [*outgoing, Outgoing(sender, report)]

    @_handle.register
    def _(self, message: SlotReport, sender: VmId, now: Milliseconds) -> list:
        self._owner.record_incarnation(sender, message.incarnation, now)
        return self._owner.on_report(sender, message, now)

    @_handle.register
    def _(self, message: LeaveNotice, sender: VmId, now: Milliseconds) -> list:
        self._owner.record_clean_leave(sender)
        return []
