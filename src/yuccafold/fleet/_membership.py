"""Membership: the platform's VM list, which may lag, and failure detection."""

from __future__ import annotations

import random
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.fleet._gossip import GossipQueue
from yuccafold.fleet._lists import ListHistory
from yuccafold.fleet._messages import Ack
from yuccafold.fleet._messages import Digests
from yuccafold.fleet._messages import MemberStatus
from yuccafold.fleet._messages import MemberUpdate
from yuccafold.fleet._messages import Ping
from yuccafold.fleet._messages import PingReport
from yuccafold.fleet._messages import PingRequest
from yuccafold.fleet._messages import Sync
from yuccafold.fleet._messages import TargetReport
from yuccafold.fleet._own_record import OwnRecord
from yuccafold.fleet._partners import choose_partners
from yuccafold.fleet._prober import Probe
from yuccafold.fleet._prober import Prober
from yuccafold.fleet._settings import MembershipSettings
from yuccafold.fleet._table import BUCKETS
from yuccafold.fleet._table import MemberTable
from yuccafold.fleet._table import combine_digests
from yuccafold.fleet._table import precedence_of
from yuccafold.fleet._targets import TargetHealth
from yuccafold.fleet._view import MemberEvent
from yuccafold.fleet._view import MembershipView
from yuccafold.fleet._view_builder import build_view
from yuccafold.fleet._vm_list import VmListEntry
from yuccafold.fleet._vm_list import VmListSnapshot

MAX_QUEUED_MEMBERS = 512
HOUSEKEEPING_INTERVAL_MS = 1_000
MATCHING_DIGESTS_TO_CLEAR_QUEUE = 8
"""Queued updates are dropped after this many pings in a row with an equal digest."""


@final
class Membership:
    """Tracks which VMs are in the fleet and which targets accept new work.

    ``tick`` must be called about every 100 ms. ``local_vm`` is this VM as its
    settings describe it. ``incarnation`` is the start of this process in Unix
    milliseconds, and ``now`` the same moment by the monotonic clock.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        local_vm: VmListEntry,
        incarnation: Incarnation,
        now: Milliseconds,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._local_vm = local_vm
        self._own_record = OwnRecord(settings, local_vm.id, incarnation, now)
        self._rng = rng
        self._table = MemberTable(settings)
        self._targets = TargetHealth(settings)
        self._update_queue: GossipQueue[VmId] = GossipQueue(MAX_QUEUED_MEMBERS)
        self._prober = Prober(settings)
        self._lists = ListHistory(settings)
        self._partners: tuple[int, list[VmId]] = (-1, [])
        self._view: tuple[int, MembershipView] | None = None
        self._last_tick = now
        self._next_probe = Milliseconds(now + rng.randrange(settings.probe_interval_ms))
        self._next_dead_probe = now
        self._next_sync = now
        self._next_housekeeping = now
        self._refused_updates = 0
        self._matching_digests = 0

    @property
    def superseded_by(self) -> Incarnation | None:
        """A later incarnation of this VM that peers know, if any.

        If it is set, another process uses this VM's id, or this process started
        with a clock that was set back. This process must then stop.
        """
        return self._own_record.superseded_by

    @property
    def refused_updates(self) -> int:
        """How many updates were refused.

        They were implausible, or a VM sent another VM's record as its own.
        """
        return self._refused_updates

    @property
    def targets(self) -> TargetHealth:
        """The health of targets."""
        return self._targets

    @property
    def partners(self) -> list[VmId]:
        """The VMs that this one probes."""
        revision, partners = self._partners
        if revision != self._table.roster_revision:
            partners = choose_partners(self._local_vm, self._table.entries_alive())
            self._partners = (self._table.roster_revision, partners)
        return partners

    @property
    def view(self) -> MembershipView:
        """All VMs as known to this VM.

        Unlisted VMs are included if they were in recent contact at the last
        ``tick``.
        """
        if self._view is None or self._view[0] != self._table.revision:
            view = build_view(
                self._local_vm,
                self._own_record,
                self._table,
                self._lists,
                self._last_tick,
            )
            self._view = (self._table.revision, view)
        return self._view[1]

    def pop_events(self) -> list[MemberEvent]:
        """Return and clear the changes of the view since the last call."""
        return self._table.pop_events()

    def apply_vm_list(self, snapshot: VmListSnapshot, now: Milliseconds) -> None:
        """Use a list read from the platform, unless it is outdated.

        The same list may be given repeatedly.
        """
        if not self._lists.apply(snapshot, now):
            return
        others = [entry for entry in snapshot.vms if entry.id != self._local_vm.id]
        self._table.apply_list(others, now)
        self._targets.apply_list(snapshot, now)
        self._view = None

    def announce_leaving(self) -> None:
        """Announce to peers that this VM stops after it has finished its work."""
        if self._own_record.leave():
            self._queue_update(self._local_vm.id)

    def leave_messages(self) -> list[Outgoing]:
        """Return the leave messages, which tell the partners that this VM stops now."""
        dead = self._own_record.as_update(MemberStatus.DEAD)
        return [Outgoing(vm, Sync((dead,))) for vm in self.partners]

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Handle a message from ``sender``; return the messages to send."""
        return self._handle(message, sender, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Run whatever is due at ``now``; return the messages to send.

        A gap between ticks above ``pause_limit_ms`` is a pause of this process.
        Probes are then dropped and suspicions extended by the gap.
        """
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self._settings.pause_limit_ms:
            self._prober.clear()
            self._table.extend_suspicions(gap)
        if now >= self._next_housekeeping:
            self._next_housekeeping = Milliseconds(now + HOUSEKEEPING_INTERVAL_MS)
            self._targets.refresh(now)
            self._table.remove_expired(now)
        for update in self._table.expire_suspicions(now):
            self._queue_update(update.vm)
        return [
            *self._handle_probe_timeouts(now),
            *self._probe_partner(now),
            *self._probe_dead(now),
        ]

    @singledispatchmethod
    def _handle(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        """Ignore messages of other kinds."""
        return []

    @_handle.register
    def _(self, message: Ping, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        if not self._accept_contact(sender, message.sender, now):
            return []
        self._apply_updates(message.members, message.targets, now)
        ack = Ack(
            message.sequence,
            self._own_record.as_update(),
            self._updates_for(sender, message.sender),
            self._target_reports(now),
        )
        return [
            Outgoing(sender, ack),
            *self._sync_if_digests_differ(sender, message, now),
        ]

    @_handle.register
    def _(self, message: Ack, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        if not self._accept_contact(sender, message.sender, now):
            return []
        self._apply_updates(message.members, message.targets, now)
        probe = self._prober.finish(message.sequence, sender)
        if probe is None or probe.requester is None or probe.request is None:
            return []
        report = PingReport(probe.request.sequence, message.sender)
        return [Outgoing(probe.requester, report)]

    @_handle.register
    def _(
        self, message: PingRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if message.subject == self._local_vm.id:
            return []
        probe = self._prober.start(message.subject, now, sender, message)
        return [self._ping(probe, now)]

    @_handle.register
    def _(self, message: PingReport, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._apply_member_updates((message.subject,), now)
        self._prober.finish(message.sequence, message.subject.vm)
        return []

    @_handle.register
    def _(self, message: Digests, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        if len(message.buckets) != BUCKETS:
            return []
        own_buckets = self._digests()
        pairs = enumerate(zip(own_buckets, message.buckets, strict=True))
        differing = {bucket for bucket, (own, received) in pairs if own != received}
        updates = self._table.updates_in_buckets(differing)
        count = min(len(updates), self._settings.members_per_sync)
        chosen = self._rng.sample(updates, count)
        return [Outgoing(sender, Sync((self._own_record.as_update(), *chosen)))]

    @_handle.register
    def _(self, message: Sync, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._apply_member_updates(message.members, now, sender)
        pairs = ((update, self._update_of(update.vm)) for update in message.members)
        newer = tuple(
            known
            for update, known in pairs
            if known is not None and precedence_of(known) > precedence_of(update)
        )
        return [Outgoing(sender, Sync(newer))] if newer else []

    def _accept_contact(
        self, sender: VmId, update: MemberUpdate, now: Milliseconds
    ) -> bool:
        if update.vm != sender or not self._own_record.is_plausible(update, now):
            self._refused_updates += 1
            return False
        if self._table.record_contact(update, now):
            self._queue_update(sender)
        return True

    def _apply_updates(
        self,
        members: Iterable[MemberUpdate],
        targets: Iterable[TargetReport],
        now: Milliseconds,
    ) -> None:
        self._apply_member_updates(members, now)
        for report in targets:
            self._targets.handle_report(report, now)

    def _apply_member_updates(
        self,
        updates: Iterable[MemberUpdate],
        now: Milliseconds,
        sender: VmId | None = None,
    ) -> None:
        for update in updates:
            if update.vm == self._local_vm.id:
                self._refute(update)
            elif not self._own_record.is_plausible(update, now):
                self._refused_updates += 1
            elif self._table.apply(update, now, self_reported=update.vm == sender):
                self._queue_update(update.vm)

    def _refute(self, update: MemberUpdate) -> None:
        if self._own_record.refute(update):
            self._queue_update(self._local_vm.id)

    def _sync_if_digests_differ(
        self, sender: VmId, message: Ping, now: Milliseconds
    ) -> list[Outgoing]:
        if message.digest == combine_digests(self._digests()):
            self._record_matching_digest()
            return []
        self._matching_digests = 0
        if now < self._next_sync:
            return []
        self._next_sync = Milliseconds(now + self._settings.sync_interval_ms)
        return [Outgoing(sender, Digests(self._digests()))]

    def _record_matching_digest(self) -> None:
        self._matching_digests += 1
        if self._matching_digests >= MATCHING_DIGESTS_TO_CLEAR_QUEUE:
            self._update_queue.clear()

    def _handle_probe_timeouts(self, now: Milliseconds) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        for probe in self._prober.take_due(now):
            if probe.requester is not None:
                continue
            if probe.indirect:
                self._suspect(probe.subject, now)
            elif self._is_dead(probe.subject):
                self._prober.finish(probe.sequence, probe.subject)
            else:
                outgoing += self._probe_indirectly(probe, now)
        return outgoing

    def _probe_indirectly(self, probe: Probe, now: Milliseconds) -> list[Outgoing]:
        self._prober.start_indirect(probe, now)
        helpers = [vm for vm in self._helper_candidates() if vm != probe.subject]
        count = min(len(helpers), self._settings.indirect_helpers)
        request = PingRequest(probe.sequence, probe.subject)
        chosen = self._rng.sample(helpers, count)
        requests = [Outgoing(vm, request) for vm in chosen]
        return [self._ping(probe, now), *requests]

    def _is_dead(self, vm: VmId) -> bool:
        member = self._table.get(vm)
        return member is not None and member.status is MemberStatus.DEAD

    def _helper_candidates(self) -> list[VmId]:
        """Return alive VMs in recent contact, which can be reached over open links."""
        max_contact_age = self._settings.unlisted_contact_ms
        return [
            member.vm
            for member in self._table
            if member.status is MemberStatus.ALIVE
            and member.contacted_within(max_contact_age, self._last_tick)
        ]

    def _suspect(self, vm: VmId, now: Milliseconds) -> None:
        if self._table.suspect(vm, now) is not None:
            self._queue_update(vm)

    def _probe_partner(self, now: Milliseconds) -> list[Outgoing]:
        if now < self._next_probe:
            return []
        interval = self._settings.probe_interval_ms
        self._next_probe = Milliseconds(max(self._next_probe + interval, now))
        partner = self._prober.next_partner(self.partners)
        pinged = {partner, *self._suspected_partners()} - {None}
        return [self._ping(self._prober.start(vm, now), now) for vm in sorted(pinged)]

    def _suspected_partners(self) -> list[VmId]:
        """Return the suspected partners; a ping lets them refute the suspicion."""
        suspects = self._table.suspects
        return [vm for vm in self.partners if vm in suspects]

    def _probe_dead(self, now: Milliseconds) -> list[Outgoing]:
        if now < self._next_dead_probe:
            return []
        interval = self._settings.dead_probe_interval_ms
        jitter = self._rng.randrange(interval // 2)
        self._next_dead_probe = Milliseconds(now + interval - interval // 4 + jitter)
        dead = [
            member.vm
            for member in self._table
            if member.entry is not None and member.status is MemberStatus.DEAD
        ]
        if not dead:
            return []
        return [self._ping(self._prober.start(self._rng.choice(dead), now), now)]

    def _ping(self, probe: Probe, now: Milliseconds) -> Outgoing:
        ping = Ping(
            probe.sequence,
            self._own_record.as_update(),
            combine_digests(self._digests()),
            self._updates_for(probe.subject, None),
            self._target_reports(now),
        )
        return Outgoing(probe.subject, ping)

    def _updates_for(
        self, receiver: VmId, self_report: MemberUpdate | None
    ) -> tuple[MemberUpdate, ...]:
        """Return queued updates for ``receiver``.

        The record of ``receiver`` itself comes first if it says that ``receiver``
        is suspect or dead, so that ``receiver`` can refute that, or if it has a
        later incarnation than ``self_report``, what ``receiver`` reported of
        itself.
        """
        count = self._settings.members_per_message
        chosen = self._update_queue.next_batch(count, self._fleet_size())
        member = self._table.get(receiver)
        if member is not None and member.conflicts_with(self_report):
            chosen = [receiver, *(vm for vm in chosen if vm != receiver)]
        updates = (self._update_of(vm) for vm in chosen)
        return tuple(update for update in updates if update is not None)

    def _update_of(self, vm: VmId) -> MemberUpdate | None:
        if vm == self._local_vm.id:
            return self._own_record.as_update()
        member = self._table.get(vm)
        return member.as_update if member else None

    def _target_reports(self, now: Milliseconds) -> tuple[TargetReport, ...]:
        count = self._settings.targets_per_message
        return self._targets.reports_to_send(count, self._fleet_size(), now)

    def _queue_update(self, vm: VmId) -> None:
        self._matching_digests = 0
        self._update_queue.add(vm, vm)

    def _digests(self) -> tuple[int, ...]:
        """Return the bucket digests, including this VM's own record if it is listed.

        Peers include this VM under the same condition.
        """
        if self._local_vm.id not in self._lists.latest:
            return self._table.digests()
        return self._table.digests_with(self._own_record.as_update())

    def _fleet_size(self) -> int:
        return max(1, len(self._lists.latest))
