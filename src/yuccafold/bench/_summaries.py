"""Compares exact counts with two ways of merging Space Saving summaries."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import final

import cbor2

COUNTERS_PER_SUMMARY = 32
"""Number of accounts in a summary."""
REQUESTS_PER_SECOND = 3_900
WINDOW_S = 5
ZIPF_EXPONENT = 1.1
HURWITZ_SHIFT = 20.0
TOP = 10


class Popularity(Enum):
    """How the accounts' shares of all requests decrease with their rank."""

    ZIPF = "Zipf"
    HURWITZ = "Hurwitz"

    def weights(self, accounts: int) -> list[float]:
        """Return the relative shares of the accounts, not normalized."""
        shift = HURWITZ_SHIFT if self is Popularity.HURWITZ else 0.0
        return [1 / (rank + shift) ** ZIPF_EXPONENT for rank in range(1, accounts + 1)]


class Summary(Enum):
    """The kind of summary that VMs exchange, and how it is merged."""

    EXACT = "exact counts"
    PLAIN = "Space Saving, plain merge"
    PAPER = "Space Saving, minimum subtracted"


@final
@dataclass(frozen=True, slots=True)
class SummaryResult:
    """Errors and bytes of one kind of summary.

    An error is the mean of |estimate - count| / count, in percent, over the top
    accounts or the others. The bytes are sent by each VM.
    """

    kind: Summary
    top_error: float
    others_error: float
    bytes_per_second: float


def space_saving(counts: Counter[int], items: Iterable[int], size: int) -> Counter[int]:
    """Count ``items`` with ``size`` counters; a new item replaces the smallest."""
    for item in items:
        add(counts, item, 1, size)
    return counts


def add(counts: Counter[int], item: int, amount: int, size: int) -> None:
    """Add ``amount`` to the count of an item.

    If all counters are used, a new item replaces the one with the smallest count
    and continues from that count, as in the Space Saving algorithm.
    """
    if item in counts or len(counts) < size:
        counts[item] += amount
        return
    smallest = min(counts, key=lambda kept: (counts[kept], kept))
    counts[item] = counts.pop(smallest) + amount


def merge(summaries: Iterable[Counter[int]], subtract: bool, size: int) -> Counter[int]:
    """Merge the summaries one after another.

    With ``subtract`` the minimum of each full summary is subtracted from its
    counts first, as the paper does; otherwise counts are added as they are.
    """
    merged: Counter[int] = Counter()
    for summary in summaries:
        pair_of_summaries = (merged, summary)
        merged = Counter()
        for counts in pair_of_summaries:
            least = min(counts.values()) if subtract and len(counts) == size else 0
            for item, count in sorted(counts.items(), key=lambda pair: -pair[1]):
                if count > least:
                    add(merged, item, count - least, size)
    return merged


def compare(
    vms: int, accounts: int, popularity: Popularity, rng: random.Random
) -> Iterator[SummaryResult]:
    """Yield the errors and bytes of each kind of summary for the same requests."""
    weights = popularity.weights(accounts)
    requests = REQUESTS_PER_SECOND * WINDOW_S
    accounts_by_vm: list[list[int]] = [[] for _ in range(vms)]
    for account in rng.choices(range(accounts), weights, k=requests):
        rng.choice(accounts_by_vm).append(account)
    true_counts = Counter(account for items in accounts_by_vm for account in items)
    exact = [Counter(items) for items in accounts_by_vm]
    summaries = [
        space_saving(Counter(), items, COUNTERS_PER_SUMMARY) for items in accounts_by_vm
    ]
    plain_merge = merge(summaries, False, COUNTERS_PER_SUMMARY)
    paper_merge = merge(summaries, True, COUNTERS_PER_SUMMARY)
    yield _result(Summary.EXACT, true_counts, true_counts, exact)
    yield _result(Summary.PLAIN, true_counts, plain_merge, summaries)
    yield _result(Summary.PAPER, true_counts, paper_merge, summaries)


def _result(
    kind: Summary,
    true_counts: Counter[int],
    estimate: Counter[int],
    sent: list[Counter[int]],
) -> SummaryResult:
    ranked = [account for account, _ in true_counts.most_common()]
    total_bytes = sum(len(cbor2.dumps(dict(counts))) for counts in sent)
    return SummaryResult(
        kind,
        _error(true_counts, estimate, ranked[:TOP]),
        _error(true_counts, estimate, ranked[TOP:]),
        total_bytes / len(sent) / WINDOW_S,
    )


def _error(
    true_counts: Counter[int], estimate: Counter[int], accounts: list[int]
) -> float:
    if not accounts:
        return 0.0
    errors = (
        abs(estimate[account] - true_counts[account]) / true_counts[account]
        for account in accounts
    )
    return 100 * sum(errors) / len(accounts)
