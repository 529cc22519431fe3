"""Settings of one edge router process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId


@final
@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Read ``host:port``; raises ``ValueError`` with what was expected."""
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or int(port) > 65_535:
            raise ValueError(f"expected an address like 10.0.0.1:80, got {text!r}")
        return cls(host, int(port))


@final
@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """What the platform tells a process about itself and its promises.

    ``key_lifetime`` is how long a revoked key may still be honoured: a view of
    the platform older than that serves no call with a key. ``apply_within`` is
    how soon a configuration is in force. ``drain_within`` is how soon a leaving
    target gets nothing more. ``retry_ratio`` is the fleet's share of retries.
    ``peers`` is where other VMs ask this one for its view; ``seeds`` are the
    addresses of VMs to ask.
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

    @property
    def reads_platform(self) -> bool:
        """Whether this VM follows the platform itself; others ask the seeds."""
        return not self.seeds or self.peers is None or self.peers in self.seeds
