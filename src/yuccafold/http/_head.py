"""Rejects request heads that two HTTP parsers could interpret differently."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import final

import h11

from yuccafold.http._stream import Headers

METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
"""Reason phrases by status."""


HEADER_OVERHEAD = 256
"""Bytes that a header field holds in memory beside its name and value."""


class CallerGone(Exception):
    """The caller closed its connection before its call was complete."""


@final
@dataclass(frozen=True, slots=True)
class HeadFault:
    """Why a head is rejected, and the status of the answer."""

    status: int
    reason: str


def head_fault(request: h11.Request) -> HeadFault | None:
    """Return why a head is rejected, or ``None`` if it is accepted."""
    method = request.method.decode("latin-1")
    names = [name for name, _ in request.headers]
    if request.http_version != b"1.1":
        version = request.http_version.decode("latin-1")
        return HeadFault(505, f"expected HTTP/1.1, got HTTP/{version}")
    if method not in METHODS:
        return HeadFault(405, f"expected one of {sorted(METHODS)}, got {method!r:.40}")
    if not request.target.startswith(b"/"):
        reason = f"expected a path that starts with '/', got {request.target!r:.80}"
        return HeadFault(400, reason)
    if b"content-length" in names and b"transfer-encoding" in names:
        return HeadFault(400, "expected Content-Length or Transfer-Encoding, got both")
    return None


def memory_of(headers: Headers) -> int:
    """Return how many bytes headers hold once they are parsed."""
    return sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in headers)
