"""Order controllers on many VMs, with faults drawn from one seed."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.bench._orders_engine import OrderCounts
from yuccafold.bench._orders_engine import SimulatedEngine
from yuccafold.bench._orders_engine import SimulatedStore
from yuccafold.bench._virtual_network import VirtualNetwork
from yuccafold.orders import EngineAnswer
from yuccafold.orders import EngineCommand
from yuccafold.orders import OrderController
from yuccafold.orders import OrderOptions
from yuccafold.orders import desired_engines
from yuccafold.orders import least_serving
from yuccafold.settings import SettingsTree
from yuccafold.settings import parse_tree

TICK_MS = 200
LOST_ANSWERS = 0.5
VIEW_MS = 2_000
"""How often a VM's view of its peers and of the engines is renewed."""

FAULTED_OPTIONS = OrderOptions(
    lease_ms=3_000,
    renew_ms=1_000,
    list_lag_ms=5_000,
    wire_ms=2_000,
    order_ms=8_000,
    permit_ms=12_000,
    slot_ms=1_000,
    ask_ms=500,
    read_ms=3_000,
    changing_read_ms=500,
    view_ms=1_000,
)
"""Short times, so that a run of an hour holds many changes of owner."""


def orders_tree(
    revision: int, version: int, engines: int, rate: int, share: float = 0.5
) -> SettingsTree:
    """Return settings that want ``version`` on every engine."""
    targets = "".join(
        f"      - {{id: e-{n}, address: '127.0.0.1:9', zone: a}}\n"
        for n in range(engines)
    )
    adapters = f"[dish-{version % 3}]"
    text = (
        f"revision: {revision}\nservices:\n  menu:\n    kind: model\n"
        f"    paths: [/menu]\n    orders: {{model: menu, version: '{version}', "
        f"adapters: {adapters}, min_serving_share: {share}, "
        f"weight_loads_per_minute: {rate}, drain_limit_ms: 3000}}\n"
        f"    targets:\n{targets}"
    )
    return parse_tree(text).unwrap()


@final
class OrdersWorld:
    """Controllers, engines and the network between them."""

    def __init__(
        self,
        seed: int,
        vms: int,
        engines: int,
        rate: int,
        options: OrderOptions = FAULTED_OPTIONS,
        longest_load_ms: int = 6_000,
    ) -> None:
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.rng)
        self.counts = OrderCounts()
        self.store = SimulatedStore(rate, self.counts)
        self.vms = tuple(VmId(f"vm-{number}") for number in range(vms))
        self.controllers: dict[VmId, OrderController] = {}
        self.held: dict[VmId, SettingsTree] = {}
        self.newest = orders_tree(1, 0, engines, rate)
        self.lossy = False
        self.interference = 0.0
        """The share of orders whose sender is cut off while newer settings come."""
        self._engine_count = engines
        self._rate = rate
        self._options = options
        self._incarnations = count(1)
        self._vm_numbers = count(vms)
        self.engines = {
            TargetId(f"e-{number}"): SimulatedEngine(
                self.network,
                self.store,
                self.counts,
                self.rng,
                fencing=number % 2 == 0,
                longest_work_ms=longest_load_ms,
            )
            for number in range(engines)
        }
        for vm in self.vms:
            self.start(vm, self.newest)

    @property
    def now(self) -> Milliseconds:
        """The present instant of the virtual clock."""
        return self.network.clock.now()

    @property
    def is_settled(self) -> bool:
        """Whether every engine is what the newest settings want."""
        wanted = desired_engines(self.newest)
        return all(
            wanted[engine].is_met_by(simulated.state)
            for engine, simulated in self.engines.items()
        )

    def start(self, vm: VmId, tree: SettingsTree) -> None:
        """Start a process of ``vm`` without memory, under ``tree``."""
        controller = OrderController(
            vm, Incarnation(next(self._incarnations)), self._options, self.rng, self.now
        )
        self.controllers[vm] = controller
        self.held[vm] = tree
        controller.set_list(self.vms, self.now)
        controller.set_tree(tree)
        tick = partial(self._tick, vm, controller)
        view = partial(self._renew_view, vm, controller)
        self.network.call_at(self.now + self.rng.randrange(TICK_MS), tick, vm)
        self.network.call_at(self.now + self.rng.randrange(VIEW_MS), view, vm)

    def restart(self, vm: VmId) -> None:
        """Replace the process of ``vm``; it learns the settings of some peer."""
        self.network.resume(vm)
        self.start(vm, self.held[self.rng.choice(self.vms)])

    def replace(self, vm: VmId) -> None:
        """Replace ``vm`` by a new one; others see the new list some time later."""
        tree = self.held[self.rng.choice(self.vms)]
        new = VmId(f"vm-{next(self._vm_numbers)}")
        self.vms = (*(other for other in self.vms if other != vm), new)
        del self.controllers[vm], self.held[vm]
        self.network.resume(vm)
        self.start(new, tree)
        for other in self.vms:
            lag = self.rng.randint(0, self._options.list_lag_ms)
            self.network.call_at(
                self.now + lag, partial(self._see_list, other, self.vms), other
            )

    def _see_list(self, vm: VmId, vms: tuple[VmId, ...]) -> None:
        if vm in self.controllers and vms == self.vms:
            self.controllers[vm].set_list(vms, self.now)

    def publish(self, longest_lag_ms: int) -> None:
        """Accept a newer version somewhere; each VM has it some time later."""
        number = self.newest.revision + 1
        self.newest = orders_tree(number, number, self._engine_count, self._rate)
        for vm in self.vms:
            lag = self.rng.randint(0, longest_lag_ms)
            self.network.call_at(
                self.now + lag, partial(self._accept, vm, self.newest), vm
            )

    def accept_newest(self, vm: VmId) -> None:
        """Let ``vm`` hold the newest settings, as replicas come to."""
        self._accept(vm, self.newest)

    def _accept(self, vm: VmId, tree: SettingsTree) -> None:
        if vm in self.controllers and tree.revision > self.held[vm].revision:
            self.held[vm] = tree
            self.controllers[vm].set_tree(tree)

    def resume(self, vm: VmId) -> None:
        """Let a stopped process go on."""
        self.network.resume(vm)
        self.controllers[vm].paused()

    def _tick(self, vm: VmId, controller: OrderController) -> None:
        if self.controllers.get(vm) is not controller:
            return
        self._send(vm, controller.tick(self.now))
        for command in controller.commands():
            # A command waits a little before it is written, as tasks do.
            due = self.now + self.rng.randint(0, TICK_MS)
            self.network.call_at(due, partial(self._call, vm, controller, command), vm)
        self._count_serving()
        tick = partial(self._tick, vm, controller)
        self.network.call_at(self.now + TICK_MS, tick, vm)

    def _renew_view(self, vm: VmId, controller: OrderController) -> None:
        if self.controllers.get(vm) is not controller:
            return
        self._look(vm, controller)
        view = partial(self._renew_view, vm, controller)
        self.network.call_at(self.now + VIEW_MS, view, vm)

    def _look(self, vm: VmId, controller: OrderController) -> None:
        """Let ``vm`` see which peers it reaches and which engines serve."""
        cut = self.network.links.cut
        stopped = self.network.stopped
        controller.set_reachable(
            other
            for other in self.vms
            if frozenset((vm, other)) not in cut and other not in stopped
        )
        controller.set_serving(
            {name: not engine.state.draining for name, engine in self.engines.items()},
            self.now,
        )

    def _send(self, sender: VmId, outgoing: list[Outgoing]) -> None:
        for entry in outgoing:
            deliver = partial(self._deliver, sender, entry.to, entry.message)
            self.network.send(sender, entry.to, deliver)

    def _deliver(self, sender: VmId, to: VmId, message: Any) -> None:
        if to in self.controllers:
            self._send(to, self.controllers[to].handle(sender, message, self.now))

    def _call(
        self, vm: VmId, controller: OrderController, command: EngineCommand
    ) -> None:
        """Carry out a call to an engine."""
        if self.controllers.get(vm) is not controller:
            return
        engine = self.engines[command.engine]
        report = partial(self._report, vm, controller, command)
        if command.order is None:
            seen = EngineAnswer(True, engine.state)
            self._later(50, lambda: report(seen), vm)
        elif not controller.may_send(command, self.now):
            report(EngineAnswer(ended=True))
        else:
            if self.rng.random() < self.interference:
                self._interfere(vm)
            done = self._answerer(vm, report)
            order = command.order
            arrive = partial(engine.receive, order, command.fence, done)
            delay = self.rng.choice((1, self._options.wire_ms))
            self.network.call_at(self.now + delay, arrive)

    def _interfere(self, vm: VmId) -> None:
        """Cut ``vm`` off, at times with the issuer, and let others move on."""
        issuers = [
            other
            for other, controller in self.controllers.items()
            if controller.lease.is_held(self.now) and self.rng.random() < 0.5
        ]
        self.network.links.part({vm, *issuers}, self.vms)
        self.lossy = True
        self.publish(longest_lag_ms=100)
        self.network.call_at(self.now + self.rng.randint(1_000, 20_000), self._heal)
        for other in self.vms:
            controller = self.controllers[other]
            view = partial(self._look, other, controller)
            self.network.call_at(self.now + self.rng.randint(0, 500), view, other)

    def _heal(self) -> None:
        self.network.links.cut = set()
        self.lossy = False

    def _answerer(
        self, vm: VmId, report: Callable[[EngineAnswer], None]
    ) -> Callable[[], None]:
        """Return what an engine calls when done; the answer may get lost.

        The sender of an order whose answer gets lost gives up on it at any
        time, be the order still on the wire or carried out.
        """
        if self.lossy and self.rng.random() < LOST_ANSWERS:
            self._later(1_000, lambda: report(EngineAnswer(ended=False)), vm)
            return lambda: None
        answer = EngineAnswer(ended=True)
        return lambda: self._later(50, lambda: report(answer), vm)

    def _later(self, longest: int, step: Callable[[], None], vm: VmId | None) -> None:
        self.network.call_at(self.now + self.rng.randint(1, longest), step, vm)

    def _report(
        self,
        vm: VmId,
        controller: OrderController,
        command: EngineCommand,
        answer: EngineAnswer,
    ) -> None:
        if self.controllers.get(vm) is controller:
            controller.answered(command, answer, self.now)

    def _count_serving(self) -> None:
        serving = sum(not engine.state.draining for engine in self.engines.values())
        service = self.newest.services["menu"]
        self.counts.share_violated += serving < least_serving(service)


def run_with_faults(
    world: OrdersWorld, duration_ms: int, longest_gap_ms: int = 45_000
) -> None:
    """Let ``duration_ms`` pass with pauses, partitions, restarts and new lists."""
    end = world.now + duration_ms
    world.interference = 0.3
    links = world.network.links
    while world.now < end:
        vm = world.rng.choice(world.vms)
        running = vm not in world.network.stopped
        match world.rng.randrange(9):
            case 0 if running:
                world.network.stop(vm)
            case 1 | 2 if not running:
                world.resume(vm)
            case 3:
                links.part(set(world.rng.sample(world.vms, 3)), world.vms)
            case 4:
                links.cut = set()
            case 5:
                world.restart(vm)
            case 6 if not links.cut:
                world.replace(vm)
            case 7:
                links.loss = world.rng.choice((0.0, 0.0, 0.2))
                links.jitter_ms = world.rng.choice((0, 1_000))
                links.doubling = links.loss
                world.lossy = links.loss > 0
            case _:
                world.publish(longest_lag_ms=world.rng.choice((100, 30_000)))
        world.network.advance(world.rng.randint(500, longest_gap_ms))


def settle(world: OrdersWorld, limit_ms: int) -> int:
    """End every fault and spread the settings; return the time to settle."""
    world.interference = 0.0
    links = world.network.links
    links.cut = set()
    links.loss = links.doubling = links.jitter_ms = 0
    world.lossy = False
    for vm in sorted(world.network.stopped):
        world.resume(vm)
    for vm in world.vms:
        world.accept_newest(vm)
    began = world.now
    while not world.is_settled and world.now - began < limit_ms:
        world.network.advance(TICK_MS)
    return world.now - began
