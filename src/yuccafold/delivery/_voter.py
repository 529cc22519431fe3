"""The voter's side of claims: votes, releases and held claims."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.delivery._keys import BodyDigest
from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._messages import ClaimRelease
from yuccafold.delivery._messages import ClaimRequest
from yuccafold.delivery._messages import ClaimSettled
from yuccafold.delivery._messages import ClaimVote
from yuccafold.delivery._messages import HeldClaim
from yuccafold.delivery._messages import VoteAnswer
from yuccafold.delivery._recovery import Recovery
from yuccafold.delivery._timing import ClaimTiming
from yuccafold.delivery._views import ViewHistory

MAX_CLAIMS = 65_536
"""Claims that one voter holds; they use about 20 MB."""

MAX_RELEASED = 16_384
"""Released claim ids that are remembered, to refuse late requests."""


@final
@dataclass(slots=True)
class _Claim:
    """A claim that this voter holds until ``expires_at``."""

    claim: ClaimId
    digest: BodyDigest
    voters: tuple[VmId, ...]
    expires_at: Milliseconds
    settled: bool


@final
class ClaimVoter:
    """Grants at most one claim per key at a time and never evicts one.

    A claim ends by its own release or after ``hold``. If the voter is full, or
    may have forgotten claims, it abstains. It holds several claims on one key
    only if they were restored, as any of them may have been granted.
    """

    def __init__(
        self,
        timing: ClaimTiming,
        views: ViewHistory,
        recovery: Recovery,
        limit: int = MAX_CLAIMS,
    ) -> None:
        self._timing = timing
        self._views = views
        self._recovery = recovery
        self._limit = limit
        self._count = 0
        self._claims: dict[ClaimKey, list[_Claim]] = {}
        self._released: OrderedDict[ClaimId, None] = OrderedDict()

    def __len__(self) -> int:
        return self._count

    def vote(self, request: ClaimRequest, now: Milliseconds) -> ClaimVote:
        """Return the vote on ``request``, and hold the claim if it is granted."""
        live = self._live(request.key, now)
        others = [held for held in live if held.claim != request.claim]
        if others:
            return _held_vote(request, max(others, key=lambda held: held.settled))
        missing = self._views.missing(request.views, now)
        unknown = tuple(
            digest for digest in request.views if self._views.find(digest) is None
        )
        if missing or unknown:
            return _vote(
                request, VoteAnswer.VIEWS_DIFFER, missing=missing, unknown=unknown
            )
        if not self._may_grant(request, bool(live), now):
            return _vote(request, VoteAnswer.ABSTAINED)
        if live:
            live[0].voters = tuple(sorted({*live[0].voters, *request.voters}))
        else:
            self._hold(request.key, _new_claim(request, now + self._timing.hold))
        return _vote(request, VoteAnswer.GRANTED)

    def release(self, message: ClaimRelease, now: Milliseconds) -> None:
        """Free the named claim and no other, and refuse later requests for it."""
        self._released[message.claim] = None
        while len(self._released) > MAX_RELEASED:
            self._released.popitem(last=False)
        live = self._live(message.key, now)
        self._keep(message.key, [held for held in live if held.claim != message.claim])

    def settle(self, message: ClaimSettled, now: Milliseconds) -> None:
        """Record that the call of a claim ended with a complete answer."""
        for held in self._live(message.key, now):
            held.settled = held.settled or held.claim == message.claim

    def restore(self, claim: HeldClaim, now: Milliseconds) -> bool:
        """Hold a claim that another voter reported during recovery.

        Returns False if this voter is full; it must then continue to abstain.
        """
        live = self._live(claim.key, now)
        known = any(held.claim == claim.claim for held in live)
        if known or claim.claim in self._released or claim.remaining_ms <= 0:
            return True
        if self._count >= self._limit:
            return False
        remaining = min(claim.remaining_ms, self._timing.hold)
        restored = _Claim(
            claim.claim,
            claim.digest,
            claim.voters,
            Milliseconds(now + remaining),
            claim.settled,
        )
        self._hold(claim.key, restored)
        return True

    def claims_of_voter(
        self, voter: VmId, after: bytes, max_keys: int, now: Milliseconds
    ) -> tuple[HeldClaim, ...]:
        """Return the claims that ``voter`` may have granted, ordered by key.

        The claims are those on the first ``max_keys`` keys greater than ``after``.
        """
        wanted = sorted(
            key
            for key, claims in self._claims.items()
            if key > after
            and any(voter in held.voters and held.expires_at > now for held in claims)
        )
        return tuple(
            HeldClaim(
                held.claim,
                key,
                held.digest,
                held.voters,
                held.expires_at - now,
                held.settled,
            )
            for key in wanted[:max_keys]
            for held in self._claims[key]
            if held.expires_at > now and voter in held.voters
        )

    def expire(self, now: Milliseconds) -> None:
        """Drop the expired claims."""
        for key in tuple(self._claims):
            self._live(key, now)

    def _may_grant(
        self, request: ClaimRequest, already_held: bool, now: Milliseconds
    ) -> bool:
        if request.claim in self._released:
            return False
        if not already_held and self._count >= self._limit:
            return False
        if not self._views.is_fresh(now, Milliseconds(0)):
            return False
        return self._recovery.remembers(request.key, request.views, now)

    def _live(self, key: ClaimKey, now: Milliseconds) -> list[_Claim]:
        """Return the claims held on ``key`` and drop the expired ones."""
        claims = self._claims.get(key)
        if claims is None:
            return []
        if any(held.expires_at <= now for held in claims):
            claims = [held for held in claims if held.expires_at > now]
            self._keep(key, claims)
        return claims

    def _hold(self, key: ClaimKey, claim: _Claim) -> None:
        self._claims.setdefault(key, []).append(claim)
        self._count += 1

    def _keep(self, key: ClaimKey, claims: list[_Claim]) -> None:
        """Replace the claims held on ``key`` by ``claims``."""
        self._count += len(claims) - len(self._claims.pop(key, ()))
        if claims:
            self._claims[key] = claims


def _new_claim(request: ClaimRequest, expires_at: int) -> _Claim:
    return _Claim(
        request.claim, request.digest, request.voters, Milliseconds(expires_at), False
    )


def _vote(request: ClaimRequest, answer: VoteAnswer, **details: Any) -> ClaimVote:
    return ClaimVote(
        request.claim, request.key, request.attempt_round, answer, **details
    )


def _held_vote(request: ClaimRequest, held: _Claim) -> ClaimVote:
    return _vote(
        request,
        VoteAnswer.HELD,
        holder=held.claim,
        same_digest=held.digest == request.digest,
        settled=held.settled,
    )
