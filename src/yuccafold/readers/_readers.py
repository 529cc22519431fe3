"""Tasks that keep reading what the platform publishes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import trio
from result import Err

from yuccafold._clock import MS_PER_SECOND
from yuccafold.fleet import VmListSnapshot
from yuccafold.fleet import parse_vm_list
from yuccafold.readers._http import HttpFault
from yuccafold.readers._http import HttpLimits
from yuccafold.readers._http import HttpRequest
from yuccafold.readers._http import HttpResponse
from yuccafold.readers._http import call
from yuccafold.readers._watch import Answer
from yuccafold.readers._watch import CallPacer
from yuccafold.readers._watch import WatchOptions

OK = 200
NOT_MODIFIED = 304


@final
@dataclass(slots=True)
class ReaderCounts:
    """Calls since the start, by how they ended."""

    calls: int = 0
    newer: int = 0
    failed: int = 0
    last_fault: str = ""


@final
class SettingsReader:
    """Reads and watches the settings service.

    ``watches`` says whether this VM watches or polls slowly, ``newest`` the
    revision in force, which the service is asked to exceed. ``deliver`` takes
    each newer text; ``answered`` is told of every answer, newer or not.
    """

    def __init__(
        self,
        address: str,
        watches: Callable[[], bool],
        newest: Callable[[], int],
        deliver: Callable[[str], None],
        answered: Callable[[], None],
        rng: random.Random,
        options: WatchOptions | None = None,
        limits: HttpLimits | None = None,
    ) -> None:
        self._watches = watches
        self._newest = newest
        self._deliver = deliver
        self._answered = answered
        self._seen = 0
        self._loop = _ReadLoop(address, "/settings", rng, options, limits)

    @property
    def counts(self) -> ReaderCounts:
        """What became of the calls so far."""
        return self._loop.counts

    async def run(self) -> None:
        """Read until cancelled."""
        await self._loop.run(self._watches, self._after, self._take)

    def _after(self) -> int:
        """Return the revision to exceed; a refused one is not fetched again."""
        return max(self._newest(), self._seen)

    def _take(self, response: HttpResponse) -> HttpFault | None:
        if response.status == OK:
            number = response.headers.get("revision", "")
            if not (number.isascii() and number.isdigit()):
                return HttpFault(f"expected a Revision header, got {number!r:.40}")
            try:
                text = response.body.decode()
            except UnicodeDecodeError as error:
                return HttpFault(f"settings are not UTF-8: {error}")
            self._seen = max(self._seen, int(number))
            self._deliver(text)
        self._answered()
        return None


@final
class VmListReader:
    """Reads and watches the platform's VM list; every VM has its own view.

    ``deliver`` takes each newer list; ``confirm`` is told when the platform
    says that there is none.
    """

    def __init__(
        self,
        address: str,
        deliver: Callable[[VmListSnapshot], None],
        confirm: Callable[[], None],
        rng: random.Random,
        options: WatchOptions | None = None,
        limits: HttpLimits | None = None,
    ) -> None:
        self._deliver = deliver
        self._confirm = confirm
        self._version = -1
        self._loop = _ReadLoop(address, "/vms", rng, options, limits)

    @property
    def counts(self) -> ReaderCounts:
        """What became of the calls so far."""
        return self._loop.counts

    async def run(self) -> None:
        """Read until cancelled."""
        await self._loop.run(lambda: True, lambda: self._version, self._take)

    def _take(self, response: HttpResponse) -> HttpFault | None:
        if response.status != OK:
            self._confirm()
            return None
        parsed = parse_vm_list(response.body)
        if isinstance(parsed, Err):
            return HttpFault(parsed.err_value.reason)
        if parsed.ok_value.version > self._version:
            self._version = parsed.ok_value.version
            self._deliver(parsed.ok_value)
        elif parsed.ok_value.version == self._version:
            self._confirm()
        return None


@final
class _ReadLoop:
    """Calls one resource again and again, as the pacer says."""

    def __init__(
        self,
        address: str,
        path: str,
        rng: random.Random,
        options: WatchOptions | None,
        limits: HttpLimits | None,
    ) -> None:
        self._address = address
        self._path = path
        self._options = options or WatchOptions()
        self._limits = limits or HttpLimits()
        self._pacer = CallPacer(self._options, rng)
        self.counts = ReaderCounts()

    async def run(
        self,
        watches: Callable[[], bool],
        newest: Callable[[], int],
        take: Callable[[HttpResponse], HttpFault | None],
    ) -> None:
        first = True
        while True:
            watching = watches()
            # The first call returns at once, so that a start does not wait.
            wait_ms = self._options.wait_ms if watching and not first else 0
            started = trio.current_time()
            answer = await self._call(newest(), wait_ms, take)
            # A service that does not wait is polled, lest it be called without end.
            waited = (trio.current_time() - started) * MS_PER_SECOND >= wait_ms / 2
            pause = self._pacer.pause_after(
                answer, watching and (waited or answer is Answer.NEWER)
            )
            first = first and answer is Answer.FAILED
            await trio.sleep(pause / MS_PER_SECOND)

    async def _call(
        self,
        newest: int,
        wait_ms: int,
        take: Callable[[HttpResponse], HttpFault | None],
    ) -> Answer:
        self.counts.calls += 1
        target = f"{self._path}?after={newest}&wait_ms={wait_ms}"
        request = HttpRequest(self._address, target)
        called = await call(request, self._limits, wait_ms)
        if isinstance(called, Err):
            return self._failed(called.err_value)
        response = called.ok_value
        if response.status not in (OK, NOT_MODIFIED):
            return self._failed(HttpFault(f"status {response.status}"))
        fault = take(response)
        if fault is not None:
            return self._failed(fault)
        self.counts.newer += response.status == OK
        return Answer.NEWER if response.status == OK else Answer.NOTHING_NEWER

    def _failed(self, fault: HttpFault) -> Answer:
        self.counts.failed += 1
        self.counts.last_fault = fault.reason
        return Answer.FAILED
