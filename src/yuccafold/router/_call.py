"""A received call as data for admission, placement and forwarding."""

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
    """What placement needs to know about one turn of a chat."""

    chat: ChatId
    prompt_tokens: int
    answer_tokens: int
    stream: bool
    hints: tuple[TargetId, ...]


@final
@dataclass(frozen=True, slots=True)
class Call:
    """An authenticated call with the settings and limits that apply to it.

    ``deadline`` is a time of the monotonic clock. ``path`` includes the query
    string. ``body`` is ``None`` if the body was not buffered completely.
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
