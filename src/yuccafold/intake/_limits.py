"""Limits on what the connections of all callers take of a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

Bytes = int

BYTES_PER_MEGABYTE = 1_048_576

MAX_CONNECTIONS = 1_800
"""Default limit of open caller connections; each may need another one to a target."""

DEFAULT_MEMORY_BYTES: Bytes = 67_108_864
"""What requests may hold in a process whose memory is not known."""

MEMORY_SHARE = 0.25
"""Share of a process's memory that requests may hold. The rest is for the program,
the state of its connections, and bytes that were received and not parsed yet."""


@final
@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """``connections`` callers may be connected at once, which the listener sees to.

    Their requests may hold ``memory`` bytes in sum, from their first byte to the end of
    their answers.
    """

    connections: int = MAX_CONNECTIONS
    memory: Bytes = DEFAULT_MEMORY_BYTES


def memory_for_callers(process_memory: Bytes) -> Bytes:
    """Return what requests may hold in a process with so much memory."""
    return int(process_memory * MEMORY_SHARE)
