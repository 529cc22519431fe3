"""Estimates the work that callers want done, by client account and urgency."""

from __future__ import annotations

import math
from collections import Counter
from collections import defaultdict
from collections import deque
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.edge.sharing._decay import DecayingSum
from yuccafold.edge.sharing._decay import decay
from yuccafold.edge.sharing._decay import seconds_of_weight

DEMAND_HALF_LIFE = Milliseconds(800)
"""Half-life of the weight of calls in the estimated demand: traffic that jumps must be
noticed within about a second."""

DEMAND_SECONDS = DEMAND_HALF_LIFE / math.log(2) / MS_PER_SECOND
"""Seconds of calls that the weights add up to."""

QUIET_TIME = Milliseconds(1_000)
"""Time without calls that is assumed before the first one. Counted from that call on,
the demand of a VM with few calls would be overestimated."""

USUAL_HALF_LIFE = Milliseconds(10_000)
"""Half-life of what an account usually sends: longer than the bursts that it is
compared with, and learned soon after a VM started."""

USUAL_INTERVAL = Milliseconds(1_000)
"""How often what accounts usually send is learned."""

SURE_INTERVALS = 3
"""Intervals after which demand counts as usual, if there was room for all meanwhile:
the first moments of a surge, before it is noticed, must not count."""

MAX_ACCOUNTS = 48
"""Accounts of a service that a report names; the demand of all others is summed up."""

OTHER_ACCOUNTS = AccountId("*")
"""Stands for the accounts that a report doesn't name."""

LEAST_REPORTED = 0.5
"""Milliseconds of work a second below which demand counts as none."""


class Work(NamedTuple):
    """Milliseconds of work a second: of new calls, and of calls that came back."""

    new: float = 0.0
    returned: float = 0.0

    @property
    def total(self) -> float:
        """The work of both."""
        return self.new + self.returned

    def plus(self, other: Work, sign: int = 1) -> Work:
        """Return the sum, or the difference, which is not below 0."""
        return Work(
            max(0.0, self.new + sign * other.new),
            max(0.0, self.returned + sign * other.returned),
        )


@final
@dataclass(frozen=True, slots=True)
class AccountDemand:
    """What an account wants by urgency, and in total while there is room for all."""

    by_level: Mapping[int, Work] = field(default_factory=dict)
    usual: float = 0.0

    @property
    def total(self) -> float:
        """Milliseconds of work a second over all levels."""
        return sum(work.total for work in self.by_level.values())

    def plus(self, other: AccountDemand, sign: int = 1) -> AccountDemand:
        """Return the sum, or the difference, which is not below 0."""
        levels = self.by_level.keys() | other.by_level.keys()
        return AccountDemand(
            {
                level: self.by_level.get(level, NO_WORK).plus(
                    other.by_level.get(level, NO_WORK), sign
                )
                for level in levels
            },
            max(0.0, self.usual + sign * other.usual),
        )


NO_WORK = Work()
NO_DEMAND = AccountDemand()

Demand = Mapping[AccountId, AccountDemand]
"""The demand for one service by account."""

DemandByService = Mapping[ServiceId, Demand]


@final
class LocalDemand:
    """The demand of the calls that came to this VM for one service.

    All attempts of callers count, also those that are refused.
    """

    def __init__(self, now: Milliseconds) -> None:
        self._began_at = now - QUIET_TIME
        self._sums: dict[tuple[AccountId, int, bool], DecayingSum] = {}
        self._usual: dict[AccountId, float] = {}
        self._usual_at = now
        self._learned_for = Milliseconds(SURE_INTERVALS * USUAL_INTERVAL)
        self._seen: deque[Mapping[AccountId, float]] = deque()

    def record(
        self,
        account: AccountId,
        level: int,
        is_return: bool,
        cost_ms: float,
        now: Milliseconds,
    ) -> None:
        """Count a call that takes ``cost_ms`` at an idle target."""
        key = (account, level, is_return)
        if key not in self._sums:
            self._sums[key] = DecayingSum(DEMAND_HALF_LIFE, now)
        self._sums[key].add(cost_ms, now)

    def learn_usual(self, has_room: bool, now: Milliseconds) -> None:
        """Learn what accounts usually send, from times with room for all."""
        if not has_room:
            self._seen.clear()
        if now - self._usual_at < USUAL_INTERVAL:
            return
        passed = min(now - self._usual_at, 2 * USUAL_INTERVAL)
        self._usual_at = now
        if not has_room:
            return
        self._seen.append(self._totals(now))
        if len(self._seen) <= SURE_INTERVALS:
            return
        seen = self._seen.popleft()
        self._learned_for = Milliseconds(self._learned_for + passed)
        kept = decay(passed, USUAL_HALF_LIFE)
        usual = {
            account: kept * self._usual.get(account, 0.0)
            + (1 - kept) * seen.get(account, 0.0)
            for account in {**self._usual, **seen}
        }
        self._usual = {
            account: rate for account, rate in usual.items() if rate >= LEAST_REPORTED
        }

    def report(self, now: Milliseconds) -> dict[AccountId, AccountDemand]:
        """Return the demand by account, and drop what has faded away."""
        weight = seconds_of_weight(DEMAND_HALF_LIFE, now - self._began_at)
        rates = {key: sum_.value(now) / weight for key, sum_ in self._sums.items()}
        levels: dict[AccountId, dict[int, Work]] = defaultdict(dict)
        for (account, level, is_return), rate in rates.items():
            if rate < LEAST_REPORTED:
                del self._sums[account, level, is_return]
                continue
            work = levels[account].get(level, NO_WORK)
            added = Work(0.0, rate) if is_return else Work(rate)
            levels[account][level] = work.plus(added)
        learned = 1 - decay(self._learned_for, USUAL_HALF_LIFE)
        return {
            account: AccountDemand(
                levels.get(account, {}), self._usual.get(account, 0.0) / learned
            )
            for account in {**levels, **self._usual}
        }

    def _totals(self, now: Milliseconds) -> dict[AccountId, float]:
        weight = seconds_of_weight(DEMAND_HALF_LIFE, now - self._began_at)
        totals: dict[AccountId, float] = defaultdict(float)
        for (account, _, _), sum_ in self._sums.items():
            totals[account] += sum_.value(now) / weight
        return totals


@final
class LocalPart:
    """The part of the demand at all VMs that came to this VM lately."""

    def __init__(self, now: Milliseconds) -> None:
        self._local = DecayingSum(USUAL_HALF_LIFE, now)
        self._total = DecayingSum(USUAL_HALF_LIFE, now)

    def record(self, local: Demand, total: Demand, now: Milliseconds) -> None:
        """Record what this VM reported, and the total with it."""
        self._local.add(sum(part.total for part in local.values()), now)
        self._total.add(sum(part.total for part in total.values()), now)

    def value(self, now: Milliseconds) -> float | None:
        """Return the part, ``None`` if there was no demand."""
        total = self._total.value(now)
        return min(1.0, self._local.value(now) / total) if total else None


@final
class AccountTotals:
    """Work that each account was admitted and refused at this VM since it started.

    The first accounts are named, so that their number stays bounded and totals never
    fall.
    """

    def __init__(self) -> None:
        self._by_account: dict[AccountId, Counter[str]] = {}

    def record(self, account: AccountId, outcome: str, cost_ms: float) -> None:
        """Count a call with its ``outcome``."""
        if account not in self._by_account and len(self._by_account) >= MAX_ACCOUNTS:
            account = OTHER_ACCOUNTS
        counter = self._by_account.setdefault(account, Counter())
        counter[f"{outcome}_calls"] += 1
        counter[f"{outcome}_work_ms"] += round(cost_ms)

    def rows(self) -> Iterator[tuple[AccountId, str, int]]:
        """Yield the account, the name and the value of each total."""
        for account, counter in self._by_account.items():
            for name, value in counter.items():
                yield account, name, value


def add_demand(tables: Iterable[Demand]) -> dict[AccountId, AccountDemand]:
    """Return the sum of the demand of several VMs for one service."""
    total: dict[AccountId, AccountDemand] = {}
    for table in tables:
        for account, demand in table.items():
            known = total.get(account)
            total[account] = demand if known is None else known.plus(demand)
    return total


def subtract_demand(total: Demand, part: Demand) -> dict[AccountId, AccountDemand]:
    """Return what is left of ``total`` without ``part``."""
    return {
        account: demand.plus(part[account], -1) if account in part else demand
        for account, demand in total.items()
    }


def summarize_demand(demand: Demand) -> dict[AccountId, AccountDemand]:
    """Return the largest accounts, and the sum of all others.

    Like a merged summary of frequent items (Agarwal et al., Mergeable Summaries, 2012)
    it names every account with more than its part of the demand, whatever the order
    in which VMs are added up.
    """
    if len(demand) <= MAX_ACCOUNTS:
        return dict(demand)
    largest = sorted(
        (account for account in demand if account != OTHER_ACCOUNTS),
        key=lambda account: (-demand[account].total, account),
    )[: MAX_ACCOUNTS - 1]
    named = set(largest)
    others = add_demand(
        {OTHER_ACCOUNTS: part}
        for account, part in demand.items()
        if account not in named
    )
    return {account: demand[account] for account in largest} | others
