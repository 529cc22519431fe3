"""Error answers of the router itself, as JSON."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.http import Headers

VERDICT_HEADER = b"Yuccafold-Verdict"
REVISION_HEADER = b"Yuccafold-Revision"
CALL_ID_HEADER = b"Yuccafold-Call-Id"
HINT_HEADER = b"Yuccafold-Hint"
RETRY_AFTER_MS_HEADER = b"Yuccafold-Retry-After-Ms"


@final
@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The status, headers and body of an error answer."""

    status: int
    headers: Headers
    body: bytes


class CallRefused(Exception):
    """Raised for a call that the router answers with an error."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self._refusal = refusal

    @property
    def refusal(self) -> Refusal:
        """The status, code, reason and verdict for the caller."""
        return self._refusal


def bad_request(reason: str, status: int = 400, code: str = "bad_request") -> Refusal:
    """Return the refusal of an invalid request, which did not run."""
    return Refusal(status, code, reason, Verdict.NOT_RUN)


def error_answer(refusal: Refusal, idempotent: bool) -> ErrorAnswer:
    """Return the error answer for ``refusal``.

    A call is safe to repeat if it did not run or is idempotent.
    """
    repeatable = idempotent or refusal.verdict is Verdict.NOT_RUN
    content = {
        "error": {
            "code": refusal.code,
            "message": refusal.reason,
            "verdict": refusal.verdict.value,
            "may_repeat": repeatable,
            "retry_after_ms": refusal.retry_after_ms,
        }
    }
    body = json.dumps(content).encode()
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
        (VERDICT_HEADER, refusal.verdict.value.encode()),
    ]
    if refusal.retry_after_ms:
        whole_seconds = -(-refusal.retry_after_ms // MS_PER_SECOND)
        headers.append((b"Retry-After", str(whole_seconds).encode()))
        headers.append((RETRY_AFTER_MS_HEADER, str(refusal.retry_after_ms).encode()))
    return ErrorAnswer(refusal.status, tuple(headers), body)


def error_event(refusal: Refusal) -> bytes:
    """Return a server-sent event which marks the stream as incomplete."""
    content = json.dumps(
        {
            "error": {
                "code": refusal.code,
                "message": refusal.reason,
                "verdict": refusal.verdict.value,
            }
        }
    )
    return f"event: error\ndata: {content}\n\n".encode()
