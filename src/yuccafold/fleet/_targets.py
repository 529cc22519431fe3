"""Which targets take new work, from own evidence, reports and the platform."""

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
_TRAVELLING = (
    TargetEvidence.PLATFORM_LEAVING,
    TargetEvidence.DRAINING,
    TargetEvidence.UNREACHABLE,
)


class TargetState(Enum):
    """Whether a target may be sent new work; only ``LIVE`` ones may."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@final
@dataclass(frozen=True, slots=True)
class _Key:
    target: TargetId
    evidence: TargetEvidence


@final
@dataclass(frozen=True, slots=True)
class _Held:
    """The latest evidence of one kind, and when it was seen by this VM's clock."""

    key: _Key
    observed_at: Milliseconds
    list_version: int


@final
class TargetHealth:
    """Merges what is known of each target.

    Reports only ever stop work, and each lapses ``target_report_ms`` after it
    was observed, so no rumour buries a target for good; life is never spread,
    so none keeps a dead one alive. What this VM sees itself contradicts what
    was observed earlier: an answer contradicts ``UNREACHABLE``, which may be a
    fault of the observer's path only, and ``ACCEPTING`` contradicts
    ``DRAINING`` too. The platform's list is contradicted by a newer list only.

    Reports of the same kind on the same target merge, whoever made them: when
    an engine dies before 380 VMs, one report travels and not 380.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._held: dict[_Key, _Held] = {}
        self._answered: dict[TargetId, Milliseconds] = {}
        self._accepted: dict[TargetId, Milliseconds] = {}
        self._list_version = -1
        self._leaving: frozenset[TargetId] = frozenset()
        self._queue: GossipQueue[_Held] = GossipQueue(MAX_QUEUED_REPORTS)

    def observe(
        self, target: TargetId, evidence: TargetEvidence, now: Milliseconds
    ) -> None:
        """Take what this VM saw of ``target`` itself."""
        if evidence in (TargetEvidence.ACCEPTING, TargetEvidence.ANSWERED):
            self._answered[target] = now
        if evidence is TargetEvidence.ACCEPTING:
            self._accepted[target] = now
        if evidence in _TRAVELLING:
            self._take(_Held(_Key(target, evidence), now, 0), now, own=True)

    def take(self, report: TargetReport, now: Milliseconds) -> None:
        """Take a peer's report and pass it on when it is new."""
        if report.evidence not in _TRAVELLING:
            return
        observed_at = Milliseconds(now - max(0, report.age_ms))
        key = _Key(report.target, report.evidence)
        self._take(_Held(key, observed_at, report.list_version), now)

    def take_list(self, snapshot: VmListSnapshot, now: Milliseconds) -> None:
        """Take over which targets the platform lists as leaving."""
        self._list_version = snapshot.version
        self._leaving = frozenset(
            entry.id for entry in snapshot.targets if entry.state is ListedState.LEAVING
        )
        self._tell_list(now)

    def state(self, target: TargetId, now: Milliseconds) -> TargetState:
        """Return whether ``target`` may be sent new work."""
        if self._counts(_Key(target, TargetEvidence.UNREACHABLE), now):
            return TargetState.GONE
        if target in self._leaving:
            return TargetState.DRAINING
        keys = (_Key(target, evidence) for evidence in _TRAVELLING)
        if any(self._counts(key, now) for key in keys):
            return TargetState.DRAINING
        return TargetState.LIVE

    def not_live(self, now: Milliseconds) -> dict[TargetId, TargetState]:
        """Return every target that may not be sent new work."""
        known = self._leaving.union(key.target for key in self._held)
        states = {target: self.state(target, now) for target in known}
        return {
            target: state
            for target, state in states.items()
            if state is not TargetState.LIVE
        }

    def take_news(
        self, count: int, fleet_size: int, now: Milliseconds
    ) -> tuple[TargetReport, ...]:
        """Return up to ``count`` reports that ride on the next message."""
        return tuple(
            TargetReport(
                held.key.target,
                held.key.evidence,
                now - held.observed_at,
                held.list_version,
            )
            for held in self._queue.take(count, fleet_size)
            if self._holds(held, now)
        )

    def refresh(self, now: Milliseconds) -> None:
        """Drop lapsed evidence and repeat what the platform's list says."""
        self._held = {
            key: held for key, held in self._held.items() if self._holds(held, now)
        }
        limit = 2 * self._settings.target_report_ms
        self._answered = _recent(self._answered.items(), now - limit)
        self._accepted = _recent(self._accepted.items(), now - limit)
        self._tell_list(now)

    def _tell_list(self, now: Milliseconds) -> None:
        for target in self._leaving:
            key = _Key(target, TargetEvidence.PLATFORM_LEAVING)
            self._take(_Held(key, now, self._list_version), now)

    def _take(self, held: _Held, now: Milliseconds, own: bool = False) -> None:
        """Hold evidence that is newer; pass it on when it is newer by a while."""
        if not self._holds(held, now):
            return
        earlier = self._held.get(held.key)
        if earlier is None and len(self._held) >= MAX_HELD_REPORTS and not own:
            return
        news = earlier is None or self._renews(earlier, held)
        if news:
            self._queue.add(held.key, held)
        if news or (own and held.observed_at > earlier.observed_at):
            self._held[held.key] = held

    def _renews(self, earlier: _Held, held: _Held) -> bool:
        if held.list_version != earlier.list_version:
            return held.list_version > earlier.list_version
        gained = held.observed_at - earlier.observed_at
        return gained >= self._settings.target_refresh_ms

    def _counts(self, key: _Key, now: Milliseconds) -> bool:
        held = self._held.get(key)
        if held is None or not self._holds(held, now):
            return False
        if key.evidence is TargetEvidence.PLATFORM_LEAVING:
            return held.list_version > self._list_version
        unreachable = key.evidence is TargetEvidence.UNREACHABLE
        contradictions = self._answered if unreachable else self._accepted
        return contradictions.get(key.target, _NEVER) <= held.observed_at

    def _holds(self, held: _Held, now: Milliseconds) -> bool:
        return now - held.observed_at < self._settings.target_report_ms


def _recent(
    items: Iterable[tuple[TargetId, Milliseconds]], after: int
) -> dict[TargetId, Milliseconds]:
    return {target: at for target, at in items if at > after}
