"""Checks what callers and targets saw against what the routers promise."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a call has not run and never will."""

CONTACT = Milliseconds(3_000)
"""How long after a fault on a VM bounds in time do not hold, by the users' rules."""

CHECK_SLACK = Milliseconds(250)
"""How late this process may see what happened in another one."""


@final
@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, by which attempt, and what was seen."""

    promise: str
    attempt: str
    seen: str


@final
@dataclass(slots=True)
class Sent:
    """An attempt as its caller sent it."""

    at: Milliseconds
    key: str
    repeatable: bool
    vm: str


@final
class Promises:
    """Takes what callers and targets see and collects broken promises."""

    def __init__(
        self, clock: Clock, key_lifetime: Milliseconds, drain_within: Milliseconds
    ) -> None:
        self._clock = clock
        self._key_lifetime = key_lifetime
        self._drain_within = drain_within
        self._sent: dict[str, Sent] = {}
        self._runs: Counter[str] = Counter()
        self._refused: dict[str, int] = {}
        self._revoked: dict[str, Milliseconds] = {}
        self._leaving: dict[str, Milliseconds] = {}
        self._out_of_touch: dict[str, Milliseconds] = {}
        self._statuses: Counter[int] = Counter()
        self._violations: list[Violation] = []

    @property
    def violations(self) -> tuple[Violation, ...]:
        """All broken promises, the oldest first."""
        return tuple(self._violations)

    @property
    def statuses(self) -> dict[int, int]:
        """How many attempts ended with each status; 0 for a closed connection."""
        return dict(self._statuses)

    @property
    def checked(self) -> int:
        """How many attempts were sent."""
        return len(self._sent)

    def sent(self, attempt: str, key: str, repeatable: bool, vm: str) -> None:
        """Take an attempt that a caller is about to send to ``vm``."""
        self._sent[attempt] = Sent(self._clock.now(), key, repeatable, vm)

    def answered(self, attempt: str, status: int, fault: str | None) -> None:
        """Take what a caller got; ``fault`` is what is wrong with a whole answer."""
        self._statuses[status] += 1
        if fault is not None:
            self._break("own whole answer", attempt, fault)
        if status in NOT_RUN_STATUSES:
            self._refused[attempt] = status
            if self._runs[attempt] and not self._sent[attempt].repeatable:
                self._break("not run", attempt, f"{status} after a run")

    def ran(self, target: str, attempt: str, key_shown: bool) -> None:
        """Take a run that a target begins."""
        now = self._clock.now()
        self._runs[attempt] += 1
        sent = self._sent.get(attempt)
        if sent is None:
            self._break("asked for", attempt, f"{target} runs what nobody sent")
            return
        if key_shown:
            self._break("keys stay here", attempt, f"{target} was shown the key")
        if not sent.repeatable and self._runs[attempt] > 1:
            self._break("at most one run", attempt, f"run again at {target}")
        if not sent.repeatable and attempt in self._refused:
            self._break("not run", attempt, f"{target} runs it after a refusal")
        self._check_key(sent, attempt, target)
        if now > self._out_of_touch.get(sent.vm, Milliseconds(0)):
            self._check_leaving(target, attempt, now)

    def out_of_touch(self, vm: str, duration: Milliseconds) -> None:
        """Take a fault on a VM or on its way to the store that begins now."""
        until = Milliseconds(self._clock.now() + duration + CONTACT)
        self._out_of_touch[vm] = max(until, self._out_of_touch.get(vm, until))

    def revoked(self, key: str) -> None:
        """Take a key's end, once its configuration is accepted."""
        self._revoked[key] = self._clock.now()

    def leaving(self, target: str) -> None:
        """Take a target's leaving, once its entry says so."""
        self._leaving[target] = self._clock.now()

    def _check_key(self, sent: Sent, attempt: str, target: str) -> None:
        revoked_at = self._revoked.get(sent.key)
        if revoked_at is not None and sent.at > revoked_at + self._key_lifetime:
            late = sent.at - revoked_at
            self._break("revoked keys end", attempt, f"{target} runs it {late} ms late")

    def _check_leaving(self, target: str, attempt: str, now: Milliseconds) -> None:
        left_at = self._leaving.get(target)
        limit = self._drain_within + CHECK_SLACK
        if left_at is not None and now > left_at + limit:
            late = now - left_at
            self._break("leaving targets", attempt, f"{target} gets it {late} ms late")

    def _break(self, promise: str, attempt: str, seen: str) -> None:
        self._violations.append(Violation(promise, attempt, seen))
