"""A simulated router, which runs the real decision objects, pauses and restarts."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.chaos._calls import BOOKINGS
from yuccafold.chaos._calls import ENGINES
from yuccafold.chaos._calls import Call
from yuccafold.chaos._calls import OperationKind
from yuccafold.chaos._calls import Respond
from yuccafold.chaos._flow import Flow
from yuccafold.chaos._flows import BookingFlow
from yuccafold.chaos._flows import ChatFlow
from yuccafold.chaos._flows import LookupFlow
from yuccafold.chaos._flows import UnkeyedFlow
from yuccafold.chaos._targets import Response
from yuccafold.chaos._targets import SimulatedTarget
from yuccafold.chaos._world import Action
from yuccafold.chaos._world import World
from yuccafold.delivery import CLAIM_MESSAGES
from yuccafold.delivery import ClaimOutcome
from yuccafold.delivery import OnceLedger
from yuccafold.delivery import Quarantine
from yuccafold.delivery import RetryBudget
from yuccafold.delivery import StrikesSpread
from yuccafold.delivery import View
from yuccafold.settings import ClaimSettings
from yuccafold.settings import Policy

TICK_MS = 100.0
PAUSE_LIMIT = Milliseconds(500)
BOOT_MS = 300.0
CLAIM_MESSAGE_TYPES = tuple(message for _, message in CLAIM_MESSAGES)

FLOWS = {
    OperationKind.BOOKING: BookingFlow,
    OperationKind.UNKEYED: UnkeyedFlow,
    OperationKind.LOOKUP: LookupFlow,
    OperationKind.CHAT: ChatFlow,
}

ReadVmList = Callable[[VmId], View | None]


@final
class SimulatedRouter:
    """The router of one VM; a restart drops its decision objects and its calls."""

    def __init__(
        self,
        vm: VmId,
        world: World,
        settings: ClaimSettings,
        policy: Policy,
        targets: tuple[SimulatedTarget, ...],
        engines: tuple[SimulatedTarget, ...],
        read_vm_list: ReadVmList,
    ) -> None:
        self.vm = vm
        self.world = world
        self.policy = policy
        self.peers: dict[VmId, SimulatedRouter] = {}
        self._settings = settings
        self._services = {BOOKINGS: targets, ENGINES: engines}
        self._read_vm_list = read_vm_list
        self._epoch = 0
        self._is_up = False
        self._paused_until = 0.0
        self._deferred: list[Action] = []
        self._boot()
        for engine in engines:
            engine.on_crash.append(self._on_target_crash)
        world.every(TICK_MS, lambda: self.run(self._tick))

    def targets(self, kind: OperationKind) -> tuple[SimulatedTarget, ...]:
        """Return the targets that serve ``kind``."""
        return self._services[ENGINES if kind is OperationKind.CHAT else BOOKINGS]

    def receive_call(self, call: Call, respond: Respond) -> None:
        """Accept a call; a router that restarts meanwhile never responds to it."""

        def begin() -> None:
            self.budget.record_request(self.policy.retry_share)
            flow = FLOWS[call.operation.kind](self, call, respond)
            self.flows[call.id] = flow
            flow.begin()

        self.run(begin)

    def run(self, action: Action) -> None:
        """Run ``action`` now or after a pause; drop it if the router restarts."""
        if not self._is_up:
            return
        if self.world.exact_now < self._paused_until:
            self._deferred.append(action)
        else:
            action()

    def run_after(self, delay_ms: float, action: Action) -> None:
        """Run ``action`` after ``delay_ms``, unless the router restarted."""
        guarded = self.unless_restarted(action)
        self.world.after(delay_ms, lambda: self.run(guarded))

    def unless_restarted(self, action: Action) -> Action:
        """Return ``action``, wrapped to do nothing once the router restarted."""
        epoch = self._epoch

        def guarded() -> None:
            if epoch == self._epoch:
                action()

        return guarded

    def handler_unless_restarted(
        self, handler: Callable[[Response], None]
    ) -> Callable[[Response], None]:
        """Return ``handler``, wrapped to do nothing once the router restarted."""
        epoch = self._epoch

        def guarded(response: Response) -> None:
            if epoch == self._epoch:
                self.run(lambda: handler(response))

        return guarded

    def send(self, outgoing: list[Outgoing]) -> None:
        """Send messages, then pass the outcomes of decisions to their calls."""
        for envelope in outgoing:
            peer = self.peers.get(envelope.to)
            if peer is not None:
                self.world.send_message(
                    self.vm, envelope.to, peer.delivery_of(self.vm, envelope.message)
                )
        self._dispatch_outcomes()

    def delivery_of(self, sender: VmId, message: object) -> Action:
        """Return an action that delivers ``message`` to this router."""
        return lambda: self.run(lambda: self._handle(sender, message))

    def pause(self, duration_ms: float) -> None:
        """Pause the process; its clock runs on, and messages to it wait."""
        self._paused_until = self.world.exact_now + duration_ms
        self.world.record(f"{self.vm} pauses for {duration_ms:.0f} ms")
        self.world.after(duration_ms, self._resume)

    def restart(self) -> None:
        """Stop the process and start it again without its memory."""
        if not self._is_up:
            return
        self.world.record(f"{self.vm} restarts")
        self._is_up = False
        self._epoch += 1
        self.world.after(BOOT_MS, self._boot)

    def _boot(self) -> None:
        now = self.world.now
        seed = self.world.rng.getrandbits(64)
        self.rng = Random(seed)
        self.ledger = OnceLedger(
            self.vm,
            Incarnation(now),
            self._settings,
            PAUSE_LIMIT,
            Random(seed + 1),
            now,
        )
        self.quarantine = Quarantine(self.vm, PAUSE_LIMIT, Random(seed + 2), now)
        self.budget = RetryBudget()
        self.flows: dict[CallId, Flow] = {}
        self._flows_by_report: dict[int, tuple[Flow, ...]] = {}
        self._deferred.clear()
        self._paused_until = 0.0
        self._is_up = True
        self._next_list_read = 0.0

    def _resume(self) -> None:
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            self.run(action)

    def _tick(self) -> None:
        now = self.world.now
        if now >= self._next_list_read:
            self._next_list_read = now + 1_000.0
            view = self._read_vm_list(self.vm)
            if view is not None:
                self.ledger.confirm_view(view, now)
                self.quarantine.confirm_view(view, now)
        self.send(self.ledger.tick(now) + self.quarantine.tick(now))

    def _handle(self, sender: VmId, message: object) -> None:
        owner = (
            self.ledger if isinstance(message, CLAIM_MESSAGE_TYPES) else self.quarantine
        )
        self.send(owner.handle(sender, message, self.world.now))

    def _dispatch_outcomes(self) -> None:
        """Pass each outcome to the call that waits for it."""
        for outcome in self.ledger.pop_outcomes():
            self._on_claim(outcome)
        for outcome in self.quarantine.pop_outcomes():
            if isinstance(outcome, StrikesSpread):
                for flow in self._flows_by_report.pop(outcome.report, ()):
                    flow.on_strikes_reported()
            elif outcome.call in self.flows:
                self.flows[outcome.call].on_trial(outcome)

    def _on_claim(self, outcome: ClaimOutcome) -> None:
        flow = self.flows.get(outcome.call)
        if flow is not None:
            flow.on_claim(outcome)

    def _on_target_crash(self, target: TargetId) -> None:
        self.run(lambda: self._report_crash(target))

    def _report_crash(self, target: TargetId) -> None:
        """Report to the fleet the calls that were in flight on a crashed target."""
        in_flight = tuple(
            flow for flow in self.flows.values() if flow.is_on_engine(target)
        )
        if not in_flight:
            return
        crash = ChatFlow.crash_of(target, in_flight)
        report = self.quarantine.report_target_crash(crash, self.policy, self.world.now)
        for flow in in_flight:
            flow.await_strike_report()
        self._flows_by_report[report.number] = in_flight
        self.send(report.outgoing)
