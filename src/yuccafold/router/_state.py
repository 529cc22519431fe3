"""What the tasks of one router process share for reading."""

from __future__ import annotations

from enum import Enum
from typing import final

import trio

from yuccafold.settings import SettingsTree


class Phase(Enum):
    """The life of a router process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    """Calls are still served, but the balancer is told to stop sending."""
    DRAINING = "draining"
    STOPPED = "stopped"


@final
class RouterState:
    """The settings in force and the phase; each is replaced whole."""

    def __init__(self) -> None:
        self._tree: SettingsTree | None = None
        self._phase = Phase.STARTING
        self._calls = 0
        self._is_current = False
        self._became_ready = trio.Event()
        self._idle = trio.Event()

    @property
    def tree(self) -> SettingsTree | None:
        """The settings tree in force; ``None`` before the first."""
        return self._tree

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return 0 if self._tree is None else self._tree.revision

    @property
    def phase(self) -> Phase:
        """The present phase."""
        return self._phase

    @property
    def calls(self) -> int:
        """How many calls are being handled."""
        return self._calls

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._phase is Phase.SERVING and self._is_current

    @property
    def serving(self) -> bool:
        """Whether new calls are handled."""
        return self._phase in (Phase.SERVING, Phase.LEAVING) and self._tree is not None

    @property
    def became_ready(self) -> trio.Event:
        """Set when the router first serves."""
        return self._became_ready

    def accept(self, tree: SettingsTree) -> None:
        """Put ``tree`` in force; the replica saw to it that it is newer."""
        if tree.revision < self.revision:
            raise AssertionError(
                f"expected a revision of at least {self.revision}, got {tree.revision}"
            )
        self._tree = tree

    def set_ready(self, ready: bool) -> None:
        """Take whether this VM's view of the fleet allows it to serve."""
        self._is_current = ready
        if ready and self._phase is Phase.STARTING and self._tree is not None:
            self._phase = Phase.SERVING
            self._became_ready.set()

    def announce_drain(self) -> None:
        """Tell the balancer to send no more callers."""
        self._phase = Phase.LEAVING

    def drain(self) -> None:
        """Take no new calls from now on."""
        self._phase = Phase.DRAINING

    def call_started(self) -> None:
        """Count a call in."""
        self._calls += 1
        # Who waits already waits on the present event, so only a set one is replaced.
        if self._idle.is_set():
            self._idle = trio.Event()

    async def wait_until_idle(self) -> None:
        """Return when no call is being handled."""
        while self._calls:
            await self._idle.wait()

    def call_ended(self) -> None:
        """Count a call out."""
        self._calls -= 1
        if self._calls == 0:
            self._idle.set()
        if self._calls < 0:
            raise AssertionError(f"expected at least 0 calls, got {self._calls}")
