"""Messages between VMs about claims, answers and quarantine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType
from typing import final

from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.delivery._keys import BodyDigest
from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._keys import Fingerprint

ViewDigest = NewType("ViewDigest", int)
"""Digest of the members of a VM list."""


@final
@dataclass(frozen=True, slots=True, order=True)
class Member:
    """A VM of a VM list and its availability zone."""

    vm: VmId
    zone: ZoneId


@final
@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A VM list and the time since the sender last knew it to be the current one."""

    members: tuple[Member, ...]
    age_ms: int


@final
@dataclass(frozen=True, slots=True)
class ViewAnnounce:
    """Announces the VM lists in which the sender counts votes."""

    views: tuple[ViewRecord, ...]


@final
@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks a voter for its vote.

    ``views`` are the VM lists in which the claimant counts votes, ``voters`` all
    voters of the key in them. ``attempt_round`` grows with ``views``.
    """

    claim: ClaimId
    key: ClaimKey
    digest: BodyDigest
    attempt_round: int
    views: tuple[ViewDigest, ...]
    voters: tuple[VmId, ...]


class VoteAnswer(Enum):
    """A voter's answer to a claim."""

    GRANTED = "granted"
    HELD = "held"
    ABSTAINED = "abstained"
    VIEWS_DIFFER = "views-differ"


@final
@dataclass(frozen=True, slots=True)
class ClaimVote:
    """A voter's answer to a ``ClaimRequest``.

    With ``HELD``, ``holder`` is the other claim on the key that the voter holds,
    and ``same_digest`` and ``settled`` describe that claim. With
    ``VIEWS_DIFFER``, ``missing`` are VM lists in which the claimant must also
    count votes, and ``unknown`` are lists that the voter doesn't know and that
    the claimant must send to it.
    """

    claim: ClaimId
    key: ClaimKey
    attempt_round: int
    answer: VoteAnswer
    holder: ClaimId | None = None
    same_digest: bool = True
    settled: bool = False
    missing: tuple[ViewRecord, ...] = ()
    unknown: tuple[ViewDigest, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """Releases a claim whose call was not and will not be sent."""

    claim: ClaimId
    key: ClaimKey


@final
@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """Acknowledges a ``ClaimRelease``."""

    claim: ClaimId


@final
@dataclass(frozen=True, slots=True)
class ClaimSettled:
    """Informs a voter that the call of a claim ended with a complete answer."""

    claim: ClaimId
    key: ClaimKey


@final
@dataclass(frozen=True, slots=True)
class HeaderField:
    """A header field of an answer."""

    name: bytes
    value: bytes


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer, stored to be replayed to a repeated call."""

    status: int
    headers: tuple[HeaderField, ...]
    body: bytes


class HolderState(Enum):
    """State of a claim as its claimant reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    UNCERTAIN = "uncertain"
    NOT_SENT = "not-sent"
    FORGOTTEN = "forgotten"


@final
@dataclass(frozen=True, slots=True)
class AnswerQuery:
    """Asks for the state of ``claim``, which blocks the claim ``requester``."""

    claim: ClaimId
    requester: ClaimId


@final
@dataclass(frozen=True, slots=True)
class AnswerReply:
    """The state of ``claim``, with the call's answer if it is still stored."""

    claim: ClaimId
    requester: ClaimId
    state: HolderState
    answer: StoredAnswer | None = None


@final
@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """Asks for the unexpired claims for which a restarted VM may have voted.

    The reply lists claims on keys greater than ``after``, in the order of keys.
    """

    incarnation: Incarnation
    views: tuple[ViewDigest, ...]
    after: bytes


@final
@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that a voter holds for another ``remaining_ms``."""

    claim: ClaimId
    key: ClaimKey
    digest: BodyDigest
    voters: tuple[VmId, ...]
    remaining_ms: int
    settled: bool


@final
@dataclass(frozen=True, slots=True)
class RecoveryPage:
    """One page of the claims that a ``RecoveryRequest`` asked for.

    ``covered`` are the requested VM lists for which the sender has not forgotten
    any claim, ``known`` are the lists in which the sender counts votes, and
    ``last`` marks the last page.
    """

    incarnation: Incarnation
    covered: tuple[ViewDigest, ...]
    known: tuple[ViewRecord, ...]
    claims: tuple[HeldClaim, ...]
    last: bool


@final
@dataclass(frozen=True, slots=True, order=True)
class StrikeId:
    """Identifies one report that a target crashed with a fingerprint in flight.

    ``trial`` is the number of the trial during which the target crashed, or 0
    for a call that was not known to be suspect. Several VMs may report the same
    crash, so strikes are counted by ``target`` and ``trial``.
    """

    target: TargetId
    trial: int
    reporter: VmId
    report: int


@final
@dataclass(frozen=True, slots=True)
class Strike:
    """A strike against a fingerprint, which expires in ``remaining_ms``.

    ``limit`` is the number of strikes at which the fingerprint is quarantined.
    """

    service: ServiceId
    fingerprint: Fingerprint
    id: StrikeId
    limit: int
    remaining_ms: int


@final
@dataclass(frozen=True, slots=True)
class StrikeReport:
    """Strikes to record; acknowledged by a ``StrikeAck`` with its number."""

    number: int
    strikes: tuple[Strike, ...]


@final
@dataclass(frozen=True, slots=True)
class StrikeAck:
    """Acknowledges a ``StrikeReport``."""

    number: int


@final
@dataclass(frozen=True, slots=True)
class StrikesCleared:
    """Clears strikes, as the request succeeded or an operator lifted them.

    Late reports of the same strikes are ignored for ``remaining_ms``.
    """

    fingerprint: Fingerprint
    ids: tuple[StrikeId, ...]
    remaining_ms: int


@final
@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Asks the service's arbiter for a trial of a suspect request on ``target``."""

    number: int
    service: ServiceId
    fingerprint: Fingerprint
    target: TargetId


class TrialAnswer(Enum):
    """The arbiter's decision on a trial."""

    GRANTED = "granted"
    BUSY = "busy"
    QUARANTINED = "quarantined"


@final
@dataclass(frozen=True, slots=True)
class TrialReply:
    """The arbiter's answer to a ``TrialRequest``."""

    number: int
    answer: TrialAnswer


@final
@dataclass(frozen=True, slots=True)
class TrialEnded:
    """Informs the arbiter that a trial ended; frees its target and fingerprint."""

    number: int


@final
@dataclass(frozen=True, slots=True)
class StrikesRequest:
    """Asks for the unexpired strikes, unless their digest is the requester's."""

    number: int
    digest: int


@final
@dataclass(frozen=True, slots=True)
class StrikesReply:
    """The unexpired strikes, or none if the requester has the same."""

    number: int
    strikes: tuple[Strike, ...]


CLAIM_MESSAGES = (
    ("claims.view-announce", ViewAnnounce),
    ("claims.claim-request", ClaimRequest),
    ("claims.claim-vote", ClaimVote),
    ("claims.claim-release", ClaimRelease),
    ("claims.claim-released", ClaimReleased),
    ("claims.claim-settled", ClaimSettled),
    ("claims.answer-query", AnswerQuery),
    ("claims.answer-reply", AnswerReply),
    ("claims.recovery-request", RecoveryRequest),
    ("claims.recovery-page", RecoveryPage),
)
"""Wire kind and class of each message that ``OnceLedger`` handles."""

QUARANTINE_MESSAGES = (
    ("quarantine.strike-report", StrikeReport),
    ("quarantine.strike-ack", StrikeAck),
    ("quarantine.strikes-cleared", StrikesCleared),
    ("quarantine.trial-request", TrialRequest),
    ("quarantine.trial-reply", TrialReply),
    ("quarantine.trial-ended", TrialEnded),
    ("quarantine.strikes-request", StrikesRequest),
    ("quarantine.strikes-reply", StrikesReply),
)
"""Wire kind and class of each message that ``Quarantine`` handles."""


def register_messages() -> None:
    """Register every message of this package with the peer codec."""
    from yuccafold.fleet import register

    for kind, message in CLAIM_MESSAGES + QUARANTINE_MESSAGES:
        register(kind, message)
