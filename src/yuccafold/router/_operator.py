"""The HTTP port for operators: readiness, status and metrics as JSON."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import final
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

import h11
import trio

from yuccafold._clock import Clock
from yuccafold._parsing import parse_json
from yuccafold.http import AnswerWriter
from yuccafold.http import CallerGone
from yuccafold.http import HttpStream
from yuccafold.http import Listener
from yuccafold.intake import CallerShare
from yuccafold.intake import Intake
from yuccafold.intake import IntakeLimits

MAX_CONNECTIONS = 64
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 65_536


@final
@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """The query parameters and the parsed JSON body of an operator's request."""

    query: dict[str, str]
    body: Any


@final
@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """An HTTP status and a value to be sent as JSON."""

    status: int
    value: Any


Handler = Callable[[OperatorRequest], Awaitable[OperatorAnswer]]


@final
class OperatorPort:
    """Dispatches requests to ``handlers`` by method and path.

    A connection beyond the limit takes the place of the one that was silent longest.
    """

    def __init__(self, handlers: dict[tuple[str, str], Handler], clock: Clock) -> None:
        self._handlers = handlers
        self._clock = clock
        self._intake = Intake(IntakeLimits(connections=MAX_CONNECTIONS))

    async def listen(self, address: str) -> Listener:
        """Listen on ``address`` for connections to serve."""
        return await Listener.open(address, MAX_CONNECTIONS, self._intake.make_room)

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve requests until the connection ends."""
        http = HttpStream(stream, h11.SERVER, MAX_HEAD_BYTES)
        scope = trio.CancelScope()
        share = self._intake.open(scope.cancel, self._clock.now())
        try:
            with scope:
                while await self._serve_one(http, share):
                    http.start_next_cycle()
                    self._intake.end_call(share, self._clock.now())
        except (CallerGone, OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            return
        finally:
            self._intake.close(share)
            await http.close()

    async def _serve_one(self, http: HttpStream, share: CallerShare) -> bool:
        request = await http.next_event()
        if not isinstance(request, h11.Request):
            return False
        body = await _read_body(http)
        self._intake.begin_call(share)
        answer = await self._answer(request, body)
        await _send(http, request.method, answer)
        return (
            http.protocol.our_state is h11.DONE
            and http.protocol.their_state is h11.DONE
        )

    async def _answer(self, request: h11.Request, body: bytes | None) -> OperatorAnswer:
        url = urlsplit(request.target.decode("latin-1"))
        handler = self._handlers.get((request.method.decode("latin-1"), url.path))
        if handler is None:
            known = [f"{method} {path}" for method, path in self._handlers]
            return OperatorAnswer(404, {"error": f"expected one of {known}"})
        if body is None:
            return OperatorAnswer(413, {"error": "expected a smaller body"})
        try:
            value = parse_json(body) if body else None
        except ValueError as error:
            return OperatorAnswer(400, {"error": f"expected JSON: {error}"})
        return await handler(OperatorRequest(dict(parse_qsl(url.query)), value))


async def _read_body(http: HttpStream) -> bytes | None:
    parts: list[bytes] = []
    size = 0
    while isinstance(event := await http.next_event(), h11.Data):
        size += len(event.data)
        if size > MAX_BODY_BYTES:
            return None
        parts.append(bytes(event.data))
    return b"".join(parts)


async def _send(http: HttpStream, method: bytes, answer: OperatorAnswer) -> None:
    body = json.dumps(answer.value, indent=1, default=str).encode() + b"\n"
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
    ]
    writer = AnswerWriter(http, method)
    writer.set_head(answer.status, tuple(headers))
    await writer.finish_with(body)
