"""Settings of one edge router process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.edge._model import FeatureMode
from yuccafold.edge._model import PartId
from yuccafold.intake import IntakeLimits


@final
@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Parse ``host:port``; raises ``ValueError`` on any other form."""
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or int(port) > 65_535:
            raise ValueError(f"expected an address like 10.0.0.1:80, got {text!r}")
        return cls(host, int(port))


@final
@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """The settings that the platform gives a process: addresses, limits and bounds.

    ``key_lifetime`` is how long a revoked key may still be accepted: with a view of
    the platform older than that, calls with a key are refused if ``fails_closed``.
    ``apply_within`` is the time within which a new configuration must be in force.
    ``drain_within`` is the time after which a leaving target gets no more calls.
    ``grace_period`` is the time that the process has to stop. ``retry_ratio`` is the
    share of calls that the fleet may retry, and ``retry_slack`` the number of retries
    of a service that it may do at once. ``load_multiple`` bounds the load of a target
    as a multiple of the mean. ``peers`` is the address at which other VMs request the
    view of this VM; ``seeds`` are the addresses of the VMs to request views from.
    ``exempt_parts`` are prompt parts that are never quarantined.
    ``heartbeat_interval`` is how often targets write to the store, which remembers
    changes for the time of ``store_history``. In any second, a cold target must get no
    more calls than its rate times ``cold_multiple``, plus ``cold_slack``.
    ``evacuate_within`` is the time after which targets in a zone that is evacuated get
    no more calls; ``None`` if zones aren't evacuated. ``sharing`` says for which
    services calls are admitted by capacity and the fair share of their account, and
    ``placing_by_work`` for which they are placed by what targets still have to do.
    ``intake`` limits what the connections of all callers take.
    """

    vm: VmId
    zone: ZoneId
    callers: SocketAddress
    readiness: SocketAddress
    platform: SocketAddress
    key_lifetime: Milliseconds
    fails_closed: bool
    apply_within: Milliseconds
    drain_within: Milliseconds
    grace_period: Milliseconds
    retry_ratio: float
    retry_slack: float
    load_multiple: float
    metrics_port: int = 0
    peers: SocketAddress | None = None
    seeds: tuple[SocketAddress, ...] = ()
    exempt_parts: frozenset[PartId] = frozenset()
    heartbeat_interval: Milliseconds = Milliseconds(1_200)
    store_history: Milliseconds = Milliseconds(0)
    cold_multiple: float = 1.0
    cold_slack: float = 0.0
    evacuate_within: Milliseconds | None = None
    sharing: FeatureMode = FeatureMode.AUTO
    placing_by_work: FeatureMode = FeatureMode.AUTO
    intake: IntakeLimits = IntakeLimits()

    @property
    def change_within(self) -> Milliseconds:
        """The time within which any change in the store must be known."""
        bounds = (self.apply_within, self.drain_within, self.evacuate_within)
        return min(bound for bound in bounds if bound is not None)

    @property
    def reads_platform(self) -> bool:
        """Whether this VM reads the store directly; others request views from seeds."""
        return not self.seeds or self.peers is None or self.peers in self.seeds
