"""Faults that can be injected into a stand-in's HTTP server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class Malformed(Enum):
    """Which part of a response violates HTTP/1.1."""

    STATUS_LINE = "status-line"
    HEADER = "header"
    CONTENT_LENGTH = "content-length"
    CHUNK_SIZE = "chunk-size"


@final
@dataclass(frozen=True, slots=True)
class Faults:
    """The faults of each exchange of one server; by default none.

    Byte positions count from the start of the exchange's request or response;
    an interim ``100 Continue`` belongs to the response.
    """

    refuse_connections: bool = False
    """Bind the port without listening; applies when the server starts."""
    close_at_request_byte: int | None = None
    """Close after reading this many bytes; the request does not run."""
    close_at_response_byte: int | None = None
    """Close after writing this many bytes; the request has run."""
    reset: bool = False
    """Send a TCP reset where a fault, such as the two above, closes the connection."""
    silent: bool = False
    """Read the request and never answer; it does not run."""
    silent_at_response_byte: int | None = None
    """Stop after writing this many bytes, and leave the connection open."""
    early_status: int | None = None
    """Answer with this status once the head was read; the request does not run."""
    answer_twice: bool = False
    """Write a second complete response after the first."""
    truncated: bool = False
    """Withhold the last bytes of the response and close."""
    end_stream_after_events: int | None = None
    """End a streamed answer cleanly after this many events."""
    unframed: bool = False
    """Write the response without a length or chunks; the end of its connection, by a
    fault too, ends it."""
    overlong: bool = False
    """Write extra bytes after the response's body."""
    malformed: Malformed | None = None
    """Write a response that violates HTTP/1.1 in this part, and close."""
    crash_marker: bytes | None = None
    """Crash the server on a request whose body contains these bytes."""
    delay_ms: int = 0
    """How long to wait between reading a request and running it."""
    exchanges: int | None = None
    """How many exchanges have these faults; ``None`` means all."""


NO_FAULTS = Faults()
