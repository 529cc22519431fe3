"""Parts shared by chat and plain callers: addresses, key, retries and backoff."""

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
    """Addresses and credentials of a caller, and its retry limits."""

    addresses: tuple[str, ...]
    key: str = ""
    """The bearer key; an empty key sends no ``Authorization`` header."""
    host: str | None = None
    """The ``Host`` header; ``None`` sends the address."""
    attempts: int = 5
    """The largest number of times that one turn or call is sent."""
    backoff_ms: int = 100
    """The longest wait before the first retry; it doubles with each further retry."""
    max_wait_ms: int = 2_000
    """The upper limit of every wait before a retry."""
    timeout_ms: int = 60_000
    """The timeout of one attempt."""

    @property
    def headers(self) -> Headers:
        """The headers sent with every call."""
        return (("Authorization", f"Bearer {self.key}"),) if self.key else ()


@final
class Attempts:
    """Chooses the address of each attempt at one turn or call, and the wait before."""

    def __init__(self, settings: CallerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._first_index = rng.randrange(len(settings.addresses))
        self._made = 0

    @property
    def is_last(self) -> bool:
        """Whether the limit of attempts is reached."""
        return self._made >= self._settings.attempts

    def next_address(self) -> str:
        """Count an attempt and return its address.

        The first address is random; each further attempt uses the next one.
        """
        addresses = self._settings.addresses
        address = addresses[(self._first_index + self._made) % len(addresses)]
        self._made += 1
        return address

    async def wait(self, retry_after_ms: int) -> None:
        """Wait before the next attempt.

        The wait is the larger of a random backoff and the answer's
        ``Retry-After``, both limited to ``max_wait_ms``.
        """
        max_backoff_ms = self._settings.backoff_ms * 2 ** (self._made - 1)
        jittered_ms = self._rng.uniform(
            0, min(max_backoff_ms, self._settings.max_wait_ms)
        )
        wait_ms = max(min(retry_after_ms, self._settings.max_wait_ms), jittered_ms)
        await trio.sleep(wait_ms / MS_PER_SECOND)


def record_headers(answer: Answer, report: LoadReport) -> None:
    """Count the verdict and revision in an answer's headers."""
    verdict = answer.header(VERDICT_HEADER)
    revision = answer.header(REVISION_HEADER)
    if verdict is not None:
        report.verdicts[verdict] += 1
    if revision is not None:
        report.revisions[revision] += 1


def refused_outcome(answer: Answer) -> Outcome:
    """Return the outcome of an answer whose status isn't 200."""
    not_run = answer.header(VERDICT_HEADER) == NOT_RUN
    return Outcome.REFUSED if not_run else Outcome.BROKEN


def retry_after_ms(answer: Answer) -> int:
    """Return the answer's ``Retry-After``; 0 unless it is a whole number of seconds."""
    text = answer.header("retry-after") or "0"
    return int(text) * MS_PER_SECOND if text.isdecimal() else 0


def record_failure(error: Exception, report: LoadReport) -> Outcome:
    """Count a failed attempt's error; return ``BROKEN`` if the call may have run."""
    report.errors[type(error.__cause__ or error).__name__] += 1
    return Outcome.REFUSED if isinstance(error, NotSentError) else Outcome.BROKEN
