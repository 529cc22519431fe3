"""All fleet-wide decisions that one VM takes part in, driven by one task."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any
from typing import final

from yuccafold import admission
from yuccafold import delivery
from yuccafold import placement
from yuccafold import replica
from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._clock import PauseDetector
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import RegionId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._log import log_event
from yuccafold._outgoing import Outgoing
from yuccafold.admission import AccountLimits
from yuccafold.admission import LimitSettings
from yuccafold.control._call_placer import CallPlacer
from yuccafold.control._commands import ApplyVmList
from yuccafold.control._commands import CancelPlace
from yuccafold.control._commands import ClaimCall
from yuccafold.control._commands import Command
from yuccafold.control._commands import EnterTarget
from yuccafold.control._commands import FinishClaim
from yuccafold.control._commands import LeaveTarget
from yuccafold.control._commands import LiftQuarantine
from yuccafold.control._commands import ObserveTarget
from yuccafold.control._commands import OfferSettings
from yuccafold.control._commands import PlaceCall
from yuccafold.control._commands import ReleaseSlot
from yuccafold.control._commands import ReportCrash
from yuccafold.control._commands import SettingsServiceAnswered
from yuccafold.control._quarantine import TargetGuard
from yuccafold.control._reply import Reply
from yuccafold.delivery import ClaimOutcome
from yuccafold.delivery import Member
from yuccafold.delivery import OnceLedger
from yuccafold.delivery import Quarantine
from yuccafold.delivery import View
from yuccafold.fleet import ByteClass
from yuccafold.fleet import ListedState
from yuccafold.fleet import Membership
from yuccafold.fleet import MembershipSettings
from yuccafold.fleet import Received
from yuccafold.fleet import TargetEvidence
from yuccafold.fleet import TargetState as Health
from yuccafold.fleet import VmListEntry
from yuccafold.fleet import VmListSnapshot
from yuccafold.fleet import byte_class_of
from yuccafold.placement import FleetView
from yuccafold.placement import LedgerSettings
from yuccafold.placement import LoadLedger
from yuccafold.placement import TargetState
from yuccafold.replica import Readiness
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import SettingsReplica
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsTree

admission.register_messages()
delivery.register_messages()
placement.register_messages()
replica.register_messages()

Handler = Callable[[VmId, Any, Milliseconds], list[Outgoing]]


@final
class ControlPlane:
    """This VM's part in the decisions of the fleet, without I/O.

    ``apply`` handles a command or a peer's message, ``tick`` is called every
    50 ms; both return the messages to send and put the replies of commands.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: Incarnation,
        rng: random.Random,
        now: Milliseconds,
        on_tree: Callable[[SettingsTree], None],
    ) -> None:
        vm = VmId(settings.vm)
        zone = ZoneId(settings.zone)
        limit = Milliseconds(settings.pause_limit_ms)
        self._vm = vm
        self._own_entry = VmListEntry(
            vm, settings.peer, zone, RegionId(settings.region)
        )
        self._on_tree = on_tree
        self._pauses = PauseDetector(limit, now)
        self.membership = Membership(
            MembershipSettings(), self._own_entry, incarnation, now, rng
        )
        self.once = OnceLedger(vm, incarnation, settings.claims, limit, rng, now)
        self.target_guard = TargetGuard(Quarantine(vm, limit, rng, now))
        slots = LedgerSettings(
            list_lag_ms=Milliseconds(settings.slots.list_lag_ms),
            floor_lease_ms=Milliseconds(settings.slots.floor_lease_ms),
            pause_limit_ms=limit,
        )
        ledger = LoadLedger(vm, incarnation, slots, now)
        self.limits = AccountLimits(vm, incarnation, LimitSettings(), rng, now)
        self.placer = CallPlacer(zone, ledger, slots, self.limits, rng)
        self.replica = SettingsReplica(vm, incarnation, ReplicaOptions(), rng, now)
        # Callers are served after this time even if a takeover of slots still runs.
        takeover_timeout_ms = 3 * slots.list_lag_ms + slots.floor_lease_ms
        self._takeover_deadline = Milliseconds(now + takeover_timeout_ms)
        self._snapshot: VmListSnapshot | None = None
        self._tree: SettingsTree | None = None
        self._list_confirmed_at: Milliseconds | None = None
        self._not_live: dict[TargetId, Health] = {}
        self._claim_replies: dict[CallId, Reply[ClaimOutcome]] = {}
        self._handlers: dict[ByteClass, Handler] = {
            ByteClass.MEMBERSHIP: self.membership.handle,
            ByteClass.CLAIMS: self.once.handle,
            ByteClass.QUARANTINE: self.target_guard.quarantine.handle,
            ByteClass.SLOTS: self.placer.ledger.handle,
            ByteClass.SETTINGS: self.replica.handle,
            ByteClass.LIMITS: self.limits.handle,
        }

    @property
    def snapshot(self) -> VmListSnapshot | None:
        """The VM list in use."""
        return self._snapshot

    @property
    def tree(self) -> SettingsTree | None:
        """The settings in force."""
        return self._tree

    @property
    def list_confirmed_at(self) -> Milliseconds | None:
        """When the platform last returned or confirmed the VM list."""
        return self._list_confirmed_at

    def add_handler(self, byte_class: ByteClass, handler: Handler) -> None:
        """Register ``handler`` for peers' messages of ``byte_class``."""
        self._handlers[byte_class] = handler

    @property
    def pauses(self) -> int:
        """How many pauses of this process were detected."""
        return self._pauses.pauses

    def target_health(self, target: TargetId, now: Milliseconds) -> Health:
        """Return the health of a target, which decides whether it gets new calls."""
        return self.membership.targets.state(target, now)

    def readiness(self, now: Milliseconds) -> Readiness:
        """Return whether the settings are known to be current, or what is missing."""
        return self.replica.readiness(now)

    def may_serve(self, now: Milliseconds) -> bool:
        """Return whether this process may serve calls.

        It must not be superseded by another process of the VM, its settings must be
        current, and slots must be available.
        """
        ledger = self.placer.ledger
        if self.membership.superseded_by is not None:
            return False
        is_current = self.readiness(now) is Readiness.READY
        may_place = ledger.owner.is_granting_all or now >= self._takeover_deadline
        return is_current and may_place and now >= ledger.ready_at

    def apply(self, command: Command | Received, now: Milliseconds) -> list[Outgoing]:
        """Execute a command or handle a peer's message."""
        self._check_for_pause(now)
        outgoing = self._apply(command, now)
        return outgoing + self._settle(now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Run the periodic work of every part."""
        self._check_for_pause(now)
        outgoing = self.membership.tick(now)
        outgoing += self.once.tick(now)
        outgoing += self.target_guard.quarantine.tick(now)
        outgoing += self.placer.ledger.tick(now)
        outgoing += self.replica.tick(now)
        outgoing += self._refresh_targets(now)
        outgoing += self.limits.tick(now)
        outgoing += self.placer.tick(now)
        self.replica.set_partners(tuple(self.membership.partners))
        return outgoing + self._settle(now)

    def leave_messages(self, now: Milliseconds) -> list[Outgoing]:
        """Return the leave messages, to be sent once all calls have ended."""
        return self.placer.ledger.leave(now) + self.membership.leave_messages()

    def _check_for_pause(self, now: Milliseconds) -> None:
        """Detect a pause and mark the settings as possibly stale after it.

        Slots wait for a VM list that is confirmed after the pause.
        """
        if self._pauses.observe(now):
            log_event("process_paused", vm=self._vm, noticed_at=now)
            self.replica.record_pause()

    def _settle(self, now: Milliseconds) -> list[Outgoing]:
        """Set the replies that are ready and apply a new settings revision."""
        for outcome in self.once.pop_outcomes():
            reply = self._claim_replies.pop(outcome.call, None)
            if reply is not None:
                reply.put(outcome)
        self.target_guard.settle()
        outgoing = self.placer.settle(now)
        in_force = self.replica.in_force
        if in_force is not None and in_force.tree is not self._tree:
            self._tree = in_force.tree
            self._on_tree(in_force.tree)
            outgoing += self._view_changed(now)
        return outgoing

    def _refresh_targets(self, now: Milliseconds) -> list[Outgoing]:
        not_live = self.membership.targets.not_live(now)
        if not_live == self._not_live:
            return []
        self._not_live = not_live
        return self._view_changed(now)

    def _view_changed(self, now: Milliseconds) -> list[Outgoing]:
        if self._snapshot is None or self._tree is None:
            return []
        live = tuple(
            entry.id for entry in self._snapshot.vms if entry.state is ListedState.LIVE
        )
        self.limits.view_changed(live, now)
        targets = {
            ServiceId(name): tuple(
                TargetState(
                    TargetId(target.id),
                    ZoneId(target.zone),
                    target.capacity,
                    not target.draining and target.id not in self._not_live,
                )
                for target in service.targets
            )
            for name, service in self._tree.services.items()
        }
        return self.placer.view_changed(FleetView(live, targets), now)

    @singledispatchmethod
    def _apply(self, command: Any, now: Milliseconds) -> list[Outgoing]:
        raise TypeError(f"expected a command, got {type(command).__name__}")

    @_apply.register
    def _(self, command: Received, now: Milliseconds) -> list[Outgoing]:
        handler = self._handlers.get(byte_class_of(command.message))
        if handler is None:
            return []
        return handler(command.sender, command.message, now)

    @_apply.register
    def _(self, command: PlaceCall, now: Milliseconds) -> list[Outgoing]:
        return self.placer.place(command, now)

    @_apply.register
    def _(self, command: CancelPlace, now: Milliseconds) -> list[Outgoing]:
        return self.placer.cancel(command.place_call, now)

    @_apply.register
    def _(self, command: ReleaseSlot, now: Milliseconds) -> list[Outgoing]:
        return self.placer.release(command.number, now)

    @_apply.register
    def _(self, command: ClaimCall, now: Milliseconds) -> list[Outgoing]:
        self._claim_replies[command.call] = command.reply
        return self.once.start(command.call, command.key, command.digest, now)

    @_apply.register
    def _(self, command: FinishClaim, now: Milliseconds) -> list[Outgoing]:
        return self.once.finish(command.call, command.verdict, command.answer, now)

    @_apply.register
    def _(self, command: EnterTarget, now: Milliseconds) -> list[Outgoing]:
        return self.target_guard.enter(command, now)

    @_apply.register
    def _(self, command: LeaveTarget, now: Milliseconds) -> list[Outgoing]:
        if command.answered:
            evidence = TargetEvidence.ANSWERED
            self.membership.targets.observe(command.target, evidence, now)
        return self.target_guard.leave(command, now)

    @_apply.register
    def _(self, command: ReportCrash, now: Milliseconds) -> list[Outgoing]:
        return self.target_guard.report(command, now)

    @_apply.register
    def _(self, command: ObserveTarget, now: Milliseconds) -> list[Outgoing]:
        self.membership.targets.observe(command.target, command.evidence, now)
        return self._refresh_targets(now)

    @_apply.register
    def _(self, command: ApplyVmList, now: Milliseconds) -> list[Outgoing]:
        if command.snapshot is not None:
            self._snapshot = command.snapshot
            self.membership.apply_vm_list(command.snapshot, now)
        if self._snapshot is None:
            return []
        self._list_confirmed_at = now
        listed = frozenset(entry.id for entry in self._snapshot.vms)
        self.replica.set_listed(listed)
        view = View(Member(entry.id, entry.zone) for entry in self._snapshot.vms)
        self.once.confirm_view(view, now)
        self.target_guard.quarantine.confirm_view(view, now)
        return self._view_changed(now)

    @_apply.register
    def _(self, command: OfferSettings, now: Milliseconds) -> list[Outgoing]:
        result = self.replica.offer_parsed(command.read, now)
        faults = "; ".join(str(fault) for fault in result.faults[:5])
        log_event("settings_offered", outcome=result.outcome.value, faults=faults)
        return result.outgoing

    @_apply.register
    def _(self, command: SettingsServiceAnswered, now: Milliseconds) -> list[Outgoing]:
        self.replica.record_service_answer(now)
        return []

    @_apply.register
    def _(self, command: LiftQuarantine, now: Milliseconds) -> list[Outgoing]:
        outgoing = self.target_guard.quarantine.lift(command.fingerprint, now)
        command.reply.put(True)
        return outgoing


TICK_SECONDS = 50 / MS_PER_SECOND
