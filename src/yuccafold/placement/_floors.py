"""Floors of in-flight requests that VMs promise to each other under leases.

An owner may count a floor only while its sender is bound by it. The sender is
bound by every floor that the receiver might still count: the last acknowledged
one and all later ones, until the lease of each has ended by the sender's clock.
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

IDLE_LEASES = 10
"""A VM that had nothing in flight for so many leases renews them as seldom."""


@dataclass(slots=True)
class _Promise:
    sequence: int
    floors: dict[ServiceId, int]
    lapses_at: int


@dataclass(slots=True)
class _Receiver:
    stamp: int = 0
    stamped_by: Incarnation = Incarnation(0)
    stamped_at: int = 0
    sequence: int = 0
    sent_at: int = -1_000_000
    sent: deque[_Promise] = field(default_factory=deque)
    answered: bool = True
    answered_at: int = -1


@final
class GivenFloors:
    """The floors that this VM has promised to each owner."""

    def __init__(self, incarnation: Incarnation, settings: LedgerSettings) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._busy_at = 0
        self._receivers: dict[VmId, _Receiver] = {}

    def receivers_changed(self, vms: Iterable[VmId]) -> None:
        """Promise to ``vms`` from now on; promises to others lapse."""
        for vm in vms:
            self._receivers.setdefault(vm, _Receiver())
        for vm in set(self._receivers) - set(vms):
            # A receiver without a stamp gets no lease and is sent nothing.
            self._receivers[vm].stamp = 0

    def bound(self, service: ServiceId, now: Milliseconds) -> int:
        """Return the highest floor that any owner may count at ``now``."""
        return max(
            (
                promise.floors.get(service, 0)
                for receiver in self._receivers.values()
                for promise in receiver.sent
                if promise.lapses_at > now
            ),
            default=0,
        )

    def messages(
        self,
        present: Mapping[ServiceId, int],
        vms: Iterable[VmId],
        now: Milliseconds,
    ) -> list[Outgoing]:
        """Return the floors to send to ``vms``, whose leases or values are due."""
        if any(present.values()):
            self._busy_at = now
        return [
            Outgoing(vm, self._promise(self._receivers[vm], present, now))
            for vm in vms
            if self._is_due(self._receivers[vm], present, now)
        ]

    def _is_due(
        self, receiver: _Receiver, present: Mapping[ServiceId, int], now: Milliseconds
    ) -> bool:
        waited = now - receiver.sent_at
        if not receiver.answered:
            return waited >= self._settings.answer_timeout_ms
        last = receiver.sent[-1].floors if receiver.sent else {}
        lease = self._settings.floor_lease_ms
        if not any(last.values()) and now - self._busy_at >= IDLE_LEASES * lease:
            # Nothing to promise: a lapsed lease of nothing loses nothing, and
            # the next answer brings a fresh stamp.
            return waited >= IDLE_LEASES * lease
        if waited >= lease // 2:
            return True
        if any(present.get(name, 0) < value for name, value in last.items()):
            # A floor that no longer holds is lowered without delay.
            return True
        return waited >= self._settings.floor_interval_ms and last != present

    def _promise(
        self, receiver: _Receiver, present: Mapping[ServiceId, int], now: Milliseconds
    ) -> Floors:
        receiver.sequence += 1
        receiver.sent_at = now
        receiver.answered = False
        lapses_at = receiver.stamped_at + self._settings.floor_lease_ms
        if receiver.stamp:
            promise = _Promise(receiver.sequence, dict(present), lapses_at)
            receiver.sent.append(promise)
        while receiver.sent and receiver.sent[0].lapses_at <= now:
            receiver.sent.popleft()
        floors = tuple(ServiceFloor(name, value) for name, value in present.items())
        return Floors(
            self._incarnation,
            receiver.sequence,
            receiver.stamp,
            receiver.stamped_by,
            floors,
        )

    def is_silent(self, vm: VmId, now: Milliseconds) -> bool:
        """Return whether ``vm`` has answered nothing for a whole lease."""
        receiver = self._receivers.get(vm)
        return (
            receiver is not None
            and not receiver.answered
            and receiver.answered_at >= 0
            and now - receiver.answered_at > self._settings.floor_lease_ms
        )

    def on_reply(self, sender: VmId, reply: FloorsReply, now: Milliseconds) -> None:
        """Take an acknowledgement; older floors are no longer counted there."""
        receiver = self._receivers.get(sender)
        if receiver is None:
            return
        while receiver.sent and receiver.sent[0].sequence < reply.sequence:
            receiver.sent.popleft()
        if reply.sequence == receiver.sequence:
            receiver.answered = True
        receiver.answered_at = now
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
    ends_at: int


@final
class TakenFloors:
    """The floors that other VMs promised to this one."""

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
        """Count the newest floors of ``sender`` and return the acknowledgement."""
        known = self._received.get(sender)
        order = (message.incarnation, message.sequence)
        if known is None or order > (known.incarnation, known.sequence):
            self._received[sender] = _Received(
                message.incarnation,
                message.sequence,
                {floor.service: floor.in_flight for floor in message.floors},
                self._lease_end(message),
            )
        # A stamp of 0 means none, so the first millisecond is never given.
        return FloorsReply(message.sequence, max(1, now), self._incarnation, loads)

    def _lease_end(self, message: Floors) -> int:
        if message.stamp == 0 or message.stamped_by != self._incarnation:
            return 0
        return message.stamp + self._settings.floor_lease_ms

    def total(self, service: ServiceId, now: Milliseconds) -> int:
        """Return the sum of the floors whose leases run at ``now``."""
        return sum(
            received.floors.get(service, 0)
            for received in self._received.values()
            if received.ends_at > now
        )

    def clear(self) -> None:
        """Count every lease as lapsed; sequences stay known."""
        for received in self._received.values():
            received.ends_at = 0
