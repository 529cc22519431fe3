"""The wire forms of a model engine's answer."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from typing import final

EVENT_STREAM = ("Content-Type", "text/event-stream")
DONE_EVENT = b"data: [DONE]\n\n"
FIRST_CREATED = 1_700_000_000
"""The constant ``created`` time of every answer, in Unix seconds."""


@final
@dataclass(frozen=True, slots=True)
class Usage:
    """How many tokens an answer took."""

    prompt: int
    cached: int
    completion: int

    def as_json(self) -> dict[str, Any]:
        """Return the usage in its wire form."""
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

    def whole(self, text: str, usage: Usage) -> dict[str, Any]:
        """Return the answer that is not streamed."""
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

    def token(self, token: str) -> bytes:
        """Return the event of one token."""
        return self._event({"content": token}, None, {})

    def last(self, usage: Usage) -> bytes:
        """Return the events that end a stream."""
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
            "created": FIRST_CREATED,
            "model": self._model,
        }
