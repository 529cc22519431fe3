"""Simulated plain services and engines, which record every run of a call."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import final

from yuccafold._ids import CallId
from yuccafold._ids import TargetId
from yuccafold.chaos._world import World

TARGET_LATENCY_MS = 0.5
RESTART_MS = 2_000.0
LETHAL_PREFIX = b"lethal"


class ResponseKind(Enum):
    """What a router receives for a call; a silent target sends no response."""

    ANSWERED = "answered"
    RESET = "reset"
    REFUSED_NOT_RUN = "refused-not-run"


@final
@dataclass(frozen=True, slots=True)
class Response:
    """A response to a router; ``events`` are those of a stream."""

    kind: ResponseKind
    body: bytes = b""
    events: tuple[bytes, ...] = ()
    framing_complete: bool = True


@final
@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run of a call on a target."""

    call: CallId
    body: bytes
    at_ms: float


Reply = Callable[[Response], None]


@final
class SimulatedTarget:
    """A target, which crashes on a request whose body has the lethal prefix."""

    def __init__(self, name: TargetId, world: World) -> None:
        self.name = name
        self.runs: list[TargetRun] = []
        self.crashes: list[bytes] = []
        self.on_crash: list[Callable[[TargetId], None]] = []
        self._world = world
        self._is_up = True
        self._waiting: dict[int, Reply] = {}
        self._next_call = 0

    @property
    def is_up(self) -> bool:
        """Whether the target accepts connections."""
        return self._is_up

    def send(self, call: CallId, body: bytes, stream: bool, reply: Reply) -> None:
        """Accept a request; a silent connection loses the request or the response."""
        conditions, rng = self._world.conditions, self._world.rng
        silent = rng.random() < conditions.silence
        if silent and rng.random() < 0.5:
            return
        answer = _ignore if silent else reply
        self._world.after(
            TARGET_LATENCY_MS, lambda: self._receive(call, body, stream, answer)
        )

    def _receive(self, call: CallId, body: bytes, stream: bool, reply: Reply) -> None:
        conditions, rng = self._world.conditions, self._world.rng
        if not self._is_up:
            self._respond(reply, Response(ResponseKind.RESET))
            return
        if rng.random() < 0.03:
            self._respond(reply, Response(ResponseKind.REFUSED_NOT_RUN))
            return
        number = self._next_call
        self._next_call += 1
        self._waiting[number] = reply
        self.runs.append(TargetRun(call, body, self._world.exact_now))
        lethal = body.startswith(LETHAL_PREFIX)
        duration = rng.choice((5.0, 20.0, 100.0, 1_500.0))
        if lethal or rng.random() < conditions.death:
            self._world.after(
                duration / 2, lambda: self._crash(body if lethal else b"")
            )
            return
        self._world.after(duration, lambda: self._finish(number, body, stream))

    def _finish(self, number: int, body: bytes, stream: bool) -> None:
        reply = self._waiting.pop(number, None)
        if reply is None:
            return
        conditions, rng = self._world.conditions, self._world.rng
        if rng.random() < conditions.lost_replies:
            reset = Response(ResponseKind.RESET)
            if rng.random() < 0.5:
                self._respond(reply, reset)
            return
        if not stream:
            self._respond(reply, Response(ResponseKind.ANSWERED, b"answer to " + body))
            return
        self._respond(reply, self._stream(body))

    def _stream(self, body: bytes) -> Response:
        events = (b"answer to ", body, b"[DONE]")
        if self._world.rng.random() >= self._world.conditions.cut_streams:
            return Response(ResponseKind.ANSWERED, b"answer to " + body, events)
        kept = self._world.rng.randrange(len(events))
        # Some middleboxes end a truncated stream as if it were complete.
        framing_complete = self._world.rng.random() < 0.5
        return Response(
            ResponseKind.ANSWERED,
            b"".join(events[:kept]),
            events[:kept],
            framing_complete,
        )

    def _crash(self, cause: bytes) -> None:
        if not self._is_up:
            return
        self._is_up = False
        self.crashes.append(cause)
        self._world.record(f"{self.name} died of {cause or b'a fault'!r}")
        waiting, self._waiting = self._waiting, {}
        for reply in waiting.values():
            self._respond(reply, Response(ResponseKind.RESET))
        for notify in self.on_crash:
            notify(self.name)
        self._world.after(RESTART_MS, self._boot)

    def _boot(self) -> None:
        self._is_up = True

    def _respond(self, reply: Reply, response: Response) -> None:
        self._world.after(TARGET_LATENCY_MS, lambda: reply(response))


def _ignore(response: Response) -> None:
    """Discard a response."""
