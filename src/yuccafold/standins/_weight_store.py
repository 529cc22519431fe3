"""Stand-in for the store of model weights, with a limited rate of loads."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import final

import trio

WINDOW_SECONDS = 60.0


class WeightStoreBusyError(Exception):
    """A load was refused because the store's rate limit was reached."""


@final
@dataclass(frozen=True, slots=True)
class WeightStoreSettings:
    """The store's rate limit, and how long one load takes."""

    loads_per_minute: int = 2
    load_ms: int = 0


@final
class WeightStore:
    """Counts loads in a sliding window of a minute; refuses those above the limit."""

    def __init__(self, settings: WeightStoreSettings) -> None:
        self._settings = settings
        self._recent: deque[float] = deque()
        self._loads = 0
        self._refused = 0

    @property
    def loads(self) -> int:
        """How many loads were started."""
        return self._loads

    @property
    def refused(self) -> int:
        """How many loads were refused because of the rate limit."""
        return self._refused

    async def load(self) -> None:
        """Load weights; raise ``WeightStoreBusyError`` above the rate limit."""
        now = trio.current_time()
        while self._recent and self._recent[0] <= now - WINDOW_SECONDS:
            self._recent.popleft()
        if len(self._recent) >= self._settings.loads_per_minute:
            self._refused += 1
            raise WeightStoreBusyError
        self._recent.append(now)
        self._loads += 1
        await trio.sleep(self._settings.load_ms / 1000)

    def assert_rate_kept(self) -> None:
        """Raise ``AssertionError`` if any load was refused."""
        assert self._refused == 0, f"{self._refused} loads above the rate"
