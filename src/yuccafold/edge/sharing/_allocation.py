"""Divides what a service can do between levels of urgency and accounts."""

from __future__ import annotations

import math
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._ids import AccountId
from yuccafold.edge.sharing._demand import OTHER_ACCOUNTS
from yuccafold.edge.sharing._demand import Demand
from yuccafold.edge.sharing._demand import Work

LEAST_SHARE = 0.3
"""Share of what all get on average that each account and level gets at least; the
users ask for a quarter, and estimates of demand are off by some."""

RETURN_RESERVE = 0.25
"""Part of an account's room at a level that is promised to calls which were refused:
more of it would make most calls of an account come twice."""

RATIONED_MULTIPLE = 2.0
"""How much of the room is rationed, as a multiple of the demand beyond it: what is
given whole to accounts within their part needs no correction."""

CHANCE_DEVIATIONS = 2.0
"""Standard deviations by which demand that is counted for a moment may be above what
an account usually sends, and still counts as that."""

WHOLE = 1 - 1e-6
"""Part of what is wanted from which rounding is taken to be what is missing."""

BISECTIONS = 30
"""Steps in which the level of the fill is found, to a billionth of the highest."""


@final
@dataclass(frozen=True, slots=True)
class Share:
    """Shares of the calls of one account and level that are admitted.

    ``promised`` is the share of the refused new calls that may come back.
    """

    new: float = 1.0
    returned: float = 1.0
    promised: float = 0.0
    allotted: float = 0.0


ALL = Share()


@final
@dataclass(frozen=True, slots=True)
class Allocation:
    """Shares by account and level; without any there is room for all."""

    shares: Mapping[tuple[AccountId, int], Share] = field(default_factory=dict)
    by_level: Mapping[int, float] = field(default_factory=dict)
    demand: float = 0.0
    room: float = math.inf

    @property
    def binds(self) -> bool:
        """Whether there isn't room for all."""
        return bool(self.shares)

    def share(self, account: AccountId, level: int) -> Share:
        """Return the share of an account, which may not be named in reports."""
        if not self.shares:
            return ALL
        known = self.shares.get((account, level))
        if known is None:
            known = self.shares.get((OTHER_ACCOUNTS, level))
        if known is not None:
            return known
        # The first calls of an account at a level are as good as those of all others.
        share = self.by_level.get(level)
        if share is None:
            below = [s for other, s in self.by_level.items() if other > level]
            above = [s for other, s in self.by_level.items() if other < level]
            share = max(below, default=min(above, default=1.0))
        return Share(share, share)


def allocate(
    demand: Demand,
    room: float,
    rate: float = 0.0,
    one_call: float = 0.0,
    scale: float = 1.0,
) -> Allocation:
    """Divide ``room``, in milliseconds of work a second.

    ``rate`` is what the service can do for long. If room is less than that, as there
    are too many calls in flight, those accounts pay that want more than they may.
    ``one_call`` is how much a call just counted adds to the demand.
    Of what is rationed, only the part ``scale`` is given out.

    Accounts share it by max-min fairness beyond what they usually send, to which each
    is entitled. Demand that is above that by chance counts as usual. Within an account
    more urgent calls go first. No level as a whole gets a larger share than a
    more urgent one, and no account at any level less than a part of the mean.
    """
    total = sum(account.total for account in demand.values())
    room = max(0.0, room)
    if total <= room:
        return Allocation(demand=total, room=room)
    least = LEAST_SHARE * room / total
    rate = max(room, rate)
    entitled = _entitlements(demand, rate, rate, one_call, least)
    parts = _entitlements(demand, room, rate, one_call, least)
    excess = {a: max(0.0, part.total - parts[a]) for a, part in demand.items()}
    _charge(demand, entitled, excess, sum(entitled.values()) - room, least)
    entitled = fill(entitled, entitled, room)
    limited = {a for a, part in demand.items() if entitled[a] < WHOLE * part.total}
    unsure = (1 - scale) * min(room, RATIONED_MULTIPLE * (total - room))
    _charge(demand, entitled, excess, unsure, least)
    levels = sorted({level for part in demand.values() for level in part.by_level})
    allotted: dict[int, dict[AccountId, float]] = {level: {} for level in levels}
    for account, part in demand.items():
        left = entitled[account] - least * part.total
        for level in sorted(part.by_level):
            wanted = part.by_level[level].total
            extra = min((1 - least) * wanted, max(0.0, left))
            left -= extra
            allotted[level][account] = least * wanted + extra
    by_level = _order_levels(demand, levels, allotted, least)
    shares = {
        (account, level): _share(
            demand[account].by_level[level],
            work,
            one_call if account in limited else 0.0,
        )
        for level in levels
        for account, work in allotted[level].items()
    }
    return Allocation(shares, by_level, total, room)


def _entitlements(
    demand: Demand, room: float, rate: float, one_call: float, least: float
) -> dict[AccountId, float]:
    """Return how much work each account may have done.

    Each gets what it usually sends, then what it sends more by chance. What is left is
    divided equally.
    """
    usual = sum(account.usual for account in demand.values())
    # More than the service can do can't be usual.
    scale = min(1.0, rate / usual) if usual else 1.0
    entitled = {
        account: min(part.total, max(scale * part.usual, least * part.total))
        for account, part in demand.items()
    }
    chance = {
        account: CHANCE_DEVIATIONS * math.sqrt(scale * part.usual * one_call)
        for account, part in demand.items()
    }
    for most, weights in (
        (chance, chance),
        (dict.fromkeys(demand, math.inf), _account_counts(demand)),
    ):
        left = max(0.0, room - sum(entitled.values()))
        wanted = {
            account: min(most[account], part.total - entitled[account])
            for account, part in demand.items()
        }
        added = fill(wanted, weights, left)
        entitled = {
            account: work + added[account] for account, work in entitled.items()
        }
    return entitled


def _charge(
    demand: Demand,
    entitled: dict[AccountId, float],
    excess: Mapping[AccountId, float],
    lack: float,
    least: float,
) -> None:
    """Take ``lack`` from the accounts by what they want beyond their part."""
    if lack <= 0:
        return
    spare = {
        account: max(0.0, entitled[account] - least * part.total)
        for account, part in demand.items()
        if excess[account]
    }
    for account, taken in fill(spare, excess, lack).items():
        entitled[account] -= taken


def _account_counts(demand: Demand) -> dict[AccountId, float]:
    """Return 1 for each account, and about how many those are that aren't named."""
    named = [
        part.total
        for account, part in demand.items()
        if account != OTHER_ACCOUNTS and part.total > 0
    ]
    others = demand[OTHER_ACCOUNTS].total if OTHER_ACCOUNTS in demand else 0.0
    count = max(1.0, others / min(named)) if named else 1.0
    return {account: count if account == OTHER_ACCOUNTS else 1.0 for account in demand}


def fill(
    wanted: Mapping[AccountId, float],
    weights: Mapping[AccountId, float],
    room: float,
    least: float = 0.0,
) -> dict[AccountId, float]:
    """Divide ``room`` by weighted max-min fairness, also known as water-filling.

    No account gets more than it wants or less than the share ``least`` of it.
    """

    def at(height: float) -> dict[AccountId, float]:
        return {
            account: min(amount, max(least * amount, height * weights[account]))
            for account, amount in wanted.items()
        }

    heights = [
        amount / weights[account]
        for account, amount in wanted.items()
        if weights[account]
    ]
    low, high = 0.0, max(heights, default=0.0)
    if sum(wanted.values()) <= room:
        return dict(wanted)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if sum(at(middle).values()) > room:
            high = middle
        else:
            low = middle
    return at(low)


def _order_levels(
    demand: Demand,
    levels: Sequence[int],
    allotted: dict[int, dict[AccountId, float]],
    least: float,
) -> dict[int, float]:
    """Give levels that would be served worse than less urgent ones the same share.

    Adjacent levels in the wrong order are pooled. Changes ``allotted``, and returns the
    share of each level.
    """
    pools: list[tuple[list[int], float, float]] = []
    for level in levels:
        members = [level]
        given = sum(allotted[level].values())
        wanted = sum(
            part.by_level[level].total
            for part in demand.values()
            if level in part.by_level
        )
        while pools and given * pools[-1][2] > pools[-1][1] * wanted:
            others, others_given, others_wanted = pools.pop()
            members = others + members
            given += others_given
            wanted += others_wanted
        pools.append((members, given, wanted))
    shares: dict[int, float] = {}
    for members, given, wanted in pools:
        share = min(1.0, given / wanted) if wanted else 1.0
        shares |= dict.fromkeys(members, share)
        if len(members) == 1:
            continue
        for level in members:
            amounts = {
                account: demand[account].by_level[level].total
                for account in allotted[level]
            }
            room = share * sum(amounts.values())
            allotted[level] = fill(amounts, allotted[level], room, least)
    return shares


def _share(wanted: Work, allotted: float, one_call: float) -> Share:
    """Return the shares of an account's calls; those that came back go first.

    The quotient of a constant and a random count is too large on average. With
    ``one_call`` added to the count, it is not. What is in proportion to the count needs
    no correction.
    """
    returned = min(1.0, allotted / wanted.returned) if wanted.returned else 1.0
    left = max(0.0, allotted - wanted.returned)
    new = left / (wanted.new + one_call) if left < WHOLE * wanted.new else 1.0
    refused = (1 - new) * wanted.new
    promised = min(1.0, RETURN_RESERVE * allotted / refused) if refused else 0.0
    return Share(new, returned, promised, allotted)
