"""What the network takes in and gives out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import final

from yuccafold._ids import Incarnation
from yuccafold._ids import RegionId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId


@final
@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a VM's links are opened; ``address`` is an IP number and port."""

    vm: VmId
    address: str
    zone: ZoneId
    region: RegionId


@final
@dataclass(frozen=True, slots=True)
class Received:
    """A message and the VM that sent it, as its certificate proves."""

    sender: VmId
    sender_incarnation: Incarnation
    message: Any


@final
class NetworkError(Exception):
    """The network cannot start: certificate files or address are unusable."""
