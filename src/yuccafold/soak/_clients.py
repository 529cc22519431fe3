"""Callers that keep their connections and check every answer."""

from __future__ import annotations

import random
from itertools import count
from typing import final

import h11
import trio

from yuccafold.http import HttpStream
from yuccafold.soak._process import EdgeProcess
from yuccafold.soak._promises import Promises
from yuccafold.standins import call_headers

MAX_HEAD_BYTES = 65_536
CALL_TIMEOUT_S = 8.0
"""How long a caller waits: longer than any route, so that routers answer first."""

DEADLINE_MS = 4_000
"""What callers say that they wait."""

PAUSE_S = 0.04
"""Longest pause between two calls of a caller."""

RECONNECT_S = 0.1
"""Pause after a connection could not be made."""

EVENTS = 4
"""Events of a whole stream of the stand-in targets."""


@final
class SoakClient:
    """Sends calls to one VM over one connection until it breaks, then another."""

    def __init__(
        self,
        name: str,
        vm: EdgeProcess,
        keys: list[str],
        promises: Promises,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._vm = vm
        self._keys = keys
        self._promises = promises
        self._rng = rng
        self._numbers = count(1)

    async def run(self) -> None:
        """Send calls until cancelled."""
        while True:
            try:
                stream = await trio.open_tcp_stream(*self._vm.callers)
            except OSError:
                await trio.sleep(RECONNECT_S)
                continue
            http = HttpStream(stream, h11.CLIENT, MAX_HEAD_BYTES)
            try:
                while await self._call(http):
                    http.http.start_next_cycle()
                    await trio.sleep(self._rng.uniform(0, PAUSE_S))
            finally:
                await http.close()

    async def _call(self, http: HttpStream) -> bool:
        """Make one call; return whether the connection may be used again."""
        attempt = f"{self._name}-{next(self._numbers)}"
        path = self._rng.choice(("/look/", "/book/", "/chat/", "/chat/once/"))
        key = self._rng.choice(self._keys)
        body = f"body of {attempt}".encode()
        repeatable = path in ("/look/", "/chat/")
        self._promises.sent(attempt, key, repeatable, self._vm.name)
        request = h11.Request(
            method="POST",
            target=f"{path}{attempt}",
            headers=[
                *call_headers(attempt, key, DEADLINE_MS),
                ("Content-Length", str(len(body))),
            ],
        )
        status, answer, whole = 0, b"", False
        try:
            with trio.move_on_after(CALL_TIMEOUT_S):
                await http.send(request, h11.Data(data=body), h11.EndOfMessage())
                while not whole:
                    event = await http.next_event()
                    if isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.Data):
                        answer += event.data
                    elif isinstance(event, h11.EndOfMessage):
                        whole = True
                    elif isinstance(event, h11.ConnectionClosed):
                        break
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            whole = False
        fault = _fault(path, body, status, answer) if whole else None
        self._promises.answered(attempt, status if whole else 0, fault)
        state = http.http
        return whole and state.our_state is h11.DONE and state.their_state is h11.DONE


def _fault(path: str, body: bytes, status: int, answer: bytes) -> str | None:
    """Return what is wrong with an answer that looks whole."""
    if status != 200:
        return None
    if not path.startswith("/chat/"):
        return None if answer == body else f"expected {body!r}, got {answer!r:.60}"
    ids = [line for line in answer.split(b"\n") if line.startswith(b"id:")]
    expected = [b"id: %d" % number for number in range(1, EVENTS + 1)]
    return None if ids == expected else f"expected events {expected}, got {ids}"
