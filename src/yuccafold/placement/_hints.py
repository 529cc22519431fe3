"""Where chats' prefixes were last known to be cached."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ChatId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.placement._view import RankerSettings


@dataclass(frozen=True, slots=True)
class _Hint:
    target: TargetId
    noted_at: int


@final
class PrefixHints:
    """A bounded table, the least recently used chat leaving first.

    Cache events come late and with gaps, so that an entry only ever orders
    candidates and never stands for a fact.
    """

    def __init__(self, settings: RankerSettings) -> None:
        self._settings = settings
        self._hints: OrderedDict[tuple[ServiceId, ChatId], _Hint] = OrderedDict()

    def __len__(self) -> int:
        return len(self._hints)

    def stored(
        self, service: ServiceId, chat: ChatId, target: TargetId, now: Milliseconds
    ) -> None:
        """Note that ``target`` holds the chat's prefix."""
        self._hints[service, chat] = _Hint(target, now)
        self._hints.move_to_end((service, chat))
        if len(self._hints) > self._settings.hints:
            self._hints.popitem(last=False)

    def evicted(self, service: ServiceId, chat: ChatId, target: TargetId) -> None:
        """Note that ``target`` no longer holds the chat's prefix."""
        hint = self._hints.get((service, chat))
        if hint is not None and hint.target == target:
            del self._hints[service, chat]

    def find(
        self, service: ServiceId, chat: ChatId, now: Milliseconds
    ) -> TargetId | None:
        """Return the target that last held the chat's prefix, if one is known."""
        hint = self._hints.get((service, chat))
        if hint is None or now - hint.noted_at > self._settings.hint_lifetime_ms:
            return None
        self._hints.move_to_end((service, chat))
        return hint.target
