"""Switches that take one protection away, to show that a run notices."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import final
from unittest.mock import patch

from yuccafold._verdict import Verdict
from yuccafold._verdict import VerdictRecord
from yuccafold.chaos import _flows
from yuccafold.chaos._run import CALM_LETHAL
from yuccafold.chaos._run import LATE_RESTARTS
from yuccafold.chaos._run import LOSSY_LETHAL
from yuccafold.chaos._run import MIXED
from yuccafold.chaos._run import SILENT_PAUSES
from yuccafold.chaos._run import Scenario
from yuccafold.delivery import AttemptEnd
from yuccafold.delivery import BodyDigest
from yuccafold.delivery import CallVerdict
from yuccafold.delivery import Quarantine
from yuccafold.delivery import Standing
from yuccafold.delivery import StreamEnd
from yuccafold.delivery import StreamProgress
from yuccafold.delivery import _attempt
from yuccafold.delivery import _reports
from yuccafold.delivery import _retry
from yuccafold.delivery._claimant import Claimant
from yuccafold.delivery._messages import TrialAnswer
from yuccafold.delivery._recovery import Recovery
from yuccafold.delivery._trials import TrialArbiter
from yuccafold.delivery._views import ViewHistory
from yuccafold.delivery._voter import ClaimVoter

FOREVER_MS = 10**12


@final
@dataclass(frozen=True, slots=True)
class Weakening:
    """Puts ``replacement`` in the place of one attribute."""

    owner: Any
    attribute: str
    replacement: Any


@final
@dataclass(frozen=True, slots=True)
class Protection:
    """A protection, how it is taken away and a seed that notices.

    Without a seed, tests of the claims show that the protection is needed: no
    seed that was tried brought about the interleaving.
    """

    name: str
    summary: str
    seed: int | None
    weakenings: tuple[Weakening, ...]
    scenario: Scenario = MIXED

    @contextmanager
    def disabled(self) -> Iterator[None]:
        """Run without the protection."""
        with ExitStack() as stack:
            for each in self.weakenings:
                stack.enter_context(
                    patch.object(each.owner, each.attribute, each.replacement)
                )
            yield


def _only_current(history: ViewHistory, now: int) -> tuple[Any, ...]:
    return () if history.current is None else (history.current,)


def _read_at_once(recovery: Recovery, now: int) -> list[Any]:
    recovery._next_round = min(recovery._next_round, now)
    return _recovery_tick(recovery, now)


_recovery_tick = Recovery.tick
_conclude = Claimant._conclude
_obstacle = _retry._obstacle


def _one_reader(recovery: Recovery, view: Any, key: Any = None) -> bool:
    return len(recovery._read[view.digest]) >= 1


def _without_deadline(claimant: Claimant, attempt: Any, now: int) -> Any:
    attempt.wait_until = FOREVER_MS
    return _conclude(claimant, attempt, now)


def _release_any(voter: ClaimVoter, message: Any, now: int) -> None:
    voter._keep(message.key, [])


def _as_idempotent(policy: Any, end: AttemptEnd, budget_allows: bool) -> Any:
    return _obstacle(policy, replace(end, idempotent=True), budget_allows)


def _advance_at_the_end(record: VerdictRecord, verdict: Verdict) -> None:
    if verdict is Verdict.COMPLETE:
        record._verdict = verdict


PROTECTIONS = {
    protection.name: protection
    for protection in (
        Protection(
            "claim-majority",
            "a claim needs a majority of its seats",
            1,
            (Weakening(_attempt, "quorum", lambda seats: 1),),
        ),
        Protection(
            "view-history",
            "a claim counts with the lists of the last while",
            1,
            (
                Weakening(ViewHistory, "counted", _only_current),
                Weakening(ViewHistory, "missing", lambda history, digests, now: ()),
            ),
        ),
        Protection(
            "abstention",
            "a seat that may have forgotten claims abstains",
            10,
            (
                Weakening(
                    Recovery, "remembers", lambda recovery, key, digests, now: True
                ),
            ),
        ),
        Protection(
            "recovery-majority",
            "a restarted seat reads enough others before it votes",
            None,
            (
                Weakening(Recovery, "_knows_key", _one_reader),
                Weakening(Recovery, "_knows_every_key", _one_reader),
            ),
        ),
        Protection(
            "recovery-wait",
            "a restarted seat waits a claim window before it reads",
            None,
            (Weakening(Recovery, "tick", _read_at_once),),
            LATE_RESTARTS,
        ),
        Protection(
            "claim-window",
            "votes count only within the claim window",
            None,
            (
                Weakening(Claimant, "_conclude", _without_deadline),
                Weakening(
                    Claimant, "_tick_gathering", lambda claimant, attempt, now: []
                ),
            ),
            LATE_RESTARTS,
        ),
        Protection(
            "release-id",
            "a release frees only the claim that it names",
            1,
            (Weakening(ClaimVoter, "release", _release_any),),
        ),
        Protection(
            "send-check",
            "a claim is checked again before the first byte",
            1,
            (Weakening(Claimant, "_is_valid", lambda claimant, attempt, now: True),),
            SILENT_PAUSES,
        ),
        Protection(
            "list-freshness",
            "a VM whose list is old makes and grants no claims",
            1,
            (Weakening(ViewHistory, "is_fresh", lambda history, now, since: True),),
        ),
        Protection(
            "body-digest",
            "a key used with another body is refused",
            1,
            (
                Weakening(
                    _flows, "body_digest", lambda method, path, body: BodyDigest(b"")
                ),
            ),
        ),
        Protection(
            "verdict-at-first-byte",
            "a call may have run from its first byte on",
            1,
            (Weakening(VerdictRecord, "advance", _advance_at_the_end),),
        ),
        Protection(
            "verdict-over-attempts",
            "a call's verdict is the highest of its attempts'",
            1,
            (Weakening(CallVerdict, "note", lambda verdict, last: None),),
        ),
        Protection(
            "non-idempotent-retry",
            "a non-idempotent call that may have run is not tried again",
            2,
            (Weakening(_retry, "_obstacle", _as_idempotent),),
        ),
        Protection(
            "stream-end",
            "a stream is whole only with its last event and framing",
            1,
            (
                Weakening(
                    StreamProgress, "end", lambda progress, framing: StreamEnd.WHOLE
                ),
            ),
        ),
        Protection(
            "quarantine",
            "a request that ended targets is held back",
            1,
            (
                Weakening(
                    Quarantine,
                    "standing",
                    lambda quarantine, fingerprint, now: Standing.CLEAR,
                ),
            ),
        ),
        Protection(
            "trial-arbiter",
            "a suspect request has one trial at a time",
            1,
            (
                Weakening(
                    TrialArbiter,
                    "decide",
                    lambda arbiter, sender, request, now: TrialAnswer.GRANTED,
                ),
            ),
            CALM_LETHAL,
        ),
        Protection(
            "report-before-answer",
            "strikes are acknowledged before a retry or an answer goes out",
            1,
            (Weakening(_reports, "SPREAD_LIMIT", 0),),
            LOSSY_LETHAL,
        ),
    )
}
