"""Fleet-wide limits of client accounts."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any
from typing import final

import xxhash

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.admission._home import LimitHome
from yuccafold.admission._limit_settings import LimitSettings
from yuccafold.admission._messages import AccountDemand
from yuccafold.admission._messages import AccountShare
from yuccafold.admission._messages import LimitReport
from yuccafold.admission._messages import LimitShares
from yuccafold.admission._meter import Meter
from yuccafold.settings import Policy

MIN_RETRY_MS = 100
SWEEP_INTERVAL_MS = 1_000
"""How often idle accounts and expired shares are removed."""
MAX_CACHED_HOMES = 16_384
"""The maximum number of accounts whose home VM is cached."""
UNREPORTED_CHECK_INTERVAL_MS = 250
"""How often the demand of an unreported account is checked."""


def is_limited(policy: Policy) -> bool:
    """Return whether a policy has any limit."""
    return bool(
        policy.requests_per_second
        or policy.tokens_per_second
        or policy.concurrent_requests
    )


def home_of(account: AccountId, vms: Iterable[VmId]) -> VmId:
    """Return the VM that divides the limit of ``account``."""
    return max(vms, key=lambda vm: (_weight(account, vm), vm))


def _weight(account: AccountId, vm: VmId) -> int:
    return xxhash.xxh3_64_intdigest(f"{vm}|{account}".encode())


@dataclass(slots=True)
class _Account:
    """The state of one limited account on this VM."""

    policy: Policy
    meter: Meter
    home: VmId
    share: float = 0.0
    share_number: int = 0
    lease_expires_at: int = 0
    report_at: int = 0
    used_at: int = 0


@dataclass(frozen=True, slots=True)
class _FormerView:
    """A former list of VMs; its homes' leases expire by ``leases_expire_at``."""

    vms: tuple[VmId, ...]
    leases_expire_at: int


@final
class AccountLimits:
    """Admits calls within the limits of their account, without I/O.

    An account's home VM divides the limit by demand and leases the shares; without
    a lease a VM uses its even share, limit / live VMs. So all VMs together use at
    most twice the limit, whichever messages are lost, and at most the limit if
    every VM with demand holds a lease or if none does.
    """

    def __init__(
        self,
        me: VmId,
        incarnation: Incarnation,
        settings: LimitSettings,
        rng: random.Random,
        now: Milliseconds,
    ) -> None:
        self._me = me
        self._incarnation = incarnation
        self._settings = settings
        self._rng = rng
        self._home = LimitHome(settings)
        self._accounts: dict[AccountId, _Account] = {}
        self._vms: tuple[VmId, ...] = (me,)
        self._homes: dict[AccountId, VmId] = {}
        self._former_views: list[_FormerView] = []
        self._started_at = now
        self._sweep_at: int = now

    @property
    def home(self) -> LimitHome:
        """The shares that this VM granted as a home."""
        return self._home

    def share(self, account: AccountId, now: Milliseconds) -> float:
        """Return the fraction of the account's limit that this VM may use."""
        leased = self.leased(account, now)
        return 1.0 / len(self._vms) if leased is None else leased

    def leased(self, account: AccountId, now: Milliseconds) -> float | None:
        """Return the share that the account's home leased to this VM, or None."""
        held = self._accounts.get(account)
        if held is None or held.lease_expires_at <= now:
            return None
        return held.share

    def view_changed(self, live: tuple[VmId, ...], now: Milliseconds) -> None:
        """Apply the live VMs; accounts with a new home get no shares for one lease."""
        vms = tuple(sorted({*live, self._me}))
        if vms == self._vms:
            return
        leases_expire_at = now + self._settings.lease_ms(max(len(vms), len(self._vms)))
        self._former_views.append(_FormerView(self._vms, leases_expire_at))
        self._vms = vms
        self._homes.clear()
        for name, account in self._accounts.items():
            home = self._home_of(name)
            if home != account.home:
                account.home = home
                account.share_number = account.lease_expires_at = account.report_at = 0

    def admit(
        self,
        name: AccountId,
        policy: Policy,
        tokens: int,
        now: Milliseconds,
        is_retry: bool = False,
    ) -> Refusal | None:
        """Admit and count a call, or return the refusal.

        A further attempt of an admitted call (``is_retry``) only counts as a call in
        progress. ``finish`` must be called for every admitted call.
        """
        if not is_limited(policy):
            return None
        account = self._account(name, policy, now)
        if is_retry:
            account.meter.running += 1
            return None
        account.meter.record_demand(tokens, now)
        wait = account.meter.wait_ms(policy, self.share(name, now), now)
        if wait:
            return self._refusal(name, wait)
        account.meter.charge(tokens)
        account.meter.running += 1
        return None

    def finish(self, name: AccountId, policy: Policy) -> None:
        """Record the end of a call that was admitted under ``policy``."""
        if not is_limited(policy):
            return
        account = self._accounts.get(name)
        if account is not None and account.meter.running > 0:
            account.meter.running -= 1

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Handle a message of another VM; return the messages to send."""
        return self._handle(message, sender, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the due demand reports to the accounts' homes."""
        if self._sweep_at <= now:
            self._sweep_at = now + SWEEP_INTERVAL_MS
            self._sweep(now)
        demands: dict[VmId, list[AccountDemand]] = {}
        for name, account in self._accounts.items():
            if account.report_at <= now:
                demand = self._demand(name, account, now)
                if demand is not None:
                    demands.setdefault(account.home, []).append(demand)
        outgoing = []
        for home, reported in demands.items():
            reported.sort(key=lambda each: -each.demand)
            kept = tuple(reported[: self._settings.max_accounts])
            report = LimitReport(self._incarnation, now, kept)
            if home == self._me:
                self._handle(report, home, now)
            else:
                outgoing.append(Outgoing(home, report))
        return outgoing

    def _account(self, name: AccountId, policy: Policy, now: Milliseconds) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            meter = Meter(self._settings.rate_window_ms, now)
            account = _Account(policy, meter, self._home_of(name))
            self._accounts[name] = account
        account.policy = policy
        account.used_at = now
        return account

    def _demand(
        self, name: AccountId, account: _Account, now: Milliseconds
    ) -> AccountDemand | None:
        demand = account.meter.demand(account.policy, now)
        if account.lease_expires_at <= now:
            account.share_number = 0
        if demand < self._settings.min_reported_share / len(self._vms):
            account.report_at = now + UNREPORTED_CHECK_INTERVAL_MS
            return None
        account.report_at = now + self._settings.report_ms
        account.meter.mark_reported()
        return AccountDemand(name, round(demand, 4), account.share_number)

    def _sweep(self, now: Milliseconds) -> None:
        """Remove idle accounts, expired shares and expired former views."""
        self._home.expire(now)
        if len(self._homes) > MAX_CACHED_HOMES:
            self._homes.clear()
        self._former_views = [
            view for view in self._former_views if view.leases_expire_at > now
        ]
        limit = now - 2 * self._settings.lease_ms(len(self._vms))
        for name, account in tuple(self._accounts.items()):
            if account.used_at <= limit and not account.meter.running:
                del self._accounts[name]

    @singledispatchmethod
    def _handle(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        return []

    @_handle.register
    def _(
        self, message: LimitReport, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if self._home.is_late(sender, message.incarnation, message.stamp):
            return []
        shares = tuple(
            self._home.grant(sender, demand, 1.0 / len(self._vms), now)
            for demand in message.accounts
            if self._may_grant(demand.account, now)
        )
        if not shares:
            return []
        answer = LimitShares(message.incarnation, message.stamp, shares)
        if sender == self._me:
            return self._handle(answer, sender, now)
        return [Outgoing(sender, answer)]

    @_handle.register
    def _(
        self, message: LimitShares, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if message.incarnation == self._incarnation:
            for share in message.shares:
                lease = self._settings.reports_per_lease * share.report_ms
                if now < message.stamp + lease:
                    self._apply_share(share, sender, message.stamp)
        return []

    def _apply_share(self, share: AccountShare, sender: VmId, stamp: int) -> None:
        account = self._accounts.get(share.account)
        if account is None or account.home != sender:
            return
        if share.number > account.share_number:
            account.share = share.share
            account.share_number = share.number
            account.lease_expires_at = stamp + (
                self._settings.reports_per_lease * share.report_ms
            )
            account.report_at = stamp + share.report_ms

    def _may_grant(self, account: AccountId, now: Milliseconds) -> bool:
        """Return whether this VM is the home and no earlier home's lease runs."""
        earlier_lease = self._settings.lease_ms(len(self._vms))
        if now < self._started_at + earlier_lease:
            # Shares that this VM granted before a restart may still be in use.
            return False
        if self._home_of(account) != self._me:
            return False
        return all(
            home_of(account, view.vms) == self._me
            for view in self._former_views
            if view.leases_expire_at > now
        )

    def _home_of(self, account: AccountId) -> VmId:
        home = self._homes.get(account)
        if home is None:
            home = self._homes[account] = home_of(account, self._vms)
        return home

    def _refusal(self, name: AccountId, wait_ms: int) -> Refusal:
        retry_after = round(max(MIN_RETRY_MS, wait_ms) * self._rng.uniform(1.0, 1.5))
        return Refusal(
            429,
            "rate-limited",
            f"account {name!r} is over its limit",
            Verdict.NOT_RUN,
            retry_after,
        )
