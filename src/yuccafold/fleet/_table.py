"""The record of each VM and the rule by which news replaces it."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

import xxhash

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.fleet._messages import MemberStatus
from yuccafold.fleet._messages import MemberUpdate
from yuccafold.fleet._settings import MembershipSettings
from yuccafold.fleet._view import MemberChange
from yuccafold.fleet._view import MemberEvent
from yuccafold.fleet._vm_list import VmListEntry

BUCKETS = 64
MAX_REFUTATION = 2**31
"""Larger counts are forged or corrupt and refused."""

_CHANGE_OF = {
    MemberStatus.ALIVE: MemberChange.ALIVE,
    MemberStatus.SUSPECT: MemberChange.SUSPECT,
    MemberStatus.DEAD: MemberChange.DEAD,
}


@final
@dataclass(slots=True)
class Member:
    """What is held of one VM."""

    vm: VmId
    since: Milliseconds
    incarnation: Incarnation = Incarnation(0)
    refutation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    leaving: bool = False
    entry: VmListEntry | None = None
    unlisted_at: Milliseconds | None = None
    contact_at: Milliseconds | None = None
    suspect_until: Milliseconds = Milliseconds(0)
    digest: int = 0

    @property
    def age(self) -> tuple[int, int, int]:
        """What decides between two updates; the larger one is newer."""
        return (self.incarnation, self.refutation, self.status.value)

    @property
    def update(self) -> MemberUpdate:
        """The record in the form in which it travels."""
        return MemberUpdate(
            self.vm, self.incarnation, self.refutation, self.status, self.leaving
        )

    def contradicts(self, says: MemberUpdate | None) -> bool:
        """Whether the VM, which may have said ``says`` of itself, must hear this."""
        if self.status is not MemberStatus.ALIVE:
            return True
        return says is not None and self.incarnation > says.incarnation

    def heard_within(self, duration: int, now: Milliseconds) -> bool:
        """Whether the VM itself made contact in the last ``duration`` ms."""
        return self.contact_at is not None and now - self.contact_at <= duration


def age_of(update: MemberUpdate) -> tuple[int, int, int]:
    """Return what decides between two updates; the larger one is newer."""
    return (update.incarnation, update.refutation, update.status.value)


@final
class MemberTable:
    """The records of all other VMs, and the events of their changes."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._members: dict[VmId, Member] = {}
        self._events: list[MemberEvent] = []
        self._suspects: set[VmId] = set()
        self._digests = [0] * BUCKETS
        self._revision = 0
        self._roster_revision = 0

    @property
    def revision(self) -> int:
        """A count that grows with every change."""
        return self._revision

    @property
    def roster_revision(self) -> int:
        """A count that grows when a VM is listed, unlisted, dies or comes back."""
        return self._roster_revision

    @property
    def suspects(self) -> frozenset[VmId]:
        """The VMs held suspect."""
        return frozenset(self._suspects)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, vm: VmId) -> Member | None:
        """Return the record of ``vm``."""
        return self._members.get(vm)

    def take_events(self) -> list[MemberEvent]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def list_vms(self, entries: Iterable[VmListEntry], now: Milliseconds) -> None:
        """Take over which VMs the platform lists."""
        listed = {entry.id: entry for entry in entries}
        for entry in listed.values():
            self._list(self._ensure(entry.id, now), entry, now)
        for member in self:
            if member.entry is not None and member.vm not in listed:
                member.entry = None
                member.unlisted_at = now
                self._roster_revision += 1
                self._record(member, MemberChange.UNLISTED, now)

    def apply(
        self, update: MemberUpdate, now: Milliseconds, own_word: bool = False
    ) -> bool:
        """Take ``update`` if it is newer than what is held; return whether it was.

        A VM in recent contact that a peer holds dead is only suspected, unless
        it is its own word.
        """
        member = self._members.get(update.vm)
        if member is None:
            member = self._ensure(update.vm, now)
        newer = age_of(update) > member.age
        leaves = self._take_leaving(member, update, now)
        if newer:
            self._replace(member, update, now)
            if own_word and update.status is MemberStatus.DEAD:
                self._set_status(member, update.status, now)
        return newer or leaves

    def contact(self, update: MemberUpdate, now: Milliseconds) -> bool:
        """Take what a VM says of itself; return whether it is news."""
        news = self.apply(update, now, own_word=True)
        member = self._members[update.vm]
        if update.incarnation == member.incarnation:
            if member.entry is None and not self._in_view(member, now):
                self._revision += 1
            member.contact_at = now
        return news

    def suspect(self, vm: VmId, now: Milliseconds) -> MemberUpdate | None:
        """Hold ``vm`` suspect if it was alive, and return the news of it."""
        member = self._members.get(vm)
        if member is None or member.status is not MemberStatus.ALIVE:
            return None
        self._set_status(member, MemberStatus.SUSPECT, now)
        member.suspect_until = Milliseconds(now + self._settings.suspicion_ms)
        return member.update

    def expire(self, now: Milliseconds) -> list[MemberUpdate]:
        """Hold dead who stayed suspect too long; return the news of it."""
        suspects = (self._members[vm] for vm in self._suspects)
        due = [member for member in suspects if member.suspect_until <= now]
        for member in due:
            self._set_status(member, MemberStatus.DEAD, now)
        return [member.update for member in due]

    def forgive(self, gap: int) -> None:
        """Move every suspicion's end by a pause of ``gap`` ms of this VM."""
        for vm in self._suspects:
            member = self._members[vm]
            member.suspect_until = Milliseconds(member.suspect_until + gap)

    def forget(self, now: Milliseconds) -> None:
        """Drop records of VMs that are long unlisted; notice unlisted silence."""
        limit = self._settings.forget_ms
        gone = [
            member.vm
            for member in self
            if member.entry is None
            and now - (member.unlisted_at or member.since) > limit
            and not self._in_view(member, now)
        ]
        for vm in gone:
            self._suspects.discard(vm)
            del self._members[vm]
        if any(member.entry is None for member in self):
            self._revision += 1

    def visible(self, now: Milliseconds) -> list[Member]:
        """Return the records of listed VMs and of those in recent contact."""
        return [member for member in self if self._in_view(member, now)]

    def entries_alive(self) -> list[VmListEntry]:
        """Return the listed VMs that are not held dead."""
        return [
            member.entry
            for member in self
            if member.entry is not None and member.status is not MemberStatus.DEAD
        ]

    def digests(self) -> tuple[int, ...]:
        """Return one digest per bucket of the listed VMs."""
        return tuple(self._digests)

    def digests_with(self, own: MemberUpdate) -> tuple[int, ...]:
        """Return the digests with this VM's own record among them."""
        digests = list(self.digests())
        digests[_bucket(own.vm)] ^= digest_of(own)
        return tuple(digests)

    def in_buckets(self, buckets: set[int]) -> list[MemberUpdate]:
        """Return what is held of the listed VMs in ``buckets``."""
        return [
            member.update
            for member in self
            if member.entry is not None and _bucket(member.vm) in buckets
        ]

    def _ensure(self, vm: VmId, now: Milliseconds) -> Member:
        return self._members.setdefault(vm, Member(vm, now))

    def _list(self, member: Member, entry: VmListEntry, now: Milliseconds) -> None:
        if member.entry == entry:
            return
        appears = member.entry is None
        member.entry = entry
        member.unlisted_at = None
        self._roster_revision += 1
        if appears:
            self._record(member, MemberChange.LISTED, now)
        self._touch(member)

    def _in_view(self, member: Member, now: Milliseconds) -> bool:
        if member.entry is not None:
            return True
        return member.heard_within(self._settings.unlisted_contact_ms, now)

    def _take_leaving(
        self, member: Member, update: MemberUpdate, now: Milliseconds
    ) -> bool:
        if not update.leaving or update.incarnation != member.incarnation:
            return False
        if member.leaving:
            return False
        member.leaving = True
        self._record(member, MemberChange.LEAVING, now)
        return True

    def _replace(self, member: Member, update: MemberUpdate, now: Milliseconds) -> None:
        if update.incarnation > member.incarnation:
            member.incarnation = update.incarnation
            member.leaving = update.leaving
            self._record(member, MemberChange.STARTED, now)
            if update.leaving:
                self._record(member, MemberChange.LEAVING, now)
        member.refutation = update.refutation
        status = update.status
        heard = member.heard_within(self._settings.contact_ms, now)
        if status is MemberStatus.DEAD and heard:
            status = MemberStatus.SUSPECT
        if status is not member.status:
            self._set_status(member, status, now)
        self._touch(member)

    def _set_status(
        self, member: Member, status: MemberStatus, now: Milliseconds
    ) -> None:
        if MemberStatus.DEAD in (status, member.status):
            self._roster_revision += 1
        if status is MemberStatus.SUSPECT:
            self._suspects.add(member.vm)
        else:
            self._suspects.discard(member.vm)
        member.status = status
        member.since = now
        # Who suspects at first hand decides first; the others hear of it.
        wait = self._settings.suspicion_ms + self._settings.hearsay_ms
        member.suspect_until = Milliseconds(now + wait)
        self._record(member, _CHANGE_OF[status], now)

    def _record(self, member: Member, change: MemberChange, now: Milliseconds) -> None:
        self._events.append(MemberEvent(now, member.vm, change, member.incarnation))
        self._touch(member)

    def _touch(self, member: Member) -> None:
        self._revision += 1
        digest = digest_of(member.update) if member.entry is not None else 0
        self._digests[_bucket(member.vm)] ^= member.digest ^ digest
        member.digest = digest


def digest_of(update: MemberUpdate) -> int:
    """Return a digest of what must agree in the end: incarnation and death."""
    dead = update.status is MemberStatus.DEAD
    text = f"{update.vm}|{update.incarnation}|{dead:d}|{update.leaving:d}"
    return xxhash.xxh32_intdigest(text.encode())


def fold(digests: tuple[int, ...]) -> int:
    """Return one digest of all buckets, in 32 bits."""
    return xxhash.xxh32_intdigest(struct.pack(f"{len(digests)}I", *digests))


def _bucket(vm: VmId) -> int:
    return xxhash.xxh32_intdigest(vm.encode()) % BUCKETS
