"""Simulated engines and weight store for seeded runs of the order controllers."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import final

from yuccafold._ids import RevisionNumber
from yuccafold.bench._virtual_network import VirtualNetwork
from yuccafold.orders import EngineOrder
from yuccafold.orders import Fence
from yuccafold.orders import Observation
from yuccafold.orders import OrderKind

STORE_WINDOW_MS = 60_000


@final
@dataclass(slots=True)
class OrderCounts:
    """Counts of one run.

    The last three count violations of an invariant and must be 0.
    """

    orders: int = 0
    refused: int = 0
    older_after_newer: int = 0
    rate_exceeded: int = 0
    share_violated: int = 0


@final
class SimulatedStore:
    """Records loads and counts those above the store's rate per minute."""

    def __init__(self, loads_per_minute: int, counts: OrderCounts) -> None:
        self._rate = loads_per_minute
        self._counts = counts
        self.loads: list[int] = []

    def load(self, now: int) -> None:
        """Record the start of a load at ``now``, which never decreases."""
        self.loads.append(now)
        recent = len(self.loads) - bisect_right(self.loads, now - STORE_WINDOW_MS)
        self._counts.rate_exceeded += recent > self._rate


@final
class SimulatedEngine:
    """Executes every order that arrives.

    With ``fencing`` it refuses an order whose fence is lower than one seen before.
    """

    def __init__(
        self,
        network: VirtualNetwork,
        store: SimulatedStore,
        counts: OrderCounts,
        rng: random.Random,
        fencing: bool,
        max_work_ms: int,
    ) -> None:
        self._network = network
        self._store = store
        self._counts = counts
        self._rng = rng
        self._fencing = fencing
        self._max_work_ms = max_work_ms
        self._newest_revision = RevisionNumber(0)
        self.state = Observation("menu", "0", frozenset(), "both", False)

    def receive(
        self, order: EngineOrder, fence: int, on_done: Callable[[], None]
    ) -> None:
        """Handle an order that arrived; call ``on_done`` when it is done or refused."""
        self._counts.orders += 1
        if self._fencing and fence < self.state.fence:
            self._counts.refused += 1
            on_done()
            return
        if self._fencing:
            self.state = replace(self.state, fence=fence)
        work_ms = 0
        if order.kind.loads_weights:
            self._store.load(self._network.clock.now())
            work_ms = self._rng.choice((1, self._max_work_ms))

        def finish() -> None:
            self._apply(order, Fence.from_number(fence).revision)
            on_done()

        self._network.call_at(self._network.clock.now() + work_ms, finish)

    def _apply(self, order: EngineOrder, revision: RevisionNumber) -> None:
        self._counts.older_after_newer += revision < self._newest_revision
        self._newest_revision = max(self._newest_revision, revision)
        self.state = _state_after(self.state, order)


def _state_after(state: Observation, order: EngineOrder) -> Observation:
    match order.kind:
        case OrderKind.DRAIN:
            return replace(state, draining=True)
        case OrderKind.UNDRAIN:
            return replace(state, draining=False)
        case OrderKind.LOAD_MODEL:
            return replace(state, model=order.model, version=order.version)
        case OrderKind.LOAD_ADAPTER:
            return replace(state, adapters=state.adapters | {order.adapter})
        case OrderKind.UNLOAD_ADAPTER:
            return replace(state, adapters=state.adapters - {order.adapter})
        case OrderKind.SET_ROLE:
            return replace(state, role=order.role)
