"""Checks what callers and targets observe against the promises of the routers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a call has not run and never will run."""

RECOVERY_ALLOWANCE = Milliseconds(3_000)
"""How long after the end of a fault on a VM its time limits do not hold.

Of the checks in this module only the one of draining targets depends on it.
"""

CONTACT_TIME = Milliseconds(3_000)
"""How long VMs may take to learn what other VMs know."""

CRASHES_BEFORE_REFUSAL = 5
CRASHES_OF_CALL_BEFORE_REFUSAL = 3
MAX_LATER_LETHAL_CALLS = 3
"""Calls with a lethal part that may reach targets later than ``CONTACT_TIME`` after
``CRASHES_BEFORE_REFUSAL`` crashes, or lethal whole calls after fewer, by the users'
pages."""

LETHAL_CALL = "lethal call"
"""Begins the bodies of whole calls that crash targets, and how they are called in
violations; other names are those of parts."""

KEYS_OF_ONE_ACCOUNT = "all other keys"
"""The account of keys that are not given for other accounts."""

MIN_CUT_OFF_SHARE = 2 / 3
"""Calls are served so often at a VM that is cut off from targets, as a share of how
often they are at the others, by the users' pages."""

MAX_CUT_OFF_FAILURES = 10
MAX_CUT_OFF_FAILED_SHARE = 1 / 50
"""Calls that may fail there, beside a share of all calls, by the users' pages."""

PAUSE_NOTICE = Milliseconds(500)
MAX_REQUESTS_IN_PAUSE = 2
"""Requests of one VM that may reach a target from ``PAUSE_NOTICE`` after it asked that
VM for none until the end of that time, by the users' pages."""

MAX_MIXED_STREAMS = 2
"""Streams that may hold events of two software versions, by the users' pages."""

MIN_ACCOUNT_SHARE = 0.25
"""An account's calls are served at least so often, as a share of how often all calls
are, by the users' pages."""

UNKNOWN_KEY_STATUS = 401

CHECK_SLACK = Milliseconds(250)
"""How late this process may observe an event of another process."""


@final
@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, the attempt or VM concerned, and what was observed."""

    promise: str
    subject: str
    seen: str


@final
@dataclass(slots=True)
class SentAttempt:
    """An attempt, as recorded when its caller sent it."""

    sent_at: Milliseconds
    key: str
    repeatable: bool
    vm: str


@final
@dataclass(slots=True)
class Pause:
    """From when to when a target wants no requests of a VM, and how many came."""

    asked_at: Milliseconds
    ends_at: Milliseconds
    requests: int = 0


@final
class PromiseChecker:
    """Records what callers and targets observe, and collects broken promises."""

    def __init__(
        self,
        clock: Clock,
        key_lifetime: Milliseconds,
        drain_limit: Milliseconds,
        other_accounts: Mapping[str, str] | None = None,
    ) -> None:
        """Create a checker.

        ``other_accounts`` are the API keys of accounts. All keys beside them are of
        one account.
        """
        self._clock = clock
        accounts = (other_accounts or {}).items()
        self._accounts = {key: account for account, key in accounts}
        self._key_lifetime = key_lifetime
        self._drain_limit = drain_limit
        self._sent: dict[str, SentAttempt] = {}
        self._runs: Counter[str] = Counter()
        self._refused: dict[str, int] = {}
        self._revoked_at: dict[str, Milliseconds] = {}
        self._draining_since: dict[str, Milliseconds] = {}
        self._disconnected_until: dict[str, Milliseconds] = {}
        self._disconnections: dict[str, list[tuple[Milliseconds, Milliseconds]]] = {}
        self._statuses: Counter[int] = Counter()
        self._lethal_runs: dict[str, list[tuple[Milliseconds, str]]] = {}
        self._ends: dict[str, int] = {}
        self._cuts: list[tuple[str, Milliseconds, Milliseconds]] = []
        self._leaving_runs: dict[str, str] = {}
        self._told_leaving: dict[tuple[str, str], Milliseconds] = {}
        self._pauses: dict[tuple[str, str], Pause] = {}
        self._stream_versions: dict[str, str] = {}
        self._mixed_streams: list[str] = []
        self._ended: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._violations: list[Violation] = []

    @property
    def violations(self) -> tuple[Violation, ...]:
        """All broken promises, the oldest first."""
        return tuple(self._violations)

    @property
    def statuses(self) -> dict[int, int]:
        """How many attempts ended with each status; 0 means an incomplete answer."""
        return dict(self._statuses)

    @property
    def sent_count(self) -> int:
        """How many attempts were sent."""
        return len(self._sent)

    def record_sent(self, attempt: str, key: str, repeatable: bool, vm: str) -> None:
        """Record an attempt that a caller is about to send to ``vm``."""
        self._sent[attempt] = SentAttempt(self._clock.now(), key, repeatable, vm)

    def record_answer(self, attempt: str, status: int, fault: str | None) -> None:
        """Record the answer that a caller received.

        ``status`` is 0 for an incomplete answer. ``fault`` is what is wrong with a
        complete one.
        """
        self._statuses[status] += 1
        self._ends[attempt] = status
        if status != UNKNOWN_KEY_STATUS:
            key = self._sent[attempt].key
            self._ended[key] += 1
            self._served[key] += status == 200
        if status == 200 and attempt in self._leaving_runs and self._runs[attempt] == 1:
            told = (self._sent[attempt].vm, self._leaving_runs[attempt])
            self._told_leaving.setdefault(told, self._clock.now())
        if fault is not None:
            self._add_violation("own whole answer", attempt, fault)
        if status in NOT_RUN_STATUSES:
            self._refused[attempt] = status
            if self._runs[attempt] and not self._sent[attempt].repeatable:
                self._add_violation("not run", attempt, f"{status} after a run")

    def record_run(self, target: str, attempt: str, has_caller_key: bool) -> None:
        """Record that a target begins to run an attempt.

        ``has_caller_key`` says whether the target received the caller's API key.
        """
        now = self._clock.now()
        self._runs[attempt] += 1
        sent = self._sent.get(attempt)
        if sent is None:
            self._add_violation(
                "only sent attempts run", attempt, f"{target} runs what nobody sent"
            )
            return
        if has_caller_key:
            self._add_violation(
                "keys are not forwarded", attempt, f"{target} received the key"
            )
        if not sent.repeatable and self._runs[attempt] > 1:
            self._add_violation("at most one run", attempt, f"run again at {target}")
        if not sent.repeatable and attempt in self._refused:
            self._add_violation("not run", attempt, f"{target} runs it after a refusal")
        self._check_key(sent, attempt, target)
        self._check_leaving(sent, attempt, target)
        if now > self._disconnected_until.get(sent.vm, Milliseconds(0)):
            self._check_drain(target, attempt, now)

    def record_leaving_run(self, target: str, attempt: str) -> None:
        """Record that a target that runs ``attempt`` says in its answer that it leaves.

        A VM knows it once it has passed such an answer on.
        """
        self._leaving_runs[attempt] = target

    def record_restart(self, vm: str) -> None:
        """Record that a VM restarts or is paused, so it may forget what it was told."""
        for told in [told for told in self._told_leaving if told[0] == vm]:
            del self._told_leaving[told]
        for asked in [asked for asked in self._pauses if asked[0] == vm]:
            del self._pauses[asked]

    def record_request(
        self, target: str, attempt: str, pause: Milliseconds | None
    ) -> None:
        """Record a request at a target, and for which ``pause`` it asks the VM, if any.

        Health checks name no attempt, so they can't be counted by VM. VMs that were
        disconnected since may have forgotten it.
        """
        sent, now = self._sent.get(attempt), self._clock.now()
        if sent is None:
            return
        known = self._pauses.get((sent.vm, target))
        if known is None or now >= known.ends_at:
            if pause is not None:
                asked = Pause(now, Milliseconds(now + pause))
                self._pauses[sent.vm, target] = asked
            return
        known.requests += now > known.asked_at + PAUSE_NOTICE + CHECK_SLACK
        was_disconnected = any(
            end >= known.asked_at and begin <= now
            for begin, end in self._disconnections.get(sent.vm, ())
        )
        if known.requests == MAX_REQUESTS_IN_PAUSE + 1 and not was_disconnected:
            seen = (
                f"{known.requests} requests of {sent.vm} by {now} in its pause from "
                f"{known.asked_at} to {known.ends_at}"
            )
            self._add_violation("pauses are kept", target, seen)

    def record_stream_run(self, first_attempt: str, version: str, after: int) -> None:
        """Record that a target of ``version`` runs a stream from event ``after`` on.

        ``first_attempt`` is the attempt that brought its first event.
        """
        if after == 0:
            self._stream_versions[first_attempt] = version
        elif self._stream_versions.get(first_attempt, version) != version:
            self._mixed_streams.append(first_attempt)

    @contextmanager
    def vm_cut_off(self, vm: str) -> Iterator[None]:
        """Record that a VM is cut off from targets, and has had time to notice."""
        begin = self._clock.now()
        yield
        self._cuts.append((vm, begin, self._clock.now()))

    def check_cut_off_vms(self) -> None:
        """Check that VMs that were cut off from targets served their callers then.

        Both have to hold for a broken promise, by the users' pages: calls there are
        served much less often than those elsewhere, and many fail. Calls with keys that
        were revoked don't count.
        """
        for vm, begin, end in self._cuts:
            tries = [
                (sent.vm == vm, self._ends.get(attempt) == 200)
                for attempt, sent in self._sent.items()
                if begin <= sent.sent_at < end
                and self._ends.get(attempt) != UNKNOWN_KEY_STATUS
            ]
            there = [is_served for is_there, is_served in tries if is_there]
            others = [is_served for is_there, is_served in tries if not is_there]
            if not there or not others:
                continue
            share, expected = sum(there) / len(there), sum(others) / len(others)
            failed = len(there) - sum(there)
            most = MAX_CUT_OFF_FAILURES + MAX_CUT_OFF_FAILED_SHARE * len(tries)
            if share < MIN_CUT_OFF_SHARE * expected and failed > most:
                seen = f"{share:.2f} of {len(there)} served, {expected:.2f} elsewhere"
                self._add_violation("VMs cut off serve", vm, seen)

    def check_streams(self) -> None:
        """Check that streams hold events of targets of one software version."""
        if len(self._mixed_streams) > MAX_MIXED_STREAMS:
            seen = f"{len(self._mixed_streams)} went on at another version"
            self._add_violation("one version", self._mixed_streams[0], seen)

    def check_accounts(self, keys: Mapping[str, str]) -> None:
        """Check that no account is served much less than all are.

        ``keys`` are the API keys of the accounts to check. Answers to revoked keys
        don't count.
        """
        share_of_all = self._served.total() / max(1, self._ended.total())
        for account, key in keys.items():
            share = self._served[key] / max(1, self._ended[key])
            if self._ended[key] and share < MIN_ACCOUNT_SHARE * share_of_all:
                seen = f"{share:.2f} of its calls are served, {share_of_all:.2f} of all"
                self._add_violation("no account starves", account, seen)

    def record_lethal_run(self, part: str, attempt: str) -> None:
        """Record that a target begins to run a call with a part that crashes it."""
        self._lethal_runs.setdefault(part, []).append((self._clock.now(), attempt))

    def record_lethal_call(self, body: str, attempt: str) -> None:
        """Record that a target begins to run a call that crashes it as a whole.

        Calls are the same if they have the same path, account and body, as the users'
        pages have it.
        """
        sent = self._sent.get(attempt)
        account = KEYS_OF_ONE_ACCOUNT
        if sent is not None:
            account = self._accounts.get(sent.key, account)
        self.record_lethal_run(f"{body} of {account}", attempt)

    def check_lethal_parts(self) -> None:
        """Check that calls with lethal parts no longer reach targets once VMs know.

        Runs from VMs that are disconnected don't count.
        """
        for part, runs in self._lethal_runs.items():
            crashes = CRASHES_BEFORE_REFUSAL
            if part.startswith(LETHAL_CALL):
                crashes = CRASHES_OF_CALL_BEFORE_REFUSAL
            if len(runs) < crashes:
                continue
            known_from = runs[crashes - 1][0] + CONTACT_TIME
            later = [
                attempt
                for at, attempt in runs
                if at > known_from + CHECK_SLACK and self._was_connected(attempt, at)
            ]
            if len(later) > MAX_LATER_LETHAL_CALLS:
                seen = f"{len(later)} more calls reach targets, of {len(runs)} in all"
                self._add_violation("lethal parts are refused", part, seen)

    def _was_connected(self, attempt: str, at: Milliseconds) -> bool:
        sent = self._sent.get(attempt)
        if sent is None:
            return False
        return not any(
            begin <= at <= end for begin, end in self._disconnections.get(sent.vm, ())
        )

    def record_disconnection(self, vm: str, duration: Milliseconds) -> None:
        """Record a fault that begins now on a VM or its connections to the store."""
        now = self._clock.now()
        until = Milliseconds(now + duration + RECOVERY_ALLOWANCE)
        self._disconnections.setdefault(vm, []).append((now, until))
        self._disconnected_until[vm] = max(
            until, self._disconnected_until.get(vm, until)
        )

    def record_revocation(self, key: str) -> None:
        """Record a key's revocation, once the configuration without it is accepted."""
        self._revoked_at[key] = self._clock.now()

    def record_drain(self, target: str) -> None:
        """Record that a target drains, once its list entry is draining."""
        self._draining_since[target] = self._clock.now()

    def _check_key(self, sent: SentAttempt, attempt: str, target: str) -> None:
        revoked_at = self._revoked_at.get(sent.key)
        if revoked_at is not None and sent.sent_at > revoked_at + self._key_lifetime:
            since_revocation = sent.sent_at - revoked_at
            self._add_violation(
                "revoked keys end",
                attempt,
                f"{target} runs it, sent {since_revocation} ms after the revocation",
            )

    def _check_leaving(self, sent: SentAttempt, attempt: str, target: str) -> None:
        told_at = self._told_leaving.get((sent.vm, target))
        limit = self._drain_limit + CHECK_SLACK
        if told_at is not None and sent.sent_at > told_at + limit:
            self._add_violation(
                "leaving targets",
                attempt,
                f"{target} runs it, sent {sent.sent_at - told_at} ms after {sent.vm} "
                "passed on that it leaves",
            )

    def _check_drain(self, target: str, attempt: str, now: Milliseconds) -> None:
        draining_since = self._draining_since.get(target)
        limit = self._drain_limit + CHECK_SLACK
        if draining_since is not None and now > draining_since + limit:
            since_drain = now - draining_since
            self._add_violation(
                "draining targets",
                attempt,
                f"{target} runs it {since_drain} ms after its drain began",
            )

    def _add_violation(self, promise: str, attempt: str, seen: str) -> None:
        self._violations.append(Violation(promise, attempt, seen))
