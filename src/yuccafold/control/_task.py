"""The task that owns the control plane and sends its messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import final

import trio

from yuccafold._clock import Clock
from yuccafold._outgoing import Outgoing
from yuccafold.control._commands import Command
from yuccafold.control._plane import TICK_SECONDS
from yuccafold.control._plane import ControlPlane
from yuccafold.fleet import Received

INBOX_LENGTH = 8_192


class ControlOverloadedError(Exception):
    """The inbox of the control task is full."""


@final
class ControlTask:
    """Runs a ``ControlPlane``, with one inbox for commands and peers' messages."""

    def __init__(
        self,
        plane: ControlPlane,
        clock: Clock,
        send: Callable[[Outgoing], None],
        inbox: tuple[
            trio.MemorySendChannel[Command | Received],
            trio.MemoryReceiveChannel[Command | Received],
        ],
    ) -> None:
        self._plane = plane
        self._clock = clock
        self._send = send
        self._commands, self._inbox = inbox

    @property
    def plane(self) -> ControlPlane:
        """The control plane; other tasks only read it."""
        return self._plane

    def post(self, command: Command) -> None:
        """Queue a command; raise ``ControlOverloadedError`` if the inbox is full."""
        try:
            self._commands.send_nowait(command)
        except trio.WouldBlock as error:
            raise ControlOverloadedError(
                f"expected fewer than {INBOX_LENGTH} waiting commands"
            ) from error

    async def run(self) -> None:
        """Handle commands, messages and ticks until cancelled."""
        next_tick = trio.current_time()
        while True:
            with trio.move_on_at(next_tick):
                command: Any = await self._inbox.receive()
                self._deliver(self._plane.apply(command, self._clock.now()))
                if trio.current_time() < next_tick:
                    continue
            next_tick = trio.current_time() + TICK_SECONDS
            self._deliver(self._plane.tick(self._clock.now()))

    def _deliver(self, outgoing: list[Outgoing]) -> None:
        for message in outgoing:
            self._send(message)
