"""The desired state of each engine, and the next order towards it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import ceil
from typing import final

from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.settings import Service
from yuccafold.settings import SettingsTree


class OrderKind(Enum):
    """What an order tells an engine to do."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"

    @property
    def loads_weights(self) -> bool:
        """Whether the order makes the engine load weights from the weight store."""
        return self in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


@final
@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order; fields that its kind does not need are empty."""

    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


@final
@dataclass(frozen=True, slots=True)
class Observation:
    """The state that an engine reported.

    ``running`` counts its requests, including queued ones. ``fence`` is the highest
    fencing number that it accepted, 0 if it reports none.
    """

    model: str
    version: str
    adapters: frozenset[str]
    role: str
    draining: bool
    running: int = 0
    fence: int = 0


@final
@dataclass(frozen=True, slots=True)
class DesiredEngine:
    """The state of an engine that the settings ask for."""

    id: TargetId
    service: ServiceId
    address: str
    model: str
    version: str
    adapters: frozenset[str]
    role: str
    drain_limit_ms: int

    def has_model(self, seen: Observation) -> bool:
        """Return whether the engine serves the desired model and version."""
        return (seen.model, seen.version) == (self.model, self.version)

    def is_met_by(self, seen: Observation) -> bool:
        """Return whether the engine is in the desired state and needs no order."""
        return (
            self.has_model(seen)
            and seen.adapters == self.adapters
            and seen.role == self.role
            and not seen.draining
        )


def desired_engines(tree: SettingsTree) -> dict[TargetId, DesiredEngine]:
    """Return the desired state of each engine whose service has orders in ``tree``.

    An engine that the settings drain gets no orders.
    """
    return {
        TargetId(target.id): DesiredEngine(
            TargetId(target.id),
            ServiceId(name),
            target.address,
            service.orders.model,
            service.orders.version,
            frozenset(service.orders.adapters),
            target.role,
            service.orders.drain_limit_ms,
        )
        for name, service in tree.services.items()
        if service.orders is not None
        for target in service.targets
        if not target.draining
    }


def loads_per_minute(tree: SettingsTree) -> int:
    """Return the weight store's rate limit: the lowest that any service sets."""
    rates = (
        service.orders.weight_loads_per_minute
        for service in tree.services.values()
        if service.orders is not None
    )
    return min(rates, default=1)


def min_serving_engines(service: Service) -> int:
    """Return how many engines of ``service`` must keep serving during a change."""
    if service.orders is None:
        return len(service.targets)
    return ceil(service.orders.min_serving_share * len(service.targets))


def next_order(
    desired: DesiredEngine, seen: Observation, drained: bool
) -> EngineOrder | None:
    """Return the next order, or ``None`` when done or while the engine drains.

    Models, adapters and roles are only changed on an engine that is draining.
    ``drained`` says that it has finished its requests or reached the drain limit.
    """
    if desired.is_met_by(seen):
        return None
    if not seen.draining:
        return EngineOrder(OrderKind.DRAIN)
    if not desired.has_model(seen):
        order = EngineOrder(
            OrderKind.LOAD_MODEL, model=desired.model, version=desired.version
        )
        return order if drained else None
    missing = sorted(desired.adapters - seen.adapters)
    if missing:
        return EngineOrder(OrderKind.LOAD_ADAPTER, adapter=missing[0])
    surplus = sorted(seen.adapters - desired.adapters)
    if surplus:
        return EngineOrder(OrderKind.UNLOAD_ADAPTER, adapter=surplus[0])
    if seen.role != desired.role:
        order = EngineOrder(OrderKind.SET_ROLE, role=desired.role)
        return order if drained else None
    return EngineOrder(OrderKind.UNDRAIN)
