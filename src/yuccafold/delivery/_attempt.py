"""One claim on the claimant's side: its state, its votes and their result."""

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


class ClaimState(Enum):
    """State of a claim at its claimant.

    ``GATHERING``: votes are being collected. ``ASKING``: the claim failed because
    a voter holds another claim on the key, whose claimant is being queried.
    ``GRANTED``: the call may be sent. ``SENT``: the call was sent.
    ``UNCERTAIN``: the call ended and may have run. ``FINISHED``: the call ended
    with the verdict ``COMPLETE``.
    """

    GATHERING = "gathering"
    ASKING = "asking"
    GRANTED = "granted"
    SENT = "sent"
    UNCERTAIN = "uncertain"
    FINISHED = "finished"


HOLDER_STATE_OF = {
    ClaimState.GATHERING: HolderState.RUNNING,
    ClaimState.ASKING: HolderState.NOT_SENT,
    ClaimState.GRANTED: HolderState.RUNNING,
    ClaimState.SENT: HolderState.RUNNING,
    ClaimState.UNCERTAIN: HolderState.UNCERTAIN,
    ClaimState.FINISHED: HolderState.FINISHED,
}
"""The state that a claimant reports to others for each state of a claim."""


class Tally(Enum):
    """Result of the votes received so far."""

    OPEN = "open"
    GRANTED = "granted"
    IMPOSSIBLE = "impossible"


@final
@dataclass(slots=True)
class ClaimAttempt:
    """A claim and the votes on it.

    ``wait_until`` is the deadline of the present state. ``views`` maps each
    counted VM list to the key's voters in it; the claim needs a majority in
    every one. ``round`` grows with ``views``, and votes of earlier rounds don't
    count. ``contacted`` are the voters that were sent a request, ``resent_to``
    those that were sent it again since the round or the last regular resend
    began. ``blocker`` is the vote that named another claim on the key.
    """

    claim: ClaimId
    call: CallId
    key: ClaimKey
    digest: BodyDigest
    started: Milliseconds
    wait_until: Milliseconds
    next_resend: Milliseconds
    state: ClaimState = ClaimState.GATHERING
    round: int = 0
    views: dict[ViewDigest, tuple[VmId, ...]] = field(default_factory=dict)
    votes: dict[VmId, ClaimVote] = field(default_factory=dict)
    contacted: set[VmId] = field(default_factory=set)
    resent_to: set[VmId] = field(default_factory=set)
    blocker: ClaimVote | None = None

    @property
    def voters(self) -> tuple[VmId, ...]:
        """All voters of the key in the counted VM lists."""
        return tuple(sorted({vm for voters in self.views.values() for vm in voters}))

    def add_views(self, views: Iterable[View], voter_count: int) -> bool:
        """Add ``views`` to the counted lists; return whether a new round began.

        A new round starts without votes.
        """
        added = {
            view.digest: view.voters(self.key, voter_count)
            for view in views
            if view.digest not in self.views
        }
        if not added:
            return False
        self.views.update(added)
        self.votes.clear()
        self.resent_to.clear()
        self.round += 1
        return True

    def request(self) -> ClaimRequest:
        """Return the request for a vote in the present round."""
        return ClaimRequest(
            self.claim,
            self.key,
            self.digest,
            self.round,
            tuple(sorted(self.views)),
            self.voters,
        )

    def tally(self) -> Tally:
        """Return the result of the votes; every list needs a majority."""
        tallies = {self._tally_of(voters) for voters in self.views.values()}
        if Tally.IMPOSSIBLE in tallies or not tallies:
            return Tally.IMPOSSIBLE
        return Tally.OPEN if Tally.OPEN in tallies else Tally.GRANTED

    def blocking_vote(self) -> ClaimVote | None:
        """Return a vote that named another claim, preferably a settled one."""
        held = [vote for vote in self.votes.values() if vote.holder is not None]
        return max(held, key=lambda vote: vote.settled, default=None)

    def _tally_of(self, voters: tuple[VmId, ...]) -> Tally:
        granted = sum(
            1
            for vm in voters
            if vm in self.votes and self.votes[vm].answer is VoteAnswer.GRANTED
        )
        pending = sum(1 for vm in voters if vm not in self.votes)
        needed = quorum(len(voters))
        if granted >= needed:
            return Tally.GRANTED
        return Tally.OPEN if granted + pending >= needed else Tally.IMPOSSIBLE
