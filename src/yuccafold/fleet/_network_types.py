"""Types in the interface of the peer network."""

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
    """The IP address and port to which links to a VM are opened, and its location."""

    vm: VmId
    address: str
    zone: ZoneId
    region: RegionId


@final
@dataclass(frozen=True, slots=True)
class Received:
    """A received message.

    With TLS, the certificate of ``sender`` was verified.
    """

    sender: VmId
    sender_incarnation: Incarnation
    message: Any


@final
class NetworkError(Exception):
    """The network cannot start: certificate files or the address are unusable."""
