"""Times and counts of ordering engines."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import final

from yuccafold._clock import Milliseconds

MS_PER_MINUTE = 60_000


@final
@dataclass(frozen=True, slots=True)
class OrderOptions:
    """Times are in milliseconds.

    ``wire_ms`` and ``order_ms`` are promises of the deployment: an order
    reaches its engine within the first or never, and has its whole effect
    within the second, also where its sender gave up on the answer.
    """

    lease_ms: int = 10_000
    renew_ms: int = 3_000
    list_lag_ms: int = 30_000
    """The longest that two VMs may disagree about the platform's VM list."""
    seats: int = 9
    """How many VMs vote; all of a fleet that is no larger."""
    wire_ms: int = 5_000
    order_ms: int = 60_000
    permit_ms: int = 120_000
    slot_ms: int = 2_000
    """How long after its request a load may be begun."""
    ask_ms: int = 2_000
    read_ms: int = 10_000
    """How often the owner reads an engine's state."""
    changing_read_ms: int = 1_000
    """The same while the engine is being changed."""
    view_ms: int = 10_000
    """How late a VM may learn that an engine stopped serving."""
    clock_drift: float = 0.01
    """By how much the clocks of two VMs may differ in rate."""

    def __post_init__(self) -> None:
        needed = self.order_ms + 2 * self.ask_ms
        if self.usable(self.permit_ms) < needed:
            raise ValueError(
                f"expected a permit of at least {needed} ms, got {self.permit_ms}"
            )

    def usable(self, duration: int) -> int:
        """Return the part of ``duration`` that holds on any VM's clock."""
        return int(duration * (1 - self.clock_drift))

    @property
    def abstain_ms(self) -> int:
        """How long a VM without memory of earlier leases neither votes nor asks."""
        return self.lease_ms + self.list_lag_ms

    def load_spacing(self, loads_per_minute: int) -> Milliseconds:
        """Return the least time between the grants of two loads.

        A load reaches the store up to ``slot_ms + wire_ms`` after its grant,
        so that a minute at the store holds the grants of a longer time.
        """
        window = MS_PER_MINUTE + self.slot_ms + self.wire_ms
        return Milliseconds(ceil(window / loads_per_minute) + 1)
