"""The side that counts: grants slots on the targets that this VM owns."""

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
from yuccafold.placement._owners import OwnerTable
from yuccafold.placement._owners import owners_among
from yuccafold.placement._slots import SlotKey
from yuccafold.placement._slots import SlotTable
from yuccafold.placement._takeover import MemoryLoss
from yuccafold.placement._takeover import Takeover
from yuccafold.placement._targets import TakingTargets
from yuccafold.placement._view import FleetView
from yuccafold.placement._view import LedgerSettings

OwnSlots = Callable[[Iterable[TargetId], Milliseconds], list[HeldSlot]]


class Phase(Enum):
    """How far a VM is on its way to granting slots on a target."""

    WAITING = "waiting"
    COLLECTING = "collecting"
    GRANTING = "granting"


@dataclass(slots=True)
class _Tenure:
    since: int
    phase: Phase = Phase.WAITING
    round: int = 0


@final
class SlotOwner:
    """Counts the slots of owned targets exactly and grants within the bound.

    A new owner waits for the list's lag, in which the former one stops, and
    then asks every VM for the slots that it knows. Each slot is known to two
    VMs (its holder and the owner, or for the owner's own slots its successor),
    so the answers are complete when no more than one memory is missing.
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
        self._slots.see(me, incarnation)
        self._targets = TakingTargets(settings)
        self._losses = MemoryLoss(me, self._slots.incarnation, settings, now)
        self._tenures: dict[TargetId, _Tenure] = {}
        self._rounds: dict[int, Takeover] = {}
        self._round = 0
        # No shorter than a lease: a former process of this VM may have floors
        # in force, and its slots must stay counted as long.
        self._patience = max(settings.list_lag_ms, settings.floor_lease_ms)
        self._owners = OwnerTable(())
        self._unclaimed: set[TargetId] = set()
        self._taken_over: list[TargetId] = []

    @property
    def slots(self) -> SlotTable:
        """Every slot known here, on owned targets and on others."""
        return self._slots

    @property
    def owners(self) -> OwnerTable:
        """The owner of each target by the list in force here."""
        return self._owners

    @property
    def targets(self) -> TakingTargets:
        """The targets that take work."""
        return self._targets

    @property
    def is_unneeded(self) -> bool:
        """Whether nobody would miss what this VM knows."""
        return not self._tenures and not self._unclaimed

    @property
    def is_settled(self) -> bool:
        """Whether this VM grants slots on every target that it owns."""
        tenures = self._tenures.values()
        return all(tenure.phase is Phase.GRANTING for tenure in tenures)

    def take_taken_over(self) -> list[TargetId]:
        """Return the targets taken over since the last call."""
        targets = self._taken_over
        self._taken_over = []
        return targets

    def phase(self, target: TargetId) -> Phase | None:
        """Return how far this VM is with ``target``; none when not its owner."""
        tenure = self._tenures.get(target)
        return None if tenure is None else tenure.phase

    def view_changed(self, view: FleetView, now: Milliseconds) -> None:
        """Adopt a list of VMs and targets; ownership follows from it."""
        self._owners = owners_among(view.vms)
        self._losses.view_changed(view.vms, now)
        self._targets.view_changed(view.targets, now)
        listed = [state.id for states in view.targets.values() for state in states]
        owned = {name for name in listed if self._owners.owner(name) == self._me}
        for target in set(self._tenures) - owned:
            if self._tenures.pop(target).phase is Phase.GRANTING:
                self._unclaimed.add(target)
        for target in owned - set(self._tenures):
            self._tenures[target] = _Tenure(now)

    def void(self, now: Milliseconds) -> None:
        """Start every tenure anew after a pause, in which others may have granted."""
        self._rounds.clear()
        self._tenures = {target: _Tenure(now) for target in self._tenures}
        self._targets.void(now)

    def see(self, vm: VmId, incarnation: Incarnation, now: Milliseconds) -> None:
        """Note the process of ``vm`` that sent a message."""
        if self._slots.see(vm, incarnation):
            self._losses.restarted(vm, now)

    def farewell(self, vm: VmId) -> None:
        """Note that ``vm`` ends with nothing that anyone would miss."""
        self._losses.farewell(vm)

    def limit(
        self, service: ServiceId, multiple: float, in_flight: int, now: Milliseconds
    ) -> int:
        """Return the most slots that a target may hold after an admission.

        ``in_flight`` is a lower bound of the service's requests in flight.
        """
        targets = max(1, self._targets.count(service, now))
        # The small term keeps 1.25 * 8 / 10 from being rounded up to 2.
        return math.ceil(multiple * (in_flight + 1) / targets - 1e-9)

    def grant(
        self,
        key: SlotKey,
        target: TargetId,
        limit: int,
        expires_at: Milliseconds,
        now: Milliseconds,
    ) -> DenialReason | None:
        """Hold a slot within ``limit``, or return why not."""
        tenure = self._tenures.get(target)
        if tenure is None:
            return DenialReason.NOT_OWNER
        if tenure.phase is not Phase.GRANTING or not self._targets.is_open(target, now):
            return DenialReason.NOT_READY
        self._slots.expire(now)
        if self._slots.count(target) >= limit:
            return DenialReason.TARGET_FULL
        self._slots.add(key, target, expires_at)
        assert self._slots.count(target) <= limit, f"{target} holds more than {limit}"
        return None

    def accepts_record(self, target: TargetId) -> bool:
        """Return whether the owner of ``target`` may still rely on this VM."""
        return self.phase(target) in (None, Phase.WAITING)

    def on_query(
        self, query: SlotQuery, own: Iterable[HeldSlot], now: Milliseconds
    ) -> SlotReport:
        """Stop granting on the queried targets and report their slots."""
        for target in query.targets:
            self._unclaimed.discard(target)
            tenure = self._tenures.get(target)
            if tenure is not None:
                # If the list goes on to name this VM, it takes over in its turn.
                self._tenures[target] = _Tenure(now)
        self._slots.expire(now)
        known = (*own, *self._slots.held(query.targets, now))
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
        """Take one answer of a takeover; ask VMs that it names besides."""
        takeover = self._rounds.get(report.round)
        if takeover is None:
            return []
        for slot in takeover.on_report(sender, report, now):
            self._add(slot, now)
        self._finish(takeover, now)
        return takeover.queries(now)

    def tick(self, own: OwnSlots, now: Milliseconds) -> list[Outgoing]:
        """Expire slots and bring takeovers forward.

        ``own`` returns the slots that this VM itself holds on some targets.
        """
        self._slots.expire(now)
        due = [
            target
            for target, tenure in self._tenures.items()
            if tenure.phase is Phase.WAITING and now - tenure.since >= self._patience
        ]
        if due:
            self._collect(due, now)
            for slot in own(due, now):
                self._add(slot, now)
        for takeover in tuple(self._rounds.values()):
            self._finish(takeover, now)
        return [
            outgoing
            for takeover in self._rounds.values()
            for outgoing in takeover.queries(now)
        ]

    def _collect(self, targets: list[TargetId], now: Milliseconds) -> None:
        self._round += 1
        self._rounds[self._round] = Takeover(
            self._round, targets, self._losses, self._settings, now
        )
        for target in targets:
            self._tenures[target].phase = Phase.COLLECTING
            self._tenures[target].round = self._round

    def _finish(self, takeover: Takeover, now: Milliseconds) -> None:
        if not takeover.is_complete(now):
            return
        del self._rounds[takeover.round]
        for slot in takeover.second_hand():
            self._add(slot, now)
        for target in takeover.targets:
            tenure = self._tenures.get(target)
            if tenure is not None and tenure.round == takeover.round:
                tenure.phase = Phase.GRANTING
                self._taken_over.append(target)

    def _add(self, slot: HeldSlot, now: Milliseconds) -> None:
        key = SlotKey(slot.holder, slot.incarnation, slot.number)
        self._slots.add(key, slot.target, Milliseconds(now + slot.remaining_ms))

    def loads(self) -> tuple[TargetLoad, ...]:
        """Return what the targets carry on which this VM grants slots."""
        return tuple(
            TargetLoad(target, self._slots.count(target))
            for target, tenure in self._tenures.items()
            if tenure.phase is Phase.GRANTING
        )
