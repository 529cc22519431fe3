"""VMs that reach the targets of a service, as VMs advertise through the seeds."""

from __future__ import annotations

import random
from collections.abc import Collection
from collections.abc import Mapping
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId

HELPER_LIFETIME = Milliseconds(2_000)
"""How long an advertised VM is asked for help: VMs report every 450 to 750 ms."""

MAX_REPORTED_HELPERS = 6
"""Helpers in one message, drawn at random, so that the load spreads over many."""

HelperServices = Mapping[str, frozenset[ServiceId]]
"""The services that each VM reaches, by the address at which it takes calls."""


@final
class HelperTable:
    """The VMs that may serve a call in place of this VM."""

    def __init__(self, rng: random.Random, address: str = "") -> None:
        self._rng = rng
        self._address = address
        self._helpers: dict[str, tuple[frozenset[ServiceId], Milliseconds]] = {}

    @property
    def address(self) -> str:
        """The address at which this VM takes calls; empty before it does."""
        return self._address

    def set_address(self, address: str) -> None:
        """Set the address at which this VM takes calls."""
        self._address = address

    def record_reported(self, helpers: HelperServices, now: Milliseconds) -> None:
        """Record which VMs advertise that they reach services."""
        for address, services in helpers.items():
            if address != self._address:
                self._helpers[address] = (services, now)

    def record_failure(self, address: str) -> None:
        """Forget a VM that did not help, until it is advertised again."""
        self._helpers.pop(address, None)

    def choose(
        self, service: ServiceId, tried: Collection[str], now: Milliseconds
    ) -> str | None:
        """Return a VM that reaches ``service``, ``None`` if none is known."""
        known = [
            address
            for address, (services, reported_at) in self._helpers.items()
            if service in services
            and address not in tried
            and now - reported_at < HELPER_LIFETIME
        ]
        return self._rng.choice(known) if known else None


def format_helpers(helpers: HelperServices) -> str:
    """Format a sample of helpers as ``ADDRESS=SERVICE;SERVICE``, joined by commas."""
    advertised = random.sample(sorted(helpers), min(MAX_REPORTED_HELPERS, len(helpers)))
    return ",".join(
        f"{address}={';'.join(sorted(helpers[address]))}" for address in advertised
    )


def parse_helpers(text: str) -> dict[str, frozenset[ServiceId]]:
    """Parse the form of ``format_helpers``; raises ``ValueError`` if malformed."""
    helpers = {}
    for row in text.split(","):
        if not row:
            continue
        address, equals, services = row.partition("=")
        host, colon, port = address.rpartition(":")
        if not equals or not colon or not host or not port.isdigit():
            raise ValueError(f"expected an address and services, got {row!r:.60}")
        names = (ServiceId(name) for name in services.split(";") if name)
        helpers[address] = frozenset(names)
    return helpers
