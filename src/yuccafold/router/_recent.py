"""The chats that this VM placed last, for operators."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ChatId
from yuccafold.router._call import Call
from yuccafold.router._interfaces import Placement

MAX_CHATS = 512


@final
@dataclass(frozen=True, slots=True)
class RecentChat:
    """Where a chat's last turn on this VM went, and why."""

    chat: ChatId
    service: str
    account: str
    target: str
    reason: str
    revision: int
    at: Milliseconds


@final
class RecentChats:
    """Keeps the last chats; the oldest goes first."""

    def __init__(self) -> None:
        self._chats: OrderedDict[ChatId, RecentChat] = OrderedDict()

    def note(self, call: Call, placement: Placement, now: Milliseconds) -> None:
        """Record where the turn of a chat goes; other calls are ignored."""
        if call.turn is None:
            return
        chat = call.turn.chat
        self._chats[chat] = RecentChat(
            chat,
            call.service,
            call.account,
            placement.target.id,
            placement.reason,
            call.revision,
            now,
        )
        self._chats.move_to_end(chat)
        if len(self._chats) > MAX_CHATS:
            self._chats.popitem(last=False)

    def latest(self) -> list[RecentChat]:
        """Return the chats, the latest first."""
        return list(reversed(self._chats.values()))
