"""The chats that this VM placed most recently, for operators."""

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
    """The target of a chat's last turn on this VM, and why it was chosen."""

    chat: ChatId
    service: str
    account: str
    target: str
    reason: str
    revision: int
    placed_at: Milliseconds


@final
class RecentChats:
    """Keeps the most recently placed chats and evicts the oldest."""

    def __init__(self) -> None:
        self._chats: OrderedDict[ChatId, RecentChat] = OrderedDict()

    def record(self, call: Call, placement: Placement, now: Milliseconds) -> None:
        """Record the placement of a chat turn; other calls are ignored."""
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
        """Return the chats, the most recent first."""
        return list(reversed(self._chats.values()))
