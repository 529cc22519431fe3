"""Relays a target's answer to the caller and checks that it is complete."""

from __future__ import annotations

import re
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import final

import h11

from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold._verdict import VerdictRecord
from yuccafold.http import CallerGone
from yuccafold.http import Headers
from yuccafold.http import first_value
from yuccafold.router._call import Call
from yuccafold.router._interfaces import StoredAnswer
from yuccafold.router._responder import EVENT_STREAM
from yuccafold.router._responder import Responder
from yuccafold.router._upstream import AttemptFailed
from yuccafold.router._upstream import Exchange
from yuccafold.router._upstream import FailureKind

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_STORED_ANSWER_BYTES = 65_536
MAX_EVENT_BYTES = 262_144
"""Largest event of a stream, as events are sent on as a whole."""

TAIL_BYTES = 1_024
"""How much of the end of a JSON answer is kept; engines report usage there."""

USAGE = b'"usage"'
PROMPT_TOKENS = re.compile(rb'"prompt_tokens":\s*(\d{1,12})')
CACHED_TOKENS = re.compile(rb'"cached_tokens":\s*(\d{1,12})')


@final
@dataclass(frozen=True, slots=True)
class PromptUsage:
    """Tokens of a prompt, and how many of them came from the engine's cache."""

    prompt: int
    cached: int


@final
class AnswerRelay:
    """The answer of one call, over all of its attempts.

    Only complete events of a stream are relayed, so that another engine can
    resume after the last event that the caller received.
    """

    def __init__(self, call: Call, responder: Responder) -> None:
        self._call = call
        self._responder = responder
        self._event_count = 0
        self._partial_event = b""
        self._has_last_event = False
        self._is_stream = False
        self._status: int | None = None
        self._stored: StoredAnswer | None = None
        self._caller_left = False
        self._record = VerdictRecord()
        self._tail = b""

    @property
    def started(self) -> bool:
        """Whether the answer was started, so that no error can be sent instead."""
        return self._responder.started

    @property
    def usage(self) -> PromptUsage | None:
        """The prompt tokens that the engine reported for a chat turn, if any."""
        if self._call.turn is None:
            return None
        prompt = PROMPT_TOKENS.search(self._tail)
        cached = CACHED_TOKENS.search(self._tail)
        if prompt is None:
            return None
        return PromptUsage(int(prompt[1]), int(cached[1]) if cached else 0)

    @property
    def verdict(self) -> Verdict:
        """Whether the call may have run, over all attempts so far."""
        return self._record.verdict

    def record_verdict(self, verdict: Verdict) -> None:
        """Record an attempt's verdict; it never lowers the verdict of the call."""
        if verdict.rank > self.verdict.rank:
            self._record.advance(verdict)

    @contextmanager
    def recording_verdict(self, verdict: Callable[[], Verdict]) -> Iterator[None]:
        """Record the verdict of the attempt made in the block, however it ends.

        A failed attempt carries its own verdict, which may be the report of a
        trusted target. Otherwise ``verdict`` is called, also if the call's
        deadline cancels the attempt.
        """
        try:
            yield
        except AttemptFailed as failed:
            self.record_verdict(failed.verdict)
            raise
        except BaseException:
            self.record_verdict(verdict())
            raise
        self.record_verdict(verdict())

    @property
    def stored(self) -> StoredAnswer | None:
        """The complete answer, if it was small enough to be stored."""
        return self._stored

    @property
    def can_resume(self) -> bool:
        """Whether an engine can resume the answer where it broke off."""
        return self._is_stream and self._call.settings.traits.resume

    @property
    def resume_headers(self) -> Headers:
        """The header that asks the next attempt to skip the events already sent."""
        if not self.started:
            return ()
        value = f"{self._call.id};from={self._event_count}"
        return ((b"Yuccafold-Resume", value.encode()),)

    async def relay_answer(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        """Relay the answer; return once it is complete."""
        content_type = first_value(headers, b"content-type") or ""
        self._is_stream = content_type.startswith(EVENT_STREAM)
        if self._is_stream:
            await self._relay_stream(attempt, head, headers)
        else:
            await self._relay_plain(attempt, head, headers)

    async def abort(self, refusal: Refusal) -> None:
        """Abort the answer so that the caller detects that it is incomplete."""
        await self._responder.abort(refusal)

    async def _relay_plain(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        if self.started:
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN, FailureKind.MALFORMED, "resumed in another form"
            )
        if self._call.key is not None:
            await self._relay_and_store(attempt, head, headers)
            return
        await attempt.relay_body(partial(self._relay_part, head, headers))
        await self._start_plain(head, headers)
        await self._responder.finish()

    async def _start_plain(self, head: h11.Response, headers: Headers) -> None:
        """Set the head unless it is set: with the first part of the body or its end.

        Until then another target may be tried, and the caller may be refused.
        """
        if not self.started:
            await self._responder.start(head.status_code, headers, False)

    async def _relay_part(
        self, head: h11.Response, headers: Headers, part: bytes
    ) -> None:
        await self._start_plain(head, headers)
        self._tail = (self._tail + part)[-TAIL_BYTES:]
        await self._responder.send(part)

    async def _relay_and_store(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        """Relay and store the answer; continue if the caller disconnects."""
        kept: list[bytes] = []
        size = 0

        async def start() -> None:
            await self._unless_caller_left(partial(self._start_plain, head, headers))

        async def keep(part: bytes) -> None:
            nonlocal size
            await start()
            size += len(part)
            if size <= MAX_STORED_ANSWER_BYTES:
                kept.append(part)
            await self._unless_caller_left(partial(self._responder.send, part))

        await attempt.relay_body(keep)
        await start()
        if size <= MAX_STORED_ANSWER_BYTES:
            self._stored = StoredAnswer(head.status_code, headers, b"".join(kept))
        await self._unless_caller_left(self._responder.finish)

    async def _unless_caller_left(self, step: Callable[[], Awaitable[None]]) -> None:
        if self._caller_left:
            return
        try:
            await step()
        except CallerGone:
            self._caller_left = True

    async def _relay_stream(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        self._partial_event = b""
        if self._status is None:
            self._status = head.status_code
            await self._responder.start(head.status_code, headers, True)
        elif head.status_code != self._status:
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN,
                FailureKind.MALFORMED,
                f"resumed with status {head.status_code}",
            )
        await attempt.relay_body(self._relay_events)
        if self._partial_event or not self._has_last_event:
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN,
                FailureKind.CLOSED,
                "stream without its last event",
            )
        await self._responder.finish()

    async def _relay_events(self, chunk: bytes) -> None:
        """Send the events that are complete with ``chunk``; buffer the rest."""
        data = self._partial_event + chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise AttemptFailed(
                    Verdict.MAY_HAVE_RUN,
                    FailureKind.MALFORMED,
                    f"event of more than {MAX_EVENT_BYTES} bytes",
                )
            self._partial_event = data
            return
        whole = data[: end + len(EVENT_END)]
        self._partial_event = data[end + len(EVENT_END) :]
        self._has_last_event = self._has_last_event or DONE_EVENT in whole
        self._event_count += whole.count(EVENT_END)
        if USAGE in whole:
            self._tail = whole
        await self._responder.send(whole)
