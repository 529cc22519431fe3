"""Translates the headers of calls, of what targets get, and of their answers."""

from __future__ import annotations

from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold.edge import AnswerFacts
from yuccafold.edge import CallHead
from yuccafold.edge import Forwarding
from yuccafold.edge import PartId
from yuccafold.edge import PromptPart
from yuccafold.edge import TargetLoad
from yuccafold.http import Headers
from yuccafold.http import end_to_end
from yuccafold.http import first_value

CALL_ID = b"x-attempt-id"
API_KEY = b"x-key"
DEADLINE = b"x-deadline-ms"
PROMPT = b"x-prompt-prefix"
TOKEN_COUNTS = b"x-token-counts"
LAST_EVENT = b"last-event-id"

# A caller may not set these: the router does, or nobody.
ROUTER_HEADERS = frozenset(
    {
        API_KEY,
        DEADLINE,
        b"x-tenant",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-urgency",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"content-length",
        b"expect",
    }
)

HIGHEST_URGENCY = 9
"""Largest number of the urgency header; it marks the least urgent requests."""

MAX_ID_BYTES = 200


@final
class HeaderTranslator:
    """Knows the names of the platform's headers."""

    def read_call(self, headers: Headers) -> CallHead:
        """Return what a call's headers say; raises ``ValueError`` on bad ones."""
        call_id = first_value(headers, CALL_ID)
        if not call_id or len(call_id) > MAX_ID_BYTES:
            raise ValueError("expected an attempt id, got none or one that is too long")
        deadline = first_value(headers, DEADLINE)
        return CallHead(
            id=CallId(call_id),
            deadline=Milliseconds(0 if deadline is None else _count(deadline)),
            api_key=first_value(headers, API_KEY),
            prompt=_prompt(first_value(headers, PROMPT)),
            output_tokens=_output_tokens(first_value(headers, TOKEN_COUNTS)),
        )

    def target_headers(self, headers: Headers, forwarding: Forwarding) -> Headers:
        """Return the headers that a target gets, those of the body not included."""
        resumed = forwarding.resume_after is not None
        kept = [
            header
            for header in end_to_end(headers)
            if header[0] not in ROUTER_HEADERS
            and not (resumed and header[0] == LAST_EVENT)
        ]
        kept.append((b"X-Deadline-Ms", _text(max(1, forwarding.deadline))))
        kept.append((b"X-Expect-Instance", _text(forwarding.target.id)))
        if forwarding.account is not None:
            kept.append((b"X-Tenant", _text(forwarding.account.id)))
        if forwarding.urgency is not None:
            urgency = min(HIGHEST_URGENCY, max(0, forwarding.urgency))
            kept.append((b"X-Request-Urgency", _text(urgency)))
        if forwarding.fetch_from is not None:
            kept.append((b"Kv-Fetch", _text(forwarding.fetch_from)))
        if resumed:
            kept.append((b"Last-Event-Id", _text(forwarding.resume_after)))
        return tuple(kept)

    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Return what the head of a target's answer says."""
        call_id = first_value(headers, CALL_ID)
        return AnswerFacts(
            call_id=None if call_id is None else CallId(call_id),
            signed=first_value(headers, b"x-response-signature") is not None,
            not_run=first_value(headers, b"x-not-executed") is not None,
            load=_load(first_value(headers, b"x-engine-load")),
            idle_timeout=_idle_timeout(first_value(headers, b"keep-alive")),
        )


def _text(value: object) -> bytes:
    return str(value).encode("latin-1")


def _count(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise ValueError(f"expected a whole number, got {text!r:.40}")
    return int(text)


def _prompt(text: str | None) -> tuple[PromptPart, ...]:
    """Return the parts of ``ID:TOKENS,ID:TOKENS``."""
    if not text:
        return ()
    parts = (part.strip().partition(":") for part in text.split(","))
    return tuple(PromptPart(PartId(id), _count(tokens)) for id, _, tokens in parts)


def _output_tokens(text: str | None) -> int:
    """Return the second of ``PROMPT,OUTPUT``: the most tokens to generate."""
    if not text:
        return 0
    return _count(text.rpartition(",")[2].strip())


def _load(text: str | None) -> TargetLoad | None:
    """Return ``RUNNING,WAITING,SLOTS``; a load that can't be read is no load."""
    figures = [] if text is None else [part.strip() for part in text.split(",")]
    if len(figures) != 3 or not all(part.isdigit() for part in figures):
        return None
    return TargetLoad(*map(int, figures))


def _idle_timeout(text: str | None) -> Milliseconds | None:
    """Return the timeout of ``Keep-Alive: timeout=SECONDS``."""
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return Milliseconds(int(value) * MS_PER_SECOND)
    return None
