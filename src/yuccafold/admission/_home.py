"""The side of an account's home VM: how the limit is divided."""

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
        """Return the most that the VM may be using."""
        self.grants = [grant for grant in self.grants if grant.expires_at > now]
        return max((grant.share for grant in self.grants), default=0.0)


def max_min_fair(demands: Iterable[float], wanted: float) -> float:
    """Return how much of 1 the demand ``wanted`` among ``demands`` gets."""
    left = 1.0
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return min(wanted, level)
        left -= demand
    return wanted


@final
class LimitHome:
    """Grants shares; those that VMs may be using never add up to more than 1.

    A share counts until its lease ends or its holder says that it uses a later
    one. The holder's lease runs from when it asked, so it ends earlier there.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._numbers = itertools.count(1)
        self._accounts: dict[AccountId, dict[VmId, _Reporter]] = {}
        self._stamps: dict[VmId, tuple[Incarnation, int]] = {}

    def is_late(self, vm: VmId, incarnation: Incarnation, stamp: int) -> bool:
        """Note a report; return whether a later one was taken before."""
        last = self._stamps.get(vm)
        if last is not None and (incarnation, stamp) <= last:
            return True
        self._stamps[vm] = (incarnation, stamp)
        return False

    def grant(
        self, vm: VmId, demand: AccountDemand, even: float, now: Milliseconds
    ) -> AccountShare:
        """Return the share of ``vm`` from now on; ``even`` is an even share.

        With little demand it is still an even share where that is free, so that
        a lease is no worse than none.
        """
        reporters = self._accounts.setdefault(demand.account, {})
        reporter = reporters.setdefault(vm, _Reporter())
        reporter.demand = max(even, demand.demand * self._settings.headroom)
        reporter.grants = [it for it in reporter.grants if it.number >= demand.holds]
        self._forget_old(reporters, vm, now)
        wanted = max_min_fair((it.demand for it in reporters.values()), reporter.demand)
        others = sum(
            it.outstanding(now) for name, it in reporters.items() if name != vm
        )
        share = max(0.0, min(wanted, 1.0 - others))
        number = next(self._numbers)
        expires_at = now + self._settings.lease_ms(len(reporters))
        reporter.grants.append(_Grant(number, share, expires_at))
        self._check(demand.account, now)
        report_ms = self._settings.report_every_ms(len(reporters))
        return AccountShare(demand.account, share, number, report_ms)

    def shares(self, account: AccountId, now: Milliseconds) -> float:
        """Return the sum of all shares that VMs may be using."""
        reporters = self._accounts.get(account, {})
        return sum(reporter.outstanding(now) for reporter in reporters.values())

    def expire(self, now: Milliseconds) -> None:
        """Forget accounts of which no share is in use."""
        for account, reporters in tuple(self._accounts.items()):
            self._forget_old(reporters, None, now)
            if not reporters:
                del self._accounts[account]

    @staticmethod
    def _forget_old(
        reporters: dict[VmId, _Reporter], kept: VmId | None, now: Milliseconds
    ) -> None:
        for vm, reporter in tuple(reporters.items()):
            if vm != kept and not reporter.outstanding(now) and not reporter.grants:
                del reporters[vm]

    def _check(self, account: AccountId, now: Milliseconds) -> None:
        total = self.shares(account, now)
        if total > 1.0 + 1e-9:
            raise AssertionError(f"expected shares of at most 1, got {total}")
