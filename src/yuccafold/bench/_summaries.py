"""Exact counts against two merges of Space Saving summaries, by error and bytes."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import final

import cbor2

COUNTERS = 32
"""How many accounts a summary holds."""
REQUESTS_PER_SECOND = 3_900
WINDOW_S = 5
ZIPF_EXPONENT = 1.1
HURWITZ_SHIFT = 20.0
TOP = 10


class Popularity(Enum):
    """How the accounts' shares of all requests fall with their rank."""

    ZIPF = "Zipf"
    HURWITZ = "Hurwitz"

    def weights(self, accounts: int) -> list[float]:
        """Return the shares, up to a factor."""
        shift = HURWITZ_SHIFT if self is Popularity.HURWITZ else 0.0
        return [1 / (rank + shift) ** ZIPF_EXPONENT for rank in range(1, accounts + 1)]


class Summary(Enum):
    """What VMs exchange."""

    EXACT = "exact counts"
    PLAIN = "Space Saving, plain merge"
    PAPER = "Space Saving, minimum subtracted"


@final
@dataclass(frozen=True, slots=True)
class SummaryResult:
    """Errors are the mean of |estimate - count| / count, in percent."""

    kind: Summary
    top: float
    rest: float
    bytes: float


def space_saving(counts: Counter[int], items: Iterable[int], size: int) -> Counter[int]:
    """Count ``items`` with ``size`` counters; a new item takes the smallest's."""
    for item in items:
        add(counts, item, 1, size)
    return counts


def add(counts: Counter[int], item: int, amount: int, size: int) -> None:
    """Count an item ``amount`` times at once."""
    if item in counts or len(counts) < size:
        counts[item] += amount
        return
    smallest = min(counts, key=lambda held: (counts[held], held))
    counts[item] = counts.pop(smallest) + amount


def merge(summaries: Iterable[Counter[int]], subtract: bool, size: int) -> Counter[int]:
    """Merge one summary after another, as the paper does or without its minimum."""
    merged: Counter[int] = Counter()
    for summary in summaries:
        both = (merged, summary)
        merged = Counter()
        for counts in both:
            least = min(counts.values()) if subtract and len(counts) == size else 0
            for item, count in sorted(counts.items(), key=lambda pair: -pair[1]):
                if count > least:
                    add(merged, item, count - least, size)
    return merged


def compare(
    vms: int, accounts: int, popularity: Popularity, rng: random.Random
) -> Iterator[SummaryResult]:
    """Yield errors and bytes of each summary over the same requests."""
    weights = popularity.weights(accounts)
    requests = REQUESTS_PER_SECOND * WINDOW_S
    seen: list[list[int]] = [[] for _ in range(vms)]
    for account in rng.choices(range(accounts), weights, k=requests):
        rng.choice(seen).append(account)
    truth = Counter(account for items in seen for account in items)
    exact = [Counter(items) for items in seen]
    summaries = [space_saving(Counter(), items, COUNTERS) for items in seen]
    plain = merge(summaries, False, COUNTERS)
    paper = merge(summaries, True, COUNTERS)
    yield _result(Summary.EXACT, truth, truth, exact)
    yield _result(Summary.PLAIN, truth, plain, summaries)
    yield _result(Summary.PAPER, truth, paper, summaries)


def _result(
    kind: Summary,
    truth: Counter[int],
    estimate: Counter[int],
    sent: list[Counter[int]],
) -> SummaryResult:
    ranked = [account for account, _ in truth.most_common()]
    size = sum(len(cbor2.dumps(dict(counts))) for counts in sent)
    return SummaryResult(
        kind,
        _error(truth, estimate, ranked[:TOP]),
        _error(truth, estimate, ranked[TOP:]),
        size / len(sent) / WINDOW_S,
    )


def _error(truth: Counter[int], estimate: Counter[int], chosen: list[int]) -> float:
    if not chosen:
        return 0.0
    errors = (abs(estimate[each] - truth[each]) / truth[each] for each in chosen)
    return 100 * sum(errors) / len(chosen)
