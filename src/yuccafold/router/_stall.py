"""Detects stalled streams without a timer for each receive."""

from __future__ import annotations

import math
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import trio

Step = Callable[[], Awaitable[bool]]


@final
class StallWatch:
    """Cancels a loop of receives if one of them takes too long.

    A timer for each receive costs more than the receive itself. Instead, one task
    checks the loop ``CHECKS_PER_GAP`` times per gap, so that a stall is detected
    after 1 to 1.25 gaps.
    """

    CHECKS_PER_GAP = 4

    def __init__(self, gap_seconds: float) -> None:
        self._gap = gap_seconds
        self._receiving_since = math.inf
        self._stalled = False

    @property
    def stalled(self) -> bool:
        """Whether the loop was cancelled because a receive took too long."""
        return self._stalled

    def receive_started(self) -> None:
        """Record that a receive starts."""
        self._receiving_since = trio.current_time()

    def receive_ended(self) -> None:
        """Record that the receive ended; time between receives doesn't count."""
        self._receiving_since = math.inf

    async def run(self, step: Step) -> None:
        """Repeat ``step`` until it returns false, raises or stalls in a receive."""
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
            if trio.current_time() - self._receiving_since >= self._gap:
                self._stalled = True
                scope.cancel()
                return
