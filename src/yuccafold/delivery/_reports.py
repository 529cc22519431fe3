"""Strike reports, resent until every VM has acknowledged them."""

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
"""Longest time that a retry or an answer waits for acknowledgements."""

REPORT_RESEND_LIMIT = Milliseconds(5_000)
"""How long a report is resent to VMs that don't acknowledge it."""


@final
@dataclass(slots=True)
class _PendingReport:
    """A report and the VMs that have not acknowledged it.

    ``is_spread`` tells whether ``take_spread`` has returned the report.
    """

    message: StrikeReport
    unacknowledged: set[VmId]
    started: Milliseconds
    due_at: Milliseconds
    is_spread: bool = False


@final
class StrikeReports:
    """Sends and resends reports and tracks their acknowledgements."""

    def __init__(self) -> None:
        self._reports: dict[int, _PendingReport] = {}

    def send(
        self, message: StrikeReport, vms: Iterable[VmId], now: Milliseconds
    ) -> list[Outgoing]:
        """Send ``message`` to ``vms`` and resend it until acknowledged."""
        unacknowledged = set(vms)
        due = Milliseconds(now + REPORT_RESEND)
        self._reports[message.number] = _PendingReport(
            message, unacknowledged, now, due
        )
        return [Outgoing(vm, message) for vm in sorted(unacknowledged)]

    def acknowledge(self, number: int, vm: VmId) -> None:
        """Record that ``vm`` acknowledged a report."""
        if number in self._reports:
            self._reports[number].unacknowledged.discard(vm)

    def take_spread(self, now: Milliseconds) -> tuple[int, ...]:
        """Return the reports that callers need not wait for any more, each once.

        These are acknowledged by every VM or older than ``SPREAD_LIMIT``.
        """
        spread = tuple(
            number
            for number, report in self._reports.items()
            if not report.is_spread
            and (not report.unacknowledged or now >= report.started + SPREAD_LIMIT)
        )
        for number in spread:
            self._reports[number].is_spread = True
        return spread

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the reports due for a resend, and drop the finished ones."""
        outgoing: list[Outgoing] = []
        for number, report in tuple(self._reports.items()):
            is_over = (
                not report.unacknowledged or now >= report.started + REPORT_RESEND_LIMIT
            )
            if is_over and report.is_spread:
                del self._reports[number]
            elif now >= report.due_at:
                report.due_at = Milliseconds(now + REPORT_RESEND)
                outgoing += [
                    Outgoing(vm, report.message) for vm in report.unacknowledged
                ]
        return sorted(outgoing, key=lambda entry: entry.to)
