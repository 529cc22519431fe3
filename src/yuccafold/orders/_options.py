"""Durations and counts for sending orders to engines."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import final

from yuccafold._clock import Milliseconds

MS_PER_MINUTE = 60_000


@final
@dataclass(frozen=True, slots=True)
class OrderOptions:
    """Durations and counts; durations are in milliseconds.

    ``order_delivery_ms`` and ``order_effect_ms`` are guarantees that the deployment
    must give: an order reaches its engine within ``order_delivery_ms`` or never, and
    has its whole effect within ``order_effect_ms``, even if its sender stopped
    waiting for the answer.
    """

    lease_ms: int = 10_000
    renew_ms: int = 3_000
    list_lag_ms: int = 30_000
    """The longest time for which two VMs may use different VM lists of the platform."""
    voters: int = 9
    """How many VMs vote; in a fleet that is no larger, all of them do."""
    order_delivery_ms: int = 5_000
    order_effect_ms: int = 60_000
    permit_ms: int = 120_000
    load_slot_ms: int = 2_000
    """How long after its request a load may still start."""
    request_retry_ms: int = 2_000
    """How long to wait for an answer before a permit is requested again."""
    read_ms: int = 10_000
    """How often the owner reads an engine's state."""
    changing_read_ms: int = 1_000
    """How often the owner reads it while the engine is being changed."""
    serving_view_lag_ms: int = 10_000
    """The longest time until a VM learns that an engine stopped serving."""
    clock_drift: float = 0.01
    """By what fraction the rates of two VMs' clocks may differ."""

    def __post_init__(self) -> None:
        needed = self.order_effect_ms + 2 * self.request_retry_ms
        if self.usable(self.permit_ms) < needed:
            raise ValueError(
                f"expected a permit of at least {needed} ms, got {self.permit_ms}"
            )

    def usable(self, duration: int) -> int:
        """Return ``duration`` shortened by the clock drift.

        It then ends no later than ``duration`` does on any other VM's clock.
        """
        return int(duration * (1 - self.clock_drift))

    @property
    def abstain_ms(self) -> int:
        """How long a VM neither votes nor requests the lease after its start.

        It has no memory of earlier votes and leases.
        """
        return self.lease_ms + self.list_lag_ms

    def load_spacing(self, loads_per_minute: int) -> Milliseconds:
        """Return the minimum time between the grants of two loads.

        A load reaches the store up to ``load_slot_ms + order_delivery_ms`` after
        its grant, so that a minute at the store contains loads granted over a
        longer time.
        """
        window = MS_PER_MINUTE + self.load_slot_ms + self.order_delivery_ms
        return Milliseconds(ceil(window / loads_per_minute) + 1)
