"""Messages between VMs about the limits of client accounts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._ids import AccountId
from yuccafold._ids import Incarnation
from yuccafold.fleet import register


@final
@dataclass(frozen=True, slots=True)
class AccountDemand:
    """The demand of an account on one VM, as a fraction of the account's limit.

    ``holds`` is the number of the share in use, or 0 without one.
    """

    account: AccountId
    demand: float
    holds: int


@final
@dataclass(frozen=True, slots=True)
class LimitReport:
    """Requests shares from the accounts' home; ``stamp`` is the sender's time."""

    incarnation: Incarnation
    stamp: int
    accounts: tuple[AccountDemand, ...]


@final
@dataclass(frozen=True, slots=True)
class AccountShare:
    """The fraction of an account's limit that the receiver may use.

    The next report is due after ``report_ms``; the lease is a fixed multiple of it.
    """

    account: AccountId
    share: float
    number: int
    report_ms: int


@final
@dataclass(frozen=True, slots=True)
class LimitShares:
    """Answers the report with this ``stamp``, where the lease of each share starts."""

    incarnation: Incarnation
    stamp: int
    shares: tuple[AccountShare, ...]


def register_messages() -> None:
    """Register the messages with the peer codec."""
    register("limits.report", LimitReport)
    register("limits.shares", LimitShares)
