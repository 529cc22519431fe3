"""Parses a chat-completions request into the chat turn that placement needs."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any

import xxhash
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from yuccafold._ids import AccountId
from yuccafold._ids import ChatId
from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold.http import Headers
from yuccafold.http import first_value
from yuccafold.router._call import ChatTurn
from yuccafold.router._errors import bad_request

BYTES_PER_TOKEN = 4
"""The usual ratio for natural-language text, used to estimate prompt sizes."""

DEFAULT_ANSWER_TOKENS = 256
MAX_HINTS = 2
USER_ROLE = "user"


class _Message(BaseModel):
    """One message of a chat; keys that only the engine interprets are allowed."""

    model_config = ConfigDict(extra="allow")

    role: Annotated[str, Field(min_length=1)]
    content: Any = None


class _ChatRequest(BaseModel):
    """The parts of a chat-completions request that the router reads."""

    model_config = ConfigDict(extra="allow")

    model: str = ""
    messages: Annotated[list[_Message], Field(min_length=1)]
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1)] | None = None


def read_turn(
    account: AccountId, headers: Headers, body: bytes
) -> Result[ChatTurn, Refusal]:
    """Return the chat turn in ``body``, or the refusal of an invalid request."""
    try:
        request = _ChatRequest.model_validate_json(body)
    except ValidationError as error:
        return Err(bad_request(_describe(error), 400, "bad_chat_request"))
    return Ok(
        ChatTurn(
            chat=_chat_id(account, headers, request),
            prompt_tokens=max(1, len(body) // BYTES_PER_TOKEN),
            answer_tokens=request.max_tokens or DEFAULT_ANSWER_TOKENS,
            stream=request.stream,
            hints=_hints(headers),
        )
    )


def _hints(headers: Headers) -> tuple[TargetId, ...]:
    """Return the first two targets of the caller's hint; further ones are ignored."""
    value = first_value(headers, b"yuccafold-hint") or ""
    names = (name.strip() for name in value.split(","))
    return tuple(TargetId(name) for name in names if name)[:MAX_HINTS]


def _describe(error: ValidationError) -> str:
    faults = (
        f"{'.'.join(map(str, fault['loc'])) or 'body'}: {fault['msg']}"
        for fault in error.errors(include_input=False, include_url=False)[:5]
    )
    return f"expected a chat-completions request; {'; '.join(faults)}"


def _chat_id(account: AccountId, headers: Headers, request: _ChatRequest) -> ChatId:
    """Return the chat identifier, which is the same for all turns of a chat.

    It is derived from the name that the caller gives the chat, or else from the
    messages up to the first user message, which every later turn repeats.
    """
    chat_name = first_value(headers, b"yuccafold-chat")
    if chat_name is not None:
        return ChatId(xxhash.xxh3_64_hexdigest(f"{account}\n{chat_name}".encode()))
    opening: list[Any] = []
    for message in request.messages:
        opening.append([message.role, message.content])
        if message.role == USER_ROLE:
            break
    text = json.dumps([account, request.model, opening], sort_keys=True)
    return ChatId(xxhash.xxh3_64_hexdigest(text.encode()))
