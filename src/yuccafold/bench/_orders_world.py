"""Simulates order controllers on many VMs, with faults drawn from one seed."""

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
from yuccafold.orders import min_serving_engines
from yuccafold.settings import SettingsTree
from yuccafold.settings import parse_tree

TICK_MS = 200
LOST_ANSWER_SHARE = 0.5
VIEW_INTERVAL_MS = 2_000
"""Interval at which a VM's view of its peers and of the engines is refreshed."""

FAULTED_OPTIONS = OrderOptions(
    lease_ms=3_000,
    renew_ms=1_000,
    list_lag_ms=5_000,
    order_delivery_ms=2_000,
    order_effect_ms=8_000,
    permit_ms=12_000,
    load_slot_ms=1_000,
    request_retry_ms=500,
    read_ms=3_000,
    changing_read_ms=500,
    serving_view_lag_ms=1_000,
)
"""Short times, so that the lease changes its holder often in a run of an hour."""


def orders_tree(
    revision: int, version: int, engines: int, rate: int, share: float = 0.5
) -> SettingsTree:
    """Return settings that request ``version`` on every engine."""
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
    """Order controllers, engines and the network between them."""

    def __init__(
        self,
        seed: int,
        vms: int,
        engines: int,
        rate: int,
        options: OrderOptions = FAULTED_OPTIONS,
        max_load_ms: int = 6_000,
    ) -> None:
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.rng)
        self.counts = OrderCounts()
        self.store = SimulatedStore(rate, self.counts)
        self.vms = tuple(VmId(f"vm-{number}") for number in range(vms))
        self.controllers: dict[VmId, OrderController] = {}
        self.trees: dict[VmId, SettingsTree] = {}
        self.newest = orders_tree(1, 0, engines, rate)
        self.lossy = False
        self.cut_off_share = 0.0
        """Share of orders whose sender is cut off as newer settings are published."""
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
                max_work_ms=max_load_ms,
            )
            for number in range(engines)
        }
        for vm in self.vms:
            self.start(vm, self.newest)

    @property
    def now(self) -> Milliseconds:
        """The current time of the virtual clock."""
        return self.network.clock.now()

    @property
    def is_settled(self) -> bool:
        """Whether every engine is in the state that the newest settings request."""
        wanted = desired_engines(self.newest)
        return all(
            wanted[engine].is_met_by(simulated.state)
            for engine, simulated in self.engines.items()
        )

    def start(self, vm: VmId, tree: SettingsTree) -> None:
        """Start a process of ``vm`` with no state but the settings ``tree``."""
        controller = OrderController(
            vm, Incarnation(next(self._incarnations)), self._options, self.rng, self.now
        )
        self.controllers[vm] = controller
        self.trees[vm] = tree
        controller.set_list(self.vms, self.now)
        controller.set_tree(tree)
        tick = partial(self._tick, vm, controller)
        view_tick = partial(self._view_tick, vm, controller)
        self.network.call_at(self.now + self.rng.randrange(TICK_MS), tick, vm)
        self.network.call_at(
            self.now + self.rng.randrange(VIEW_INTERVAL_MS), view_tick, vm
        )

    def restart(self, vm: VmId) -> None:
        """Replace the process of ``vm``; it starts with the settings of some VM."""
        self.network.resume(vm)
        self.start(vm, self.trees[self.rng.choice(self.vms)])

    def replace(self, vm: VmId) -> None:
        """Replace ``vm`` by a new VM; each VM gets the list after a random delay."""
        tree = self.trees[self.rng.choice(self.vms)]
        new = VmId(f"vm-{next(self._vm_numbers)}")
        self.vms = (*(other for other in self.vms if other != vm), new)
        del self.controllers[vm], self.trees[vm]
        self.network.resume(vm)
        self.start(new, tree)
        for other in self.vms:
            lag = self.rng.randint(0, self._options.list_lag_ms)
            self.network.call_at(
                self.now + lag, partial(self._apply_list, other, self.vms), other
            )

    def _apply_list(self, vm: VmId, vms: tuple[VmId, ...]) -> None:
        if vm in self.controllers and vms == self.vms:
            self.controllers[vm].set_list(vms, self.now)

    def publish(self, max_lag_ms: int) -> None:
        """Publish a newer version; each VM accepts it after a random delay."""
        number = self.newest.revision + 1
        self.newest = orders_tree(number, number, self._engine_count, self._rate)
        for vm in self.vms:
            lag = self.rng.randint(0, max_lag_ms)
            self.network.call_at(
                self.now + lag, partial(self._accept, vm, self.newest), vm
            )

    def accept_newest(self, vm: VmId) -> None:
        """Let ``vm`` accept the newest settings, as replicas finally do."""
        self._accept(vm, self.newest)

    def _accept(self, vm: VmId, tree: SettingsTree) -> None:
        if vm in self.controllers and tree.revision > self.trees[vm].revision:
            self.trees[vm] = tree
            self.controllers[vm].set_tree(tree)

    def resume(self, vm: VmId) -> None:
        """Continue a stopped process, which detects its pause."""
        self.network.resume(vm)
        self.controllers[vm].record_pause()

    def _tick(self, vm: VmId, controller: OrderController) -> None:
        if self.controllers.get(vm) is not controller:
            return
        self._send(vm, controller.tick(self.now))
        for command in controller.commands():
            # A command is delayed, as a scheduled task would be, before it is sent.
            due = self.now + self.rng.randint(0, TICK_MS)
            self.network.call_at(
                due, partial(self._send_command, vm, controller, command), vm
            )
        self._count_serving()
        next_tick = partial(self._tick, vm, controller)
        self.network.call_at(self.now + TICK_MS, next_tick, vm)

    def _view_tick(self, vm: VmId, controller: OrderController) -> None:
        if self.controllers.get(vm) is not controller:
            return
        self._refresh_view(vm, controller)
        next_tick = partial(self._view_tick, vm, controller)
        self.network.call_at(self.now + VIEW_INTERVAL_MS, next_tick, vm)

    def _refresh_view(self, vm: VmId, controller: OrderController) -> None:
        """Update which peers ``vm`` reaches and which engines serve, in its view."""
        cut_pairs = self.network.links.cut
        stopped = self.network.stopped
        controller.set_reachable(
            other
            for other in self.vms
            if frozenset((vm, other)) not in cut_pairs and other not in stopped
        )
        controller.set_serving(
            {name: not engine.state.draining for name, engine in self.engines.items()},
            self.now,
        )

    def _send(self, sender: VmId, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            deliver = partial(self._deliver, sender, item.to, item.message)
            self.network.send(sender, item.to, deliver)

    def _deliver(self, sender: VmId, to: VmId, message: Any) -> None:
        if to in self.controllers:
            self._send(to, self.controllers[to].handle(sender, message, self.now))

    def _send_command(
        self, vm: VmId, controller: OrderController, command: EngineCommand
    ) -> None:
        """Send a command to its engine: a read of its state, or an order."""
        if self.controllers.get(vm) is not controller:
            return
        engine = self.engines[command.engine]
        report = partial(self._report, vm, controller, command)
        if command.order is None:
            answer = EngineAnswer(True, engine.state)
            self._call_later(50, lambda: report(answer), vm)
        elif not controller.may_send(command, self.now):
            report(EngineAnswer(ended=True))
        else:
            if self.rng.random() < self.cut_off_share:
                self._cut_off_sender(vm)
            on_done = self._answer_callback(vm, report)
            order = command.order
            receive = partial(engine.receive, order, command.fence, on_done)
            delay = self.rng.choice((1, self._options.order_delivery_ms))
            self.network.call_at(self.now + delay, receive)

    def _cut_off_sender(self, vm: VmId) -> None:
        """Cut ``vm`` off and publish newer settings to all VMs.

        Each lease holder is cut off with it with a probability of one half. Until
        the partition ends, after 1 to 20 seconds, answers to orders may get lost.
        """
        issuers = [
            other
            for other, controller in self.controllers.items()
            if controller.lease.is_held(self.now) and self.rng.random() < 0.5
        ]
        self.network.links.partition({vm, *issuers}, self.vms)
        self.lossy = True
        self.publish(max_lag_ms=100)
        self.network.call_at(
            self.now + self.rng.randint(1_000, 20_000), self._end_cut_off
        )
        for other in self.vms:
            controller = self.controllers[other]
            refresh = partial(self._refresh_view, other, controller)
            self.network.call_at(self.now + self.rng.randint(0, 500), refresh, other)

    def _end_cut_off(self) -> None:
        self.network.links.cut = set()
        self.lossy = False

    def _answer_callback(
        self, vm: VmId, report: Callable[[EngineAnswer], None]
    ) -> Callable[[], None]:
        """Return the callback of an engine that is done; its answer may get lost.

        If the answer gets lost, the sender gives up within a second, whether the
        order is still on its way or already executed.
        """
        if self.lossy and self.rng.random() < LOST_ANSWER_SHARE:
            self._call_later(1_000, lambda: report(EngineAnswer(ended=False)), vm)
            return lambda: None
        answer = EngineAnswer(ended=True)
        return lambda: self._call_later(50, lambda: report(answer), vm)

    def _call_later(
        self, max_delay_ms: int, action: Callable[[], None], vm: VmId | None
    ) -> None:
        self.network.call_at(self.now + self.rng.randint(1, max_delay_ms), action, vm)

    def _report(
        self,
        vm: VmId,
        controller: OrderController,
        command: EngineCommand,
        answer: EngineAnswer,
    ) -> None:
        if self.controllers.get(vm) is controller:
            controller.record_answer(command, answer, self.now)

    def _count_serving(self) -> None:
        serving = sum(not engine.state.draining for engine in self.engines.values())
        service = self.newest.services["menu"]
        self.counts.share_violated += serving < min_serving_engines(service)


def run_with_faults(
    world: OrdersWorld, duration_ms: int, max_gap_ms: int = 45_000
) -> None:
    """Run ``duration_ms`` with random pauses, partitions, restarts and new VM lists."""
    end_ms = world.now + duration_ms
    world.cut_off_share = 0.3
    links = world.network.links
    while world.now < end_ms:
        vm = world.rng.choice(world.vms)
        running = vm not in world.network.stopped
        match world.rng.randrange(9):
            case 0 if running:
                world.network.stop(vm)
            case 1 | 2 if not running:
                world.resume(vm)
            case 3:
                links.partition(set(world.rng.sample(world.vms, 3)), world.vms)
            case 4:
                links.cut = set()
            case 5:
                world.restart(vm)
            case 6 if not links.cut:
                world.replace(vm)
            case 7:
                links.loss = world.rng.choice((0.0, 0.0, 0.2))
                links.jitter_ms = world.rng.choice((0, 1_000))
                links.duplicates = links.loss
                world.lossy = links.loss > 0
            case _:
                world.publish(max_lag_ms=world.rng.choice((100, 30_000)))
        world.network.advance(world.rng.randint(500, max_gap_ms))


def settle(world: OrdersWorld, limit_ms: int) -> int:
    """End all faults, give every VM the newest settings; return the time to settle."""
    world.cut_off_share = 0.0
    links = world.network.links
    links.cut = set()
    links.loss = links.duplicates = links.jitter_ms = 0
    world.lossy = False
    for vm in sorted(world.network.stopped):
        world.resume(vm)
    for vm in world.vms:
        world.accept_newest(vm)
    started_at = world.now
    while not world.is_settled and world.now - started_at < limit_ms:
        world.network.advance(TICK_MS)
    return world.now - started_at
