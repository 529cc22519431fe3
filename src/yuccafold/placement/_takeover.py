"""Collecting the slots of targets whose owner changed."""

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
"""How many memories may be missing: every slot is known to two VMs."""


@final
class MemoryLoss:
    """Remembers which VMs went, or came back without their memory, of late.

    A loss matters for as long as a slot that the VM knew may still be held.
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
        self._started = now
        self._lifetime = settings.slot_lifetime_ms + 2 * settings.list_lag_ms
        self._present: tuple[VmId, ...] = ()
        self._departed: dict[VmId, int] = {}
        self._restarted: dict[VmId, int] = {}

    @property
    def me(self) -> VmId:
        """The VM whose memory this is."""
        return self._me

    @property
    def lifetime(self) -> int:
        """How long a loss matters, in milliseconds."""
        return self._lifetime

    def age(self, now: Milliseconds) -> int:
        """Return how long this process has run, in milliseconds."""
        return now - self._started

    def incarnation(self, vm: VmId) -> Incarnation:
        """Return the start of the newest process seen of ``vm``, or 0."""
        return self._incarnation(vm)

    def view_changed(self, vms: tuple[VmId, ...], now: Milliseconds) -> None:
        """Note who is listed and who no longer is."""
        for vm in set(self._present) - set(vms) - {self._me}:
            self._departed[vm] = now
        for vm in vms:
            self._departed.pop(vm, None)
        if len(vms) == 1 and vms[0] != self._me:
            # Listed alone, it had no successor that remembered its slots.
            self._restarted[vms[0]] = now
        self._present = vms

    def restarted(self, vm: VmId, now: Milliseconds) -> None:
        """Note that ``vm`` runs a new process."""
        self._restarted[vm] = now

    def farewell(self, vm: VmId) -> None:
        """Note that ``vm`` ended without a loss."""
        self._departed.pop(vm, None)

    def present(self) -> frozenset[VmId]:
        """Return the other VMs listed."""
        return frozenset(self._present) - {self._me}

    def departed(self, now: Milliseconds) -> tuple[VmId, ...]:
        """Return the VMs that left the list and may have known a held slot."""
        return self._recent(self._departed, now)

    def restarts(self, now: Milliseconds) -> tuple[VmId, ...]:
        """Return the VMs whose former process may have known a held slot."""
        return self._recent(self._restarted, now)

    def _recent(self, since: dict[VmId, int], now: Milliseconds) -> tuple[VmId, ...]:
        return tuple(vm for vm, at in since.items() if now - at < self._lifetime)


@final
class Takeover:
    """One round of questions about the slots on targets taken over."""

    def __init__(
        self,
        number: int,
        targets: Sequence[TargetId],
        losses: MemoryLoss,
        settings: LedgerSettings,
        now: Milliseconds,
    ) -> None:
        self._round = number
        self._targets = tuple(targets)
        self._losses = losses
        self._settings = settings
        self._started = now
        self._asked_at: dict[VmId, int] = {}
        self._wanted = set(losses.present()) | set(losses.departed(now))
        self._replied: set[VmId] = {losses.me}
        self._births = {losses.me: now - losses.age(now)}
        self._restarted: set[VmId] = set()
        self._second_hand: list[HeldSlot] = []

    @property
    def round(self) -> int:
        """The number that queries and reports carry."""
        return self._round

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """The targets taken over."""
        return self._targets

    def on_report(
        self, sender: VmId, report: SlotReport, now: Milliseconds
    ) -> Iterable[HeldSlot]:
        """Take an answer; return the slots that the sender itself holds."""
        if sender in self._replied:
            return []
        self._replied.add(sender)
        self._births[sender] = now - report.age_ms
        self._wanted.update(report.departed)
        self._restarted.update(report.restarted)
        self._second_hand += [slot for slot in report.slots if slot.holder != sender]
        return [slot for slot in report.slots if slot.holder == sender]

    def second_hand(self) -> list[HeldSlot]:
        """Return the slots of VMs that did not answer, as others know them."""
        return [slot for slot in self._second_hand if slot.holder not in self._replied]

    def is_complete(self, now: Milliseconds) -> bool:
        """Return whether no held slot can have been missed."""
        if now - self._started >= self._losses.lifetime:
            return True
        missing = self._wanted - self._replied
        if len(missing) > TOLERATED_LOSSES:
            return False
        # Only a holder that is missing may hold a slot that its recorder forgot.
        if any(self._forgetful(vm, now) for vm in missing):
            return False
        # An answer on its way is worth more than the tolerance.
        waited = now - self._started
        return not missing or waited >= 2 * self._settings.answer_timeout_ms

    def _forgetful(self, missing: VmId, now: Milliseconds) -> bool:
        """Return whether a slot of ``missing`` may have been forgotten elsewhere.

        A process that ran well before another one started would have heard of
        a forerunner and would have reported a restart. A process that started
        before ``missing`` held its first slot has forgotten none of them.
        """
        if self._restarted or self._losses.restarts(now):
            return True
        lag = self._settings.list_lag_ms
        margin = 2 * lag + self._settings.floor_lease_ms
        oldest = min(self._births.values())
        first_slot = self._losses.incarnation(missing) + lag
        return any(
            now - birth < self._losses.lifetime
            and birth - oldest < margin
            and self._losses.incarnation(vm) > first_slot
            for vm, birth in self._births.items()
        )

    def queries(self, now: Milliseconds) -> list[Outgoing]:
        """Return the questions to put again to those who have not answered."""
        retry_after = self._settings.answer_timeout_ms
        due = [
            vm
            for vm in sorted(self._wanted - self._replied)
            if now - self._asked_at.get(vm, -retry_after) >= retry_after
        ]
        self._asked_at.update(dict.fromkeys(due, now))
        return [Outgoing(vm, SlotQuery(self._round, self._targets)) for vm in due]
