"""Attempts of one call at two targets at once, of which one answers the caller."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._exchange import AttemptFailedError


@final
class Race:
    """Lets the first whole answer of several attempts through and cancels the others.

    An attempt claims the caller right before it sends the first byte; nothing runs in
    between. So nothing of another attempt's answer reaches the caller.
    """

    def __init__(self) -> None:
        self._scopes: dict[TargetId, trio.CancelScope] = {}
        self._sent = trio.Event()
        self._until_settled = trio.CancelScope()
        self._winner: TargetId | None = None
        self._errors: dict[TargetId, Exception] = {}

    async def run(
        self, target: TargetId, attempt: Callable[[], Awaitable[None]]
    ) -> None:
        """Run an attempt, and keep its error until all have ended."""
        if self.is_lost(target):
            return
        with trio.CancelScope() as self._scopes[target]:
            try:
                await attempt()
            except Exception as error:
                self._errors[target] = error
        self._until_settled.cancel()

    def record_sent(self) -> None:
        """Record that the call was sent."""
        self._sent.set()

    def record_failed(self) -> None:
        """Record that an attempt failed; what is found out of its target may take on.

        No hedge begins meanwhile.
        """
        self._until_settled.cancel()

    async def outlasts(self, delay: Milliseconds) -> bool:
        """Return whether the first attempt runs on ``delay`` after its call was sent.

        False if its answer is on the way to the caller by then, or it has failed.
        """
        with self._until_settled:
            await self._sent.wait()
            await trio.sleep(delay / MS_PER_SECOND)
        return not self._until_settled.cancel_called

    def is_lost(self, target: TargetId) -> bool:
        """Return whether another attempt than that at ``target`` has answered."""
        return self._winner not in (None, target)

    async def check(self, target: TargetId) -> None:
        """Raise ``trio.Cancelled`` if another attempt has answered."""
        if self.is_lost(target):
            await trio.lowlevel.checkpoint_if_cancelled()

    async def claim(self, target: TargetId) -> None:
        """Have ``target`` answer the caller, and cancel the other attempts.

        Raises ``trio.Cancelled`` if another one has claimed the caller before.
        """
        await self.check(target)
        self._winner = target
        self._until_settled.cancel()
        for other, scope in self._scopes.items():
            if other != target:
                scope.cancel()

    def raise_error(self) -> None:
        """Raise the error of the last attempt, or of the one that was to answer.

        A failure of an attempt is no error if another one has answered.
        """
        for target, error in reversed(self._errors.items()):
            if not self.is_lost(target) or not isinstance(error, AttemptFailedError):
                raise error
