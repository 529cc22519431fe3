"""Soak clients, which reuse their connections and check every answer."""

from __future__ import annotations

import random
from collections.abc import Sequence
from collections.abc import Set
from itertools import count
from typing import final

import h11
import trio

from yuccafold.http import Framing
from yuccafold.http import HttpStream
from yuccafold.http import framing_of
from yuccafold.soak._process import EdgeProcess
from yuccafold.soak._promises import PromiseChecker
from yuccafold.standins import call_headers
from yuccafold.standins import take_up_headers

MAX_HEAD_BYTES = 65_536
CALL_TIMEOUT_S = 8.0
"""How long a client waits for an answer.

It is longer than the timeout of any route, so that routers answer first.
"""

DEADLINE_MS = 4_000
"""The deadline that clients state in each call."""

MAX_PAUSE_S = 0.04
"""Longest pause between two calls of a client."""

RECONNECT_DELAY_S = 0.1
"""Delay before the next attempt after a connection could not be opened."""

FIRST_PART = "first"
SUBJECTS = 8
"""Number of second parts of prompts, each of which many calls share."""

LETHAL_SHARE = 0.1
"""Share of chats with a lethal part while there is one."""

COMMON_SHARE = 0.5
"""Share of look-ups that have the same path and body."""

COMMON_NAME = "same"
SOUND_BODY = b"sound"
LETHAL_BODY = b"lethal call "
"""Begins the body of calls that crash the targets that run them."""

EVENTS_PER_STREAM = 4
"""Number of events in a complete stream of the stand-in targets."""


@final
class SoakClient:
    """Sends calls to one VM; opens a new connection when the old one fails."""

    def __init__(
        self,
        name: str,
        vm: EdgeProcess,
        keys: list[str],
        promises: PromiseChecker,
        rng: random.Random,
        lethal_parts: Set[str],
        others: Sequence[EdgeProcess] = (),
    ) -> None:
        self._lethal_parts = lethal_parts
        self._others = others
        self._name = name
        self._vm = vm
        self._keys = keys
        self._promises = promises
        self._rng = rng
        self._call_numbers = count(1)
        # Of its own, so that prompts don't change what else a seed draws.
        self._parts_rng = random.Random(f"{name} parts")

    async def run(self) -> None:
        """Send calls until cancelled."""
        while True:
            try:
                stream = await trio.open_tcp_stream(*self._vm.caller_address)
            except OSError:
                await trio.sleep(RECONNECT_DELAY_S)
                continue
            http = HttpStream(stream, h11.CLIENT, MAX_HEAD_BYTES)
            try:
                while await self._call(http):
                    http.protocol.start_next_cycle()
                    await trio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
            finally:
                await http.close()

    async def _call(self, http: HttpStream) -> bool:
        """Make one call; return whether the connection can be reused."""
        attempt = self._new_attempt()
        path = self._rng.choice(("/look/", "/book/", "/chat/", "/chat/once/"))
        key = self._rng.choice(self._keys)
        parts = self._choose_parts(path)
        name, body = self._choose_body(path, attempt)
        request = _request(f"{path}{name}", attempt, key, parts, body)
        repeatable = path in ("/look/", "/chat/")
        self._promises.record_sent(attempt, key, repeatable, self._vm.name)
        status, answer, is_complete, framing = await _exchange(http, request, body)
        fault = _answer_fault(path, body, status, answer) if is_complete else None
        if framing is Framing.UNTIL_CLOSE:
            fault = "expected a length or chunks, got neither"
        self._promises.record_answer(attempt, status if is_complete else 0, fault)
        if path == "/chat/" and not is_complete and _event_ids(answer):
            await self._take_up(request, key, attempt, body, _event_ids(answer)[-1])
        state = http.protocol
        return (
            is_complete
            and state.our_state is h11.DONE
            and state.their_state is h11.DONE
        )

    def _new_attempt(self) -> str:
        return f"{self._name}-{next(self._call_numbers)}"

    async def _take_up(
        self,
        request: h11.Request,
        key: str,
        first_attempt: str,
        body: bytes,
        last_event: int,
    ) -> None:
        """Take a broken stream up at any VM; a refusal ends it."""
        if not self._others:
            return
        vm = self._parts_rng.choice(self._others)
        attempt = self._new_attempt()
        headers = take_up_headers(request.headers, attempt, first_attempt, last_event)
        again = h11.Request(
            method="POST",
            target=request.target,
            headers=headers,
        )
        try:
            stream = await trio.open_tcp_stream(*vm.caller_address)
        except OSError:
            return
        self._promises.record_sent(attempt, key, True, vm.name)
        http = HttpStream(stream, h11.CLIENT, MAX_HEAD_BYTES)
        try:
            status, answer, is_complete, _ = await _exchange(http, again, body)
        finally:
            await http.close()
        fault = None
        expected = list(range(last_event + 1, EVENTS_PER_STREAM + 1))
        if is_complete and status == 200 and _event_ids(answer) != expected:
            fault = f"expected events {expected}, got {_event_ids(answer)}"
        self._promises.record_answer(attempt, status if is_complete else 0, fault)

    def _choose_body(self, path: str, attempt: str) -> tuple[str, bytes]:
        """Return the end of the path and the body of a call.

        Half of the look-ups are all alike; while there is a lethal part, some crash
        their target as a whole.
        """
        rng = self._parts_rng
        if path == "/look/" and self._lethal_parts and rng.random() < LETHAL_SHARE:
            part = rng.choice(sorted(self._lethal_parts))
            return COMMON_NAME, LETHAL_BODY + part.encode()
        if path == "/look/" and rng.random() < COMMON_SHARE:
            return COMMON_NAME, SOUND_BODY
        return attempt, f"body of {attempt}".encode()

    def _choose_parts(self, path: str) -> tuple[str, ...]:
        """Return the shared parts of a call's prompt; plain calls have none."""
        if not path.startswith("/chat/"):
            return ()
        rng = self._parts_rng
        if self._lethal_parts and rng.random() < LETHAL_SHARE:
            return FIRST_PART, rng.choice(sorted(self._lethal_parts))
        return FIRST_PART, f"subject{rng.randrange(SUBJECTS)}"


def _request(
    target: str, attempt: str, key: str, parts: tuple[str, ...], body: bytes
) -> h11.Request:
    return h11.Request(
        method="POST",
        target=target,
        headers=[
            *call_headers(attempt, key, DEADLINE_MS, parts),
            ("Content-Length", str(len(body))),
        ],
    )


async def _exchange(
    http: HttpStream, request: h11.Request, body: bytes
) -> tuple[int, bytes, bool, Framing]:
    """Return status, body and framing of an answer, and whether it is complete."""
    status, answer, is_complete = 0, b"", False
    framing = Framing.LENGTH
    try:
        with trio.move_on_after(CALL_TIMEOUT_S):
            await http.send(request, h11.Data(data=body), h11.EndOfMessage())
            while not is_complete:
                event = await http.next_event()
                if isinstance(event, h11.Response):
                    status = event.status_code
                    framing = framing_of(request.method, event)
                elif isinstance(event, h11.Data):
                    answer += event.data
                elif isinstance(event, h11.EndOfMessage):
                    is_complete = True
                elif isinstance(event, h11.ConnectionClosed):
                    break
    except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
        is_complete = False
    return status, answer, is_complete, framing


def _event_ids(answer: bytes) -> list[int]:
    """Return the ids of the whole events in a stream."""
    events = answer.split(b"\n\n")[:-1]
    lines = (line for event in events for line in event.split(b"\n"))
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


def _answer_fault(path: str, body: bytes, status: int, answer: bytes) -> str | None:
    """Return what is wrong with a complete answer, or ``None``."""
    if status != 200:
        return None
    if not path.startswith("/chat/"):
        return None if answer == body else f"expected {body!r}, got {answer!r:.60}"
    ids = [line for line in answer.split(b"\n") if line.startswith(b"id:")]
    expected = [b"id: %d" % number for number in range(1, EVENTS_PER_STREAM + 1)]
    return None if ids == expected else f"expected events {expected}, got {ids}"
