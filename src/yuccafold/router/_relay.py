"""Passes a target's answer on to the caller and proves that it was whole."""

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
STORED_ANSWER_BYTES = 65_536
TAIL_BYTES = 1_024
"""The end of a JSON answer, where engines report the usage."""

USAGE = b'"usage"'
PROMPT_TOKENS = re.compile(rb'"prompt_tokens":\s*(\d{1,12})')
CACHED_TOKENS = re.compile(rb'"cached_tokens":\s*(\d{1,12})')


@final
@dataclass(frozen=True, slots=True)
class PromptUsage:
    """Tokens of a prompt, and those of them that were not prefilled again."""

    prompt: int
    cached: int


@final
class AnswerRelay:
    """The answer of one call, over all of its attempts.

    Events of a stream are passed on whole, so that another engine can go on
    after the last one that the caller has.
    """

    def __init__(self, call: Call, responder: Responder) -> None:
        self._call = call
        self._responder = responder
        self._events = 0
        self._partial = b""
        self._done = False
        self._stream = False
        self._stored: StoredAnswer | None = None
        self._caller_left = False
        self._record = VerdictRecord()
        self._tail = b""

    @property
    def started(self) -> bool:
        """Whether a part of the answer is out."""
        return self._responder.started

    @property
    def usage(self) -> PromptUsage | None:
        """What the engine said of the prompt, if it did."""
        if self._call.turn is None:
            return None
        prompt = PROMPT_TOKENS.search(self._tail)
        cached = CACHED_TOKENS.search(self._tail)
        if prompt is None:
            return None
        return PromptUsage(int(prompt[1]), int(cached[1]) if cached else 0)

    @property
    def verdict(self) -> Verdict:
        """What is known of the call over all attempts so far."""
        return self._record.verdict

    def note(self, verdict: Verdict) -> None:
        """Take the verdict of one attempt; it never makes a call less run."""
        if verdict.rank > self.verdict.rank:
            self._record.advance(verdict)

    @contextmanager
    def noting(self, verdict: Callable[[], Verdict]) -> Iterator[None]:
        """Note the verdict of the attempt inside, however it ends.

        A failed attempt says its own verdict, which may rest on the target's
        trusted word; otherwise ``verdict`` says it, also when the call's
        deadline cancels the attempt.
        """
        try:
            yield
        except AttemptFailed as failed:
            self.note(failed.verdict)
            raise
        except BaseException:
            self.note(verdict())
            raise
        self.note(verdict())

    @property
    def stored(self) -> StoredAnswer | None:
        """The whole answer, if it was small enough to keep."""
        return self._stored

    @property
    def can_resume(self) -> bool:
        """Whether an engine can go on where the answer broke off."""
        return self._stream and self._call.settings.traits.resume

    @property
    def resume_headers(self) -> Headers:
        """What the next attempt is asked to leave out."""
        if not self.started:
            return ()
        value = f"{self._call.id};from={self._events}"
        return ((b"Yuccafold-Resume", value.encode()),)

    async def pass_on(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        """Pass the answer on; return when it was whole."""
        content_type = first_value(headers, b"content-type") or ""
        self._stream = content_type.startswith(EVENT_STREAM)
        if self._stream:
            await self._pass_stream(attempt, head, headers)
        else:
            await self._pass_plain(attempt, head, headers)

    async def break_off(self, refusal: Refusal) -> None:
        """End the answer so that nobody takes it for a whole one."""
        await self._responder.break_off(refusal)

    async def _pass_plain(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        if self.started:
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN, FailureKind.MALFORMED, "resumed in another form"
            )
        if self._call.key is not None:
            await self._store(attempt, head, headers)
            return
        await self._responder.start(head.status_code, headers, False)
        await attempt.pass_body(self._pass_part)
        await self._responder.finish()

    async def _pass_part(self, part: bytes) -> None:
        self._tail = (self._tail + part)[-TAIL_BYTES:]
        await self._responder.send(part)

    async def _store(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        """Pass the answer on and keep it; go on when the caller has left."""
        kept: list[bytes] = []
        size = 0
        await self._while_caller_stays(
            lambda: self._responder.start(head.status_code, headers, False)
        )

        async def keep(part: bytes) -> None:
            nonlocal size
            size += len(part)
            if size <= STORED_ANSWER_BYTES:
                kept.append(part)
            await self._while_caller_stays(partial(self._responder.send, part))

        await attempt.pass_body(keep)
        if size <= STORED_ANSWER_BYTES:
            self._stored = StoredAnswer(head.status_code, headers, b"".join(kept))
        await self._while_caller_stays(self._responder.finish)

    async def _while_caller_stays(self, step: Callable[[], Awaitable[None]]) -> None:
        if self._caller_left:
            return
        try:
            await step()
        except CallerGone:
            self._caller_left = True

    async def _pass_stream(
        self, attempt: Exchange, head: h11.Response, headers: Headers
    ) -> None:
        self._partial = b""
        if not self.started:
            await self._responder.start(head.status_code, headers, True)
        await attempt.pass_body(self._pass_events)
        if self._partial or not self._done:
            raise AttemptFailed(
                Verdict.MAY_HAVE_RUN,
                FailureKind.CLOSED,
                "stream without its last event",
            )
        await self._responder.finish()

    async def _pass_events(self, chunk: bytes) -> None:
        """Send the events that ``chunk`` completes."""
        data = self._partial + chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial = data
            return
        whole = data[: end + len(EVENT_END)]
        self._partial = data[end + len(EVENT_END) :]
        self._done = self._done or DONE_EVENT in whole
        self._events += whole.count(EVENT_END)
        if USAGE in whole:
            self._tail = whole
        await self._responder.send(whole)
