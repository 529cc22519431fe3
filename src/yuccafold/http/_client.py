"""An HTTP client for GET requests over one persistent connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold.http._stream import Headers
from yuccafold.http._stream import HttpStream

MAX_HEAD_BYTES = 65_536

MAX_BODY_BYTES = 8_388_608
"""Largest answer: several times the longest page of the platform's store."""


class CallFailedError(Exception):
    """A call that got no complete answer in time."""


@final
@dataclass(frozen=True, slots=True)
class CallTimeouts:
    """Timeouts for connecting, for a server that sends nothing, and for a whole answer.

    A long answer can be slow on a slow link, so the last one is long.
    """

    connect_timeout: Milliseconds
    silence_timeout: Milliseconds
    answer_timeout: Milliseconds = Milliseconds(15_000)


@final
class HttpAnswer(NamedTuple):
    """The complete answer to a call."""

    status: int
    headers: Headers
    body: bytes


@final
class PersistentConnection:
    """A persistent connection to a server, opened on demand, for one call at a time."""

    def __init__(self, host: str, port: int, timeouts: CallTimeouts) -> None:
        self._host = host
        self._port = port
        self._timeouts = timeouts
        self._http: HttpStream | None = None

    async def get(
        self, target: str, wait: Milliseconds = Milliseconds(0)
    ) -> HttpAnswer:
        """Return the answer; ``wait`` is the extra time allowed for a long poll.

        Raises ``CallFailedError`` if there is no complete answer.
        """
        silence = self._timeouts.silence_timeout / MS_PER_SECOND
        answer = self._timeouts.answer_timeout / MS_PER_SECOND
        try:
            with (
                trio.fail_after(answer + wait / MS_PER_SECOND),
                trio.fail_after(silence + wait / MS_PER_SECOND) as scope,
            ):
                return await self._call(target, scope, silence)
        except trio.TooSlowError as error:
            await self.close()
            raise CallFailedError("no answer in time") from error
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            await self.close()
            raise CallFailedError(repr(error)) from error
        except BaseException:
            await self.close()
            raise

    async def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        http, self._http = self._http, None
        if http is not None:
            await http.close()

    async def _call(
        self, target: str, scope: trio.CancelScope, silence: float
    ) -> HttpAnswer:
        http = await self._connection()
        host = ("Host", f"{self._host}:{self._port}")
        request = h11.Request(method="GET", target=target, headers=[host])
        await http.send(request, h11.EndOfMessage())
        status, body = 0, bytearray()
        headers: Headers = ()
        while not isinstance(event := await http.next_event(), h11.EndOfMessage):
            scope.relative_deadline = silence
            if isinstance(event, h11.Response):
                status, headers = event.status_code, tuple(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    reason = f"expected a body of at most {MAX_BODY_BYTES} bytes"
                    raise h11.RemoteProtocolError(reason)
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed without an answer")
        if (
            http.protocol.our_state is h11.DONE
            and http.protocol.their_state is h11.DONE
        ):
            http.protocol.start_next_cycle()
        else:
            await self.close()
        return HttpAnswer(status, headers, bytes(body))

    async def _connection(self) -> HttpStream:
        if self._http is not None and not self._http.is_clean():
            await self.close()
        if self._http is None:
            with trio.fail_after(self._timeouts.connect_timeout / MS_PER_SECOND):
                stream = await trio.open_tcp_stream(self._host, self._port)
            self._http = HttpStream(stream, h11.CLIENT, MAX_HEAD_BYTES)
        return self._http
