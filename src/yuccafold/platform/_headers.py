"""Translates the headers of calls and answers between the platform and the router."""

from __future__ import annotations

import re
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._clock import seconds
from yuccafold._ids import CallId
from yuccafold._verdict import Verdict
from yuccafold.edge import AnswerFacts
from yuccafold.edge import CallHead
from yuccafold.edge import Forwarding
from yuccafold.edge import PartId
from yuccafold.edge import PromptPart
from yuccafold.edge import TargetLoad
from yuccafold.http import Headers
from yuccafold.http import end_to_end
from yuccafold.http import first_value

CALL_ID_HEADER = b"x-attempt-id"
API_KEY_HEADER = b"x-key"
DEADLINE_HEADER = b"x-deadline-ms"
PROMPT_HEADER = b"x-prompt-prefix"
TOKEN_COUNTS_HEADER = b"x-token-counts"
LENGTH_HINT_HEADER = b"x-length-hint"
LAST_EVENT_HEADER = b"last-event-id"
RESUMES_HEADER = b"resumes"
DETOUR_HEADER = b"x-detour"
"""Set on calls that one VM sends through another one."""

NOT_RUN_HEADER = b"X-Not-Executed"

# Headers that are never passed on from a caller: the router sets some of them itself
# and drops the others.
ROUTER_HEADERS = frozenset(
    {
        API_KEY_HEADER,
        DEADLINE_HEADER,
        DETOUR_HEADER,
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

COUNT = re.compile(r"[0-9]{1,15}", re.ASCII)
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
SECONDS = re.compile(r"([0-9]+)(\.[0-9]+)?", re.ASCII)
MAX_SECONDS_DIGITS = 9
"""Digits of a time in seconds; one of more of them counts as the longest of so many."""

USUAL_PACE = 100
"""Fourth figure of a load report while work takes as long as usual."""

LEAST_URGENT = 9
"""Largest value of ``X-Request-Urgency``; 0 is the most urgent."""

MAX_ID_BYTES = 200

MAX_PROMPT_PARTS = 512
"""Parts of a prompt: each is looked up for each target, and kept while a call runs."""


@final
class HeaderTranslator:
    """Reads and writes the platform's headers."""

    def read_call(self, headers: Headers) -> CallHead:
        """Parse the headers of a call; raises ``ValueError`` on malformed ones."""
        call_id = first_value(headers, CALL_ID_HEADER)
        if not call_id or len(call_id) > MAX_ID_BYTES:
            raise ValueError("expected an attempt id, got none or one that is too long")
        deadline = first_value(headers, DEADLINE_HEADER)
        resumes = first_value(headers, RESUMES_HEADER)
        return CallHead(
            id=CallId(call_id),
            deadline=Milliseconds(0 if deadline is None else _parse_count(deadline)),
            api_key=first_value(headers, API_KEY_HEADER),
            prompt=_parse_prompt(first_value(headers, PROMPT_HEADER)),
            output_tokens=_parse_output_tokens(
                first_value(headers, TOKEN_COUNTS_HEADER)
            ),
            resumes=CallId(resumes) if resumes else None,
            resume_after=first_value(headers, LAST_EVENT_HEADER) or None,
            detoured=first_value(headers, DETOUR_HEADER) is not None,
            length_hint=_parse_optional_count(first_value(headers, LENGTH_HINT_HEADER)),
        )

    def target_headers(self, headers: Headers, forwarding: Forwarding) -> Headers:
        """Return the headers to send to a target, except those that frame the body."""
        is_resumed = forwarding.resume_after is not None
        kept = [
            header
            for header in end_to_end(headers)
            if header[0] not in ROUTER_HEADERS
            and not (is_resumed and header[0] == LAST_EVENT_HEADER)
        ]
        kept.append((b"X-Deadline-Ms", _encode(max(1, forwarding.deadline))))
        kept.append((b"X-Expect-Instance", _encode(forwarding.target.id)))
        if forwarding.account is not None:
            kept.append((b"X-Tenant", _encode(forwarding.account.id)))
        if forwarding.urgency is not None:
            urgency = min(LEAST_URGENT, max(0, forwarding.urgency))
            kept.append((b"X-Request-Urgency", _encode(urgency)))
        if forwarding.fetch_from is not None:
            kept.append((b"Kv-Fetch", _encode(forwarding.fetch_from)))
        if is_resumed:
            kept.append((b"Last-Event-Id", _encode(forwarding.resume_after)))
        return tuple(kept)

    def detour_headers(
        self,
        headers: Headers,
        head: CallHead,
        deadline: Milliseconds,
        resume_after: str | None,
    ) -> Headers:
        """Return the headers with which a call is sent through another VM.

        They are the caller's, with the time that is left. A stream whose beginning the
        caller has already is taken up as the caller itself would do.
        """
        replaced = {DEADLINE_HEADER, DETOUR_HEADER, b"content-length", b"expect"}
        added: list[tuple[bytes, bytes]] = [
            (b"X-Deadline-Ms", _encode(max(1, deadline))),
            (b"X-Detour", b"1"),
        ]
        if resume_after is not None:
            replaced |= {LAST_EVENT_HEADER, RESUMES_HEADER}
            added.append((b"Last-Event-Id", _encode(resume_after)))
            added.append((b"Resumes", _encode(head.resumes or head.id)))
        kept = [header for header in end_to_end(headers) if header[0] not in replaced]
        return (*kept, *added)

    def refusal_headers(self, head: CallHead, verdict: Verdict) -> Headers:
        """Return the headers that tell another VM whether its call may have run."""
        if head.detoured and verdict is Verdict.NOT_RUN:
            return ((NOT_RUN_HEADER, b"1"),)
        return ()

    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Parse the headers of a target's answer."""
        call_id = first_value(headers, CALL_ID_HEADER)
        return AnswerFacts(
            call_id=None if call_id is None else CallId(call_id),
            signed=first_value(headers, b"x-response-signature") is not None,
            not_run=first_value(headers, NOT_RUN_HEADER.lower()) is not None,
            load=_parse_load(first_value(headers, b"x-engine-load")),
            idle_timeout=_parse_idle_timeout(first_value(headers, b"keep-alive")),
            limit=_parse_limit(first_value(headers, b"server-limit")),
            leaving=first_value(headers, b"server-leaving") == "1",
            brittle=_parse_optional_count(first_value(headers, b"server-brittle")),
            cold_for=_parse_cold_time(first_value(headers, b"x-cold-ms")),
            pause=_parse_pause(first_value(headers, b"retry-after")),
        )


def _encode(value: object) -> bytes:
    return str(value).encode("latin-1")


def _parse_count(text: str) -> int:
    if COUNT.fullmatch(text) is None:
        raise ValueError(f"expected a whole number, got {text!r:.40}")
    return int(text)


def _parse_prompt(text: str | None) -> tuple[PromptPart, ...]:
    """Parse the prompt parts of ``ID:TOKENS,ID:TOKENS``."""
    if not text:
        return ()
    parts = [part.strip().partition(":") for part in text.split(",")]
    if len(parts) > MAX_PROMPT_PARTS:
        raise ValueError(f"expected at most {MAX_PROMPT_PARTS} parts, got {len(parts)}")
    if any(len(id) > MAX_ID_BYTES for id, _, _ in parts):
        raise ValueError(f"expected ids of parts of at most {MAX_ID_BYTES} bytes")
    return tuple(
        PromptPart(PartId(id), _parse_count(tokens)) for id, _, tokens in parts
    )


def _parse_output_tokens(text: str | None) -> int:
    """Parse the last number of ``PROMPT,OUTPUT``: the most tokens to generate."""
    if not text:
        return 0
    return _parse_count(text.rpartition(",")[2].strip())


def _parse_load(text: str | None) -> TargetLoad | None:
    """Parse ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PACE``.

    A malformed value counts as no load report, a malformed pace as none; further
    figures are ignored.
    """
    parts = [] if text is None else [part.strip() for part in text.split(",")]
    counts = parts[:3]
    if len(counts) < 3 or not all(map(COUNT.fullmatch, counts)):
        return None
    pace = parts[3] if len(parts) > 3 else ""
    slowdown = float(pace) / USUAL_PACE if DECIMAL.fullmatch(pace) else None
    return TargetLoad(*map(int, counts), slowdown=slowdown or None)


def _parse_limit(text: str | None) -> float | None:
    """Parse a decimal number; a malformed value counts as no limit."""
    if text is None or DECIMAL.fullmatch(text) is None:
        return None
    return float(text)


def _parse_optional_count(text: str | None) -> int | None:
    """Parse a whole number; a malformed value counts as none."""
    if text is None or COUNT.fullmatch(text) is None:
        return None
    return int(text)


def _parse_cold_time(text: str | None) -> Milliseconds | None:
    """Parse for how many milliseconds a target stays cold."""
    cold_ms = _parse_optional_count(text)
    return None if cold_ms is None else Milliseconds(cold_ms)


def _parse_pause(text: str | None) -> Milliseconds | None:
    """Parse a time in seconds; a malformed value or 0 counts as none."""
    match = None if text is None else SECONDS.fullmatch(text)
    if match is None:
        return None
    whole = match[1].lstrip("0")
    if len(whole) > MAX_SECONDS_DIGITS:
        whole = "9" * MAX_SECONDS_DIGITS
    fraction = (match[2] or "")[: MAX_SECONDS_DIGITS + 1]
    return seconds(float(f"0{whole}{fraction}")) or None


def _parse_idle_timeout(text: str | None) -> Milliseconds | None:
    """Parse the timeout of ``Keep-Alive: timeout=SECONDS``."""
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "timeout" and COUNT.fullmatch(value.strip()):
            return Milliseconds(int(value) * MS_PER_SECOND)
    return None
