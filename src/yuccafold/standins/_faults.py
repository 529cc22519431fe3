"""The faults that a stand-in's server can be told to show."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class Malformed(Enum):
    """How a response breaks the form of HTTP/1.1."""

    STATUS_LINE = "status-line"
    HEADER = "header"
    CONTENT_LENGTH = "content-length"
    CHUNK_SIZE = "chunk-size"


@final
@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong with each exchange of one server; by default nothing.

    Byte positions count from the start of the exchange's request or response;
    an interim ``100 Continue`` belongs to the response.
    """

    refuse_connections: bool = False
    """Hold the port without listening; read when the server starts."""
    close_at_request_byte: int | None = None
    """Close after reading this many bytes; the request does not run."""
    close_at_response_byte: int | None = None
    """Close after writing this many bytes; the request ran before."""
    reset: bool = False
    """Make the two closes above a TCP reset."""
    silent: bool = False
    """Read the request and never answer; it does not run."""
    silent_at_response_byte: int | None = None
    """Stop after writing this many bytes, with the connection left open."""
    early_status: int | None = None
    """Answer with this status after the head; the request does not run."""
    answer_twice: bool = False
    """Write a second complete response after the first."""
    truncated: bool = False
    """Withhold the last bytes of the response and close."""
    end_stream_after_events: int | None = None
    """End a streamed answer cleanly after this many events."""
    overlong: bool = False
    """Write further bytes after the response's body."""
    malformed: Malformed | None = None
    crash_marker: bytes | None = None
    """Crash on a request whose body holds these bytes."""
    delay_ms: int = 0
    """Wait this long, once the request was read, before it runs."""
    exchanges: int | None = None
    """How many exchanges the faults hold for; ``None`` is all."""


NO_FAULTS = Faults()
