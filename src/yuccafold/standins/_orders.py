"""Orders to a model engine and the state that they change."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import Any
from typing import final

from result import Err
from result import Ok
from result import Result


class OrderKind(Enum):
    """What an order makes the engine do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
    DRAIN = "drain"
    UNDRAIN = "undrain"

    @property
    def loads_weights(self) -> bool:
        """Whether the order loads weights from the weight store."""
        return self in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


@final
@dataclass(frozen=True, slots=True)
class Order:
    """One order; ``fence`` is the fencing number of its sender's lease."""

    kind: OrderKind
    fence: int
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


REQUIRED_FIELDS = {
    OrderKind.LOAD_MODEL: ("model", "version"),
    OrderKind.LOAD_ADAPTER: ("adapter",),
    OrderKind.UNLOAD_ADAPTER: ("adapter",),
    OrderKind.SET_ROLE: ("role",),
    OrderKind.DRAIN: (),
    OrderKind.UNDRAIN: (),
}


def parse_order(value: Any) -> Result[Order, str]:
    """Parse an order from a JSON value; the error says what was expected."""
    if not isinstance(value, dict):
        return Err(f"expected an object, got {type(value).__name__}")
    kinds = {kind.value: kind for kind in OrderKind}
    kind = kinds.get(str(value.get("kind")))
    if kind is None:
        return Err(f"expected a kind of {', '.join(kinds)}, got {value.get('kind')!r}")
    fence = value.get("fence", 0)
    if isinstance(fence, bool) or not isinstance(fence, int):
        return Err(f"expected a fence number, got {fence!r}")
    names = REQUIRED_FIELDS[kind]
    missing = [name for name in names if not isinstance(value.get(name), str)]
    if missing:
        return Err(f"expected text for {', '.join(missing)}")
    return Ok(Order(kind, fence, **{name: value[name] for name in names}))


@final
@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine serves; ``fence`` is the highest fencing number accepted."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"
    fence: int = 0
    draining: bool = False

    def as_json(self) -> dict[str, Any]:
        """Return the state as the engine's answers show it."""
        return {
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
            "role": self.role,
            "fence": self.fence,
            "draining": self.draining,
        }

    def after(self, order: Order) -> EngineState:
        """Return the state after ``order`` was executed."""
        state = replace(self, fence=max(self.fence, order.fence))
        match order.kind:
            case OrderKind.LOAD_MODEL:
                return replace(state, model=order.model, version=order.version)
            case OrderKind.LOAD_ADAPTER:
                adapters = tuple(sorted({*self.adapters, order.adapter}))
                return replace(state, adapters=adapters)
            case OrderKind.UNLOAD_ADAPTER:
                adapters = tuple(sorted({*self.adapters} - {order.adapter}))
                return replace(state, adapters=adapters)
            case OrderKind.SET_ROLE:
                return replace(state, role=order.role)
            case OrderKind.DRAIN:
                return replace(state, draining=True)
            case OrderKind.UNDRAIN:
                return replace(state, draining=False)
