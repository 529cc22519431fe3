"""One claim as its claimant sees it: the votes and what they come to."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import VmId
from yuccafold.delivery._keys import BodyDigest
from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._messages import ClaimRequest
from yuccafold.delivery._messages import ClaimVote
from yuccafold.delivery._messages import HolderState
from yuccafold.delivery._messages import ViewDigest
from yuccafold.delivery._messages import VoteAnswer
from yuccafold.delivery._views import View
from yuccafold.delivery._views import quorum


class AttemptState(Enum):
    """Where a claim stands at its claimant."""

    GATHERING = "gathering"
    ASKING = "asking"
    GRANTED = "granted"
    SENT = "sent"
    UNCERTAIN = "uncertain"
    FINISHED = "finished"


HOLDER_STATES = {
    AttemptState.GATHERING: HolderState.RUNNING,
    AttemptState.ASKING: HolderState.NOT_SENT,
    AttemptState.GRANTED: HolderState.RUNNING,
    AttemptState.SENT: HolderState.RUNNING,
    AttemptState.UNCERTAIN: HolderState.UNCERTAIN,
    AttemptState.FINISHED: HolderState.FINISHED,
}
"""What a claimant answers about a claim in each state."""


class Tally(Enum):
    """What the votes so far come to."""

    OPEN = "open"
    GRANTED = "granted"
    IMPOSSIBLE = "impossible"


@final
@dataclass(slots=True)
class Attempt:
    """A claim and the votes on it; ``wait_until`` ends the present state."""

    claim: ClaimId
    call: CallId
    key: ClaimKey
    digest: BodyDigest
    started: Milliseconds
    wait_until: Milliseconds
    next_resend: Milliseconds
    state: AttemptState = AttemptState.GATHERING
    round: int = 0
    views: dict[ViewDigest, tuple[VmId, ...]] = field(default_factory=dict)
    votes: dict[VmId, ClaimVote] = field(default_factory=dict)
    asked: set[VmId] = field(default_factory=set)
    asked_again: set[VmId] = field(default_factory=set)
    blocker: ClaimVote | None = None

    @property
    def seats(self) -> tuple[VmId, ...]:
        """All seats of the key in the lists counted with."""
        return tuple(sorted({vm for seats in self.views.values() for vm in seats}))

    def count_with(self, views: Iterable[View], seats: int) -> bool:
        """Count with ``views``; return whether that began a new round."""
        found = {
            view.digest: view.seats(self.key, seats)
            for view in views
            if view.digest not in self.views
        }
        if not found:
            return False
        self.views.update(found)
        self.votes.clear()
        self.asked_again.clear()
        self.round += 1
        return True

    def request(self) -> ClaimRequest:
        """Return the request for the present round."""
        return ClaimRequest(
            self.claim,
            self.key,
            self.digest,
            self.round,
            tuple(sorted(self.views)),
            self.seats,
        )

    def tally(self) -> Tally:
        """Return what the votes come to; a majority is needed in every list."""
        tallies = {self._tally(seats) for seats in self.views.values()}
        if Tally.IMPOSSIBLE in tallies or not tallies:
            return Tally.IMPOSSIBLE
        return Tally.OPEN if Tally.OPEN in tallies else Tally.GRANTED

    def held_vote(self) -> ClaimVote | None:
        """Return a vote that named another claim, a settled one first."""
        held = [vote for vote in self.votes.values() if vote.holder is not None]
        return max(held, key=lambda vote: vote.settled, default=None)

    def _tally(self, seats: tuple[VmId, ...]) -> Tally:
        granted = sum(
            1
            for vm in seats
            if vm in self.votes and self.votes[vm].answer is VoteAnswer.GRANTED
        )
        open_seats = sum(1 for vm in seats if vm not in self.votes)
        needed = quorum(len(seats))
        if granted >= needed:
            return Tally.GRANTED
        return Tally.OPEN if granted + open_seats >= needed else Tally.IMPOSSIBLE
