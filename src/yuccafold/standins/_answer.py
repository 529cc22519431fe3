"""The text of a model engine's answer, a function of prompt and ``max_tokens``."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

import xxhash

BYTES_PER_TOKEN = 4
MIN_ANSWER_TOKENS = 8
"""The shortest answer to a request without ``max_tokens``."""

ANSWER_TOKENS_RANGE = 56
"""How many different lengths the answers without ``max_tokens`` can have."""

MAX_ANSWER_TOKENS = 65_536


@final
@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str

    @property
    def tokens(self) -> int:
        """How many tokens the message has, computed from its length in bytes."""
        length = len(self.role) + len(self.content.encode())
        return 1 + length // BYTES_PER_TOKEN

    def as_json(self) -> dict[str, str]:
        """Return the message in the JSON form of a request."""
        return {"role": self.role, "content": self.content}


@final
@dataclass(frozen=True, slots=True)
class Block:
    """One message of a chat, as the prefix cache identifies it.

    ``hash`` covers the message and all messages before it. ``parent`` is the
    hash of the block before, or empty for the first. ``tokens`` counts this
    message only.
    """

    hash: str
    parent: str
    tokens: int


def prompt_blocks(messages: Sequence[ChatMessage]) -> tuple[Block, ...]:
    """Return the blocks of a chat, one for each message.

    A block's hash is XXH64 over the parent's hash, the role, a zero byte and
    the content, as 16 hexadecimal digits.
    """
    return tuple(_blocks(messages))


def _blocks(messages: Sequence[ChatMessage]) -> Iterator[Block]:
    parent = ""
    for message in messages:
        text = f"{parent}{message.role}\0{message.content}"
        digest = xxhash.xxh64(text.encode()).hexdigest()
        yield Block(digest, parent, message.tokens)
        parent = digest


def answer_length(messages: Sequence[ChatMessage], max_tokens: int | None) -> int:
    """Return how many tokens the answer has.

    It has ``max_tokens``, but at most ``MAX_ANSWER_TOKENS``. Without
    ``max_tokens`` the hash of the prompt determines the length.
    """
    if max_tokens is not None:
        return min(max_tokens, MAX_ANSWER_TOKENS)
    return MIN_ANSWER_TOKENS + int(_seed(messages), 16) % ANSWER_TOKENS_RANGE


def answer_tokens(
    messages: Sequence[ChatMessage], max_tokens: int | None = None
) -> tuple[str, ...]:
    """Return the answer's tokens, whose concatenation is the answer's text."""
    seed = _seed(messages)
    return tuple(
        _token(seed, index) for index in range(answer_length(messages, max_tokens))
    )


def answer_text(messages: Sequence[ChatMessage], max_tokens: int | None = None) -> str:
    """Return the complete text of the answer to a chat."""
    return "".join(answer_tokens(messages, max_tokens))


def _seed(messages: Sequence[ChatMessage]) -> str:
    return prompt_blocks(messages)[-1].hash


def _token(seed: str, index: int) -> str:
    space = " " if index else ""
    return f"{space}{xxhash.xxh32_hexdigest(f'{seed}{index}'.encode())}"
