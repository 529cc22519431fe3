"""The format of a model engine's answer to a chat completion."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from typing import final

EVENT_STREAM = ("Content-Type", "text/event-stream")
DONE_EVENT = b"data: [DONE]\n\n"
CREATED_AT = 1_700_000_000
"""The constant ``created`` field of every answer, in Unix seconds."""


@final
@dataclass(frozen=True, slots=True)
class Usage:
    """The token counts of one answer; ``cached`` is the cached part of ``prompt``."""

    prompt: int
    cached: int
    completion: int

    def as_json(self) -> dict[str, Any]:
        """Return the usage in the JSON form of an answer."""
        return {
            "prompt_tokens": self.prompt,
            "prompt_tokens_details": {"cached_tokens": self.cached},
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
        }


@final
class AnswerWriter:
    """Renders one answer as JSON or as server-sent events."""

    def __init__(self, answer_id: str, model: str, finish_reason: str) -> None:
        self._id = answer_id
        self._model = model
        self._finish_reason = finish_reason

    def complete_answer(self, text: str, usage: Usage) -> dict[str, Any]:
        """Return the JSON of an answer that is not streamed."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": self._finish_reason,
        }
        return {
            **self._envelope("chat.completion"),
            "choices": [choice],
            "usage": usage.as_json(),
        }

    def token_event(self, token: str) -> bytes:
        """Return the server-sent event of one token."""
        return self._event({"content": token}, None, {})

    def final_events(self, usage: Usage) -> bytes:
        """Return the events that end a stream: the usage and ``[DONE]``."""
        extra = {"usage": usage.as_json()}
        return self._event({}, self._finish_reason, extra) + DONE_EVENT

    def _event(
        self, delta: dict[str, str], finish_reason: str | None, extra: dict[str, Any]
    ) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        chunk = {
            **self._envelope("chat.completion.chunk"),
            "choices": [choice],
            **extra,
        }
        return b"data: " + json.dumps(chunk).encode() + b"\n\n"

    def _envelope(self, kind: str) -> dict[str, Any]:
        return {
            "id": self._id,
            "object": kind,
            "created": CREATED_AT,
            "model": self._model,
        }
