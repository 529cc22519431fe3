"""A router of a chaos run: real decision objects that pause and restart."""

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
from yuccafold.chaos._calls import Kind
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
CLAIM_CLASSES = tuple(message for _, message in CLAIM_MESSAGES)

FLOWS = {
    Kind.BOOKING: BookingFlow,
    Kind.UNKEYED: UnkeyedFlow,
    Kind.LOOKUP: LookupFlow,
    Kind.CHAT: ChatFlow,
}

ReadList = Callable[[VmId], View | None]


@final
class Router:
    """One VM; a restart replaces its decision objects and forgets its calls."""

    def __init__(
        self,
        vm: VmId,
        world: World,
        settings: ClaimSettings,
        policy: Policy,
        targets: tuple[SimulatedTarget, ...],
        engines: tuple[SimulatedTarget, ...],
        read_list: ReadList,
    ) -> None:
        self.vm = vm
        self.world = world
        self.policy = policy
        self.peers: dict[VmId, Router] = {}
        self._settings = settings
        self._services = {BOOKINGS: targets, ENGINES: engines}
        self._read_list = read_list
        self._epoch = 0
        self._is_up = False
        self._paused_until = 0.0
        self._slept: list[Action] = []
        self._boot()
        for engine in engines:
            engine.on_death.append(self._on_death)
        world.every(TICK_MS, lambda: self.run(self._tick))

    def targets(self, kind: Kind) -> tuple[SimulatedTarget, ...]:
        """Return the targets that serve ``kind``."""
        return self._services[ENGINES if kind is Kind.CHAT else BOOKINGS]

    def receive(self, call: Call, respond: Respond) -> None:
        """Take a call from a caller; a router that restarts never responds."""

        def begin() -> None:
            self.budget.note_request(self.policy.retry_share)
            flow = FLOWS[call.operation.kind](self, call, respond)
            self.flows[call.id] = flow
            flow.begin()

        self.run(begin)

    def run(self, action: Action) -> None:
        """Run ``action`` now, when the process wakes, or never after a restart."""
        if not self._is_up:
            return
        if self.world.exact_now < self._paused_until:
            self._slept.append(action)
        else:
            action()

    def later(self, delay_ms: float, action: Action) -> None:
        """Run ``action`` of the present incarnation after ``delay_ms``."""
        guarded = self.unless_restarted(action)
        self.world.after(delay_ms, lambda: self.run(guarded))

    def unless_restarted(self, action: Action) -> Action:
        """Return ``action`` as one of the present incarnation."""
        epoch = self._epoch

        def guarded() -> None:
            if epoch == self._epoch:
                action()

        return guarded

    def bound(self, handler: Callable[[Response], None]) -> Callable[[Response], None]:
        """Return ``handler`` as one of the present incarnation."""
        epoch = self._epoch

        def take(response: Response) -> None:
            if epoch == self._epoch:
                self.run(lambda: handler(response))

        return take

    def post(self, outgoing: list[Outgoing]) -> None:
        """Send messages, then hand out what the decisions came to."""
        for each in outgoing:
            peer = self.peers.get(each.to)
            if peer is not None:
                self.world.carry(
                    self.vm, each.to, peer.receiver_of(self.vm, each.message)
                )
        self._hand_out()

    def receiver_of(self, sender: VmId, message: object) -> Action:
        """Return the delivery of ``message`` to this router."""
        return lambda: self.run(lambda: self._handle(sender, message))

    def pause(self, duration_ms: float) -> None:
        """Stop the process; its clock and the messages to it go on."""
        self._paused_until = self.world.exact_now + duration_ms
        self.world.note(f"{self.vm} pauses for {duration_ms:.0f} ms")
        self.world.after(duration_ms, self._wake)

    def restart(self) -> None:
        """End the process and start it again without memory."""
        if not self._is_up:
            return
        self.world.note(f"{self.vm} restarts")
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
        self._reports: dict[int, tuple[Flow, ...]] = {}
        self._slept.clear()
        self._paused_until = 0.0
        self._is_up = True
        self._next_read = 0.0

    def _wake(self) -> None:
        slept, self._slept = self._slept, []
        for action in slept:
            self.run(action)

    def _tick(self) -> None:
        now = self.world.now
        if now >= self._next_read:
            self._next_read = now + 1_000.0
            view = self._read_list(self.vm)
            if view is not None:
                self.ledger.confirm_view(view, now)
                self.quarantine.confirm_view(view, now)
        self.post(self.ledger.tick(now) + self.quarantine.tick(now))

    def _handle(self, sender: VmId, message: object) -> None:
        owner = self.ledger if isinstance(message, CLAIM_CLASSES) else self.quarantine
        self.post(owner.handle(sender, message, self.world.now))

    def _hand_out(self) -> None:
        """Hand each outcome to the flow that waits for it."""
        for outcome in self.ledger.take_outcomes():
            self._on_claim(outcome)
        for outcome in self.quarantine.take_outcomes():
            if isinstance(outcome, StrikesSpread):
                for flow in self._reports.pop(outcome.report, ()):
                    flow.on_spread()
            elif outcome.call in self.flows:
                self.flows[outcome.call].on_trial(outcome)

    def _on_claim(self, outcome: ClaimOutcome) -> None:
        flow = self.flows.get(outcome.call)
        if flow is not None:
            flow.on_claim(outcome)

    def _on_death(self, target: TargetId) -> None:
        self.run(lambda: self._report(target))

    def _report(self, target: TargetId) -> None:
        """Tell the fleet what this router had on a target that died."""
        struck = tuple(
            flow for flow in self.flows.values() if flow.is_on_engine(target)
        )
        if not struck:
            return
        death = ChatFlow.death_of(target, struck)
        report = self.quarantine.target_died(death, self.policy, self.world.now)
        for flow in struck:
            flow.await_spread()
        self._reports[report.number] = struck
        self.post(report.outgoing)
