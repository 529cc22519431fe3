"""Totals of a load run, as a printed table and as JSON."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any
from typing import final

from hdrh.histogram import HdrHistogram

US_PER_SECOND = 1_000_000
US_PER_MS = 1000
MAX_DURATION_US = 600 * US_PER_SECOND
SIGNIFICANT_DIGITS = 3


class Outcome(Enum):
    """What the caller got for one chat turn or call."""

    WHOLE = "whole"
    """The complete and correct answer."""
    WRONG = "wrong"
    """A complete answer that isn't the one to this request."""
    CUT = "cut"
    """A partial stream that ended without an error, as if it were complete."""
    BROKEN = "broken"
    """An error inside or instead of an answer; the call may have run."""
    REFUSED = "refused"
    """Refused with the verdict that it was not run, or never sent."""


@final
@dataclass(frozen=True, slots=True)
class CallRecord:
    """The key and outcome of one non-idempotent call."""

    key: str
    outcome: Outcome


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds; 0 if the histogram is empty."""
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


@final
class LoadReport:
    """Totals over all callers of one run."""

    def __init__(self) -> None:
        self.turns: Counter[Outcome] = Counter()
        self.calls: list[CallRecord] = []
        self.lookups: Counter[Outcome] = Counter()
        self.attempts = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.answer_tokens = 0
        self.verdicts: Counter[str] = Counter()
        self.revisions: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()
        self.first_token_us = new_histogram()
        self.token_gap_us = new_histogram()
        self.call_us = new_histogram()

    @property
    def call_outcomes(self) -> Counter[Outcome]:
        """The number of non-idempotent calls with each outcome."""
        return Counter(call.outcome for call in self.calls)

    @property
    def cache_reuse(self) -> float:
        """The share of prompt tokens that the engines had cached."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    @property
    def all_whole(self) -> bool:
        """Whether every turn, call and lookup got the complete and correct answer."""
        outcomes = self.turns + self.call_outcomes + self.lookups
        return set(outcomes) <= {Outcome.WHOLE}

    def rows(self) -> Iterator[tuple[str, str]]:
        """Yield the name and value of each row of the printed table."""
        kinds = {
            "chat turns": self.turns,
            "non-idempotent calls": self.call_outcomes,
            "lookups": self.lookups,
        }
        for kind, outcomes in kinds.items():
            if outcomes:
                parts = (f"{outcomes[outcome]} {outcome.value}" for outcome in Outcome)
                yield kind, ", ".join(parts)
        yield "attempts", str(self.attempts)
        yield "verdicts", _format_counts(self.verdicts)
        yield "revisions", _format_counts(self.revisions)
        yield "errors", _format_counts(self.errors)
        yield "cache reuse", f"{self.cache_reuse:.1%} of {self.prompt_tokens} tokens"
        yield "first token", _format_percentiles(self.first_token_us)
        yield "between tokens", _format_percentiles(self.token_gap_us)
        yield "call", _format_percentiles(self.call_us)

    def as_json(self) -> dict[str, Any]:
        """Return the totals as JSON values; durations are in milliseconds."""
        return {
            "turns": _counts_by_value(self.turns),
            "calls": _counts_by_value(self.call_outcomes),
            "lookups": _counts_by_value(self.lookups),
            "attempts": self.attempts,
            "prompt_tokens": self.prompt_tokens,
            "cached_tokens": self.cached_tokens,
            "answer_tokens": self.answer_tokens,
            "verdicts": dict(self.verdicts),
            "revisions": dict(self.revisions),
            "errors": dict(self.errors),
            "first_token_ms": _percentiles_ms(self.first_token_us),
            "token_gap_ms": _percentiles_ms(self.token_gap_us),
            "call_ms": _percentiles_ms(self.call_us),
        }


def _counts_by_value(outcomes: Counter[Outcome]) -> dict[str, int]:
    return {outcome.value: outcomes[outcome] for outcome in Outcome}


def _format_counts(counter: Counter[str]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counter.most_common()) or "-"


def _percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    return {f"p{point}": percentile_ms(histogram, point) for point in (50, 95, 99)}


def _format_percentiles(histogram: HdrHistogram) -> str:
    if not histogram.get_total_count():
        return "-"
    parts = _percentiles_ms(histogram).items()
    return ", ".join(f"{name} {value:.1f} ms" for name, value in parts)
