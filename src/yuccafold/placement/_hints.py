"""Hints about which targets cache the prefix of a chat."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ChatId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.placement._view import RankerSettings

MAX_HOLDERS_PER_CHAT = 2
"""How many targets are remembered for the prefix of one chat."""


@dataclass(frozen=True, slots=True)
class _Hint:
    targets: tuple[TargetId, ...]
    recorded_at: int


@final
class PrefixHints:
    """A bounded LRU table of the targets that cache each chat's prefix.

    Cache events arrive late and some are missing, so entries are only used to
    order candidates, never as proof that a prefix is cached.
    """

    def __init__(self, settings: RankerSettings) -> None:
        self._settings = settings
        self._hints: OrderedDict[tuple[ServiceId, ChatId], _Hint] = OrderedDict()

    def __len__(self) -> int:
        return len(self._hints)

    def record_cached(
        self, service: ServiceId, chat: ChatId, target: TargetId, now: Milliseconds
    ) -> None:
        """Record that ``target`` caches the chat's prefix."""
        known = self._hints.get((service, chat))
        earlier = () if known is None else known.targets
        others = [name for name in earlier if name != target]
        targets = (target, *others[: MAX_HOLDERS_PER_CHAT - 1])
        self._hints[service, chat] = _Hint(targets, now)
        self._hints.move_to_end((service, chat))
        if len(self._hints) > self._settings.hints:
            self._hints.popitem(last=False)

    def record_evicted(
        self, service: ServiceId, chat: ChatId, target: TargetId
    ) -> None:
        """Record that ``target`` no longer caches the chat's prefix."""
        hint = self._hints.get((service, chat))
        if hint is None:
            return
        others = tuple(name for name in hint.targets if name != target)
        if others:
            self._hints[service, chat] = _Hint(others, hint.recorded_at)
        else:
            del self._hints[service, chat]

    def find(
        self, service: ServiceId, chat: ChatId, now: Milliseconds
    ) -> tuple[TargetId, ...]:
        """Return the last known holders of the chat's prefix, newest first."""
        hint = self._hints.get((service, chat))
        if hint is None or now - hint.recorded_at > self._settings.hint_lifetime_ms:
            return ()
        self._hints.move_to_end((service, chat))
        return hint.targets
