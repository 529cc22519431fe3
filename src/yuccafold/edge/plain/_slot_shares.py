"""Deals the slots of targets out to VMs, so that calls in flight stay below them."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from functools import lru_cache
from hashlib import blake2b
from itertools import chain
from typing import NewType
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.edge._model import TargetRecord
from yuccafold.edge.reports import REPORT_LIFETIME
from yuccafold.edge.reports import ProtocolTopic
from yuccafold.edge.reports import Topic
from yuccafold.edge.reports import VmReport

MemberId = NewType("MemberId", int)
"""A short hash of a VM's id."""

Members = frozenset[MemberId]

MAX_MEMBERS = 64
"""VMs in a report; among more, the slots of a target are not dealt out."""

HANDOVER_TIME = Milliseconds(1_200)
"""How long a VM waits before it uses a slot that it gains: until then the VM that had
it may not have got the report by which it lost it."""


def member_id(vm: VmId) -> MemberId:
    """Return the short hash of a VM's id."""
    digest = blake2b(str(vm).encode(), digest_size=4).digest()
    return MemberId(int.from_bytes(digest, "big"))


Slots = tuple[tuple[TargetId, int], ...]
"""The targets of a service in order, with their slots."""


@lru_cache(maxsize=256)
def deal_slots(
    service: ServiceId, slots: Slots, members: Members
) -> dict[MemberId, dict[TargetId, int]]:
    """Return how many slots of each target each VM has; the same result at each VM.

    Slots are dealt in turn, through all targets. So VMs have equally many to within
    one, at each target and in the whole service.
    """
    ranked = sorted(members, key=lambda member: _rank_key(service, member))
    dealt: dict[MemberId, dict[TargetId, int]] = {member: {} for member in ranked}
    first = 0
    for target, count in slots:
        each, left = divmod(count, len(ranked))
        for rank, member in enumerate(ranked):
            has_one_more = (rank - first) % len(ranked) < left
            dealt[member][target] = each + has_one_more
        first = (first + left) % len(ranked)
    return dealt


def _rank_key(service: ServiceId, member: MemberId) -> bytes:
    return blake2b(f"{service} {member}".encode(), digest_size=8).digest()


def _slots(target: TargetRecord) -> int:
    return max(1, target.slots)


@final
class SlotShares:
    """The slots that this VM may fill at each target.

    VMs report which of them deal with a kind of targets, and each computes the shares
    of all. So the calls in flight of all VMs stay within a target's slots, however
    calls arrive. It takes a few VMs: with more VMs than slots in a service, most would
    have none.
    """

    def __init__(self, vm: VmId) -> None:
        self._member = member_id(vm)
        self._joined_until: Milliseconds | None = None
        self._members: Members = frozenset()
        self._reported_at: Milliseconds | None = None
        self._changed_at = Milliseconds(0)
        self._begins_at = Milliseconds(0)
        self._usable: dict[TargetId, int] = {}
        self._gained_at: dict[TargetId, Milliseconds] = {}

    def join(self, until: Milliseconds) -> None:
        """Take part until a time, as this VM sends calls to such targets."""
        self._joined_until = until

    def local_members(self, now: Milliseconds) -> Members:
        """Return this VM's id while it takes part."""
        is_joined = self._joined_until is not None and now < self._joined_until
        return frozenset([self._member]) if is_joined else frozenset()

    def record_fleet_report(self, members: Members, now: Milliseconds) -> None:
        """Record the VMs that take part."""
        is_known = self._is_member(now)
        if members != self._members or not is_known:
            self._changed_at = now
            if not is_known or now < self._begins_at:
                self._begins_at = Milliseconds(now + HANDOVER_TIME)
        if not is_known:
            self._usable.clear()
            self._gained_at.clear()
        self._members = members
        self._reported_at = now

    def _is_member(self, now: Milliseconds) -> bool:
        return (
            self._reported_at is not None
            and now - self._reported_at <= REPORT_LIFETIME
            and self._member in self._members
        )

    def applies(self, targets: Iterable[TargetRecord], now: Milliseconds) -> bool:
        """Return whether the slots of ``targets`` are dealt out.

        They aren't before this VM and the others know of each other, which takes
        ``HANDOVER_TIME`` without a change, or if the VMs are more than the slots.
        """
        if not self._is_member(now) or now < self._begins_at:
            return False
        slots = sum(_slots(target) for target in targets)
        return len(self._members) <= min(slots, MAX_MEMBERS - 1)

    def shares(
        self, service: ServiceId, targets: Iterable[TargetRecord], now: Milliseconds
    ) -> dict[TargetId, int]:
        """Return how many calls this VM may have in flight at each of ``targets``.

        These are all targets of ``service`` that may get calls.
        """
        slots = tuple(sorted((target.id, _slots(target)) for target in targets))
        dealt = deal_slots(service, slots, self._members)[self._member]
        return {target: self._usable_of(target, dealt[target], now) for target in dealt}

    def _usable_of(self, target: TargetId, dealt: int, now: Milliseconds) -> int:
        """Return how many of the slots ``dealt`` no other VM may still fill."""
        usable = self._usable.get(target)
        if usable is None and now - self._changed_at >= HANDOVER_TIME:
            # Nobody had slots of the target by other members than these.
            usable = dealt
        usable = usable or 0
        if dealt > usable:
            gained_at = self._gained_at.setdefault(target, now)
            if now - gained_at < HANDOVER_TIME:
                return usable
        self._usable[target] = dealt
        self._gained_at.pop(target, None)
        return dealt

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._usable.pop(target, None)
        self._gained_at.pop(target, None)


@final
class SlotSharesTopic(Topic[Members]):
    """The VMs among which slots are dealt out.

    None are while VMs of earlier builds run, which would use slots of others.
    """

    name = "slot_vms"

    def __init__(self, shares: SlotShares, protocol: ProtocolTopic) -> None:
        self._shares = shares
        self._protocol = protocol

    def empty(self) -> Members:
        """Return no VMs."""
        return frozenset()

    def local(self, now: Milliseconds) -> Members:
        """Return this VM while it takes part."""
        return self._shares.local_members(now)

    def merge(self, values: Sequence[Members]) -> Members:
        """Return the VMs of all reports."""
        return _limited(chain.from_iterable(values))

    def format(self, value: Members, now: Milliseconds) -> str:
        """Format as hexadecimal numbers, joined by commas."""
        return ",".join(f"{member:x}" for member in sorted(value))

    def parse(self, text: str, now: Milliseconds) -> Members:
        """Parse the form of ``format``."""
        return _limited(MemberId(int(part, 16)) for part in text.split(",") if part)

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the VMs that take part."""
        is_common = self._protocol.is_spoken_by_all(total)
        members = self.of(total) if is_common else self.empty()
        self._shares.record_fleet_report(members, now)


def _limited(members: Iterable[MemberId] | Collection[MemberId]) -> Members:
    return frozenset(sorted(frozenset(members))[:MAX_MEMBERS])
