"""Membership: the platform's lagging list merged with own failure detection."""

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
from yuccafold.fleet._table import age_of
from yuccafold.fleet._table import fold
from yuccafold.fleet._targets import TargetHealth
from yuccafold.fleet._view import MemberEvent
from yuccafold.fleet._view import MembershipView
from yuccafold.fleet._view_builder import build_view
from yuccafold.fleet._vm_list import VmListEntry
from yuccafold.fleet._vm_list import VmListSnapshot

MAX_QUEUED_MEMBERS = 512
HOUSEKEEPING_MS = 1_000
MATCHES_TO_SETTLE = 8
"""After so many peers in a row that hold the same, queued news is dropped."""


@final
class Membership:
    """Decides who is in the fleet, and which targets take new work.

    ``tick`` is called about every 100 ms. ``me`` is this VM as its settings
    describe it; ``incarnation`` is its start in Unix milliseconds at ``now``.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        me: VmListEntry,
        incarnation: Incarnation,
        now: Milliseconds,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._me = me
        self._own = OwnRecord(settings, me.id, incarnation, now)
        self._rng = rng
        self._table = MemberTable(settings)
        self._targets = TargetHealth(settings)
        self._queue: GossipQueue[VmId] = GossipQueue(MAX_QUEUED_MEMBERS)
        self._prober = Prober(settings)
        self._lists = ListHistory(settings)
        self._partners: tuple[int, list[VmId]] = (-1, [])
        self._view: tuple[int, MembershipView] | None = None
        self._last_tick = now
        self._next_probe = Milliseconds(now + rng.randrange(settings.probe_interval_ms))
        self._next_dead_probe = now
        self._next_sync = now
        self._next_housekeeping = now
        self._refused = 0
        self._matches = 0

    @property
    def superseded_by(self) -> Incarnation | None:
        """A later incarnation of this VM that the fleet knows.

        When it is set, another process goes by this VM's id, or this one
        started with a clock that was set back; it must not go on.
        """
        return self._own.superseded_by

    @property
    def refused(self) -> int:
        """How many implausible updates were refused."""
        return self._refused

    @property
    def targets(self) -> TargetHealth:
        """Which targets take new work."""
        return self._targets

    @property
    def partners(self) -> list[VmId]:
        """The VMs that this one probes."""
        revision, partners = self._partners
        if revision != self._table.roster_revision:
            partners = choose_partners(self._me, self._table.entries_alive())
            self._partners = (self._table.roster_revision, partners)
        return partners

    @property
    def view(self) -> MembershipView:
        """The VMs as seen at the last call that moved time."""
        if self._view is None or self._view[0] != self._table.revision:
            view = build_view(
                self._me, self._own, self._table, self._lists, self._last_tick
            )
            self._view = (self._table.revision, view)
        return self._view[1]

    def take_events(self) -> list[MemberEvent]:
        """Return the changes of view since the last call."""
        return self._table.take_events()

    def take_list(self, snapshot: VmListSnapshot, now: Milliseconds) -> None:
        """Take a list that was read from the platform, however often."""
        if not self._lists.take(snapshot, now):
            return
        others = [entry for entry in snapshot.vms if entry.id != self._me.id]
        self._table.list_vms(others, now)
        self._targets.take_list(snapshot, now)
        self._view = None

    def announce_leaving(self) -> None:
        """Tell the fleet that this VM finishes its work and goes."""
        if self._own.leave():
            self._tell(self._me.id)

    def goodbye(self) -> list[Outgoing]:
        """Return the messages that tell the partners that this VM ends now."""
        dead = self._own.update(MemberStatus.DEAD)
        return [Outgoing(vm, Sync((dead,))) for vm in self.partners]

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Take a message of ``sender``; return what is to be sent."""
        return self._handle(message, sender, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Let time pass; return what is to be sent."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self._settings.pause_limit_ms:
            self._prober.clear()
            self._table.forgive(gap)
        if now >= self._next_housekeeping:
            self._next_housekeeping = Milliseconds(now + HOUSEKEEPING_MS)
            self._targets.refresh(now)
            self._table.forget(now)
        for update in self._table.expire(now):
            self._tell(update.vm)
        return [*self._time_out(now), *self._probe_partner(now), *self._probe_dead(now)]

    @singledispatchmethod
    def _handle(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        """Ignore what is no message of membership."""
        return []

    @_handle.register
    def _(self, message: Ping, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        if not self._take_contact(sender, message.sender, now):
            return []
        self._take_news(message.members, message.targets, now)
        ack = Ack(
            message.sequence,
            self._own.update(),
            self._news_for(sender, message.sender),
            self._target_news(now),
        )
        return [Outgoing(sender, ack), *self._offer_sync(sender, message, now)]

    @_handle.register
    def _(self, message: Ack, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        if not self._take_contact(sender, message.sender, now):
            return []
        self._take_news(message.members, message.targets, now)
        probe = self._prober.finish(message.sequence, sender)
        if probe is None or probe.requester is None or probe.request is None:
            return []
        report = PingReport(probe.request.sequence, message.sender)
        return [Outgoing(probe.requester, report)]

    @_handle.register
    def _(
        self, message: PingRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if message.subject == self._me.id:
            return []
        probe = self._prober.start(message.subject, now, sender, message)
        return [self._ping(probe, now)]

    @_handle.register
    def _(self, message: PingReport, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._take_members((message.subject,), now)
        self._prober.finish(message.sequence, message.subject.vm)
        return []

    @_handle.register
    def _(self, message: Digests, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        if len(message.buckets) != BUCKETS:
            return []
        own = self._digests()
        pairs = enumerate(zip(own, message.buckets, strict=True))
        differing = {bucket for bucket, (mine, theirs) in pairs if mine != theirs}
        held = self._table.in_buckets(differing)
        count = min(len(held), self._settings.members_per_sync)
        chosen = self._rng.sample(held, count)
        return [Outgoing(sender, Sync((self._own.update(), *chosen)))]

    @_handle.register
    def _(self, message: Sync, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._take_members(message.members, now, sender)
        pairs = ((update, self._update_of(update.vm)) for update in message.members)
        newer = tuple(
            held
            for update, held in pairs
            if held is not None and age_of(held) > age_of(update)
        )
        return [Outgoing(sender, Sync(newer))] if newer else []

    def _take_contact(
        self, sender: VmId, update: MemberUpdate, now: Milliseconds
    ) -> bool:
        if update.vm != sender or not self._own.finds_plausible(update, now):
            self._refused += 1
            return False
        if self._table.contact(update, now):
            self._tell(sender)
        return True

    def _take_news(
        self,
        members: Iterable[MemberUpdate],
        targets: Iterable[TargetReport],
        now: Milliseconds,
    ) -> None:
        self._take_members(members, now)
        for report in targets:
            self._targets.take(report, now)

    def _take_members(
        self,
        updates: Iterable[MemberUpdate],
        now: Milliseconds,
        sender: VmId | None = None,
    ) -> None:
        for update in updates:
            if update.vm == self._me.id:
                self._answer(update)
            elif not self._own.finds_plausible(update, now):
                self._refused += 1
            elif self._table.apply(update, now, own_word=update.vm == sender):
                self._tell(update.vm)

    def _answer(self, rumour: MemberUpdate) -> None:
        if self._own.answer(rumour):
            self._tell(self._me.id)

    def _offer_sync(
        self, sender: VmId, message: Ping, now: Milliseconds
    ) -> list[Outgoing]:
        if message.digest == fold(self._digests()):
            self._settle()
            return []
        self._matches = 0
        if now < self._next_sync:
            return []
        self._next_sync = Milliseconds(now + self._settings.sync_interval_ms)
        return [Outgoing(sender, Digests(self._digests()))]

    def _settle(self) -> None:
        self._matches += 1
        if self._matches >= MATCHES_TO_SETTLE:
            self._queue.clear()

    def _time_out(self, now: Milliseconds) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        for probe in self._prober.due(now):
            if probe.requester is not None:
                continue
            if probe.indirect:
                self._suspect(probe.subject, now)
            elif self._is_dead(probe.subject):
                self._prober.finish(probe.sequence, probe.subject)
            else:
                outgoing += self._ask_others(probe, now)
        return outgoing

    def _ask_others(self, probe: Probe, now: Milliseconds) -> list[Outgoing]:
        self._prober.ask_others(probe, now)
        helpers = [vm for vm in self._helpers() if vm != probe.subject]
        count = min(len(helpers), self._settings.indirect_helpers)
        request = PingRequest(probe.sequence, probe.subject)
        chosen = self._rng.sample(helpers, count)
        asked = [Outgoing(vm, request) for vm in chosen]
        return [self._ping(probe, now), *asked]

    def _is_dead(self, vm: VmId) -> bool:
        member = self._table.get(vm)
        return member is not None and member.status is MemberStatus.DEAD

    def _helpers(self) -> list[VmId]:
        """Return VMs in contact, so that asking them opens no links."""
        limit = self._settings.unlisted_contact_ms
        return [
            member.vm
            for member in self._table
            if member.status is MemberStatus.ALIVE
            and member.heard_within(limit, self._last_tick)
        ]

    def _suspect(self, vm: VmId, now: Milliseconds) -> None:
        if self._table.suspect(vm, now) is not None:
            self._tell(vm)

    def _probe_partner(self, now: Milliseconds) -> list[Outgoing]:
        if now < self._next_probe:
            return []
        interval = self._settings.probe_interval_ms
        self._next_probe = Milliseconds(max(self._next_probe + interval, now))
        partner = self._prober.next_partner(self.partners)
        pinged = {partner, *self._suspect_partners()} - {None}
        return [self._ping(self._prober.start(vm, now), now) for vm in sorted(pinged)]

    def _suspect_partners(self) -> list[VmId]:
        """Return the partners that must hear that they are suspected."""
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
            self._own.update(),
            fold(self._digests()),
            self._news_for(probe.subject, None),
            self._target_news(now),
        )
        return Outgoing(probe.subject, ping)

    def _news_for(
        self, receiver: VmId, says: MemberUpdate | None
    ) -> tuple[MemberUpdate, ...]:
        """Return news for ``receiver``, first what is held against itself."""
        count = self._settings.members_per_message
        chosen = self._queue.take(count, self._fleet_size())
        member = self._table.get(receiver)
        if member is not None and member.contradicts(says):
            chosen = [receiver, *(vm for vm in chosen if vm != receiver)]
        updates = (self._update_of(vm) for vm in chosen)
        return tuple(update for update in updates if update is not None)

    def _update_of(self, vm: VmId) -> MemberUpdate | None:
        if vm == self._me.id:
            return self._own.update()
        member = self._table.get(vm)
        return member.update if member else None

    def _target_news(self, now: Milliseconds) -> tuple[TargetReport, ...]:
        count = self._settings.targets_per_message
        return self._targets.take_news(count, self._fleet_size(), now)

    def _tell(self, vm: VmId) -> None:
        self._matches = 0
        self._queue.add(vm, vm)

    def _digests(self) -> tuple[int, ...]:
        """Return the digests with this VM counted as its peers count it."""
        if self._me.id not in self._lists.latest:
            return self._table.digests()
        return self._table.digests_with(self._own.update())

    def _fleet_size(self) -> int:
        return max(1, len(self._lists.latest))
