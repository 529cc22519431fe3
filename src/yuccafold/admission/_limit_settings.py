"""Intervals and thresholds for the limits of client accounts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class LimitSettings:
    """How VMs share the limits of client accounts.

    An account whose demand on a VM is below ``min_reported_share`` of the VM's even
    share is not reported. A report has at most ``max_accounts``. A VM reports every
    ``report_ms``, or less often if so many VMs report an account that its home
    would get more than one report per ``min_report_spacing_ms``. The home multiplies
    reported demand by ``headroom`` before it divides the limit. ``rate_window_ms`` is
    the time constant with which the measured rates of requests and tokens decay.
    """

    report_ms: int = 1_000
    min_report_spacing_ms: int = 25
    reports_per_lease: int = 4
    rate_window_ms: int = 1_000
    headroom: float = 1.5
    min_reported_share: float = 0.1
    max_accounts: int = 32

    def report_every_ms(self, reporters: int) -> int:
        """Return the report interval if ``reporters`` VMs report an account."""
        return max(self.report_ms, self.min_report_spacing_ms * reporters)

    def lease_ms(self, reporters: int) -> int:
        """Return the lease of a share if ``reporters`` VMs report an account."""
        return self.reports_per_lease * self.report_every_ms(reporters)
