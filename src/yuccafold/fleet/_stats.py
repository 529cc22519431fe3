"""Counters of the links between VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._ids import VmId
from yuccafold.fleet._outbox import DropCause
from yuccafold.fleet._registry import ByteClass


@final
@dataclass(slots=True)
class ByteCounts:
    """Bytes of messages by class, and all bytes of the connections.

    The bytes of connections, ``wire_sent`` and ``wire_received``, include TLS
    and WebSocket framing and the handshakes, but not TCP and IP headers.
    """

    sent: Counter[ByteClass] = field(default_factory=Counter)
    received: Counter[ByteClass] = field(default_factory=Counter)
    wire_sent: int = 0
    wire_received: int = 0

    def add_messages(self, part: ByteCounts) -> None:
        """Add the message bytes of ``part``."""
        self.sent.update(part.sent)
        self.received.update(part.received)

    def add_wire(self, part: ByteCounts) -> None:
        """Add the connection bytes of ``part``."""
        self.wire_sent += part.wire_sent
        self.wire_received += part.wire_received


@final
@dataclass(slots=True)
class Counters:
    """Counts of link events since the process started."""

    frames_sent: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    malformed: int = 0
    too_large: int = 0
    from_newer: int = 0
    """Messages skipped because their version, kind or an enum value is unknown."""
    skipped_fields: int = 0
    unauthenticated: int = 0
    opened: int = 0
    accepted: int = 0
    connect_failures: int = 0
    replaced_silent: int = 0
    """Links that were closed because a send or a ping timed out."""
    refused_over_limit: int = 0
    tls_reloads: int = 0
    tls_reload_failures: int = 0


@final
@dataclass(frozen=True, slots=True)
class DropCount:
    """How many messages of one class were dropped for one cause."""

    byte_class: ByteClass
    cause: DropCause
    messages: int


@final
@dataclass(frozen=True, slots=True)
class PeerStats:
    """The links, queue and traffic of one peer."""

    vm: VmId
    links: int
    queued_bytes: int
    bytes: ByteCounts


@final
@dataclass(frozen=True, slots=True)
class NetworkStats:
    """A copy of all counters at one moment."""

    total: ByteCounts
    counters: Counters
    dropped: tuple[DropCount, ...]
    peers: Mapping[VmId, PeerStats]
