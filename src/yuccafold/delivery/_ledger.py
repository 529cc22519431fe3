"""One VM's share in ensuring that each idempotency key's call runs at most once."""

from __future__ import annotations

from functools import singledispatchmethod
from random import Random
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._clock import PauseDetector
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.delivery._answers import AnswerStore
from yuccafold.delivery._claimant import Claimant
from yuccafold.delivery._keys import BodyDigest
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._messages import AnswerQuery
from yuccafold.delivery._messages import AnswerReply
from yuccafold.delivery._messages import ClaimRelease
from yuccafold.delivery._messages import ClaimReleased
from yuccafold.delivery._messages import ClaimRequest
from yuccafold.delivery._messages import ClaimSettled
from yuccafold.delivery._messages import ClaimVote
from yuccafold.delivery._messages import RecoveryPage
from yuccafold.delivery._messages import RecoveryRequest
from yuccafold.delivery._messages import StoredAnswer
from yuccafold.delivery._messages import ViewAnnounce
from yuccafold.delivery._outcomes import ClaimOutcome
from yuccafold.delivery._recovery import Recovery
from yuccafold.delivery._timing import ClaimTiming
from yuccafold.delivery._views import View
from yuccafold.delivery._views import ViewHistory
from yuccafold.delivery._voter import ClaimVoter
from yuccafold.settings import ClaimSettings

PAGE_KEYS = 32
"""Keys per recovery page; keeps a page under 20 KB."""

SWEEP_INTERVAL = Milliseconds(1_000)


@final
class OnceLedger:
    """Claims, votes and finished answers of one VM.

    ``tick`` must be called at least every ``pause_limit`` milliseconds, as the
    process counts as paused otherwise. Call ``pop_outcomes`` after each
    ``start``, ``handle`` or ``tick`` to get the outcomes of calls.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        settings: ClaimSettings,
        pause_limit: Milliseconds,
        rng: Random,
        now: Milliseconds,
    ) -> None:
        self._vm = vm
        timing = ClaimTiming.of(settings)
        self._timing = timing
        self._views = ViewHistory(timing)
        self._recovery = Recovery(
            vm,
            incarnation,
            settings.seats,
            timing,
            self._views,
            now,
            settings.votes_after_ms(incarnation),
        )
        self._voter = ClaimVoter(timing, self._views, self._recovery)
        self._claimant = Claimant(
            vm,
            incarnation,
            settings.seats,
            timing,
            self._views,
            AnswerStore(settings.answer_limit_bytes),
            rng,
        )
        self._pauses = PauseDetector(pause_limit, now)
        self._next_sweep = now

    @property
    def timing(self) -> ClaimTiming:
        """The durations of the claim protocol."""
        return self._timing

    @property
    def views(self) -> ViewHistory:
        """The present and the recent VM lists."""
        return self._views

    @property
    def held(self) -> int:
        """Number of claims that this VM holds as a voter."""
        return len(self._voter)

    def is_recovering(self, now: Milliseconds) -> bool:
        """Return whether this VM abstains from votes on some keys.

        It does so as long as it may have forgotten claims on them.
        """
        current = self._views.current
        return current is None or not self._recovery.covered((current.digest,), now)

    def confirm_view(self, view: View, now: Milliseconds) -> None:
        """Record ``view`` as the VM list that the platform publishes at present."""
        self.observe_pause(now)
        self._views.confirm(view, now)

    def observe_pause(self, now: Milliseconds) -> bool:
        """Detect a pause of the process; return whether there was one.

        A pause invalidates unsent claims and the confirmation of the VM list.
        """
        paused = self._pauses.observe(now)
        if paused:
            self._claimant.invalidate_before(now)
        return paused

    def start(
        self, call: CallId, key: ClaimKey, digest: BodyDigest, now: Milliseconds
    ) -> list[Outgoing]:
        """Start a claim on ``key`` for ``call``; its outcome follows later."""
        self.observe_pause(now)
        return self._route(self._claimant.start(call, key, digest, now), now)

    def authorize_send(self, call: CallId, now: Milliseconds) -> Refusal | None:
        """Allow the first byte of ``call`` to be sent immediately, or refuse it.

        Returns None or the refusal.
        """
        self.observe_pause(now)
        return self._claimant.authorize_send(call, now)

    def rearm(self, call: CallId) -> None:
        """Allow ``call`` to be sent again after a send that certainly did not run."""
        self._claimant.rearm(call)

    def finish(
        self,
        call: CallId,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """End ``call`` with its verdict and, if it is complete, its answer."""
        return self._route(self._claimant.finish(call, verdict, answer, now), now)

    def handle(
        self, sender: VmId, message: object, now: Milliseconds
    ) -> list[Outgoing]:
        """Handle a message of another VM."""
        self.observe_pause(now)
        return self._route(self._dispatch(message, sender, now), now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Resend unanswered messages, end overdue claims and drop expired state."""
        self.observe_pause(now)
        if now >= self._next_sweep:
            self._next_sweep = Milliseconds(now + SWEEP_INTERVAL)
            self._views.expire(now)
            self._voter.expire(now)
            self._claimant.expire(now)
        outgoing = self._claimant.tick(now) + self._recovery.tick(now)
        return self._route(outgoing, now)

    def pop_outcomes(self) -> tuple[ClaimOutcome, ...]:
        """Return and clear the outcomes since the last call."""
        outcomes = tuple(self._claimant.outcomes)
        self._claimant.outcomes.clear()
        return outcomes

    def _route(self, outgoing: list[Outgoing], now: Milliseconds) -> list[Outgoing]:
        """Handle the messages addressed to this VM and return the others."""
        external: list[Outgoing] = []
        pending = list(outgoing)
        while pending:
            entry = pending.pop(0)
            if entry.to == self._vm:
                pending += self._dispatch(entry.message, self._vm, now)
            else:
                external.append(entry)
        return external

    @singledispatchmethod
    def _dispatch(
        self, message: Any, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        raise TypeError(f"expected a claim message, got {type(message).__name__}")

    @_dispatch.register
    def _(
        self, message: ClaimRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return [Outgoing(sender, self._voter.vote(message, now))]

    @_dispatch.register
    def _(self, message: ClaimVote, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        return self._claimant.on_vote(sender, message, now)

    @_dispatch.register
    def _(
        self, message: ClaimRelease, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._voter.release(message, now)
        return [Outgoing(sender, ClaimReleased(message.claim))]

    @_dispatch.register
    def _(
        self, message: ClaimReleased, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._claimant.on_released(sender, message.claim)
        return []

    @_dispatch.register
    def _(
        self, message: ClaimSettled, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._voter.settle(message, now)
        return []

    @_dispatch.register
    def _(
        self, message: AnswerQuery, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return [Outgoing(sender, self._claimant.on_query(message))]

    @_dispatch.register
    def _(
        self, message: AnswerReply, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return self._claimant.on_reply(message, now)

    @_dispatch.register
    def _(
        self, message: ViewAnnounce, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        for record in message.views:
            self._views.learn(record, now)
        return []

    @_dispatch.register
    def _(
        self, message: RecoveryRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        claims = self._voter.claims_of_voter(sender, message.after, PAGE_KEYS, now)
        page = RecoveryPage(
            message.incarnation,
            self._recovery.covered(message.views, now),
            self._views.records(now),
            claims,
            last=len({claim.key for claim in claims}) < PAGE_KEYS,
        )
        return [Outgoing(sender, page)]

    @_dispatch.register
    def _(
        self, message: RecoveryPage, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if message.incarnation != self._recovery.incarnation:
            return []
        for record in message.known:
            self._views.learn(record, now)
        if not all(self._voter.restore(claim, now) for claim in message.claims):
            return []
        if message.last:
            self._recovery.record_last_page(sender, message)
            return []
        following = RecoveryRequest(
            message.incarnation, message.covered, message.claims[-1].key
        )
        return [Outgoing(sender, following)]
