"""Keeps second sends of calls to this VM's part of the fleet's retry budget."""

from __future__ import annotations

from typing import final

from yuccafold._ids import ServiceId
from yuccafold._retry_budget import RetryBudget
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._settings import EdgeSettings

UNTOLD_VMS = 16
"""VMs that the slack is shared by until seeds have told how many there are."""


@final
class Retries:
    """One budget a service: a share of its calls, and a part of the slack.

    The users bound the retries of all VMs together. Each VM earns the share of
    its own calls, and the slack is split by the number of VMs that seeds tell.
    Answers targets that reject or lose the calls of all VMs at the same time.
    """

    def __init__(self, settings: EdgeSettings, loads: LoadTable) -> None:
        self._settings = settings
        self._loads = loads
        self._budgets: dict[ServiceId, RetryBudget] = {}

    def note_call(self, service: ServiceId) -> None:
        """Earn the share of one call that came from a caller."""
        self._budget(service).note_request(self._settings.retry_ratio)

    def has_token(self, service: ServiceId) -> bool:
        """Return whether a call may be sent once more now."""
        return self._budget(service).has_token()

    def spend(self, service: ServiceId) -> None:
        """Count a call that is sent once more."""
        self._budget(service).spend()

    def _budget(self, service: ServiceId) -> RetryBudget:
        vms = self._loads.vms or UNTOLD_VMS
        capacity = max(1.0, self._settings.retry_slack / vms)
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(capacity)
        budget.resize(capacity)
        return budget
