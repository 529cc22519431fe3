"""Tasks that repeatedly read what the platform publishes."""

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
from yuccafold.http import Framing
from yuccafold.readers._http import HttpFault
from yuccafold.readers._http import HttpLimits
from yuccafold.readers._http import HttpRequest
from yuccafold.readers._http import HttpResponse
from yuccafold.readers._http import call
from yuccafold.readers._watch import CallPacer
from yuccafold.readers._watch import ReadOutcome
from yuccafold.readers._watch import WatchOptions

OK = 200
NOT_MODIFIED = 304


@final
@dataclass(slots=True)
class ReaderCounts:
    """Numbers of calls since the start, by how they ended."""

    calls: int = 0
    newer: int = 0
    failed: int = 0
    last_fault: str = ""


@final
class SettingsReader:
    """Reads the settings service until cancelled.

    ``watches`` returns whether this VM watches (makes long polls) or polls at
    intervals. ``newest`` returns the number of the revision in force; the service
    is asked for a higher one. ``deliver`` is called with each newer text, and
    ``answered`` after every valid answer, with or without a newer text.
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
        self._newest_received = 0
        self._loop = _ReadLoop(address, "/settings", rng, options, limits)

    @property
    def counts(self) -> ReaderCounts:
        """The numbers of calls so far, by how they ended."""
        return self._loop.counts

    async def run(self) -> None:
        """Read until cancelled."""
        await self._loop.run(
            self._watches, self._revision_to_exceed, self._handle_response
        )

    def _revision_to_exceed(self) -> int:
        """Return the revision that an answer must exceed.

        It counts every text received, so that a refused one isn't fetched again.
        """
        return max(self._newest(), self._newest_received)

    def _handle_response(self, response: HttpResponse) -> HttpFault | None:
        if response.status == OK:
            # A part of a settings tree can be a valid tree with less in it.
            if response.framing is Framing.UNTIL_CLOSE:
                return HttpFault("expected Content-Length or chunks, got neither")
            number = response.headers.get("revision", "")
            if not (number.isascii() and number.isdigit()):
                return HttpFault(f"expected a Revision header, got {number!r:.40}")
            try:
                text = response.body.decode()
            except UnicodeDecodeError as error:
                return HttpFault(f"settings are not UTF-8: {error}")
            self._newest_received = max(self._newest_received, int(number))
            self._deliver(text)
        self._answered()
        return None


@final
class VmListReader:
    """Watches the platform's VM list until cancelled; every VM does so itself.

    ``deliver`` is called with each newer list, and ``confirm`` when the platform
    answers that there is none.
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
        """The numbers of calls so far, by how they ended."""
        return self._loop.counts

    async def run(self) -> None:
        """Read until cancelled."""
        await self._loop.run(lambda: True, lambda: self._version, self._handle_response)

    def _handle_response(self, response: HttpResponse) -> HttpFault | None:
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
    """Calls one resource repeatedly, with the pauses that the pacer returns."""

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
        handle_response: Callable[[HttpResponse], HttpFault | None],
    ) -> None:
        is_first = True
        while True:
            is_watching = watches()
            # Until a call succeeds, calls don't wait for something newer: a start
            # must not be delayed.
            wait_ms = self._options.wait_ms if is_watching and not is_first else 0
            started_at = trio.current_time()
            outcome = await self._call(newest(), wait_ms, handle_response)
            # A service that answers without waiting is polled at intervals: long
            # polls would follow each other endlessly, ``min_interval_ms`` apart.
            waited = (trio.current_time() - started_at) * MS_PER_SECOND >= wait_ms / 2
            pause = self._pacer.pause_after(
                outcome, is_watching and (waited or outcome is ReadOutcome.NEWER)
            )
            is_first = is_first and outcome is ReadOutcome.FAILED
            await trio.sleep(pause / MS_PER_SECOND)

    async def _call(
        self,
        newest: int,
        wait_ms: int,
        handle_response: Callable[[HttpResponse], HttpFault | None],
    ) -> ReadOutcome:
        self.counts.calls += 1
        target = f"{self._path}?after={newest}&wait_ms={wait_ms}"
        request = HttpRequest(self._address, target)
        called = await call(request, self._limits, wait_ms)
        if isinstance(called, Err):
            return self._record_failure(called.err_value)
        response = called.ok_value
        if response.status not in (OK, NOT_MODIFIED):
            return self._record_failure(HttpFault(f"status {response.status}"))
        fault = handle_response(response)
        if fault is not None:
            return self._record_failure(fault)
        self.counts.newer += response.status == OK
        return ReadOutcome.NEWER if response.status == OK else ReadOutcome.NOTHING_NEWER

    def _record_failure(self, fault: HttpFault) -> ReadOutcome:
        self.counts.failed += 1
        self.counts.last_fault = fault.reason
        return ReadOutcome.FAILED
