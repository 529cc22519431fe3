"""A caller that sends the turns of one growing chat and checks each answer."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import Any
from typing import final

import trio
from hdrh.histogram import HdrHistogram

from yuccafold.load._caller import Attempts
from yuccafold.load._caller import CallerSettings
from yuccafold.load._caller import record_failure
from yuccafold.load._caller import record_headers
from yuccafold.load._caller import refused_outcome
from yuccafold.load._caller import retry_after_ms
from yuccafold.load._client import Answer
from yuccafold.load._client import BrokenCallError
from yuccafold.load._client import CallRequest
from yuccafold.load._client import HttpCaller
from yuccafold.load._events import EventReader
from yuccafold.load._report import US_PER_SECOND
from yuccafold.load._report import LoadReport
from yuccafold.load._report import Outcome
from yuccafold.standins import ChatMessage
from yuccafold.standins import answer_text

HINT_HEADER = "Yuccafold-Hint"
JSON_TYPE = ("Content-Type", "application/json")


@final
@dataclass(frozen=True, slots=True)
class ChatSettings:
    """What the turns of one chat contain and where they are sent."""

    caller: CallerSettings
    path: str = "/v1/chat/completions"
    model: str = "menu-large"
    stream: bool = True
    system_prompt: str = "You plan the menu of the week."
    words_per_turn: int = 20
    max_tokens: int | None = None
    """The length limit of each answer; ``None`` leaves it to the engine."""


@final
@dataclass(slots=True)
class _TurnResult:
    """The result of one attempt at a turn; ``text`` is the answer received."""

    outcome: Outcome
    text: str = ""
    retry_after_ms: int = 0


@final
class ChatCaller:
    """Sends the turns of one chat and verifies the answers.

    The stand-in engine's answer is a fixed function of the prompt. Each answer
    is compared with it, which detects a partial answer or another caller's.
    """

    def __init__(
        self, name: str, settings: ChatSettings, rng: random.Random, report: LoadReport
    ) -> None:
        self._name = name
        self._settings = settings
        self._rng = rng
        self._report = report
        self._http = HttpCaller()
        self._messages = [ChatMessage("system", settings.system_prompt)]
        self._hint: str | None = None
        self._turns = 0

    @property
    def messages(self) -> tuple[ChatMessage, ...]:
        """The system prompt and the turns that got a complete and correct answer."""
        return tuple(self._messages)

    async def turn(self) -> Outcome:
        """Send the next message and return the outcome.

        A broken or refused attempt is retried, a wrong or cut answer is not.
        """
        self._turns += 1
        count = self._settings.words_per_turn
        words = (f"{self._rng.getrandbits(24):06x}" for _ in range(count))
        content = f"{self._name} {self._turns}: {' '.join(words)}"
        messages = [*self._messages, ChatMessage("user", content)]
        attempts = Attempts(self._settings.caller, self._rng)
        while True:
            result = await self._attempt(attempts.next_address(), messages)
            if result.outcome is Outcome.WHOLE or attempts.is_last:
                break
            if result.outcome in (Outcome.WRONG, Outcome.CUT):
                break
            await attempts.wait(result.retry_after_ms)
        self._report.turns[result.outcome] += 1
        if result.outcome is Outcome.WHOLE:
            self._messages = [*messages, ChatMessage("assistant", result.text)]
        return result.outcome

    async def close(self) -> None:
        """Close the chat's connections."""
        await self._http.close()

    async def _attempt(self, address: str, messages: list[ChatMessage]) -> _TurnResult:
        """Send the chat once; a failure is broken, or refused if nothing was sent."""
        self._report.attempts += 1
        timeout = self._settings.caller.timeout_ms / 1000
        try:
            with trio.fail_after(timeout):
                host = self._settings.caller.host
                request = self._request(messages)
                async with self._http.call(address, request, host) as answer:
                    return await self._read(answer, messages, trio.current_time())
        except (BrokenCallError, trio.TooSlowError) as error:
            return _TurnResult(record_failure(error, self._report))

    def _request(self, messages: list[ChatMessage]) -> CallRequest:
        body: dict[str, Any] = {
            "model": self._settings.model,
            "messages": [message.as_json() for message in messages],
            "stream": self._settings.stream,
        }
        if self._settings.max_tokens is not None:
            body["max_tokens"] = self._settings.max_tokens
        hint = ((HINT_HEADER, self._hint),) if self._hint else ()
        headers = (JSON_TYPE, *self._settings.caller.headers, *hint)
        data = json.dumps(body).encode()
        return CallRequest("POST", self._settings.path, headers, data)

    async def _read(
        self, answer: Answer, messages: list[ChatMessage], head_received_at: float
    ) -> _TurnResult:
        record_headers(answer, self._report)
        if answer.status != 200:
            await answer.read()
            self._report.errors[f"status {answer.status}"] += 1
            return _TurnResult(refused_outcome(answer), "", retry_after_ms(answer))
        self._hint = answer.header(HINT_HEADER.lower()) or self._hint
        if self._settings.stream:
            result = await self._read_stream(answer, head_received_at)
        else:
            result = await self._read_whole(answer, head_received_at)
        expected = answer_text(messages, self._settings.max_tokens)
        if result.outcome is Outcome.WHOLE and result.text != expected:
            result.outcome = Outcome.WRONG
        return result

    async def _read_whole(self, answer: Answer, head_received_at: float) -> _TurnResult:
        body = await answer.read()
        self._record_duration(self._report.first_token_us, head_received_at)
        try:
            value = json.loads(body)
            text = value["choices"][0]["message"]["content"]
        except (ValueError, KeyError, IndexError, TypeError):
            return _TurnResult(Outcome.WRONG)
        self._record_usage(value.get("usage"))
        return _TurnResult(Outcome.WHOLE, text)

    async def _read_stream(
        self, answer: Answer, head_received_at: float
    ) -> _TurnResult:
        events = EventReader()
        last_token_at = head_received_at
        histogram = self._report.first_token_us
        while (part := await answer.next_part()) is not None:
            try:
                tokens = events.feed(part)
            except (ValueError, KeyError, TypeError):
                return _TurnResult(Outcome.WRONG)
            if tokens:
                self._record_duration(histogram, last_token_at)
                last_token_at = trio.current_time()
                histogram = self._report.token_gap_us
        if events.error is not None:
            self._report.errors["error event"] += 1
            return _TurnResult(Outcome.BROKEN)
        if not events.is_whole:
            return _TurnResult(Outcome.CUT)
        self._record_usage(events.usage)
        return _TurnResult(Outcome.WHOLE, events.text)

    def _record_duration(self, histogram: HdrHistogram, started_at: float) -> None:
        microseconds = (trio.current_time() - started_at) * US_PER_SECOND
        histogram.record_value(max(1, round(microseconds)))

    def _record_usage(self, usage: dict[str, Any] | None) -> None:
        if usage is None:
            return
        details = usage.get("prompt_tokens_details") or {}
        self._report.prompt_tokens += usage.get("prompt_tokens", 0)
        self._report.cached_tokens += details.get("cached_tokens", 0)
        self._report.answer_tokens += usage.get("completion_tokens", 0)
