"""Floors: leased lower bounds of requests in flight, which VMs send each other.

An owner may count a floor only while its sender keeps at least that many slots.
The sender must honor every floor that the receiver might still count: the last
acknowledged one and all later ones, until their leases expire by its own clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.placement._messages import Floors
from yuccafold.placement._messages import FloorsReply
from yuccafold.placement._messages import ServiceFloor
from yuccafold.placement._messages import TargetLoad
from yuccafold.placement._view import LedgerSettings

IDLE_AFTER_LEASES = 10
"""After this many lease periods with nothing in flight, a VM counts as idle and
renews its floors only once per as many periods."""


@dataclass(slots=True)
class _FloorsLease:
    sequence: int
    floors: dict[ServiceId, int]
    expires_at: int


@dataclass(slots=True)
class _Receiver:
    stamp: int = 0
    stamped_by: Incarnation = Incarnation(0)
    stamped_at: int = 0
    sequence: int = 0
    # So long ago that the first floors are due immediately.
    sent_at: int = -1_000_000
    sent: deque[_FloorsLease] = field(default_factory=deque)
    acknowledged: bool = True
    last_reply_at: int = -1


@final
class SentFloors:
    """Floors that this VM has sent to each owner."""

    def __init__(self, incarnation: Incarnation, settings: LedgerSettings) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._last_busy_at = 0
        self._receivers: dict[VmId, _Receiver] = {}

    def receivers_changed(self, vms: Iterable[VmId]) -> None:
        """Send floors to ``vms`` from now on; those of other VMs expire."""
        for vm in vms:
            self._receivers.setdefault(vm, _Receiver())
        for vm in set(self._receivers) - set(vms):
            # A receiver without a stamp gets no lease, and it is sent nothing.
            self._receivers[vm].stamp = 0

    def bound(self, service: ServiceId, now: Milliseconds) -> int:
        """Return the highest floor that any owner may count at ``now``."""
        return max(
            (
                lease.floors.get(service, 0)
                for receiver in self._receivers.values()
                for lease in receiver.sent
                if lease.expires_at > now
            ),
            default=0,
        )

    def messages(
        self,
        current: Mapping[ServiceId, int],
        vms: Iterable[VmId],
        now: Milliseconds,
    ) -> list[Outgoing]:
        """Return the floors that are due: to renew, to change or to send again."""
        if any(current.values()):
            self._last_busy_at = now
        return [
            Outgoing(vm, self._next_floors(self._receivers[vm], current, now))
            for vm in vms
            if self._is_due(self._receivers[vm], current, now)
        ]

    def _is_due(
        self, receiver: _Receiver, current: Mapping[ServiceId, int], now: Milliseconds
    ) -> bool:
        waited = now - receiver.sent_at
        if not receiver.acknowledged:
            return waited >= self._settings.answer_timeout_ms
        last = receiver.sent[-1].floors if receiver.sent else {}
        lease = self._settings.floor_lease_ms
        if (
            not any(last.values())
            and now - self._last_busy_at >= IDLE_AFTER_LEASES * lease
        ):
            # An expired lease on floors of zero loses nothing, and the next reply
            # brings a fresh stamp.
            return waited >= IDLE_AFTER_LEASES * lease
        if waited >= lease // 2:
            return True
        if any(current.get(name, 0) < value for name, value in last.items()):
            # A floor that no longer holds is lowered at once.
            return True
        return waited >= self._settings.floor_interval_ms and last != current

    def _next_floors(
        self, receiver: _Receiver, current: Mapping[ServiceId, int], now: Milliseconds
    ) -> Floors:
        receiver.sequence += 1
        receiver.sent_at = now
        receiver.acknowledged = False
        expires_at = receiver.stamped_at + self._settings.floor_lease_ms
        if receiver.stamp:
            lease = _FloorsLease(receiver.sequence, dict(current), expires_at)
            receiver.sent.append(lease)
        while receiver.sent and receiver.sent[0].expires_at <= now:
            receiver.sent.popleft()
        floors = tuple(ServiceFloor(name, value) for name, value in current.items())
        return Floors(
            self._incarnation,
            receiver.sequence,
            receiver.stamp,
            receiver.stamped_by,
            floors,
        )

    def is_unresponsive(self, vm: VmId, now: Milliseconds) -> bool:
        """Return whether ``vm`` owes a reply and last replied over a lease ago."""
        receiver = self._receivers.get(vm)
        return (
            receiver is not None
            and not receiver.acknowledged
            and receiver.last_reply_at >= 0
            and now - receiver.last_reply_at > self._settings.floor_lease_ms
        )

    def on_reply(self, sender: VmId, reply: FloorsReply, now: Milliseconds) -> None:
        """Process an acknowledgement; the receiver no longer counts older floors."""
        receiver = self._receivers.get(sender)
        if receiver is None:
            return
        while receiver.sent and receiver.sent[0].sequence < reply.sequence:
            receiver.sent.popleft()
        if reply.sequence == receiver.sequence:
            receiver.acknowledged = True
        receiver.last_reply_at = now
        newest = (receiver.stamped_by, receiver.stamp)
        if (reply.stamped_by, reply.stamp) > newest:
            receiver.stamp = reply.stamp
            receiver.stamped_by = reply.stamped_by
            receiver.stamped_at = now


@dataclass(slots=True)
class _Received:
    incarnation: Incarnation
    sequence: int
    floors: dict[ServiceId, int]
    expires_at: int


@final
class ReceivedFloors:
    """Floors that this VM received from other VMs."""

    def __init__(self, incarnation: Incarnation, settings: LedgerSettings) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._received: dict[VmId, _Received] = {}

    def on_floors(
        self,
        sender: VmId,
        message: Floors,
        loads: tuple[TargetLoad, ...],
        now: Milliseconds,
    ) -> FloorsReply:
        """Store floors of ``sender`` if they are newer; return the acknowledgement."""
        known = self._received.get(sender)
        order = (message.incarnation, message.sequence)
        if known is None or order > (known.incarnation, known.sequence):
            self._received[sender] = _Received(
                message.incarnation,
                message.sequence,
                {floor.service: floor.in_flight for floor in message.floors},
                self._lease_expiry(message),
            )
        # A stamp of 0 means none, so the smallest stamp sent is 1.
        return FloorsReply(message.sequence, max(1, now), self._incarnation, loads)

    def _lease_expiry(self, message: Floors) -> int:
        if message.stamp == 0 or message.stamped_by != self._incarnation:
            return 0
        return message.stamp + self._settings.floor_lease_ms

    def total(self, service: ServiceId, now: Milliseconds) -> int:
        """Return the sum of the floors with unexpired leases at ``now``."""
        return sum(
            received.floors.get(service, 0)
            for received in self._received.values()
            if received.expires_at > now
        )

    def expire_all(self) -> None:
        """Expire every lease, but keep the sequence numbers."""
        for received in self._received.values():
            received.expires_at = 0
