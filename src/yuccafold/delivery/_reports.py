"""Strike reports that are sent until every VM has acknowledged them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.delivery._messages import StrikeReport

REPORT_RESEND = Milliseconds(100)
SPREAD_LIMIT = Milliseconds(500)
"""The longest that a retry or an answer waits for acknowledgements."""

REPORT_LIFE = Milliseconds(5_000)
"""How long a report is sent again to VMs that stay silent."""


@final
@dataclass(slots=True)
class _Report:
    """A report and the VMs that have not acknowledged it."""

    message: StrikeReport
    silent: set[VmId]
    started: Milliseconds
    due: Milliseconds
    is_spread: bool = False


@final
class Reports:
    """Sends reports and says when each is known to the fleet."""

    def __init__(self) -> None:
        self._reports: dict[int, _Report] = {}

    def send(
        self, message: StrikeReport, vms: Iterable[VmId], now: Milliseconds
    ) -> list[Outgoing]:
        """Send ``message`` to ``vms`` now and until acknowledged."""
        silent = set(vms)
        due = Milliseconds(now + REPORT_RESEND)
        self._reports[message.number] = _Report(message, silent, now, due)
        return [Outgoing(vm, message) for vm in sorted(silent)]

    def acknowledge(self, number: int, vm: VmId) -> None:
        """Note that ``vm`` recorded a report."""
        if number in self._reports:
            self._reports[number].silent.discard(vm)

    def take_spread(self, now: Milliseconds) -> tuple[int, ...]:
        """Return, once each, the reports that need not be waited for."""
        spread = tuple(
            number
            for number, report in self._reports.items()
            if not report.is_spread
            and (not report.silent or now >= report.started + SPREAD_LIMIT)
        )
        for number in spread:
            self._reports[number].is_spread = True
        return spread

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the reports due again and forget those that are over."""
        outgoing: list[Outgoing] = []
        for number, report in tuple(self._reports.items()):
            over = not report.silent or now >= report.started + REPORT_LIFE
            if over and report.is_spread:
                del self._reports[number]
            elif now >= report.due:
                report.due = Milliseconds(now + REPORT_RESEND)
                outgoing += [Outgoing(vm, report.message) for vm in report.silent]
        return sorted(outgoing, key=lambda each: each.to)
