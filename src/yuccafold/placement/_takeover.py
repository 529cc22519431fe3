"""Collection of slot records when the owner of targets changes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.placement._messages import HeldSlot
from yuccafold.placement._messages import SlotQuery
from yuccafold.placement._messages import SlotReport
from yuccafold.placement._view import LedgerSettings

TOLERATED_LOSSES = 1
"""How many VMs' records may be missing, as two VMs know every slot."""


@final
class RecordLosses:
    """Tracks VMs that recently left, or restarted without their slot records.

    A loss is kept for as long as a slot that the VM knew of may still be held.
    """

    def __init__(
        self,
        me: VmId,
        incarnation: Callable[[VmId], Incarnation],
        settings: LedgerSettings,
        now: Milliseconds,
    ) -> None:
        self._me = me
        self._incarnation = incarnation
        self._started_at = now
        self._retention_ms = settings.slot_lifetime_ms + 2 * settings.list_lag_ms
        self._listed: tuple[VmId, ...] = ()
        self._departed: dict[VmId, int] = {}
        self._restarted: dict[VmId, int] = {}

    @property
    def me(self) -> VmId:
        """The local VM."""
        return self._me

    @property
    def retention_ms(self) -> int:
        """How long a loss is kept, in milliseconds."""
        return self._retention_ms

    def age(self, now: Milliseconds) -> int:
        """Return how long this process has run, in milliseconds."""
        return now - self._started_at

    def incarnation(self, vm: VmId) -> Incarnation:
        """Return the newest incarnation of ``vm`` seen (its start time), or 0."""
        return self._incarnation(vm)

    def view_changed(self, vms: tuple[VmId, ...], now: Milliseconds) -> None:
        """Record which VMs are listed and which ones left the list."""
        for vm in set(self._listed) - set(vms) - {self._me}:
            self._departed[vm] = now
        for vm in vms:
            self._departed.pop(vm, None)
        if len(vms) == 1 and vms[0] != self._me:
            # As the only listed VM, it had no successor to record its slots.
            self._restarted[vms[0]] = now
        self._listed = vms

    def record_restart(self, vm: VmId, now: Milliseconds) -> None:
        """Record that ``vm`` runs a new process."""
        self._restarted[vm] = now

    def record_clean_leave(self, vm: VmId) -> None:
        """Record that ``vm`` left without a loss of records."""
        self._departed.pop(vm, None)

    def other_vms(self) -> frozenset[VmId]:
        """Return the listed VMs except the local one."""
        return frozenset(self._listed) - {self._me}

    def departed(self, now: Milliseconds) -> tuple[VmId, ...]:
        """Return VMs that left the list and may have known of a held slot."""
        return self._recent(self._departed, now)

    def restarts(self, now: Milliseconds) -> tuple[VmId, ...]:
        """Return VMs whose previous process may have known of a held slot."""
        return self._recent(self._restarted, now)

    def _recent(self, losses: dict[VmId, int], now: Milliseconds) -> tuple[VmId, ...]:
        return tuple(
            vm for vm, lost_at in losses.items() if now - lost_at < self._retention_ms
        )


@final
class Takeover:
    """One round of queries for the slots on targets that are taken over."""

    def __init__(
        self,
        number: int,
        targets: Sequence[TargetId],
        losses: RecordLosses,
        settings: LedgerSettings,
        now: Milliseconds,
    ) -> None:
        self._round = number
        self._targets = tuple(targets)
        self._losses = losses
        self._settings = settings
        self._started_at = now
        self._queried_at: dict[VmId, int] = {}
        self._expected = set(losses.other_vms()) | set(losses.departed(now))
        self._replied: set[VmId] = {losses.me}
        self._process_starts = {losses.me: now - losses.age(now)}
        self._restarted: set[VmId] = set()
        self._second_hand: list[HeldSlot] = []

    @property
    def round(self) -> int:
        """The round number, which queries and reports contain."""
        return self._round

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """The targets that are taken over."""
        return self._targets

    def on_report(
        self, sender: VmId, report: SlotReport, now: Milliseconds
    ) -> Iterable[HeldSlot]:
        """Process a report; return the slots that the sender itself holds."""
        if sender in self._replied:
            return []
        self._replied.add(sender)
        self._process_starts[sender] = now - report.age_ms
        self._expected.update(report.departed)
        self._restarted.update(report.restarted)
        self._second_hand += [slot for slot in report.slots if slot.holder != sender]
        return [slot for slot in report.slots if slot.holder == sender]

    def second_hand(self) -> list[HeldSlot]:
        """Return slots of VMs without a report, as reported by other VMs."""
        return [slot for slot in self._second_hand if slot.holder not in self._replied]

    def is_complete(self, now: Milliseconds) -> bool:
        """Return whether every slot that may still be held is known."""
        if now - self._started_at >= self._losses.retention_ms:
            return True
        missing = self._expected - self._replied
        if len(missing) > TOLERATED_LOSSES:
            return False
        # Holders that reported know their slots; only a missing holder may have
        # one whose record is lost.
        if any(self._may_have_been_forgotten(vm, now) for vm in missing):
            return False
        # Waits for reports on their way before a missing one is tolerated.
        waited = now - self._started_at
        return not missing or waited >= 2 * self._settings.answer_timeout_ms

    def _may_have_been_forgotten(self, missing: VmId, now: Milliseconds) -> bool:
        """Return whether another VM may have lost the record of a slot of ``missing``.

        A process that started well before another VM's process would have known of
        that VM's previous process and reported a restart. A process that started
        before ``missing`` held its first slot can't have lost a record of it.
        """
        if self._restarted or self._losses.restarts(now):
            return True
        lag = self._settings.list_lag_ms
        margin = 2 * lag + self._settings.floor_lease_ms
        oldest = min(self._process_starts.values())
        first_slot = self._losses.incarnation(missing) + lag
        return any(
            now - process_start < self._losses.retention_ms
            and process_start - oldest < margin
            and self._losses.incarnation(vm) > first_slot
            for vm, process_start in self._process_starts.items()
        )

    def queries(self, now: Milliseconds) -> list[Outgoing]:
        """Return the queries to send or repeat to VMs that have not reported."""
        retry_after = self._settings.answer_timeout_ms
        due = [
            vm
            for vm in sorted(self._expected - self._replied)
            if now - self._queried_at.get(vm, -retry_after) >= retry_after
        ]
        self._queried_at.update(dict.fromkeys(due, now))
        return [Outgoing(vm, SlotQuery(self._round, self._targets)) for vm in due]
