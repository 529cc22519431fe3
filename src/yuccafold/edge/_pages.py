"""HTTP server for the readiness and metrics pages and for requests of other VMs."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold.edge._responder import EdgeResponder
from yuccafold.edge._settings import SocketAddress
from yuccafold.http import CallerGone
from yuccafold.http import Headers
from yuccafold.http import HttpStream
from yuccafold.http import Listener
from yuccafold.intake import Intake
from yuccafold.intake import IntakeLimits

MAX_PAGE_CONNECTIONS = 512
"""Limit of open connections of the load balancer, of operators and of VMs that request
the view of a seed."""

PAGE_IDLE_TIMEOUT = Milliseconds(10_000)
"""How long a connection may stay idle. The load balancer requests the readiness page
every second."""

MAX_PAGE_HEAD_BYTES = 16_384
TEXT_HEADERS: Headers = ((b"Content-Type", b"text/plain; charset=utf-8"),)

RenderPage = Callable[[str], tuple[int, str]]
"""Returns the status and text for the target of a request."""


@final
class PageServer:
    """Answers every request with the page that a function returns for its target.

    ``limit`` connections are served at once; a new one takes the place of the one that
    was silent for longest.
    """

    def __init__(
        self, render_page: RenderPage, clock: Clock, limit: int = MAX_PAGE_CONNECTIONS
    ) -> None:
        self._render_page = render_page
        self._clock = clock
        self._limit = limit
        self._intake = Intake(IntakeLimits(connections=limit))

    async def listen(self, address: SocketAddress) -> Listener:
        """Listen on ``address`` for connections to serve."""
        return await Listener.open(str(address), self._limit, self._intake.make_room)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        http = HttpStream(stream, h11.SERVER, MAX_PAGE_HEAD_BYTES)
        scope = trio.CancelScope(relative_deadline=PAGE_IDLE_TIMEOUT / MS_PER_SECOND)
        share = self._intake.open(scope.cancel, self._clock.now())
        try:
            with scope:
                while await self._serve_one(http):
                    scope.relative_deadline = PAGE_IDLE_TIMEOUT / MS_PER_SECOND
                    self._intake.end_call(share, self._clock.now())
        except (CallerGone, OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            return
        finally:
            self._intake.close(share)
            await http.close()

    async def _serve_one(self, http: HttpStream) -> bool:
        event = await http.next_event()
        if not isinstance(event, h11.Request):
            return False
        method, target = event.method, event.target.decode("latin-1")
        while not isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            event = await http.next_event()
        status, text = self._render_page(target)
        await EdgeResponder(http, method, lambda: False).answer(
            status, TEXT_HEADERS, text.encode()
        )
        if (
            http.protocol.our_state is h11.DONE
            and http.protocol.their_state is h11.DONE
        ):
            http.protocol.start_next_cycle()
            return True
        return False
