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
    """One VM of a VM list and its availability zone."""

    vm: VmId
    zone: ZoneId


@final
@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A VM list, and how long ago the sender last knew it as the platform's."""

    members: tuple[Member, ...]
    age_ms: int


@final
@dataclass(frozen=True, slots=True)
class ViewAnnounce:
    """VM lists that the sender counts with."""

    views: tuple[ViewRecord, ...]


@final
@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks one seat for its vote.

    ``views`` are the lists that the claimant counts with, ``seats`` all seats
    of the key in them. ``attempt_round`` grows when ``views`` does.
    """

    claim: ClaimId
    key: ClaimKey
    digest: BodyDigest
    attempt_round: int
    views: tuple[ViewDigest, ...]
    seats: tuple[VmId, ...]


class VoteAnswer(Enum):
    """What a seat says to a claim."""

    GRANTED = "granted"
    HELD = "held"
    ABSTAINED = "abstained"
    VIEWS_DIFFER = "views-differ"


@final
@dataclass(frozen=True, slots=True)
class ClaimVote:
    """One seat's answer to a ``ClaimRequest``.

    ``holder`` is the claim that the seat holds for the key when the answer is
    ``HELD``; ``same_digest`` and ``settled`` describe that claim. With
    ``VIEWS_DIFFER``, ``missing`` are lists that the claimant must count with
    and ``unknown`` those that the seat needs to be told.
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
    """Frees a claim under which nothing was and nothing will be sent."""

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
    """Tells a seat that the call under a claim ended with a whole answer."""

    claim: ClaimId
    key: ClaimKey


@final
@dataclass(frozen=True, slots=True)
class HeaderField:
    """One field of an answer's head."""

    name: bytes
    value: bytes


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer, kept so that a repeat gets it again."""

    status: int
    headers: tuple[HeaderField, ...]
    body: bytes


class HolderState(Enum):
    """What a claimant says about one of its claims."""

    RUNNING = "running"
    FINISHED = "finished"
    UNCERTAIN = "uncertain"
    NOT_SENT = "not-sent"
    FORGOTTEN = "forgotten"


@final
@dataclass(frozen=True, slots=True)
class AnswerQuery:
    """Asks the claimant of ``claim`` what became of it; ``asker`` waits."""

    claim: ClaimId
    asker: ClaimId


@final
@dataclass(frozen=True, slots=True)
class AnswerReply:
    """What became of ``claim``, with the answer where it is still held."""

    claim: ClaimId
    asker: ClaimId
    state: HolderState
    answer: StoredAnswer | None = None


@final
@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """A restarted VM asks for the live claims that it may have voted for.

    Claims with a key after ``after`` are wanted, in the order of keys.
    """

    incarnation: Incarnation
    views: tuple[ViewDigest, ...]
    after: bytes


@final
@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that a seat holds, for another ``remaining_ms``."""

    claim: ClaimId
    key: ClaimKey
    digest: BodyDigest
    seats: tuple[VmId, ...]
    remaining_ms: int
    settled: bool


@final
@dataclass(frozen=True, slots=True)
class RecoveryPage:
    """Some of the claims asked for.

    ``covered`` are the asked views for which the sender forgot nothing;
    ``known`` are the lists that the sender counts with; ``last`` ends the scan.
    """

    incarnation: Incarnation
    covered: tuple[ViewDigest, ...]
    known: tuple[ViewRecord, ...]
    claims: tuple[HeldClaim, ...]
    last: bool


@final
@dataclass(frozen=True, slots=True, order=True)
class StrikeId:
    """One report that a target died with a fingerprint in flight.

    ``trial`` is the number of the trial that ended in it, or 0 for a call
    that was not known to be suspect. Several VMs may report one death, so
    strikes are counted by ``target`` and ``trial``.
    """

    target: TargetId
    trial: int
    reporter: VmId
    report: int


@final
@dataclass(frozen=True, slots=True)
class Strike:
    """One strike against a fingerprint, which lapses in ``remaining_ms``."""

    service: ServiceId
    fingerprint: Fingerprint
    id: StrikeId
    limit: int
    remaining_ms: int


@final
@dataclass(frozen=True, slots=True)
class StrikeReport:
    """Strikes to record; acknowledged by its number."""

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
    """Takes back strikes: the request succeeded, or an operator lifted them.

    Late reports of the same strikes are void for ``remaining_ms``.
    """

    fingerprint: Fingerprint
    ids: tuple[StrikeId, ...]
    remaining_ms: int


@final
@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Asks the service's arbiter for the one try of a suspect request."""

    number: int
    service: ServiceId
    fingerprint: Fingerprint
    target: TargetId


class TrialAnswer(Enum):
    """What the arbiter says to a trial."""

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
    """Frees the trial's target and fingerprint at the arbiter."""

    number: int


@final
@dataclass(frozen=True, slots=True)
class StrikesRequest:
    """Asks for the strikes in force, unless they have the asker's ``digest``."""

    number: int
    digest: int


@final
@dataclass(frozen=True, slots=True)
class StrikesReply:
    """The strikes in force, or none where the asker has the same."""

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
"""The kind on the wire and the class of the messages for ``OnceLedger``."""

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
"""The kind on the wire and the class of the messages for ``Quarantine``."""


def register_messages() -> None:
    """Register every message of this package with the peer codec."""
    from yuccafold.fleet import register

    for kind, message in CLAIM_MESSAGES + QUARANTINE_MESSAGES:
        register(kind, message)
