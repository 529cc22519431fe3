"""Parses a chat-completions request for a model engine."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from typing import final

from result import Err
from result import Ok
from result import Result

from yuccafold.standins._answer import ChatMessage
from yuccafold.standins._batch import Priority
from yuccafold.standins._http import ServedRequest

CALL_ID_HEADER = "Yuccafold-Call-Id"
IDEMPOTENCY_HEADER = "Idempotency-Key"
PRIORITY_HEADER = "Priority"
RESUME_HEADER = "Yuccafold-Resume"


@final
@dataclass(frozen=True, slots=True)
class Resume:
    """The call whose answer is resumed, and the index of the first token to send."""

    call_id: str
    first_token: int


@final
@dataclass(frozen=True, slots=True)
class ChatRequest:
    """One chat turn; without ``max_tokens`` the prompt sets the answer's length."""

    call_id: str
    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool
    max_tokens: int | None
    priority: Priority
    resume: Resume | None


def parse_chat(request: ServedRequest) -> Result[ChatRequest, str]:
    """Parse the chat turn of a request; the error says what was expected."""
    try:
        body = json.loads(request.body)
        messages = tuple(
            ChatMessage(_text(entry["role"]), _text(entry["content"]))
            for entry in body["messages"]
        )
        max_tokens = body.get("max_tokens")
        if not messages or (max_tokens is not None and int(max_tokens) < 1):
            return Err("expected a message and max_tokens above 0")
        return Ok(
            ChatRequest(
                request.header(CALL_ID_HEADER.lower()) or "",
                _text(body["model"]),
                messages,
                bool(body.get("stream", False)),
                max_tokens,
                _priority(request.header(PRIORITY_HEADER.lower())),
                _resume(request.header(RESUME_HEADER.lower())),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"expected a chat-completions request: {error!r}")


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, got {value!r:.80}")
    return value


def _priority(text: str | None) -> Priority:
    return Priority.NORMAL if text is None else Priority[text.upper()]


def _resume(text: str | None) -> Resume | None:
    if text is None:
        return None
    call_id, _, first = text.rpartition(";from=")
    return Resume(call_id, int(first))
