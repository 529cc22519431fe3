"""Engines and a weight store for seeded runs of the order controllers."""

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
    """What a run did, and the violations, which must be 0."""

    orders: int = 0
    refused: int = 0
    older_after_newer: int = 0
    rate_exceeded: int = 0
    share_violated: int = 0


@final
class SimulatedStore:
    """Counts the loads of every minute against the store's rate."""

    def __init__(self, loads_per_minute: int, counts: OrderCounts) -> None:
        self._rate = loads_per_minute
        self._counts = counts
        self.loads: list[int] = []

    def load(self, now: int) -> None:
        """Begin a load at ``now``, which never goes back."""
        self.loads.append(now)
        recent = len(self.loads) - bisect_right(self.loads, now - STORE_WINDOW_MS)
        self._counts.rate_exceeded += recent > self._rate


@final
class SimulatedEngine:
    """Carries out whatever arrives; ``fencing`` refuses old numbers."""

    def __init__(
        self,
        network: VirtualNetwork,
        store: SimulatedStore,
        counts: OrderCounts,
        rng: random.Random,
        fencing: bool,
        longest_work_ms: int,
    ) -> None:
        self._network = network
        self._store = store
        self._counts = counts
        self._rng = rng
        self._fencing = fencing
        self._longest_work_ms = longest_work_ms
        self._newest = RevisionNumber(0)
        self.state = Observation("menu", "0", frozenset(), "both", False)

    def receive(self, order: EngineOrder, fence: int, done: Callable[[], None]) -> None:
        """Take an order off the wire; call ``done`` when it is carried out."""
        self._counts.orders += 1
        if self._fencing and fence < self.state.fence:
            self._counts.refused += 1
            done()
            return
        if self._fencing:
            self.state = replace(self.state, fence=fence)
        work = 0
        if order.kind.loads_weights:
            self._store.load(self._network.clock.now())
            work = self._rng.choice((1, self._longest_work_ms))

        def finish() -> None:
            self._apply(order, Fence.of(fence).revision)
            done()

        self._network.call_at(self._network.clock.now() + work, finish)

    def _apply(self, order: EngineOrder, revision: RevisionNumber) -> None:
        self._counts.older_after_newer += revision < self._newest
        self._newest = max(self._newest, revision)
        self.state = _after(self.state, order)


def _after(state: Observation, order: EngineOrder) -> Observation:
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
