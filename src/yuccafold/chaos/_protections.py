"""Switches that disable one protection each, to show that a run detects it."""

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
from yuccafold.chaos._run import LETHAL_WITH_LOSS
from yuccafold.chaos._run import LETHAL_WITHOUT_FAULTS
from yuccafold.chaos._run import MIXED
from yuccafold.chaos._run import PAUSES_AND_SILENCE
from yuccafold.chaos._run import RESTARTS_AND_LATENESS
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

FAR_FUTURE_MS = 10**12


@final
@dataclass(frozen=True, slots=True)
class AttributePatch:
    """Replaces one attribute of ``owner`` with ``replacement``."""

    owner: Any
    attribute: str
    replacement: Any


@final
@dataclass(frozen=True, slots=True)
class Protection:
    """A protection, how it is disabled, and a seed that detects its absence.

    ``seed`` is ``None`` where no tried seed produces the interleaving that needs
    the protection; tests of the claims then show that it is needed.
    """

    name: str
    summary: str
    seed: int | None
    patches: tuple[AttributePatch, ...]
    scenario: Scenario = MIXED

    @contextmanager
    def disabled(self) -> Iterator[None]:
        """Disable the protection within the context."""
        with ExitStack() as stack:
            for change in self.patches:
                stack.enter_context(
                    patch.object(change.owner, change.attribute, change.replacement)
                )
            yield


def _current_view_only(history: ViewHistory, now: int) -> tuple[Any, ...]:
    return () if history.current is None else (history.current,)


def _tick_without_wait(recovery: Recovery, now: int) -> list[Any]:
    recovery._next_round = min(recovery._next_round, now)
    return _recovery_tick(recovery, now)


_recovery_tick = Recovery.tick
_conclude = Claimant._conclude
_obstacle = _retry._obstacle


def _one_answer_suffices(recovery: Recovery, view: Any, key: Any = None) -> bool:
    return len(recovery._read[view.digest]) >= 1


def _conclude_without_deadline(claimant: Claimant, attempt: Any, now: int) -> Any:
    attempt.wait_until = FAR_FUTURE_MS
    return _conclude(claimant, attempt, now)


def _release_any_claim(voter: ClaimVoter, message: Any, now: int) -> None:
    voter._keep(message.key, [])


def _obstacle_if_idempotent(policy: Any, end: AttemptEnd, budget_allows: bool) -> Any:
    return _obstacle(policy, replace(end, idempotent=True), budget_allows)


def _advance_on_completion(record: VerdictRecord, verdict: Verdict) -> None:
    if verdict is Verdict.COMPLETE:
        record._verdict = verdict


PROTECTIONS = {
    protection.name: protection
    for protection in (
        Protection(
            "claim-majority",
            "a claim needs a majority of its voters",
            1,
            (AttributePatch(_attempt, "quorum", lambda voters: 1),),
        ),
        Protection(
            "view-history",
            "a claim needs a majority in every recent VM list",
            1,
            (
                AttributePatch(ViewHistory, "counted", _current_view_only),
                AttributePatch(
                    ViewHistory, "missing", lambda history, digests, now: ()
                ),
            ),
        ),
        Protection(
            "abstention",
            "a voter that may have forgotten claims abstains",
            10,
            (
                AttributePatch(
                    Recovery, "remembers", lambda recovery, key, digests, now: True
                ),
            ),
        ),
        Protection(
            "recovery-majority",
            "a restarted voter reads enough other voters before it votes",
            None,
            (
                AttributePatch(Recovery, "_knows_key", _one_answer_suffices),
                AttributePatch(Recovery, "_knows_every_key", _one_answer_suffices),
            ),
        ),
        Protection(
            "recovery-wait",
            "a restarted voter waits a claim window before it reads",
            None,
            (AttributePatch(Recovery, "tick", _tick_without_wait),),
            RESTARTS_AND_LATENESS,
        ),
        Protection(
            "claim-window",
            "votes count only within the claim window",
            None,
            (
                AttributePatch(Claimant, "_conclude", _conclude_without_deadline),
                AttributePatch(
                    Claimant, "_tick_gathering", lambda claimant, attempt, now: []
                ),
            ),
            RESTARTS_AND_LATENESS,
        ),
        Protection(
            "release-id",
            "a release frees only the claim that it names",
            1,
            (AttributePatch(ClaimVoter, "release", _release_any_claim),),
        ),
        Protection(
            "send-check",
            "a claim is checked again before the first byte",
            1,
            (
                AttributePatch(
                    Claimant, "_is_valid", lambda claimant, attempt, now: True
                ),
            ),
            PAUSES_AND_SILENCE,
        ),
        Protection(
            "list-freshness",
            "a VM whose list is old makes and grants no claims",
            1,
            (
                AttributePatch(
                    ViewHistory, "is_fresh", lambda history, now, since: True
                ),
            ),
        ),
        Protection(
            "body-digest",
            "a key used with another body is refused",
            1,
            (
                AttributePatch(
                    _flows, "body_digest", lambda method, path, body: BodyDigest(b"")
                ),
            ),
        ),
        Protection(
            "verdict-at-first-byte",
            "a call may have run from its first byte on",
            1,
            (AttributePatch(VerdictRecord, "advance", _advance_on_completion),),
        ),
        Protection(
            "verdict-over-attempts",
            "a call's verdict is the highest of its attempts'",
            1,
            (AttributePatch(CallVerdict, "record", lambda verdict, last: None),),
        ),
        Protection(
            "non-idempotent-retry",
            "a non-idempotent call that may have run is not tried again",
            2,
            (AttributePatch(_retry, "_obstacle", _obstacle_if_idempotent),),
        ),
        Protection(
            "stream-end",
            "a stream is whole only with its last event and framing",
            1,
            (
                AttributePatch(
                    StreamProgress, "end", lambda progress, framing: StreamEnd.WHOLE
                ),
            ),
        ),
        Protection(
            "quarantine",
            "a request that crashed targets is quarantined",
            1,
            (
                AttributePatch(
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
                AttributePatch(
                    TrialArbiter,
                    "decide",
                    lambda arbiter, sender, request, now: TrialAnswer.GRANTED,
                ),
            ),
            LETHAL_WITHOUT_FAULTS,
        ),
        Protection(
            "report-before-answer",
            "strikes are acknowledged before a retry or an answer goes out",
            1,
            (AttributePatch(_reports, "SPREAD_LIMIT", 0),),
            LETHAL_WITH_LOSS,
        ),
    )
}
