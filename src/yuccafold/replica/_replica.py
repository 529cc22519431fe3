"""One VM's copy of the settings, kept in step with the service and the peers."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import chain
from typing import Any
from typing import final

from result import Err
from result import Ok
from result import Result

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.replica._heard import HeardTable
from yuccafold.replica._log import ChangeLog
from yuccafold.replica._messages import NO_REVISION
from yuccafold.replica._messages import RevisionId
from yuccafold.replica._messages import SettingsAdvert
from yuccafold.replica._messages import SettingsChange
from yuccafold.replica._messages import SettingsChunk
from yuccafold.replica._messages import SettingsChunkWant
from yuccafold.replica._messages import SettingsTreeOffer
from yuccafold.replica._messages import SettingsWant
from yuccafold.replica._options import ReplicaOptions
from yuccafold.replica._readiness import Readiness
from yuccafold.replica._readiness import ReadinessFacts
from yuccafold.replica._readiness import readiness
from yuccafold.replica._refusals import Refusals
from yuccafold.replica._revision import Malformed
from yuccafold.replica._revision import Outcome
from yuccafold.replica._revision import Revision
from yuccafold.replica._revision import change_between
from yuccafold.replica._revision import changed_revision
from yuccafold.replica._revision import id_of
from yuccafold.replica._revision import judge
from yuccafold.replica._revision import read_revision
from yuccafold.replica._revision import restore_revision
from yuccafold.replica._status import OfferResult
from yuccafold.replica._status import SettingsStatus
from yuccafold.replica._status import Source
from yuccafold.replica._transfer import TreeFetch
from yuccafold.replica._transfer import TreeSender
from yuccafold.settings import SettingsFault


@final
@dataclass(frozen=True, slots=True)
class _Told:
    """A peer's own word about the revision that it holds."""

    revision: RevisionId
    ready: bool
    at: Milliseconds


@final
class SettingsReplica:
    """Decides which revision is in force on one VM and passes it on.

    The revision in force only ever moves up, in the order of
    ``RevisionId.rank``. ``set_listed`` and ``set_partners`` are called whenever
    the VM list or the partner graph changes; partners are a few reachable VMs.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        options: ReplicaOptions,
        rng: random.Random,
        now: Milliseconds,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._options = options
        self._rng = rng
        self._in_force: Revision | None = None
        self._source: Source | None = None
        self._since = now
        self._partners: tuple[VmId, ...] = ()
        self._listed: frozenset[VmId] | None = None
        self._was_ready = False
        self._paused = False
        self._service_answered_at: Milliseconds | None = None
        self._told: dict[VmId, _Told] = {}
        self._heard = HeardTable(vm, options, rng)
        self._log = ChangeLog(options)
        self._sender = TreeSender(options, now)
        self._fetch: TreeFetch | None = None
        self._wanted_at: Milliseconds | None = None
        self._advert_due = now
        self._next_partner = 0
        self._replied: dict[VmId, Milliseconds] = {}
        self._refusals = Refusals()

    @property
    def in_force(self) -> Revision | None:
        """The revision in force; ``None`` before the first."""
        return self._in_force

    @property
    def revision(self) -> RevisionId:
        """The id of the revision in force."""
        return id_of(self._in_force)

    def readiness(self, now: Milliseconds) -> Readiness:
        """Return whether this VM may serve, and what it waits for."""
        if self._was_ready and not self._paused:
            return Readiness.READY
        told = self._recently_told(now)
        state = readiness(
            ReadinessFacts(
                was_ready=self._was_ready,
                paused=self._paused and bool(self._others),
                has_list=self._listed is not None,
                listed_others=len(self._others),
                has_revision=self._in_force is not None,
                behind=any(self._is_wanted(entry.revision) for entry in told),
                serving_peers=sum(entry.ready for entry in told),
                idle_peers=sum(
                    peer.vm in self._others and not peer.ready
                    for peer in self._heard.peers(now)
                ),
            )
        )
        self._was_ready = self._was_ready or state is Readiness.READY
        return state

    def status(self, now: Milliseconds) -> SettingsStatus:
        """Return what operators are shown."""
        return SettingsStatus(
            self._vm,
            now,
            self.revision.number,
            self.revision.digest.hex(),
            self._source,
            self._since,
            self.readiness(now),
            self._service_answered_at,
            self._refusals.counts,
            self._refusals.last,
            self._heard.peers(now),
        )

    @property
    def _others(self) -> frozenset[VmId]:
        return (self._listed or frozenset()) - {self._vm}

    def set_listed(self, vms: frozenset[VmId]) -> None:
        """Take the live VMs of the platform's list; this VM may be among them."""
        self._listed = vms

    def set_partners(self, partners: tuple[VmId, ...]) -> None:
        """Take the reachable VMs that revisions are passed on to."""
        self._partners = tuple(vm for vm in partners if vm != self._vm)

    def paused(self) -> None:
        """Note that the process did not run for a while: its view may be old."""
        self._paused = True
        self._told.clear()

    def service_answered(self, now: Milliseconds) -> None:
        """Note that the settings service answered, with or without a text."""
        self._service_answered_at = now
        self._paused = False

    def offer(self, text: str, now: Milliseconds) -> OfferResult:
        """Judge a text of the settings service and take it or refuse it whole."""
        return self.offer_read(read_revision(text), now)

    def offer_read(
        self, read: Result[Revision, list[SettingsFault]], now: Milliseconds
    ) -> OfferResult:
        """Do as ``offer`` does, with a text that a worker thread has read."""
        self.service_answered(now)
        if isinstance(read, Err):
            self._refusals.refuse(read.err_value, now)
            return OfferResult(Outcome.REFUSED, tuple(read.err_value), [])
        outcome = self._judge(read.ok_value.id)
        if outcome is not Outcome.ACCEPTED:
            return OfferResult(outcome, (), [])
        outgoing = self._install(read.ok_value, Source.SERVICE, None, now)
        return OfferResult(outcome, (), outgoing)

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Take a peer's message; return the answers."""
        return self._take(message, sender, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return what is due; called several times a second."""
        return list(
            chain(self._sender.tick(now), self._fetch_more(now), self._due(now))
        )

    def _due(self, now: Milliseconds) -> Iterator[Outgoing]:
        """Yield the periodic adverts; one that may not serve yet asks everyone."""
        if now < self._advert_due or not self._partners:
            return
        self._advert_due = Milliseconds(now + self._options.advert_interval_ms)
        if self.readiness(now) is not Readiness.READY:
            yield from self._advertise(self._partners, now)
            return
        self._next_partner = (self._next_partner + 1) % len(self._partners)
        yield from self._advertise((self._partners[self._next_partner],), now)

    def _advertise(
        self, partners: tuple[VmId, ...], now: Milliseconds
    ) -> Iterator[Outgoing]:
        ready = self.readiness(now) is Readiness.READY
        for vm in partners:
            others = self._heard.sample(
                self.revision.number, self._options.heard_entries, now
            )
            yield Outgoing(
                vm, SettingsAdvert(self._incarnation, self.revision, ready, others)
            )

    @singledispatchmethod
    def _take(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._refusals.counts.unknown += 1
        return []

    @_take.register
    def _(
        self, message: SettingsAdvert, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._heard.take(sender, message, now)
        self._told[sender] = _Told(message.revision, message.ready, now)
        self._paused = self._paused and not message.ready
        if self._is_wanted(message.revision):
            if self._fetch is not None and self._fetch.revision == message.revision:
                return self._fetch.provide(sender, now)
            return self._want(sender, now)
        return self._reply(sender, message, now)

    def _reply(
        self, sender: VmId, advert: SettingsAdvert, now: Milliseconds
    ) -> list[Outgoing]:
        """Tell a peer at once that is behind or waits to start."""
        if advert.ready and advert.revision.rank >= self.revision.rank:
            return []
        last = self._replied.get(sender)
        if last is not None and now - last < self._options.advert_interval_ms // 2:
            return []
        self._replied[sender] = now
        return list(self._advertise((sender,), now))

    @_take.register
    def _(
        self, message: SettingsWant, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if self._in_force is None or message.have.rank >= self.revision.rank:
            return []
        changes = self._log.after(message.have)
        if changes:
            return [Outgoing(sender, change) for change in changes]
        size = len(self._in_force.canonical)
        return [Outgoing(sender, SettingsTreeOffer(self.revision, size))]

    @_take.register
    def _(
        self, message: SettingsChange, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._is_wanted(message.revision):
            self._judge(message.revision)
            return []
        if message.base in self._refusals:
            return self._want(sender, now, NO_REVISION)
        if self._in_force is None or message.base != self.revision:
            return self._want(sender, now)
        self._wanted_at = None
        changed = changed_revision(self._in_force, message)
        return self._take_revision(changed, message.revision, sender, message, now)

    @_take.register
    def _(
        self, message: SettingsTreeOffer, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._is_wanted(message.revision):
            return []
        if not 0 < message.size <= self._options.max_tree_bytes:
            self._refusals.counts.malformed += 1
            return []
        if self._fetch is None or self._fetch.is_abandoned:
            self._fetch = TreeFetch(message.revision, message.size, self._options)
        if self._fetch.revision != message.revision:
            return []
        return self._fetch.provide(sender, now)

    @_take.register
    def _(
        self, message: SettingsChunkWant, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return self._sender.want(sender, message, self._in_force, now)

    @_take.register
    def _(
        self, message: SettingsChunk, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if self._fetch is None or self._fetch.revision != message.revision:
            return []
        self._fetch.take(sender, message, now)
        whole = self._fetch.whole()
        if whole is None:
            return self._fetch_more(now)
        revision = self._fetch.revision
        self._fetch = None
        restored = restore_revision(whole, revision)
        return self._take_revision(restored, revision, sender, None, now)

    def _fetch_more(self, now: Milliseconds) -> list[Outgoing]:
        if self._fetch is None:
            return []
        if self._fetch.is_abandoned or not self._is_wanted(self._fetch.revision):
            self._fetch = None
            return []
        return self._fetch.tick(now)

    def _take_revision(
        self,
        read: Result[Revision, Malformed | list[SettingsFault]],
        expected: RevisionId,
        sender: VmId,
        change: SettingsChange | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """Take what a peer sent if it is sound and is what it was said to be."""
        if isinstance(read, Ok):
            if self._judge(expected) is not Outcome.ACCEPTED:
                return []
            return self._install(read.ok_value, Source.PEER, sender, now, change)
        if isinstance(read.err_value, Malformed):
            self._refusals.counts.malformed += 1
            return [Outgoing(sender, SettingsWant(NO_REVISION))]
        self._refusals.refuse_from(sender, expected, read.err_value, now)
        return []

    def _want(
        self, sender: VmId, now: Milliseconds, have: RevisionId | None = None
    ) -> list[Outgoing]:
        """Ask ``sender`` for what is missing, unless another was asked just now."""
        asked = self._wanted_at
        if asked is not None and now - asked < self._options.want_timeout_ms:
            return []
        self._wanted_at = now
        return [Outgoing(sender, SettingsWant(have or self.revision))]

    def _judge(self, offered: RevisionId) -> Outcome:
        outcome = judge(self.revision, offered)
        same_number = offered.number == self.revision.number
        self._refusals.counts.stale += outcome is Outcome.STALE
        self._refusals.counts.conflicts += same_number and outcome is not Outcome.SAME
        return outcome

    def _is_wanted(self, revision: RevisionId) -> bool:
        return revision.rank > self.revision.rank and revision not in self._refusals

    def _recently_told(self, now: Milliseconds) -> list[_Told]:
        oldest = now - self._options.direct_lifetime_ms
        self._told = {vm: told for vm, told in self._told.items() if told.at >= oldest}
        return list(self._told.values())

    def _install(
        self,
        revision: Revision,
        source: Source,
        sender: VmId | None,
        now: Milliseconds,
        change: SettingsChange | None = None,
    ) -> list[Outgoing]:
        """Put ``revision`` in force and return what passes it on."""
        before = self._in_force
        assert revision.id.rank > self.revision.rank, (
            f"revision {revision.id} would follow {self.revision}"
        )
        self._in_force = revision
        self._source = source
        self._since = now
        targets = tuple(vm for vm in self._partners if vm != sender)
        if before is None:
            return list(self._advertise(targets, now))
        change = change or change_between(before, revision)
        self._log.append(change)
        if len(change.patch) > self._options.push_limit_bytes:
            return list(self._advertise(targets, now))
        return [Outgoing(vm, change) for vm in targets]
