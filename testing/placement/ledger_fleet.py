"""Ledgers on a simulated network with loss, delays and partitions."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from dataclasses import field

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.placement import FleetView
from yuccafold.placement import LedgerSettings
from yuccafold.placement import LoadLedger
from yuccafold.placement import Phase
from yuccafold.placement import SlotGranted
from yuccafold.placement import SlotSpec
from yuccafold.placement import TargetState
from yuccafold.placement._messages import RecordRequest
from yuccafold.placement._messages import SlotGrant

SERVICE = ServiceId("chat")
MULTIPLE = 1.25
STEP_MS = 50
EPOCH_MS = 1_700_000_000_000
SETTINGS = LedgerSettings(
    list_lag_ms=Milliseconds(1_000), slot_lifetime_ms=Milliseconds(8_000)
)


@dataclass(slots=True)
class Vm:
    ledger: LoadLedger
    incarnation: int
    clock_offset: int
    alive: bool = True
    paused_until: int = 0
    views: list = field(default_factory=list)
    seen: int = -1


@dataclass(slots=True)
class LiveSlot:
    target: TargetId
    expires_at: int


class Fleet:
    """Ledgers and the slots really held; asserts the load bound at every grant."""

    def __init__(self, vms: int, targets: int, rng: random.Random, loss: float = 0.0):
        self.rng = rng
        self.loss = loss
        self.now = 10_000
        self.incarnations = 0
        self.taking = {TargetId(f"engine-{n}"): -(10**9) for n in range(targets)}
        self.listed = [VmId(f"vm-{n}") for n in range(vms)]
        self.vms: dict[VmId, Vm] = {}
        self.partition_ids: dict[VmId, int] = {}
        self.in_transit: list = []
        self.live: dict[tuple[VmId, int, int], LiveSlot] = {}
        self.held: list[tuple[VmId, int, int]] = []
        self.requested: dict[tuple[VmId, int], tuple[int, TargetId, int]] = {}
        self.ended: set[tuple[VmId, int, int]] = set()
        self.granted = self.refused = 0
        self.admitted_at_bound = 0
        for vm in self.listed:
            self.start(vm)
        self.publish()

    def start(self, vm: VmId):
        self.incarnations = max(self.incarnations + 1, EPOCH_MS + self.now)
        offset = self.rng.randrange(1_000_000)
        ledger = LoadLedger(
            vm, Incarnation(self.incarnations), SETTINGS, self.now + offset
        )
        for key, slot in self.live.items():
            if key[0] == vm:
                ready_at = self.now + SETTINGS.floor_lease_ms
                slot.expires_at = min(slot.expires_at, ready_at)
        self.vms[vm] = Vm(ledger, self.incarnations, offset)
        self.partition_ids.setdefault(vm, 0)
        self.in_transit = [entry for entry in self.in_transit if entry[2] != vm]

    def publish(self):
        states = tuple(TargetState(name, ZoneId("a")) for name in sorted(self.taking))
        view = FleetView(tuple(self.listed), {SERVICE: states})
        for vm in self.vms.values():
            last = vm.views[-1][0] if vm.views else self.now
            lag = SETTINGS.list_lag_ms - STEP_MS
            due = max(last, self.now + self.rng.randrange(lag))
            vm.views.append((due, view))
        self.view = view

    def runs(self, vm: VmId) -> bool:
        state = self.vms.get(vm)
        return state is not None and state.alive and state.paused_until <= self.now

    def local_time(self, vm: VmId) -> int:
        return self.now + self.vms[vm].clock_offset

    def send(self, sender: VmId, outgoing):
        state = self.vms[sender]
        for out in outgoing:
            self._record_admissions(sender, state, out)
            if self.rng.random() < self.loss:
                continue
            due = self.now + self.rng.choice((0, 1, 1, 3, 60, 400))
            self.in_transit.append(
                (due, sender, out.to, state.incarnation, out.message)
            )
        self._process_outcomes(sender, state)

    def _record_admissions(self, sender: VmId, state: Vm, out):
        match out.message:
            case SlotGrant(number, _):
                request = self.requested.get((out.to, number))
                holder = self.vms[out.to].ledger.client
                # A grant for a slot request that was cancelled holds nothing.
                if request is not None and holder.knows(number):
                    self.admit((out.to, request[0], number), request[1], request[2])
            case RecordRequest(slots):
                for slot in slots:
                    key = (sender, slot.incarnation, slot.number)
                    if key not in self.live and key not in self.ended:
                        self.admit(key, slot.target, slot.remaining_ms)

    def _process_outcomes(self, vm: VmId, state: Vm):
        for outcome in state.ledger.pop_outcomes():
            key = (vm, state.incarnation, outcome.number)
            if isinstance(outcome, SlotGranted):
                self.granted += 1
                if key not in self.live:
                    self.admit(key, outcome.target, 1_000)
                self.live[key].expires_at = outcome.expires_at - state.clock_offset
                self.held.append(key)
            else:
                self.refused += 1
                self.live.pop(key, None)
                self.ended.add(key)
        client = state.ledger.client
        for key in [key for key in self.live if key[:2] == (vm, state.incarnation)]:
            if not client.knows(key[2]):
                del self.live[key]
                self.ended.add(key)

    def admit(self, key, target, lifetime):
        self.live[key] = LiveSlot(target, self.now + lifetime)
        self.expire()
        on_target = sum(slot.target == target for slot in self.live.values())
        bound = math.ceil(MULTIPLE * len(self.live) / self.divisor() - 1e-9)
        self.admitted_at_bound += on_target == bound
        assert on_target <= bound, (
            f"{on_target} on {target}, bound {bound}, {len(self.live)} in flight"
        )

    def divisor(self) -> int:
        settled = {
            name
            for name, since in self.taking.items()
            if self.now - since >= SETTINGS.list_lag_ms
        }
        opened = {
            name
            for vm in self.vms
            if self.runs(vm)
            for name in self.known()
            if self.vms[vm].ledger.owner.phase(name) is Phase.GRANTING
            and self.vms[vm].ledger.owner.targets.is_open(name, self.local_time(vm))
        }
        return len(settled | opened)

    def known(self):
        return {*self.taking, *(slot.target for slot in self.live.values())}

    def expire(self):
        gone = [key for key, slot in self.live.items() if slot.expires_at <= self.now]
        for key in gone:
            del self.live[key]
            self.ended.add(key)

    def ask(self, vm: VmId, target: TargetId, lifetime: int = 4_000):
        if not self.runs(vm):
            return
        state = self.vms[vm]
        spec = SlotSpec(SERVICE, target, Milliseconds(lifetime), MULTIPLE)
        number = state.ledger._last_number + 1
        self.requested[vm, number] = (state.incarnation, target, lifetime)
        _, outgoing = state.ledger.request_slot(spec, self.local_time(vm))
        self.send(vm, outgoing)

    def finish(self, index: int):
        if self.held:
            vm, incarnation, number = self.held.pop(index % len(self.held))
            if self.runs(vm) and self.vms[vm].incarnation == incarnation:
                state = self.vms[vm]
                self.send(vm, state.ledger.release(number, self.local_time(vm)))

    def advance(self, duration: int):
        for _ in range(0, duration, STEP_MS):
            self.now += STEP_MS
            self.expire()
            for vm, state in self.vms.items():
                if self.runs(vm):
                    self._run(vm, state)
            self._deliver()

    def _run(self, vm: VmId, state: Vm):
        due = [view for due_at, view in state.views if due_at <= self.now]
        state.views = [entry for entry in state.views if entry[0] > self.now]
        for view in due:
            self.send(vm, state.ledger.view_changed(view, self.local_time(vm)))
        self.send(vm, state.ledger.tick(self.local_time(vm)))

    def _deliver(self):
        while True:
            due = [entry for entry in self.in_transit if self._is_due(entry)]
            if not due:
                return
            entry = self.rng.choice(due)
            self.in_transit.remove(entry)
            _, sender, to, incarnation, message = entry
            if to in self.vms and self.vms[to].alive:
                outgoing = self.vms[to].ledger.handle(
                    sender, message, self.local_time(to)
                )
                self.send(to, outgoing)

    def _is_due(self, entry) -> bool:
        arrives_at, sender, to, _, _ = entry
        if to not in self.vms or not self.vms[to].alive:
            return True
        joined = self.partition_ids[sender] == self.partition_ids[to]
        return arrives_at <= self.now and joined and self.runs(to)

    def pause(self, vm: VmId, duration: int):
        """Pause a VM; like the router, it reads a fresh list when it continues."""
        if self.runs(vm):
            self.vms[vm].paused_until = self.now + duration
            self.vms[vm].views = [(self.now + duration + STEP_MS, self.view)]

    def keeps_records(self, without: VmId) -> bool:
        """Whether a listed VM keeps its slot records, which the bound requires."""
        settled = EPOCH_MS + self.now - 4 * SETTINGS.floor_lease_ms
        return any(
            self.vms[vm].alive and self.vms[vm].incarnation <= settled
            for vm in self.listed
            if vm != without
        )

    def kill(self, vm: VmId):
        if vm in self.vms and self.keeps_records(vm):
            self.vms[vm].alive = False

    def list_vm(self, vm: VmId):
        if vm not in self.vms:
            self.start(vm)
        if vm not in self.listed and self.vms[vm].alive:
            self.listed = sorted([*self.listed, vm])
            self.publish()

    def unlist_vm(self, vm: VmId):
        if vm in self.listed and self.keeps_records(vm):
            self.listed.remove(vm)
            self.publish()

    def toggle(self, target: TargetId):
        if target not in self.taking:
            self.taking[target] = self.now
        elif len(self.taking) > 1:
            del self.taking[target]
        self.publish()

    def restart(self, vm: VmId):
        if vm in self.vms and not self.vms[vm].alive:
            self.start(vm)
            self.vms[vm].views = [(self.now, self.view)]

    def partition(self, members: set[VmId]):
        self.partition_ids = {vm: int(vm in members) for vm in self.vms}
