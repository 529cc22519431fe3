"""Notices that a stream stalls, without a timer for each part of it."""

from __future__ import annotations

import math
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import trio

Step = Callable[[], Awaitable[bool]]


@final
class StallWatch:
    """Ends a loop of receives when one of them takes too long.

    A timer for each receive costs more than the receive itself. Here one task
    looks at the loop about as often as the longest gap allows, so that a stall
    is noticed after one gap to one and a quarter.
    """

    CHECKS_PER_GAP = 4

    def __init__(self, gap_seconds: float) -> None:
        self._gap = gap_seconds
        self._since = math.inf
        self._stalled = False

    @property
    def stalled(self) -> bool:
        """Whether a receive took too long."""
        return self._stalled

    def receiving(self) -> None:
        """Note that a receive begins."""
        self._since = trio.current_time()

    def received(self) -> None:
        """Note that it ended; time spent elsewhere is not counted."""
        self._since = math.inf

    async def run(self, step: Step) -> None:
        """Repeat ``step`` until it returns false, raises or stalls."""
        error: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            try:
                while await step():
                    pass
            except Exception as raised:
                error = raised
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _watch(self, scope: trio.CancelScope) -> None:
        while True:
            await trio.sleep(self._gap / self.CHECKS_PER_GAP)
            if trio.current_time() - self._since >= self._gap:
                self._stalled = True
                scope.cancel()
                return
