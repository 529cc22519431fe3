"""Keeps one VM's copy of the settings up to date from the service and the peers."""

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
from yuccafold.replica._log import ChangeLog
from yuccafold.replica._messages import NO_REVISION
from yuccafold.replica._messages import RevisionId
from yuccafold.replica._messages import SettingsAdvert
from yuccafold.replica._messages import SettingsChange
from yuccafold.replica._messages import SettingsChunk
from yuccafold.replica._messages import SettingsChunkRequest
from yuccafold.replica._messages import SettingsRequest
from yuccafold.replica._messages import SettingsTreeOffer
from yuccafold.replica._options import ReplicaOptions
from yuccafold.replica._peer_revisions import PeerRevisionTable
from yuccafold.replica._readiness import Readiness
from yuccafold.replica._readiness import ReadinessFacts
from yuccafold.replica._readiness import readiness
from yuccafold.replica._refusals import Refusals
from yuccafold.replica._revision import Malformed
from yuccafold.replica._revision import Outcome
from yuccafold.replica._revision import Revision
from yuccafold.replica._revision import apply_change
from yuccafold.replica._revision import change_between
from yuccafold.replica._revision import classify_offer
from yuccafold.replica._revision import id_of
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
class _DirectReport:
    """What a peer's own advert said about its revision and readiness."""

    revision: RevisionId
    ready: bool
    received_at: Milliseconds


@final
class SettingsReplica:
    """Decides which revision is in force on one VM, and sends it to its partners.

    The revision in force only moves up in the order of ``RevisionId.rank``.
    ``set_listed`` and ``set_partners`` must be called whenever the VM list or the
    partner graph changes; the partners are a few reachable VMs.
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
        self._in_force_since = now
        self._partners: tuple[VmId, ...] = ()
        self._listed_vms: frozenset[VmId] | None = None
        self._was_ready = False
        self._must_renew = False
        self._service_answered_at: Milliseconds | None = None
        self._direct_reports: dict[VmId, _DirectReport] = {}
        self._peer_revisions = PeerRevisionTable(vm, options, rng)
        self._change_log = ChangeLog(options)
        self._tree_sender = TreeSender(options, now)
        self._tree_fetch: TreeFetch | None = None
        self._requested_at: Milliseconds | None = None
        self._next_advert_at = now
        self._next_partner = 0
        self._replied_at: dict[VmId, Milliseconds] = {}
        self._refusals = Refusals()

    @property
    def in_force(self) -> Revision | None:
        """The revision in force; ``None`` before the first is accepted."""
        return self._in_force

    @property
    def revision(self) -> RevisionId:
        """The id of the revision in force."""
        return id_of(self._in_force)

    def readiness(self, now: Milliseconds) -> Readiness:
        """Return whether this VM may serve calls; if not, what it waits for.

        A VM that was ready once stays ready, except after a pause.
        """
        if self._was_ready and not self._must_renew:
            return Readiness.READY
        reports = self._recent_reports(now)
        state = readiness(
            ReadinessFacts(
                was_ready=self._was_ready,
                must_renew=self._must_renew and bool(self._listed_others),
                has_vm_list=self._listed_vms is not None,
                listed_others=len(self._listed_others),
                has_revision=self._in_force is not None,
                is_behind=any(
                    self._should_fetch(report.revision) for report in reports
                ),
                ready_peers=sum(report.ready for report in reports),
                not_ready_peers=sum(
                    peer.vm in self._listed_others and not peer.ready
                    for peer in self._peer_revisions.peers(now)
                ),
            )
        )
        self._was_ready = self._was_ready or state is Readiness.READY
        return state

    def status(self, now: Milliseconds) -> SettingsStatus:
        """Return the state of the settings for the operators' page."""
        return SettingsStatus(
            self._vm,
            now,
            self.revision.number,
            self.revision.digest.hex(),
            self._source,
            self._in_force_since,
            self.readiness(now),
            self._service_answered_at,
            self._refusals.counts,
            self._refusals.last,
            self._peer_revisions.peers(now),
        )

    @property
    def _listed_others(self) -> frozenset[VmId]:
        return (self._listed_vms or frozenset()) - {self._vm}

    def set_listed(self, vms: frozenset[VmId]) -> None:
        """Set the live VMs of the platform's list; it may include this VM."""
        self._listed_vms = vms

    def set_partners(self, partners: tuple[VmId, ...]) -> None:
        """Set the reachable VMs that revisions and adverts are sent to."""
        self._partners = tuple(vm for vm in partners if vm != self._vm)

    def record_pause(self) -> None:
        """Record that the process didn't run for a while.

        Its view of the peers may be stale: it isn't ready until a ready peer sends
        an advert or the settings service answers, unless it is alone on the list.
        """
        self._must_renew = True
        self._direct_reports.clear()

    def record_service_answer(self, now: Milliseconds) -> None:
        """Record that the settings service answered, with or without a new text."""
        self._service_answered_at = now
        self._must_renew = False

    def offer(self, text: str, now: Milliseconds) -> OfferResult:
        """Check a text of the settings service; accept or refuse it as a whole."""
        return self.offer_parsed(read_revision(text), now)

    def offer_parsed(
        self, read: Result[Revision, list[SettingsFault]], now: Milliseconds
    ) -> OfferResult:
        """Like ``offer``, for a text that was parsed before, in a worker thread."""
        self.record_service_answer(now)
        if isinstance(read, Err):
            self._refusals.record_text(read.err_value, now)
            return OfferResult(Outcome.REFUSED, tuple(read.err_value), [])
        outcome = self._classify_offer(read.ok_value.id)
        if outcome is not Outcome.ACCEPTED:
            return OfferResult(outcome, (), [])
        outgoing = self._install(read.ok_value, Source.SERVICE, None, now)
        return OfferResult(outcome, (), outgoing)

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Handle a peer's message and return the messages to send."""
        return self._handle_message(message, sender, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the messages that are due; must be called several times a second."""
        return list(
            chain(
                self._tree_sender.tick(now),
                self._fetch_more(now),
                self._due_adverts(now),
            )
        )

    def _due_adverts(self, now: Milliseconds) -> Iterator[Outgoing]:
        """Yield the periodic adverts.

        A ready VM sends one to the next partner, round robin. One that isn't
        ready sends one to every partner, as partners reply to it.
        """
        if now < self._next_advert_at or not self._partners:
            return
        self._next_advert_at = Milliseconds(now + self._options.advert_interval_ms)
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
            others = self._peer_revisions.sample(
                self.revision.number, self._options.reports_per_advert, now
            )
            yield Outgoing(
                vm, SettingsAdvert(self._incarnation, self.revision, ready, others)
            )

    @singledispatchmethod
    def _handle_message(
        self, message: Any, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._refusals.counts.unknown += 1
        return []

    @_handle_message.register
    def _(
        self, message: SettingsAdvert, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._peer_revisions.apply_advert(sender, message, now)
        self._direct_reports[sender] = _DirectReport(
            message.revision, message.ready, now
        )
        self._must_renew = self._must_renew and not message.ready
        if self._should_fetch(message.revision):
            if (
                self._tree_fetch is not None
                and self._tree_fetch.revision == message.revision
            ):
                return self._tree_fetch.add_provider(sender, now)
            return self._request_changes(sender, now)
        return self._reply_to_advert(sender, message, now)

    def _reply_to_advert(
        self, sender: VmId, advert: SettingsAdvert, now: Milliseconds
    ) -> list[Outgoing]:
        """Reply with an advert at once to a peer that is behind or not ready.

        A peer gets at most one such reply in half an advert interval.
        """
        if advert.ready and advert.revision.rank >= self.revision.rank:
            return []
        last = self._replied_at.get(sender)
        if last is not None and now - last < self._options.advert_interval_ms // 2:
            return []
        self._replied_at[sender] = now
        return list(self._advertise((sender,), now))

    @_handle_message.register
    def _(
        self, message: SettingsRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if self._in_force is None or message.have.rank >= self.revision.rank:
            return []
        changes = self._change_log.after(message.have)
        if changes:
            return [Outgoing(sender, change) for change in changes]
        size = len(self._in_force.canonical)
        return [Outgoing(sender, SettingsTreeOffer(self.revision, size))]

    @_handle_message.register
    def _(
        self, message: SettingsChange, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._should_fetch(message.revision):
            self._classify_offer(message.revision)
            return []
        if message.base in self._refusals:
            return self._request_changes(sender, now, NO_REVISION)
        if self._in_force is None or message.base != self.revision:
            return self._request_changes(sender, now)
        self._requested_at = None
        changed = apply_change(self._in_force, message)
        return self._apply_peer_revision(
            changed, message.revision, sender, message, now
        )

    @_handle_message.register
    def _(
        self, message: SettingsTreeOffer, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._should_fetch(message.revision):
            return []
        if not 0 < message.size <= self._options.max_tree_bytes:
            self._refusals.counts.malformed += 1
            return []
        if self._tree_fetch is None or self._tree_fetch.is_abandoned:
            self._tree_fetch = TreeFetch(message.revision, message.size, self._options)
        if self._tree_fetch.revision != message.revision:
            return []
        return self._tree_fetch.add_provider(sender, now)

    @_handle_message.register
    def _(
        self, message: SettingsChunkRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return self._tree_sender.handle_request(sender, message, self._in_force, now)

    @_handle_message.register
    def _(
        self, message: SettingsChunk, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if self._tree_fetch is None or self._tree_fetch.revision != message.revision:
            return []
        self._tree_fetch.handle_chunk(sender, message, now)
        canonical = self._tree_fetch.complete_tree()
        if canonical is None:
            return self._fetch_more(now)
        revision = self._tree_fetch.revision
        self._tree_fetch = None
        restored = restore_revision(canonical, revision)
        return self._apply_peer_revision(restored, revision, sender, None, now)

    def _fetch_more(self, now: Milliseconds) -> list[Outgoing]:
        """Return the next requests for chunks, or drop a fetch that is not needed."""
        if self._tree_fetch is None:
            return []
        if self._tree_fetch.is_abandoned or not self._should_fetch(
            self._tree_fetch.revision
        ):
            self._tree_fetch = None
            return []
        return self._tree_fetch.tick(now)

    def _apply_peer_revision(
        self,
        read: Result[Revision, Malformed | list[SettingsFault]],
        expected: RevisionId,
        sender: VmId,
        change: SettingsChange | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """Put a peer's revision in force if it is valid and the expected one.

        After a malformed one, the sender is asked for the whole tree. A revision
        with faults is recorded and not fetched again.
        """
        if isinstance(read, Ok):
            if self._classify_offer(expected) is not Outcome.ACCEPTED:
                return []
            return self._install(read.ok_value, Source.PEER, sender, now, change)
        if isinstance(read.err_value, Malformed):
            self._refusals.counts.malformed += 1
            return [Outgoing(sender, SettingsRequest(NO_REVISION))]
        self._refusals.record_revision(sender, expected, read.err_value, now)
        return []

    def _request_changes(
        self, sender: VmId, now: Milliseconds, have: RevisionId | None = None
    ) -> list[Outgoing]:
        """Request the missing changes from ``sender``.

        Nothing is sent while a request to any peer is younger than its timeout.
        """
        requested_at = self._requested_at
        if (
            requested_at is not None
            and now - requested_at < self._options.request_timeout_ms
        ):
            return []
        self._requested_at = now
        return [Outgoing(sender, SettingsRequest(have or self.revision))]

    def _classify_offer(self, offered: RevisionId) -> Outcome:
        """Return the outcome for ``offered``, and count a stale or conflicting one."""
        outcome = classify_offer(self.revision, offered)
        same_number = offered.number == self.revision.number
        self._refusals.counts.stale += outcome is Outcome.STALE
        self._refusals.counts.conflicts += same_number and outcome is not Outcome.SAME
        return outcome

    def _should_fetch(self, revision: RevisionId) -> bool:
        """Return whether ``revision`` is newer and was not refused before."""
        return revision.rank > self.revision.rank and revision not in self._refusals

    def _recent_reports(self, now: Milliseconds) -> list[_DirectReport]:
        """Drop the expired direct reports and return the others."""
        oldest = now - self._options.direct_report_lifetime_ms
        self._direct_reports = {
            vm: report
            for vm, report in self._direct_reports.items()
            if report.received_at >= oldest
        }
        return list(self._direct_reports.values())

    def _install(
        self,
        revision: Revision,
        source: Source,
        sender: VmId | None,
        now: Milliseconds,
        change: SettingsChange | None = None,
    ) -> list[Outgoing]:
        """Put ``revision`` in force and return the messages that pass it on.

        Partners get the change itself, or an advert if the change is too large or
        there was no revision before.
        """
        previous = self._in_force
        assert revision.id.rank > self.revision.rank, (
            f"revision {revision.id} is not above {self.revision}"
        )
        self._in_force = revision
        self._source = source
        self._in_force_since = now
        recipients = tuple(vm for vm in self._partners if vm != sender)
        if previous is None:
            return list(self._advertise(recipients, now))
        change = change or change_between(previous, revision)
        self._change_log.append(change)
        if len(change.patch) > self._options.push_limit_bytes:
            return list(self._advertise(recipients, now))
        return [Outgoing(vm, change) for vm in recipients]
