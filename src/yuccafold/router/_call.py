"""One received call, as every later step sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import CallId
from yuccafold._ids import ChatId
from yuccafold._ids import IdempotencyKey
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.http import Headers
from yuccafold.settings import Policy
from yuccafold.settings import Service


@final
@dataclass(frozen=True, slots=True)
class ChatTurn:
    """What placement needs to know of one turn of a chat; sizes in tokens."""

    chat: ChatId
    prompt_tokens: int
    answer_tokens: int
    stream: bool
    hints: tuple[TargetId, ...]


@final
@dataclass(frozen=True, slots=True)
class Call:
    """A call that passed authentication, its settings and its limits.

    ``deadline`` is an instant of the monotonic clock. ``path`` holds the
    query string as well. ``body`` is ``None`` while the caller still sends it.
    """

    id: CallId
    account: AccountId
    service: ServiceId
    settings: Service
    policy: Policy
    revision: int
    method: str
    path: str
    headers: Headers
    idempotent: bool
    key: IdempotencyKey | None
    turn: ChatTurn | None
    body: bytes | None
    deadline: Milliseconds
    traceparent: str | None
