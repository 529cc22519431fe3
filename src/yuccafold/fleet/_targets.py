"""Which targets accept new work, by local evidence, reports and the VM list."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.fleet._gossip import GossipQueue
from yuccafold.fleet._messages import TargetEvidence
from yuccafold.fleet._messages import TargetReport
from yuccafold.fleet._settings import MembershipSettings
from yuccafold.fleet._vm_list import ListedState
from yuccafold.fleet._vm_list import VmListSnapshot

MAX_QUEUED_REPORTS = 512
MAX_HELD_REPORTS = 8_192
_NEVER = Milliseconds(-(10**15))
_SHARED_EVIDENCE = (
    TargetEvidence.PLATFORM_LEAVING,
    TargetEvidence.DRAINING,
    TargetEvidence.UNREACHABLE,
)


class TargetState(Enum):
    """The state of a target; new work may only be sent to ``LIVE`` targets."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@final
@dataclass(frozen=True, slots=True)
class _EvidenceKey:
    target: TargetId
    evidence: TargetEvidence


@final
@dataclass(frozen=True, slots=True)
class _HeldEvidence:
    """The latest evidence of one kind; ``observed_at`` is by this VM's clock."""

    key: _EvidenceKey
    observed_at: Milliseconds
    list_version: int


@final
class TargetHealth:
    """Merges the evidence about each target.

    Reports can only stop new work, and each expires ``target_report_ttl_ms``
    after the observation, so that no report excludes a target permanently. VMs
    never report to each other that a target is live, so that no report keeps a
    crashed target in use. What this VM observes itself overrides evidence that
    was observed earlier: an answer overrides ``UNREACHABLE``, which may be a
    fault of the observer's path only, and ``ACCEPTING`` overrides ``DRAINING``
    too. Only a newer list overrides the platform's list.

    Reports of the same kind about the same target are merged, whichever VM observed
    it: when 380 VMs see an engine crash, one report spreads and not 380.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._evidence: dict[_EvidenceKey, _HeldEvidence] = {}
        self._answered_at: dict[TargetId, Milliseconds] = {}
        self._accepted_at: dict[TargetId, Milliseconds] = {}
        self._list_version = -1
        self._listed_leaving: frozenset[TargetId] = frozenset()
        self._report_queue: GossipQueue[_HeldEvidence] = GossipQueue(MAX_QUEUED_REPORTS)

    def observe(
        self, target: TargetId, evidence: TargetEvidence, now: Milliseconds
    ) -> None:
        """Record what this VM itself observed of ``target``."""
        if evidence in (TargetEvidence.ACCEPTING, TargetEvidence.ANSWERED):
            self._answered_at[target] = now
        if evidence is TargetEvidence.ACCEPTING:
            self._accepted_at[target] = now
        if evidence in _SHARED_EVIDENCE:
            self._apply(
                _HeldEvidence(_EvidenceKey(target, evidence), now, 0), now, local=True
            )

    def handle_report(self, report: TargetReport, now: Milliseconds) -> None:
        """Apply a peer's report, and pass it on when it is new."""
        if report.evidence not in _SHARED_EVIDENCE:
            return
        observed_at = Milliseconds(now - max(0, report.age_ms))
        key = _EvidenceKey(report.target, report.evidence)
        self._apply(_HeldEvidence(key, observed_at, report.list_version), now)

    def apply_list(self, snapshot: VmListSnapshot, now: Milliseconds) -> None:
        """Update which targets the platform lists as leaving."""
        self._list_version = snapshot.version
        self._listed_leaving = frozenset(
            entry.id for entry in snapshot.targets if entry.state is ListedState.LEAVING
        )
        self._report_listed_leaving(now)

    def state(self, target: TargetId, now: Milliseconds) -> TargetState:
        """Return the state of ``target``."""
        if self._is_in_effect(_EvidenceKey(target, TargetEvidence.UNREACHABLE), now):
            return TargetState.GONE
        if target in self._listed_leaving:
            return TargetState.DRAINING
        keys = (_EvidenceKey(target, evidence) for evidence in _SHARED_EVIDENCE)
        if any(self._is_in_effect(key, now) for key in keys):
            return TargetState.DRAINING
        return TargetState.LIVE

    def not_live(self, now: Milliseconds) -> dict[TargetId, TargetState]:
        """Return the states of all targets that are not ``LIVE``."""
        known = self._listed_leaving.union(key.target for key in self._evidence)
        states = {target: self.state(target, now) for target in known}
        return {
            target: state
            for target, state in states.items()
            if state is not TargetState.LIVE
        }

    def reports_to_send(
        self, count: int, fleet_size: int, now: Milliseconds
    ) -> tuple[TargetReport, ...]:
        """Return up to ``count`` reports to send with the next message."""
        return tuple(
            TargetReport(
                held.key.target,
                held.key.evidence,
                now - held.observed_at,
                held.list_version,
            )
            for held in self._report_queue.next_batch(count, fleet_size)
            if self._is_unexpired(held, now)
        )

    def refresh(self, now: Milliseconds) -> None:
        """Remove expired evidence, and report again what the platform lists."""
        self._evidence = {
            key: held
            for key, held in self._evidence.items()
            if self._is_unexpired(held, now)
        }
        max_age = 2 * self._settings.target_report_ttl_ms
        self._answered_at = _recent(self._answered_at.items(), now - max_age)
        self._accepted_at = _recent(self._accepted_at.items(), now - max_age)
        self._report_listed_leaving(now)

    def _report_listed_leaving(self, now: Milliseconds) -> None:
        for target in self._listed_leaving:
            key = _EvidenceKey(target, TargetEvidence.PLATFORM_LEAVING)
            self._apply(_HeldEvidence(key, now, self._list_version), now)

    def _apply(
        self, held: _HeldEvidence, now: Milliseconds, local: bool = False
    ) -> None:
        """Store and pass on evidence that is newer by ``target_refresh_ms``.

        Evidence from a newer VM list always counts as newer, from an older one
        never. Local evidence is stored even if it is newer by less, and if
        ``MAX_HELD_REPORTS`` are held.
        """
        if not self._is_unexpired(held, now):
            return
        earlier = self._evidence.get(held.key)
        if earlier is None and len(self._evidence) >= MAX_HELD_REPORTS and not local:
            return
        newer = earlier is None or self._is_newer(earlier, held)
        if newer:
            self._report_queue.add(held.key, held)
        if newer or (local and held.observed_at > earlier.observed_at):
            self._evidence[held.key] = held

    def _is_newer(self, earlier: _HeldEvidence, held: _HeldEvidence) -> bool:
        if held.list_version != earlier.list_version:
            return held.list_version > earlier.list_version
        newer_by = held.observed_at - earlier.observed_at
        return newer_by >= self._settings.target_refresh_ms

    def _is_in_effect(self, key: _EvidenceKey, now: Milliseconds) -> bool:
        held = self._evidence.get(key)
        if held is None or not self._is_unexpired(held, now):
            return False
        if key.evidence is TargetEvidence.PLATFORM_LEAVING:
            return held.list_version > self._list_version
        unreachable = key.evidence is TargetEvidence.UNREACHABLE
        contradictions = self._answered_at if unreachable else self._accepted_at
        return contradictions.get(key.target, _NEVER) <= held.observed_at

    def _is_unexpired(self, held: _HeldEvidence, now: Milliseconds) -> bool:
        return now - held.observed_at < self._settings.target_report_ttl_ms


def _recent(
    items: Iterable[tuple[TargetId, Milliseconds]], after: int
) -> dict[TargetId, Milliseconds]:
    return {target: time for target, time in items if time > after}
