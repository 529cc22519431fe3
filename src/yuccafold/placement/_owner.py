"""The granting side: counts and grants slots on targets that this VM owns."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.placement._messages import DenialReason
from yuccafold.placement._messages import HeldSlot
from yuccafold.placement._messages import SlotQuery
from yuccafold.placement._messages import SlotReport
from yuccafold.placement._messages import TargetLoad
from yuccafold.placement._open_targets import OpenTargets
from yuccafold.placement._owner_table import OwnerTable
from yuccafold.placement._owner_table import owner_table
from yuccafold.placement._slots import SlotKey
from yuccafold.placement._slots import SlotTable
from yuccafold.placement._takeover import RecordLosses
from yuccafold.placement._takeover import Takeover
from yuccafold.placement._view import FleetView
from yuccafold.placement._view import LedgerSettings

LocalSlots = Callable[[Iterable[TargetId], Milliseconds], list[HeldSlot]]


class Phase(Enum):
    """How far an owner has taken over a target."""

    WAITING = "waiting"
    COLLECTING = "collecting"
    GRANTING = "granting"


@dataclass(slots=True)
class _Ownership:
    started_at: int
    phase: Phase = Phase.WAITING
    round: int = 0


@final
class SlotOwner:
    """Counts the slots of owned targets exactly and grants within the bound.

    A new owner waits for the list's lag, within which the former owner stops
    granting, and then queries every VM for the slots that it knows. Each slot is
    known to two VMs (its holder and the owner, or the owner and its successor for
    slots held by the owner), so the reports are complete if the records of at most
    one VM are missing.
    """

    def __init__(
        self,
        me: VmId,
        incarnation: Incarnation,
        settings: LedgerSettings,
        now: Milliseconds,
    ) -> None:
        self._me = me
        self._settings = settings
        self._slots = SlotTable()
        self._slots.record_incarnation(me, incarnation)
        self._targets = OpenTargets(settings)
        self._losses = RecordLosses(me, self._slots.incarnation, settings, now)
        self._ownerships: dict[TargetId, _Ownership] = {}
        self._takeovers: dict[int, Takeover] = {}
        self._last_round = 0
        # At least one lease: floors of this VM's previous process may still be in
        # force, and its slots must stay counted for that long.
        self._takeover_delay_ms = max(settings.list_lag_ms, settings.floor_lease_ms)
        self._owners = OwnerTable(())
        self._not_handed_over: set[TargetId] = set()
        self._taken_over: list[TargetId] = []

    @property
    def slots(self) -> SlotTable:
        """All slots known to this VM, on owned and other targets."""
        return self._slots

    @property
    def owners(self) -> OwnerTable:
        """The owner of each target according to this VM's current list."""
        return self._owners

    @property
    def targets(self) -> OpenTargets:
        """The targets that accept work."""
        return self._targets

    @property
    def may_leave(self) -> bool:
        """Whether no other VM needs the slot records of this VM any more."""
        return not self._ownerships and not self._not_handed_over

    @property
    def is_granting_all(self) -> bool:
        """Whether this VM grants slots on all targets that it owns."""
        ownerships = self._ownerships.values()
        return all(ownership.phase is Phase.GRANTING for ownership in ownerships)

    def pop_taken_over(self) -> list[TargetId]:
        """Return and clear the targets taken over since the last call."""
        targets = self._taken_over
        self._taken_over = []
        return targets

    def phase(self, target: TargetId) -> Phase | None:
        """Return the takeover phase of ``target``, or None if not owned."""
        ownership = self._ownerships.get(target)
        return None if ownership is None else ownership.phase

    def view_changed(self, view: FleetView, now: Milliseconds) -> None:
        """Apply a list of VMs and targets, which determines ownership."""
        self._owners = owner_table(view.vms)
        self._losses.view_changed(view.vms, now)
        self._targets.view_changed(view.targets, now)
        listed = [state.id for states in view.targets.values() for state in states]
        owned = {name for name in listed if self._owners.owner(name) == self._me}
        for target in set(self._ownerships) - owned:
            if self._ownerships.pop(target).phase is Phase.GRANTING:
                self._not_handed_over.add(target)
        for target in owned - set(self._ownerships):
            self._ownerships[target] = _Ownership(now)

    def reset(self, now: Milliseconds) -> None:
        """Restart all takeovers after a pause, as others may have granted meanwhile."""
        self._takeovers.clear()
        self._ownerships = {target: _Ownership(now) for target in self._ownerships}
        self._targets.reset(now)

    def record_incarnation(
        self, vm: VmId, incarnation: Incarnation, now: Milliseconds
    ) -> None:
        """Record the process of ``vm`` that sent a message."""
        if self._slots.record_incarnation(vm, incarnation):
            self._losses.record_restart(vm, now)

    def record_clean_leave(self, vm: VmId) -> None:
        """Record that ``vm`` stops and holds no records that others need."""
        self._losses.record_clean_leave(vm)

    def limit(
        self, service: ServiceId, multiple: float, in_flight: int, now: Milliseconds
    ) -> int:
        """Return the maximum number of slots on a target after an admission.

        ``in_flight`` is a lower bound of the service's requests in flight.
        """
        targets = max(1, self._targets.count(service, now))
        # Without the small term, 1.1 * 50 / 5, a little above 11 as a float, would be
        # rounded up to 12.
        return math.ceil(multiple * (in_flight + 1) / targets - 1e-9)

    def grant(
        self,
        key: SlotKey,
        target: TargetId,
        limit: int,
        expires_at: Milliseconds,
        now: Milliseconds,
    ) -> DenialReason | None:
        """Hold a slot if within ``limit``, else return the reason for the denial."""
        ownership = self._ownerships.get(target)
        if ownership is None:
            return DenialReason.NOT_OWNER
        if ownership.phase is not Phase.GRANTING or not self._targets.is_open(
            target, now
        ):
            return DenialReason.NOT_READY
        self._slots.expire(now)
        if self._slots.count(target) >= limit:
            return DenialReason.TARGET_FULL
        self._slots.add(key, target, expires_at)
        assert self._slots.count(target) <= limit, f"{target} holds more than {limit}"
        return None

    def accepts_record(self, target: TargetId) -> bool:
        """Return whether this VM may still record slots for the owner of ``target``."""
        return self.phase(target) in (None, Phase.WAITING)

    def on_query(
        self, query: SlotQuery, local_slots: Iterable[HeldSlot], now: Milliseconds
    ) -> SlotReport:
        """Stop granting on the queried targets and report their slots."""
        for target in query.targets:
            self._not_handed_over.discard(target)
            ownership = self._ownerships.get(target)
            if ownership is not None:
                # If the list still names this VM as owner, it takes over again.
                self._ownerships[target] = _Ownership(now)
        self._slots.expire(now)
        known = (*local_slots, *self._slots.held(query.targets, now))
        return SlotReport(
            self._slots.incarnation(self._me),
            query.round,
            self._losses.age(now),
            tuple(dict.fromkeys(known)),
            self._losses.departed(now),
            self._losses.restarts(now),
        )

    def on_report(
        self, sender: VmId, report: SlotReport, now: Milliseconds
    ) -> list[Outgoing]:
        """Process a report of a takeover; query further VMs that it names."""
        takeover = self._takeovers.get(report.round)
        if takeover is None:
            return []
        for slot in takeover.on_report(sender, report, now):
            self._add(slot, now)
        self._finish(takeover, now)
        return takeover.queries(now)

    def tick(self, local_slots: LocalSlots, now: Milliseconds) -> list[Outgoing]:
        """Expire slots and advance takeovers.

        ``local_slots`` returns the slots that this VM itself holds on targets.
        """
        self._slots.expire(now)
        due = [
            target
            for target, ownership in self._ownerships.items()
            if ownership.phase is Phase.WAITING
            and now - ownership.started_at >= self._takeover_delay_ms
        ]
        if due:
            self._start_takeover(due, now)
            for slot in local_slots(due, now):
                self._add(slot, now)
        for takeover in tuple(self._takeovers.values()):
            self._finish(takeover, now)
        return [
            outgoing
            for takeover in self._takeovers.values()
            for outgoing in takeover.queries(now)
        ]

    def _start_takeover(self, targets: list[TargetId], now: Milliseconds) -> None:
        self._last_round += 1
        self._takeovers[self._last_round] = Takeover(
            self._last_round, targets, self._losses, self._settings, now
        )
        for target in targets:
            self._ownerships[target].phase = Phase.COLLECTING
            self._ownerships[target].round = self._last_round

    def _finish(self, takeover: Takeover, now: Milliseconds) -> None:
        if not takeover.is_complete(now):
            return
        del self._takeovers[takeover.round]
        for slot in takeover.second_hand():
            self._add(slot, now)
        for target in takeover.targets:
            ownership = self._ownerships.get(target)
            if ownership is not None and ownership.round == takeover.round:
                ownership.phase = Phase.GRANTING
                self._taken_over.append(target)

    def _add(self, slot: HeldSlot, now: Milliseconds) -> None:
        key = SlotKey(slot.holder, slot.incarnation, slot.number)
        self._slots.add(key, slot.target, Milliseconds(now + slot.remaining_ms))

    def loads(self) -> tuple[TargetLoad, ...]:
        """Return the held slots of each target on which this VM grants slots."""
        return tuple(
            TargetLoad(target, self._slots.count(target))
            for target, ownership in self._ownerships.items()
            if ownership.phase is Phase.GRANTING
        )
