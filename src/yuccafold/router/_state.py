"""State that the tasks of one router process share."""

from __future__ import annotations

from enum import Enum
from typing import final

import trio

from yuccafold.settings import SettingsTree


class Phase(Enum):
    """The phases of a router process, in order."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    """Calls are still served, but the readiness page fails for the load balancer."""
    DRAINING = "draining"
    STOPPED = "stopped"


@final
class RouterState:
    """The settings in force, the phase and the number of calls being handled.

    The settings tree is replaced as a whole and never changed in place.
    """

    def __init__(self) -> None:
        self._tree: SettingsTree | None = None
        self._phase = Phase.STARTING
        self._calls = 0
        self._may_serve = False
        self._became_ready = trio.Event()
        self._became_idle = trio.Event()

    @property
    def tree(self) -> SettingsTree | None:
        """The settings tree in force, or ``None`` before the first one."""
        return self._tree

    @property
    def revision(self) -> int:
        """The settings revision in force, or 0 before the first one."""
        return 0 if self._tree is None else self._tree.revision

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @property
    def calls(self) -> int:
        """The number of calls being handled."""
        return self._calls

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this VM."""
        return self._phase is Phase.SERVING and self._may_serve

    @property
    def serving(self) -> bool:
        """Whether new calls are accepted."""
        return self._phase in (Phase.SERVING, Phase.LEAVING) and self._tree is not None

    @property
    def became_ready(self) -> trio.Event:
        """Set when the router serves for the first time."""
        return self._became_ready

    def accept(self, tree: SettingsTree) -> None:
        """Put ``tree`` in force; the replica has checked that it is not older."""
        if tree.revision < self.revision:
            raise AssertionError(
                f"expected a revision of at least {self.revision}, got {tree.revision}"
            )
        self._tree = tree

    def set_ready(self, ready: bool) -> None:
        """Set whether the control task allows this VM to serve."""
        self._may_serve = ready
        if ready and self._phase is Phase.STARTING and self._tree is not None:
            self._phase = Phase.SERVING
            self._became_ready.set()

    def announce_drain(self) -> None:
        """Become not ready, so that the load balancer stops sending callers."""
        self._phase = Phase.LEAVING

    def drain(self) -> None:
        """Refuse new calls from now on."""
        self._phase = Phase.DRAINING

    def call_started(self) -> None:
        """Count a call as being handled."""
        self._calls += 1
        # Tasks already wait on an event that isn't set, so only a set one is replaced.
        if self._became_idle.is_set():
            self._became_idle = trio.Event()

    async def wait_until_idle(self) -> None:
        """Wait until no call is being handled."""
        while self._calls:
            await self._became_idle.wait()

    def call_ended(self) -> None:
        """Count a call as ended."""
        self._calls -= 1
        if self._calls == 0:
            self._became_idle.set()
        if self._calls < 0:
            raise AssertionError(f"expected at least 0 calls, got {self._calls}")
