"""The claimant's side of claims: gathers votes and answers for its claims."""

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
from yuccafold.delivery._attempt import HOLDER_STATES
from yuccafold.delivery._attempt import Attempt
from yuccafold.delivery._attempt import AttemptState
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
from yuccafold.delivery._releases import Releases
from yuccafold.delivery._timing import ClaimTiming
from yuccafold.delivery._views import ViewHistory

MAX_ATTEMPTS = 65_536
"""Claims that one claimant remembers; about 30 MB."""


@final
class Claimant:
    """Claims keys for the calls of one VM.

    A claim that was sent, or may have been, is remembered for longer than any
    seat holds it; so a claim of this incarnation that is not remembered was
    never sent and never will be.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        seats: int,
        timing: ClaimTiming,
        views: ViewHistory,
        answers: AnswerStore,
        rng: Random,
        limit: int = MAX_ATTEMPTS,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._seats = seats
        self._timing = timing
        self._views = views
        self._answers = answers
        self._limit = limit
        # Two processes that share an incarnation still share no claim id.
        self._next_number = rng.getrandbits(48)
        self._attempts: dict[ClaimId, Attempt] = {}
        self._by_call: dict[CallId, Attempt] = {}
        self._releases = Releases(timing)
        self._renewed_after = Milliseconds(0)
        self._outcomes: list[ClaimOutcome] = []

    @property
    def outcomes(self) -> list[ClaimOutcome]:
        """What calls came to since the list was cleared."""
        return self._outcomes

    def void_before(self, instant: Milliseconds) -> None:
        """Void the unsent claims, and the VM list, of before ``instant``."""
        self._renewed_after = instant

    def start(
        self, call: CallId, key: ClaimKey, digest: BodyDigest, now: Milliseconds
    ) -> list[Outgoing]:
        """Claim ``key`` for ``call``; its outcome comes later."""
        assert call not in self._by_call, f"call {call} claimed twice"
        if not self._views.is_fresh(now, self._renewed_after):
            return self._refuse_call(call, _refusals.list_stale())
        if len(self._attempts) >= self._limit:
            return self._refuse_call(call, _refusals.full())
        claim = ClaimId(self._vm, self._incarnation, self._next_number)
        self._next_number += 1
        attempt = Attempt(
            claim,
            call,
            key,
            digest,
            started=now,
            wait_until=Milliseconds(now + self._timing.window),
            next_resend=Milliseconds(now + self._timing.resend),
        )
        attempt.count_with(self._views.counted(now), self._seats)
        self._attempts[claim] = attempt
        self._by_call[call] = attempt
        return self._ask_seats(attempt, attempt.seats)

    def on_vote(
        self, sender: VmId, vote: ClaimVote, now: Milliseconds
    ) -> list[Outgoing]:
        """Count a vote."""
        attempt = self._attempts.get(vote.claim)
        if attempt is None or attempt.state is not AttemptState.GATHERING:
            return []
        if vote.answer is VoteAnswer.VIEWS_DIFFER:
            return self._agree_on_views(attempt, sender, vote, now)
        if vote.attempt_round != attempt.round or sender not in attempt.asked:
            return []
        attempt.votes[sender] = vote
        return self._conclude(attempt, now)

    def on_reply(self, reply: AnswerReply, now: Milliseconds) -> list[Outgoing]:
        """Take what a claimant says about the claim in the way."""
        attempt = self._attempts.get(reply.asker)
        if attempt is None or attempt.state is not AttemptState.ASKING:
            return []
        if attempt.blocker is None or attempt.blocker.holder != reply.claim:
            return []
        return self._resolve(attempt, reply.state, reply.answer, now)

    def on_query(self, query: AnswerQuery) -> AnswerReply:
        """Return what became of a claim of this VM."""
        state = self._state_of(query.claim)
        answer = self._answers.get(query.claim)
        return AnswerReply(query.claim, query.asker, state, answer)

    def on_released(self, sender: VmId, claim: ClaimId) -> None:
        """Note that a seat freed a claim."""
        self._releases.acknowledge(claim, sender)

    def authorize_send(self, call: CallId, now: Milliseconds) -> Refusal | None:
        """Allow the first byte of ``call`` to be written at once, or refuse.

        On a refusal the call must end by ``finish`` with ``NOT_RUN``.
        """
        attempt = self._by_call.get(call)
        if attempt is None or attempt.state is not AttemptState.GRANTED:
            return _refusals.void()
        if not self._is_valid(attempt, now):
            return _refusals.void()
        attempt.state = AttemptState.SENT
        return None

    def rearm(self, call: CallId) -> None:
        """Allow another send of ``call``, whose last one certainly did not run.

        A call that was never sent, or is unknown, is left as it is.
        """
        attempt = self._by_call.get(call)
        if attempt is not None and attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.GRANTED

    def finish(
        self,
        call: CallId,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """End ``call``: release its claim if it did not run, else keep it.

        A call that is unknown, because it was refused, is ignored. One that was
        sent ends as not run only after ``rearm``.
        """
        attempt = self._by_call.get(call)
        if attempt is None:
            return []
        was_sent = attempt.state is AttemptState.SENT
        did_run = verdict is not Verdict.NOT_RUN
        assert was_sent == did_run, f"{call} is {attempt.state}, ended as {verdict}"
        if not did_run:
            return self._release(attempt, now)
        del self._by_call[call]
        if verdict is Verdict.MAY_HAVE_RUN:
            attempt.state = AttemptState.UNCERTAIN
            return []
        attempt.state = AttemptState.FINISHED
        if answer is not None:
            self._answers.put(attempt.claim, answer)
        settled = ClaimSettled(attempt.claim, attempt.key)
        return [Outgoing(vm, settled) for vm in attempt.seats]

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Resend, end what waited long enough and forget what is over."""
        outgoing = self._releases.tick(now)
        for attempt in tuple(self._by_call.values()):
            if attempt.state is AttemptState.GATHERING:
                outgoing += self._tick_gathering(attempt, now)
            elif attempt.state is AttemptState.ASKING:
                outgoing += self._tick_asking(attempt, now)
        return outgoing

    def expire(self, now: Milliseconds) -> None:
        """Forget the ended claims that no seat can hold any more."""
        oldest = now - self._timing.hold - self._timing.grace
        lapsed = [
            attempt
            for attempt in self._attempts.values()
            if attempt.started < oldest and attempt.call not in self._by_call
        ]
        for attempt in lapsed:
            del self._attempts[attempt.claim]
            self._answers.drop(attempt.claim)

    def _is_valid(self, attempt: Attempt, now: Milliseconds) -> bool:
        """Return whether a granted claim still allows sending."""
        if attempt.started < self._renewed_after:
            return False
        if now > attempt.started + self._timing.send_validity:
            return False
        return self._views.is_fresh(now, self._renewed_after)

    def _state_of(self, claim: ClaimId) -> HolderState:
        if (claim.claimant, claim.incarnation) != (self._vm, self._incarnation):
            return HolderState.FORGOTTEN
        attempt = self._attempts.get(claim)
        return HolderState.NOT_SENT if attempt is None else HOLDER_STATES[attempt.state]

    def _ask_seats(self, attempt: Attempt, seats: tuple[VmId, ...]) -> list[Outgoing]:
        attempt.asked.update(seats)
        request = attempt.request()
        return [Outgoing(vm, request) for vm in seats]

    def _agree_on_views(
        self, attempt: Attempt, sender: VmId, vote: ClaimVote, now: Milliseconds
    ) -> list[Outgoing]:
        """Count with the lists that ``sender`` named and tell it ours."""
        for record in vote.missing:
            self._views.learn(record, now)
        announce = (
            [Outgoing(sender, ViewAnnounce(self._views.records(now)))]
            if vote.unknown
            else []
        )
        if attempt.count_with(self._views.counted(now), self._seats):
            return announce + self._ask_seats(attempt, attempt.seats)
        # At once only once per round: doubled votes must not multiply.
        if sender in attempt.asked_again:
            return []
        attempt.asked_again.add(sender)
        return announce + self._ask_seats(attempt, (sender,))

    def _conclude(self, attempt: Attempt, now: Milliseconds) -> list[Outgoing]:
        """Grant or give up the claim when its votes decide."""
        tally = attempt.tally()
        if now > attempt.wait_until or tally is Tally.IMPOSSIBLE:
            return self._give_up(attempt, now)
        if tally is Tally.OPEN:
            return []
        if attempt.started < self._renewed_after:
            return self._refuse(attempt, _refusals.void(), now)
        attempt.state = AttemptState.GRANTED
        self._outcomes.append(Granted(attempt.call, attempt.claim))
        return []

    def _give_up(self, attempt: Attempt, now: Milliseconds) -> list[Outgoing]:
        """Release the votes, then ask about the claim in the way if one is known."""
        attempt.blocker = attempt.held_vote()
        if attempt.blocker is None:
            return self._refuse(attempt, _refusals.unreachable(), now)
        attempt.state = AttemptState.ASKING
        attempt.wait_until = Milliseconds(now + self._timing.window)
        attempt.next_resend = Milliseconds(now + self._timing.resend)
        return [*self._send_release(attempt, now), self._query(attempt)]

    def _query(self, attempt: Attempt) -> Outgoing:
        holder = attempt.blocker.holder
        return Outgoing(holder.claimant, AnswerQuery(holder, attempt.claim))

    def _resolve(
        self,
        attempt: Attempt,
        state: HolderState,
        answer: StoredAnswer | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """End a call whose key another claim holds."""
        self._forget(attempt)
        blocker = attempt.blocker
        if state is HolderState.NOT_SENT:
            self._outcomes.append(Refused(attempt.call, _refusals.contended()))
            stale = ClaimRelease(blocker.holder, attempt.key)
            return self._releases.send(stale, attempt.seats, now)
        if not blocker.same_digest:
            self._outcomes.append(Conflict(attempt.call, _refusals.key_reused()))
        elif answer is not None:
            self._outcomes.append(Replay(attempt.call, answer))
        else:
            settled = blocker.settled or state is HolderState.FINISHED
            self._outcomes.append(Refused(attempt.call, _refusal_of(state, settled)))
        return []

    def _tick_gathering(self, attempt: Attempt, now: Milliseconds) -> list[Outgoing]:
        if now > attempt.wait_until:
            return self._give_up(attempt, now)
        if now < attempt.next_resend:
            return []
        attempt.next_resend = Milliseconds(now + self._timing.resend)
        attempt.asked_again.clear()
        silent = tuple(vm for vm in attempt.seats if vm not in attempt.votes)
        return self._ask_seats(attempt, silent)

    def _tick_asking(self, attempt: Attempt, now: Milliseconds) -> list[Outgoing]:
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
        self, attempt: Attempt, refusal: Refusal, now: Milliseconds
    ) -> list[Outgoing]:
        self._outcomes.append(Refused(attempt.call, refusal))
        return self._release(attempt, now)

    def _release(self, attempt: Attempt, now: Milliseconds) -> list[Outgoing]:
        """Free a claim under which nothing was sent, for good."""
        self._forget(attempt)
        return self._send_release(attempt, now)

    def _send_release(self, attempt: Attempt, now: Milliseconds) -> list[Outgoing]:
        message = ClaimRelease(attempt.claim, attempt.key)
        return self._releases.send(message, attempt.asked, now)

    def _forget(self, attempt: Attempt) -> None:
        del self._attempts[attempt.claim]
        del self._by_call[attempt.call]


def _refusal_of(state: HolderState, settled: bool) -> Refusal:
    """Return the refusal of a repeat whose earlier call is in ``state``."""
    if settled:
        return _refusals.answer_gone()
    if state is HolderState.RUNNING:
        return _refusals.in_use()
    return _refusals.uncertain()
