"""The home VM of an account, which divides the account's limit among VMs."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.admission._limit_settings import LimitSettings
from yuccafold.admission._messages import AccountDemand
from yuccafold.admission._messages import AccountShare


@dataclass(slots=True)
class _Grant:
    number: int
    share: float
    expires_at: int


@dataclass(slots=True)
class _Reporter:
    demand: float = 0.0
    grants: list[_Grant] = field(default_factory=list)

    def outstanding(self, now: Milliseconds) -> float:
        """Return the largest share that the VM may be using."""
        self.grants = [grant for grant in self.grants if grant.expires_at > now]
        return max((grant.share for grant in self.grants), default=0.0)


def max_min_fair(demands: Iterable[float], own_demand: float) -> float:
    """Return the max-min fair part of 1 for ``own_demand``, one of ``demands``."""
    remaining = 1.0
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if demand > level:
            return min(own_demand, level)
        remaining -= demand
    return own_demand


@final
class LimitHome:
    """Grants shares; all shares that VMs may be using add up to at most 1.

    A share counts until its lease expires or its holder reports that it uses a
    later one. The holder's lease starts at the time of its report, so it expires
    there earlier than here.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._numbers = itertools.count(1)
        self._accounts: dict[AccountId, dict[VmId, _Reporter]] = {}
        self._stamps: dict[VmId, tuple[Incarnation, int]] = {}

    def is_late(self, vm: VmId, incarnation: Incarnation, stamp: int) -> bool:
        """Record a report's stamp; return whether it isn't newer than the last one."""
        last = self._stamps.get(vm)
        if last is not None and (incarnation, stamp) <= last:
            return True
        self._stamps[vm] = (incarnation, stamp)
        return False

    def grant(
        self, vm: VmId, demand: AccountDemand, even_share: float, now: Milliseconds
    ) -> AccountShare:
        """Grant and return a new share for ``vm``.

        Even with little demand, a VM gets at least ``even_share`` if that is free,
        because it may use that much without a lease.
        """
        reporters = self._accounts.setdefault(demand.account, {})
        reporter = reporters.setdefault(vm, _Reporter())
        reporter.demand = max(even_share, demand.demand * self._settings.headroom)
        reporter.grants = [
            grant for grant in reporter.grants if grant.number >= demand.holds
        ]
        self._remove_idle(reporters, vm, now)
        fair_share = max_min_fair(
            (each.demand for each in reporters.values()), reporter.demand
        )
        others = sum(
            other.outstanding(now) for name, other in reporters.items() if name != vm
        )
        share = max(0.0, min(fair_share, 1.0 - others))
        number = next(self._numbers)
        expires_at = now + self._settings.lease_ms(len(reporters))
        reporter.grants.append(_Grant(number, share, expires_at))
        self._check(demand.account, now)
        report_ms = self._settings.report_every_ms(len(reporters))
        return AccountShare(demand.account, share, number, report_ms)

    def total_share(self, account: AccountId, now: Milliseconds) -> float:
        """Return the sum of all shares of ``account`` that VMs may be using."""
        reporters = self._accounts.get(account, {})
        return sum(reporter.outstanding(now) for reporter in reporters.values())

    def expire(self, now: Milliseconds) -> None:
        """Remove accounts without a share in use."""
        for account, reporters in tuple(self._accounts.items()):
            self._remove_idle(reporters, None, now)
            if not reporters:
                del self._accounts[account]

    @staticmethod
    def _remove_idle(
        reporters: dict[VmId, _Reporter], kept: VmId | None, now: Milliseconds
    ) -> None:
        for vm, reporter in tuple(reporters.items()):
            if vm != kept and not reporter.outstanding(now) and not reporter.grants:
                del reporters[vm]

    def _check(self, account: AccountId, now: Milliseconds) -> None:
        total = self.total_share(account, now)
        if total > 1.0 + 1e-9:
            raise AssertionError(f"expected shares of at most 1, got {total}")
