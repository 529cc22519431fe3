"""The claimant's side of claims: collects votes and answers queries about claims."""

from __future__ import annotations

from random import Random
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.delivery import _refusals
from yuccafold.delivery._answers import AnswerStore
from yuccafold.delivery._attempt import HOLDER_STATE_OF
from yuccafold.delivery._attempt import ClaimAttempt
from yuccafold.delivery._attempt import ClaimState
from yuccafold.delivery._attempt import Tally
from yuccafold.delivery._keys import BodyDigest
from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._messages import AnswerQuery
from yuccafold.delivery._messages import AnswerReply
from yuccafold.delivery._messages import ClaimRelease
from yuccafold.delivery._messages import ClaimSettled
from yuccafold.delivery._messages import ClaimVote
from yuccafold.delivery._messages import HolderState
from yuccafold.delivery._messages import StoredAnswer
from yuccafold.delivery._messages import ViewAnnounce
from yuccafold.delivery._messages import VoteAnswer
from yuccafold.delivery._outcomes import ClaimOutcome
from yuccafold.delivery._outcomes import Conflict
from yuccafold.delivery._outcomes import Granted
from yuccafold.delivery._outcomes import Refused
from yuccafold.delivery._outcomes import Replay
from yuccafold.delivery._releases import PendingReleases
from yuccafold.delivery._timing import ClaimTiming
from yuccafold.delivery._views import ViewHistory

MAX_CLAIM_ATTEMPTS = 65_536
"""Claims that one claimant remembers; they use about 30 MB."""


@final
class Claimant:
    """Claims idempotency keys for the calls of one VM.

    A claim whose call was or may have been sent is remembered for longer than
    any voter holds it. The call of a claim of this incarnation that is not
    remembered therefore was never sent and never will be.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        voter_count: int,
        timing: ClaimTiming,
        views: ViewHistory,
        answers: AnswerStore,
        rng: Random,
        limit: int = MAX_CLAIM_ATTEMPTS,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._voter_count = voter_count
        self._timing = timing
        self._views = views
        self._answers = answers
        self._limit = limit
        # A random start keeps claim ids unique even if two processes share an
        # incarnation.
        self._next_number = rng.getrandbits(48)
        self._attempts: dict[ClaimId, ClaimAttempt] = {}
        self._by_call: dict[CallId, ClaimAttempt] = {}
        self._releases = PendingReleases(timing)
        self._valid_from = Milliseconds(0)
        self._outcomes: list[ClaimOutcome] = []

    @property
    def outcomes(self) -> list[ClaimOutcome]:
        """Outcomes of calls since the list was last cleared."""
        return self._outcomes

    def invalidate_before(self, instant: Milliseconds) -> None:
        """Invalidate unsent claims and VM list confirmations before ``instant``."""
        self._valid_from = instant

    def start(
        self, call: CallId, key: ClaimKey, digest: BodyDigest, now: Milliseconds
    ) -> list[Outgoing]:
        """Start a claim on ``key`` for ``call``; its outcome follows later."""
        assert call not in self._by_call, f"call {call} claimed twice"
        if not self._views.is_fresh(now, self._valid_from):
            return self._refuse_call(call, _refusals.list_stale())
        if len(self._attempts) >= self._limit:
            return self._refuse_call(call, _refusals.full())
        claim = ClaimId(self._vm, self._incarnation, self._next_number)
        self._next_number += 1
        attempt = ClaimAttempt(
            claim,
            call,
            key,
            digest,
            started=now,
            wait_until=Milliseconds(now + self._timing.window),
            next_resend=Milliseconds(now + self._timing.resend),
        )
        attempt.add_views(self._views.counted(now), self._voter_count)
        self._attempts[claim] = attempt
        self._by_call[call] = attempt
        return self._request_votes(attempt, attempt.voters)

    def on_vote(
        self, sender: VmId, vote: ClaimVote, now: Milliseconds
    ) -> list[Outgoing]:
        """Process a vote of ``sender``."""
        attempt = self._attempts.get(vote.claim)
        if attempt is None or attempt.state is not ClaimState.GATHERING:
            return []
        if vote.answer is VoteAnswer.VIEWS_DIFFER:
            return self._agree_on_views(attempt, sender, vote, now)
        if vote.attempt_round != attempt.round or sender not in attempt.contacted:
            return []
        attempt.votes[sender] = vote
        return self._conclude(attempt, now)

    def on_reply(self, reply: AnswerReply, now: Milliseconds) -> list[Outgoing]:
        """Process another claimant's reply about the claim that blocks a call."""
        attempt = self._attempts.get(reply.requester)
        if attempt is None or attempt.state is not ClaimState.ASKING:
            return []
        if attempt.blocker is None or attempt.blocker.holder != reply.claim:
            return []
        return self._resolve(attempt, reply.state, reply.answer, now)

    def on_query(self, query: AnswerQuery) -> AnswerReply:
        """Return the state and, if stored, the answer of a claim of this VM."""
        state = self._state_of(query.claim)
        answer = self._answers.get(query.claim)
        return AnswerReply(query.claim, query.requester, state, answer)

    def on_released(self, sender: VmId, claim: ClaimId) -> None:
        """Stop resending the release that voter ``sender`` acknowledged."""
        self._releases.acknowledge(claim, sender)

    def authorize_send(self, call: CallId, now: Milliseconds) -> Refusal | None:
        """Allow the first byte of ``call`` to be sent immediately, or refuse it.

        Returns None or the refusal. A refused call must be ended by ``finish`` with
        ``NOT_RUN``.
        """
        attempt = self._by_call.get(call)
        if attempt is None or attempt.state is not ClaimState.GRANTED:
            return _refusals.void()
        if not self._is_valid(attempt, now):
            return _refusals.void()
        attempt.state = ClaimState.SENT
        return None

    def rearm(self, call: CallId) -> None:
        """Allow ``call`` to be sent again after a send that certainly did not run.

        Does nothing for a call that is unknown or was not sent.
        """
        attempt = self._by_call.get(call)
        if attempt is not None and attempt.state is ClaimState.SENT:
            attempt.state = ClaimState.GRANTED

    def finish(
        self,
        call: CallId,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """End ``call``: release its claim if it did not run, else keep the claim.

        An unknown call, which was refused earlier, is ignored. A call that was
        sent can end as not run only after ``rearm``.
        """
        attempt = self._by_call.get(call)
        if attempt is None:
            return []
        was_sent = attempt.state is ClaimState.SENT
        did_run = verdict is not Verdict.NOT_RUN
        assert was_sent == did_run, f"{call} is {attempt.state}, ended as {verdict}"
        if not did_run:
            return self._release(attempt, now)
        del self._by_call[call]
        if verdict is Verdict.MAY_HAVE_RUN:
            attempt.state = ClaimState.UNCERTAIN
            return []
        attempt.state = ClaimState.FINISHED
        if answer is not None:
            self._answers.put(attempt.claim, answer)
        settled = ClaimSettled(attempt.claim, attempt.key)
        return [Outgoing(vm, settled) for vm in attempt.voters]

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Resend unanswered messages and end claims whose deadline passed."""
        outgoing = self._releases.tick(now)
        for attempt in tuple(self._by_call.values()):
            if attempt.state is ClaimState.GATHERING:
                outgoing += self._tick_gathering(attempt, now)
            elif attempt.state is ClaimState.ASKING:
                outgoing += self._tick_asking(attempt, now)
        return outgoing

    def expire(self, now: Milliseconds) -> None:
        """Forget ended claims that no voter can hold any more."""
        oldest = now - self._timing.hold - self._timing.grace
        expired = [
            attempt
            for attempt in self._attempts.values()
            if attempt.started < oldest and attempt.call not in self._by_call
        ]
        for attempt in expired:
            del self._attempts[attempt.claim]
            self._answers.drop(attempt.claim)

    def _is_valid(self, attempt: ClaimAttempt, now: Milliseconds) -> bool:
        """Return whether the call of a granted claim may still be sent."""
        if attempt.started < self._valid_from:
            return False
        if now > attempt.started + self._timing.send_validity:
            return False
        return self._views.is_fresh(now, self._valid_from)

    def _state_of(self, claim: ClaimId) -> HolderState:
        if (claim.claimant, claim.incarnation) != (self._vm, self._incarnation):
            return HolderState.FORGOTTEN
        attempt = self._attempts.get(claim)
        return (
            HolderState.NOT_SENT if attempt is None else HOLDER_STATE_OF[attempt.state]
        )

    def _request_votes(
        self, attempt: ClaimAttempt, voters: tuple[VmId, ...]
    ) -> list[Outgoing]:
        attempt.contacted.update(voters)
        request = attempt.request()
        return [Outgoing(vm, request) for vm in voters]

    def _agree_on_views(
        self, attempt: ClaimAttempt, sender: VmId, vote: ClaimVote, now: Milliseconds
    ) -> list[Outgoing]:
        """Add the VM lists that ``sender`` named and send it the local ones."""
        for record in vote.missing:
            self._views.learn(record, now)
        announce = (
            [Outgoing(sender, ViewAnnounce(self._views.records(now)))]
            if vote.unknown
            else []
        )
        if attempt.add_views(self._views.counted(now), self._voter_count):
            return announce + self._request_votes(attempt, attempt.voters)
        # Until the next regular resend, resend immediately only once per voter and
        # round, so that duplicated votes don't multiply messages.
        if sender in attempt.resent_to:
            return []
        attempt.resent_to.add(sender)
        return announce + self._request_votes(attempt, (sender,))

    def _conclude(self, attempt: ClaimAttempt, now: Milliseconds) -> list[Outgoing]:
        """Grant the claim or give it up, once its votes or deadline decide."""
        tally = attempt.tally()
        if now > attempt.wait_until or tally is Tally.IMPOSSIBLE:
            return self._give_up(attempt, now)
        if tally is Tally.OPEN:
            return []
        if attempt.started < self._valid_from:
            return self._refuse(attempt, _refusals.void(), now)
        attempt.state = ClaimState.GRANTED
        self._outcomes.append(Granted(attempt.call, attempt.claim))
        return []

    def _give_up(self, attempt: ClaimAttempt, now: Milliseconds) -> list[Outgoing]:
        """Release the claim and query the claimant of a blocking claim, if known."""
        attempt.blocker = attempt.blocking_vote()
        if attempt.blocker is None:
            return self._refuse(attempt, _refusals.unreachable(), now)
        attempt.state = ClaimState.ASKING
        attempt.wait_until = Milliseconds(now + self._timing.window)
        attempt.next_resend = Milliseconds(now + self._timing.resend)
        return [*self._send_release(attempt, now), self._query(attempt)]

    def _query(self, attempt: ClaimAttempt) -> Outgoing:
        holder = attempt.blocker.holder
        return Outgoing(holder.claimant, AnswerQuery(holder, attempt.claim))

    def _resolve(
        self,
        attempt: ClaimAttempt,
        state: HolderState,
        answer: StoredAnswer | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """End a call whose key is held by another claim, which is in ``state``."""
        self._forget(attempt)
        blocker = attempt.blocker
        if state is HolderState.NOT_SENT:
            self._outcomes.append(Refused(attempt.call, _refusals.contended()))
            release = ClaimRelease(blocker.holder, attempt.key)
            return self._releases.send(release, attempt.voters, now)
        if not blocker.same_digest:
            self._outcomes.append(Conflict(attempt.call, _refusals.key_reused()))
        elif answer is not None:
            self._outcomes.append(Replay(attempt.call, answer))
        else:
            settled = blocker.settled or state is HolderState.FINISHED
            self._outcomes.append(Refused(attempt.call, _refusal_of(state, settled)))
        return []

    def _tick_gathering(
        self, attempt: ClaimAttempt, now: Milliseconds
    ) -> list[Outgoing]:
        if now > attempt.wait_until:
            return self._give_up(attempt, now)
        if now < attempt.next_resend:
            return []
        attempt.next_resend = Milliseconds(now + self._timing.resend)
        attempt.resent_to.clear()
        unanswered = tuple(vm for vm in attempt.voters if vm not in attempt.votes)
        return self._request_votes(attempt, unanswered)

    def _tick_asking(self, attempt: ClaimAttempt, now: Milliseconds) -> list[Outgoing]:
        if now > attempt.wait_until:
            return self._resolve(attempt, HolderState.FORGOTTEN, None, now)
        if now < attempt.next_resend:
            return []
        attempt.next_resend = Milliseconds(now + self._timing.resend)
        return [self._query(attempt)]

    def _refuse_call(self, call: CallId, refusal: Refusal) -> list[Outgoing]:
        self._outcomes.append(Refused(call, refusal))
        return []

    def _refuse(
        self, attempt: ClaimAttempt, refusal: Refusal, now: Milliseconds
    ) -> list[Outgoing]:
        self._outcomes.append(Refused(attempt.call, refusal))
        return self._release(attempt, now)

    def _release(self, attempt: ClaimAttempt, now: Milliseconds) -> list[Outgoing]:
        """Forget a claim whose call was never sent, and release it at its voters."""
        self._forget(attempt)
        return self._send_release(attempt, now)

    def _send_release(self, attempt: ClaimAttempt, now: Milliseconds) -> list[Outgoing]:
        message = ClaimRelease(attempt.claim, attempt.key)
        return self._releases.send(message, attempt.contacted, now)

    def _forget(self, attempt: ClaimAttempt) -> None:
        del self._attempts[attempt.claim]
        del self._by_call[attempt.call]


def _refusal_of(state: HolderState, settled: bool) -> Refusal:
    """Return the refusal of a repeated call whose earlier call is in ``state``."""
    if settled:
        return _refusals.answer_gone()
    if state is HolderState.RUNNING:
        return _refusals.in_use()
    return _refusals.uncertain()
