"""Runs the order controller of this VM and keeps its inputs up to date."""

from __future__ import annotations

import random
from typing import final

import trio

from yuccafold import orders
from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold._supervisor import ChildSpec
from yuccafold.control import ControlPlane
from yuccafold.fleet import ByteClass
from yuccafold.fleet import ListedState
from yuccafold.fleet import PeerNetwork
from yuccafold.fleet import TargetState
from yuccafold.orders import OrderCarrier
from yuccafold.orders import OrderController
from yuccafold.orders import OrderOptions
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsTree

UPDATE_INTERVAL = Milliseconds(1_000)

orders.register_messages()


@final
class OrderTasks:
    """The order controller of this VM and the tasks that run it."""

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: Incarnation,
        plane: ControlPlane,
        network: PeerNetwork,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        options = OrderOptions(list_lag_ms=settings.claims.list_lag_ms)
        now = clock.now()
        vm = VmId(settings.vm)
        self._controller = OrderController(vm, incarnation, options, rng, now)
        self._plane = plane
        self._network = network
        self._clock = clock
        self._tree: SettingsTree | None = None
        self._confirmed_at: Milliseconds | None = None
        self._pauses = 0
        self._carrier = OrderCarrier(self._controller, clock, options, self._send)
        plane.add_handler(ByteClass.ORDERS, self._controller.handle)

    @property
    def controller(self) -> OrderController:
        """The controller that decides which orders engines get."""
        return self._controller

    def children(self) -> list[ChildSpec]:
        """Return the tasks to supervise."""
        return [
            ChildSpec("orders", self._carrier.run),
            ChildSpec("order_facts", self._update),
        ]

    async def _update(self) -> None:
        """Pass the VM list, settings and target health on until cancelled."""
        while True:
            self._update_once(self._clock.now())
            await trio.sleep(UPDATE_INTERVAL / MS_PER_SECOND)

    def _update_once(self, now: Milliseconds) -> None:
        plane = self._plane
        if plane.pauses != self._pauses:
            self._pauses = plane.pauses
            self._controller.record_pause()
        snapshot = plane.snapshot
        if snapshot is None or not plane.may_serve(now):
            return
        if plane.list_confirmed_at != self._confirmed_at:
            self._confirmed_at = plane.list_confirmed_at
            live = [vm.id for vm in snapshot.vms if vm.state is ListedState.LIVE]
            self._controller.set_list(live, now)
        self._controller.set_reachable(plane.membership.view.reachable)
        self._update_targets(now)

    def _update_targets(self, now: Milliseconds) -> None:
        tree = self._plane.tree
        if tree is None:
            return
        if tree is not self._tree:
            self._tree = tree
            self._controller.set_tree(tree)
        targets = [
            target for service in tree.services.values() for target in service.targets
        ]
        leaving = [TargetId(target.id) for target in targets if target.draining]
        self._controller.set_leaving(leaving)
        serving = {
            TargetId(target.id): self._plane.target_health(TargetId(target.id), now)
            is TargetState.LIVE
            for target in targets
        }
        self._controller.set_serving(serving, now)

    def _send(self, outgoing: list[Outgoing]) -> None:
        for message in outgoing:
            self._network.send(message)
