"""The record of each VM, and the rule by which updates replace it."""

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
"""Larger counts are forged or corrupt, and rejected."""

_CHANGE_OF = {
    MemberStatus.ALIVE: MemberChange.ALIVE,
    MemberStatus.SUSPECT: MemberChange.SUSPECT,
    MemberStatus.DEAD: MemberChange.DEAD,
}


@final
@dataclass(slots=True)
class Member:
    """The record of one VM; ``since`` is when ``status`` last changed."""

    vm: VmId
    since: Milliseconds
    incarnation: Incarnation = Incarnation(0)
    refutation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    leaving: bool = False
    entry: VmListEntry | None = None
    unlisted_at: Milliseconds | None = None
    last_contact_at: Milliseconds | None = None
    suspect_until: Milliseconds = Milliseconds(0)
    digest: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The order of records and updates; the larger one is newer."""
        return (self.incarnation, self.refutation, self.status.value)

    @property
    def as_update(self) -> MemberUpdate:
        """The record as an update for peers."""
        return MemberUpdate(
            self.vm, self.incarnation, self.refutation, self.status, self.leaving
        )

    def conflicts_with(self, self_report: MemberUpdate | None) -> bool:
        """Return whether the VM must be informed of this record.

        That is so if the record reports it as suspect or dead, or has a later
        incarnation than ``self_report``, what the VM reported of itself.
        """
        if self.status is not MemberStatus.ALIVE:
            return True
        return self_report is not None and self.incarnation > self_report.incarnation

    def contacted_within(self, duration: int, now: Milliseconds) -> bool:
        """Return whether the VM itself made contact in the last ``duration`` ms."""
        return (
            self.last_contact_at is not None and now - self.last_contact_at <= duration
        )


def precedence_of(update: MemberUpdate) -> tuple[int, int, int]:
    """Return the order of ``update`` among updates; the larger one is newer."""
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
        """A number that grows with every change."""
        return self._revision

    @property
    def roster_revision(self) -> int:
        """A number that grows when the set of listed, not dead VMs may have changed.

        That is when a list entry changes, or a VM becomes dead or alive again.
        """
        return self._roster_revision

    @property
    def suspects(self) -> frozenset[VmId]:
        """The VMs whose status is ``SUSPECT``."""
        return frozenset(self._suspects)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, vm: VmId) -> Member | None:
        """Return the record of ``vm``, if there is one."""
        return self._members.get(vm)

    def pop_events(self) -> list[MemberEvent]:
        """Return and clear the events since the last call."""
        events, self._events = self._events, []
        return events

    def apply_list(self, entries: Iterable[VmListEntry], now: Milliseconds) -> None:
        """Update which VMs the platform lists."""
        listed = {entry.id: entry for entry in entries}
        for entry in listed.values():
            self._apply_entry(self._get_or_create(entry.id, now), entry, now)
        for member in self:
            if member.entry is not None and member.vm not in listed:
                member.entry = None
                member.unlisted_at = now
                self._roster_revision += 1
                self._record_event(member, MemberChange.UNLISTED, now)

    def apply(
        self, update: MemberUpdate, now: Milliseconds, self_reported: bool = False
    ) -> bool:
        """Apply ``update`` if it is newer; return whether the record changed.

        An update of the same incarnation marks the VM as leaving even if the
        update is not newer.

        A VM in recent contact that is reported dead is only suspected, unless
        the report is ``self_reported``, that is, from the VM itself.
        """
        member = self._members.get(update.vm)
        if member is None:
            member = self._get_or_create(update.vm, now)
        newer = precedence_of(update) > member.precedence
        leaving = self._apply_leaving(member, update, now)
        if newer:
            self._replace(member, update, now)
            if self_reported and update.status is MemberStatus.DEAD:
                self._set_status(member, update.status, now)
        return newer or leaving

    def record_contact(self, update: MemberUpdate, now: Milliseconds) -> bool:
        """Apply what a VM reports of itself; return whether the record changed."""
        changed = self.apply(update, now, self_reported=True)
        member = self._members[update.vm]
        if update.incarnation == member.incarnation:
            if member.entry is None and not self._in_view(member, now):
                self._revision += 1
            member.last_contact_at = now
        return changed

    def suspect(self, vm: VmId, now: Milliseconds) -> MemberUpdate | None:
        """Mark ``vm`` as suspect and return the update, if it was alive."""
        member = self._members.get(vm)
        if member is None or member.status is not MemberStatus.ALIVE:
            return None
        self._set_status(member, MemberStatus.SUSPECT, now)
        member.suspect_until = Milliseconds(now + self._settings.suspicion_ms)
        return member.as_update

    def expire_suspicions(self, now: Milliseconds) -> list[MemberUpdate]:
        """Mark as dead the VMs whose suspicion has expired; return the updates."""
        suspects = (self._members[vm] for vm in self._suspects)
        due = [member for member in suspects if member.suspect_until <= now]
        for member in due:
            self._set_status(member, MemberStatus.DEAD, now)
        return [member.as_update for member in due]

    def extend_suspicions(self, pause: int) -> None:
        """Extend every suspicion by a ``pause`` of this VM, in milliseconds."""
        for vm in self._suspects:
            member = self._members[vm]
            member.suspect_until = Milliseconds(member.suspect_until + pause)

    def remove_expired(self, now: Milliseconds) -> None:
        """Remove the records of VMs that have been unlisted for long.

        Also increments ``revision`` while any VM is unlisted, because such a VM
        drops out of the view, without an event, when it is no longer in contact.
        """
        retention = self._settings.unlisted_retention_ms
        expired = [
            member.vm
            for member in self
            if member.entry is None
            and now - (member.unlisted_at or member.since) > retention
            and not self._in_view(member, now)
        ]
        for vm in expired:
            self._suspects.discard(vm)
            del self._members[vm]
        if any(member.entry is None for member in self):
            self._revision += 1

    def visible(self, now: Milliseconds) -> list[Member]:
        """Return the records of VMs that are listed or in recent contact."""
        return [member for member in self if self._in_view(member, now)]

    def entries_alive(self) -> list[VmListEntry]:
        """Return the entries of listed VMs that are not dead."""
        return [
            member.entry
            for member in self
            if member.entry is not None and member.status is not MemberStatus.DEAD
        ]

    def digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket of listed VMs."""
        return tuple(self._digests)

    def digests_with(self, own: MemberUpdate) -> tuple[int, ...]:
        """Return the digests with ``own``, this VM's own record, included."""
        digests = list(self.digests())
        digests[_bucket_of(own.vm)] ^= digest_of(own)
        return tuple(digests)

    def updates_in_buckets(self, buckets: set[int]) -> list[MemberUpdate]:
        """Return the records of the listed VMs in ``buckets``."""
        return [
            member.as_update
            for member in self
            if member.entry is not None and _bucket_of(member.vm) in buckets
        ]

    def _get_or_create(self, vm: VmId, now: Milliseconds) -> Member:
        return self._members.setdefault(vm, Member(vm, now))

    def _apply_entry(
        self, member: Member, entry: VmListEntry, now: Milliseconds
    ) -> None:
        if member.entry == entry:
            return
        newly_listed = member.entry is None
        member.entry = entry
        member.unlisted_at = None
        self._roster_revision += 1
        if newly_listed:
            self._record_event(member, MemberChange.LISTED, now)
        self._update_digest(member)

    def _in_view(self, member: Member, now: Milliseconds) -> bool:
        if member.entry is not None:
            return True
        return member.contacted_within(self._settings.unlisted_contact_ms, now)

    def _apply_leaving(
        self, member: Member, update: MemberUpdate, now: Milliseconds
    ) -> bool:
        if not update.leaving or update.incarnation != member.incarnation:
            return False
        if member.leaving:
            return False
        member.leaving = True
        self._record_event(member, MemberChange.LEAVING, now)
        return True

    def _replace(self, member: Member, update: MemberUpdate, now: Milliseconds) -> None:
        if update.incarnation > member.incarnation:
            member.incarnation = update.incarnation
            member.leaving = update.leaving
            self._record_event(member, MemberChange.STARTED, now)
            if update.leaving:
                self._record_event(member, MemberChange.LEAVING, now)
        member.refutation = update.refutation
        status = update.status
        in_contact = member.contacted_within(self._settings.recent_contact_ms, now)
        if status is MemberStatus.DEAD and in_contact:
            status = MemberStatus.SUSPECT
        if status is not member.status:
            self._set_status(member, status, now)
        self._update_digest(member)

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
        # A VM that itself detected the failure decides first (see ``suspect``);
        # VMs that received a report of it wait longer.
        duration = (
            self._settings.suspicion_ms + self._settings.second_hand_suspicion_extra_ms
        )
        member.suspect_until = Milliseconds(now + duration)
        self._record_event(member, _CHANGE_OF[status], now)

    def _record_event(
        self, member: Member, change: MemberChange, now: Milliseconds
    ) -> None:
        self._events.append(MemberEvent(now, member.vm, change, member.incarnation))
        self._update_digest(member)

    def _update_digest(self, member: Member) -> None:
        self._revision += 1
        digest = digest_of(member.as_update) if member.entry is not None else 0
        self._digests[_bucket_of(member.vm)] ^= member.digest ^ digest
        member.digest = digest


def digest_of(update: MemberUpdate) -> int:
    """Return a digest of what all VMs must eventually agree on.

    That is the incarnation, and whether the VM is dead or leaving.
    """
    dead = update.status is MemberStatus.DEAD
    text = f"{update.vm}|{update.incarnation}|{dead:d}|{update.leaving:d}"
    return xxhash.xxh32_intdigest(text.encode())


def combine_digests(digests: tuple[int, ...]) -> int:
    """Return one 32-bit digest of the digests of all buckets."""
    return xxhash.xxh32_intdigest(struct.pack(f"{len(digests)}I", *digests))


def _bucket_of(vm: VmId) -> int:
    return xxhash.xxh32_intdigest(vm.encode()) % BUCKETS
