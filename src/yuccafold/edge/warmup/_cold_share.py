"""How much of what a cold target takes falls to one of many VMs."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds

TERM = Milliseconds(4_000)
"""How long a VM is among those that send calls to a cold target: callers honour a delay
of up to a third of their time, so in most cases one of the next terms is in time."""

PAUSE_MARGIN = 1.05
"""Calls are sent so much further apart than needed, as clocks are rounded."""

MAX_EXCESS_PROBABILITY = 1e-6
"""Probability that more VMs than a cold target takes calls in a second may send one,
for a target and a term: a large fleet has about 10,000 of these in a month."""


@final
@dataclass(frozen=True, slots=True)
class ColdBound:
    """What the cold targets of a service take from all VMs together.

    They should get ``rate`` calls a second, and at most ``most`` in any second.
    """

    rate: float
    most: int

    @classmethod
    def of(cls, rate: float, multiple: float, slack: float) -> ColdBound:
        """Return the bound of targets that take ``rate`` calls a second."""
        return cls(rate, math.floor(rate * multiple + slack))


@final
@dataclass(frozen=True, slots=True)
class ColdShare:
    """The share of one VM in the calls to a cold target.

    It sends calls at least ``pause`` apart, in a random part ``members`` of all terms.
    """

    pause: Milliseconds
    members: float


@lru_cache(maxsize=256)
def cold_share(bound: ColdBound, vms: int) -> ColdShare:
    """Return the share of each of ``vms`` VMs that know nothing of each other's calls.

    If all of them can send calls in the same second, the bound holds for certain. In
    larger fleets, a random part of them send one call a second each.
    """
    even_pause = PAUSE_MARGIN * MS_PER_SECOND * vms / bound.rate
    calls_in_a_second = math.floor(MS_PER_SECOND / even_pause) + 1
    if vms * calls_in_a_second <= bound.most:
        return ColdShare(Milliseconds(math.ceil(even_pause)), 1.0)
    pause = Milliseconds(math.ceil(PAUSE_MARGIN * MS_PER_SECOND))
    members_in_a_second = _largest_probability(vms, bound.most)
    # In a second in which a term ends, members of both terms may send a call.
    members = members_in_a_second / (1 + MS_PER_SECOND / TERM)
    return ColdShare(pause, min(members, bound.rate / vms))


def _largest_probability(vms: int, most: int) -> float:
    """Return the probability with which ``vms`` VMs are seldom more than ``most``."""
    if vms <= most:
        return 1.0
    low, high = 0.0, 1.0
    for _ in range(30):
        middle = (low + high) / 2
        if _excess_probability(vms, middle, most) > MAX_EXCESS_PROBABILITY:
            high = middle
        else:
            low = middle
    return low


def _excess_probability(vms: int, probability: float, most: int) -> float:
    """Return the probability that more than ``most`` of ``vms`` VMs are drawn.

    Terms beyond the bound are added up, as 1 less the others loses all digits.
    """
    if vms * probability >= most or probability >= 1:
        return 1.0
    odds = math.log(probability) - math.log1p(-probability)
    return math.fsum(
        math.exp(
            math.lgamma(vms + 1)
            - math.lgamma(drawn + 1)
            - math.lgamma(vms - drawn + 1)
            + drawn * odds
            + vms * math.log1p(-probability)
        )
        for drawn in range(most + 1, min(vms, 4 * most + 40) + 1)
    )
