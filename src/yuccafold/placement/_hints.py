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

HOLDERS = 2
"""How many holders of one chat's prefix are remembered."""


@dataclass(frozen=True, slots=True)
class _Hint:
    targets: tuple[TargetId, ...]
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
        known = self._hints.get((service, chat))
        earlier = () if known is None else known.targets
        others = [name for name in earlier if name != target]
        targets = (target, *others[: HOLDERS - 1])
        self._hints[service, chat] = _Hint(targets, now)
        self._hints.move_to_end((service, chat))
        if len(self._hints) > self._settings.hints:
            self._hints.popitem(last=False)

    def evicted(self, service: ServiceId, chat: ChatId, target: TargetId) -> None:
        """Note that ``target`` no longer holds the chat's prefix."""
        hint = self._hints.get((service, chat))
        if hint is None:
            return
        others = tuple(name for name in hint.targets if name != target)
        if others:
            self._hints[service, chat] = _Hint(others, hint.noted_at)
        else:
            del self._hints[service, chat]

    def find(
        self, service: ServiceId, chat: ChatId, now: Milliseconds
    ) -> tuple[TargetId, ...]:
        """Return the targets that held the chat's prefix, the latest first."""
        hint = self._hints.get((service, chat))
        if hint is None or now - hint.noted_at > self._settings.hint_lifetime_ms:
            return ()
        self._hints.move_to_end((service, chat))
        return hint.targets
