"""Limits retries to this VM's part of the fleet-wide retry budget."""

from __future__ import annotations

from typing import final

from yuccafold._ids import ServiceId
from yuccafold._retry_budget import RetryBudget
from yuccafold.edge._call import RunRecord
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._settings import EdgeSettings

ASSUMED_VM_COUNT = 16
"""Number of VMs assumed to share the slack if there are no seeds that count them. Until
these do, so many retries may be earned by calls."""

MIN_TOKENS = 1.0
"""Retries that a VM may do at once however many VMs there are."""

FIRST_TOKENS = 2.0
"""Retries that a VM may do before the number of VMs is settled, beside those earned by
its calls. All VMs may have started at once, and slacks are at least two a VM."""


@final
class Retries:
    """Holds a retry budget for each service.

    The limit applies to the retries of all VMs together: a share of the calls, plus
    a fixed slack. Each VM earns the share of its own calls, and the slack is divided
    by the number of VMs that the seeds report, once that number is settled. This bounds
    retries when targets reject or lose the calls of all VMs at the same time, also if
    all VMs have just started.
    """

    def __init__(self, settings: EdgeSettings, loads: LoadTable) -> None:
        self._settings = settings
        self._loads = loads
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._first_tokens: dict[ServiceId, float] = {}

    def record_call(self, service: ServiceId) -> None:
        """Credit the budget with the share that one call from a caller earns."""
        self._budget(service).record_request(self._settings.retry_ratio)

    def may_retry(self, service: ServiceId, record: RunRecord) -> bool:
        """Return whether the budget allows the next send of a call."""
        return record.is_next_send_paid or self.has_token(service)

    def pay(self, service: ServiceId, record: RunRecord) -> bool:
        """Charge the budget for the next send of a call, unless that was done before.

        The caller has checked ``may_retry``. Returns whether the budget was charged.
        """
        if record.is_next_send_paid:
            return False
        self.spend(service)
        record.pay_next_send()
        return True

    def has_token(self, service: ServiceId) -> bool:
        """Return whether the budget allows a retry now."""
        return self._budget(service).has_token()

    def may_hedge(self, service: ServiceId) -> bool:
        """Return whether the budget allows to send a running call once more.

        Half of the budget is kept for calls that failed.
        """
        budget = self._budget(service)
        return budget.has_token() and budget.tokens >= self._capacity / 2

    def spend(self, service: ServiceId) -> None:
        """Charge the budget for one retry."""
        self._budget(service).spend()

    def _budget(self, service: ServiceId) -> RetryBudget:
        capacity = self._capacity
        if service not in self._budgets:
            told = self._loads.vm_count or ASSUMED_VM_COUNT
            first = min(FIRST_TOKENS, self._settings.retry_slack / told)
            self._budgets[service] = RetryBudget(max(MIN_TOKENS, first))
            self._first_tokens[service] = max(MIN_TOKENS, first)
        budget = self._budgets[service]
        budget.resize(capacity)
        if self._vm_count and service in self._first_tokens:
            first = self._first_tokens.pop(service)
            budget.record_request(max(0.0, capacity - first))
        return budget

    @property
    def _vm_count(self) -> int:
        """How many VMs share the slack; 0 before that is settled."""
        if not self._settings.seeds:
            return self._loads.vm_count or ASSUMED_VM_COUNT
        return self._loads.settled_vm_count

    @property
    def _capacity(self) -> float:
        vm_count = self._vm_count or ASSUMED_VM_COUNT
        return max(MIN_TOKENS, self._settings.retry_slack / vm_count)
