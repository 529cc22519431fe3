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
    """What an account asks of one VM, as a fraction of the account's limit.

    ``holds`` is the number of the share in use; 0 is none.
    """

    account: AccountId
    demand: float
    holds: int


@final
@dataclass(frozen=True, slots=True)
class LimitReport:
    """Asks an account's home for shares; ``stamp`` is the sender's clock."""

    incarnation: Incarnation
    stamp: int
    accounts: tuple[AccountDemand, ...]


@final
@dataclass(frozen=True, slots=True)
class AccountShare:
    """The fraction of an account's limit that the receiver may use.

    The next report is due in ``report_ms``, and the lease is a fixed multiple.
    """

    account: AccountId
    share: float
    number: int
    report_ms: int


@final
@dataclass(frozen=True, slots=True)
class LimitShares:
    """Answers the report with this ``stamp``, from which the lease runs."""

    incarnation: Incarnation
    stamp: int
    shares: tuple[AccountShare, ...]


def register_messages() -> None:
    """Make the messages known to the peer codec."""
    register("limits.report", LimitReport)
    register("limits.shares", LimitShares)
