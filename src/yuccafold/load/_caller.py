"""What callers of both kinds share: addresses, key, repeats and waiting."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import final

import trio

from yuccafold.load._client import Answer
from yuccafold.load._client import Headers
from yuccafold.load._client import NotSentError
from yuccafold.load._report import LoadReport
from yuccafold.load._report import Outcome

VERDICT_HEADER = "yuccafold-verdict"
REVISION_HEADER = "yuccafold-revision"
NOT_RUN = "not-run"
MS_PER_SECOND = 1000


@final
@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Where a caller sends its calls, and how often it repeats one."""

    addresses: tuple[str, ...]
    key: str = ""
    """The bearer key; none is sent when it's empty."""
    host: str | None = None
    """The ``Host`` header; the address when there is none."""
    attempts: int = 5
    """How often one turn or call is sent at most."""
    backoff_ms: int = 100
    """The longest wait before the first repeat; each further one doubles it."""
    max_wait_ms: int = 2_000
    timeout_ms: int = 60_000
    """The time for one attempt."""

    @property
    def headers(self) -> Headers:
        """The headers of every call."""
        return (("Authorization", f"Bearer {self.key}"),) if self.key else ()


@final
class Attempts:
    """The attempts at one turn or call: through which address, after what wait."""

    def __init__(self, settings: CallerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._first = rng.randrange(len(settings.addresses))
        self._made = 0

    @property
    def is_last(self) -> bool:
        """Whether no further attempt may follow."""
        return self._made >= self._settings.attempts

    def next_address(self) -> str:
        """Return where the next attempt goes: each time the next address."""
        addresses = self._settings.addresses
        address = addresses[(self._first + self._made) % len(addresses)]
        self._made += 1
        return address

    async def wait(self, retry_after_ms: int) -> None:
        """Wait before the next attempt, at least as long as the answer said."""
        longest = self._settings.backoff_ms * 2 ** (self._made - 1)
        jittered = self._rng.uniform(0, min(longest, self._settings.max_wait_ms))
        wait = max(min(retry_after_ms, self._settings.max_wait_ms), jittered)
        await trio.sleep(wait / MS_PER_SECOND)


def record_head(answer: Answer, report: LoadReport) -> None:
    """Count the verdict and revision that an answer carries."""
    verdict = answer.header(VERDICT_HEADER)
    revision = answer.header(REVISION_HEADER)
    if verdict is not None:
        report.verdicts[verdict] += 1
    if revision is not None:
        report.revisions[revision] += 1


def refused_outcome(answer: Answer) -> Outcome:
    """Return the outcome of an answer that isn't a success."""
    not_run = answer.header(VERDICT_HEADER) == NOT_RUN
    return Outcome.REFUSED if not_run else Outcome.BROKEN


def retry_after_ms(answer: Answer) -> int:
    """Return how long an answer asks its caller to wait; 0 when it doesn't."""
    text = answer.header("retry-after") or "0"
    return int(text) * MS_PER_SECOND if text.isdecimal() else 0


def failed_outcome(error: Exception, report: LoadReport) -> Outcome:
    """Count a failed attempt; return whether it may have run."""
    report.errors[type(error.__cause__ or error).__name__] += 1
    return Outcome.REFUSED if isinstance(error, NotSentError) else Outcome.BROKEN
