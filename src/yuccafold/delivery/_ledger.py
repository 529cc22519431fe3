"""One VM's part in running each idempotency key at most once."""

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
"""Keys whose claims one recovery page shows; a page stays under 20 KB."""

SWEEP_INTERVAL = Milliseconds(1_000)


@final
class OnceLedger:
    """Claims, votes and finished answers of one VM.

    ``tick`` is called at least every ``pause_limit`` milliseconds, or the
    process counts as paused. After each call of ``start``, ``handle`` or
    ``tick``, ``take_outcomes`` returns what calls came to.
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
        """The durations of the protocol."""
        return self._timing

    @property
    def views(self) -> ViewHistory:
        """The VM lists that claims count with."""
        return self._views

    @property
    def held(self) -> int:
        """How many claims this VM holds as a seat."""
        return len(self._voter)

    def is_recovering(self, now: Milliseconds) -> bool:
        """Return whether this VM abstains from votes on some keys."""
        current = self._views.current
        return current is None or not self._recovery.covered((current.digest,), now)

    def confirm_view(self, view: View, now: Milliseconds) -> None:
        """Take ``view`` as the VM list that the platform publishes now."""
        self.observe_pause(now)
        self._views.confirm(view, now)

    def observe_pause(self, now: Milliseconds) -> bool:
        """Void what a pause outdated; return whether there was one."""
        paused = self._pauses.observe(now)
        if paused:
            self._claimant.void_before(now)
        return paused

    def start(
        self, call: CallId, key: ClaimKey, digest: BodyDigest, now: Milliseconds
    ) -> list[Outgoing]:
        """Claim ``key`` for ``call``, whose outcome comes later."""
        self.observe_pause(now)
        return self._route(self._claimant.start(call, key, digest, now), now)

    def authorize_send(self, call: CallId, now: Milliseconds) -> Refusal | None:
        """Allow the first byte of ``call`` to be written at once, or refuse."""
        self.observe_pause(now)
        return self._claimant.authorize_send(call, now)

    def rearm(self, call: CallId) -> None:
        """Allow another send of ``call``, whose last one certainly did not run."""
        self._claimant.rearm(call)

    def finish(
        self,
        call: CallId,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """End ``call`` with its verdict and, when complete, its answer."""
        return self._route(self._claimant.finish(call, verdict, answer, now), now)

    def handle(
        self, sender: VmId, message: object, now: Milliseconds
    ) -> list[Outgoing]:
        """Take a message of another VM."""
        self.observe_pause(now)
        return self._route(self._take(message, sender, now), now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Do what is due."""
        self.observe_pause(now)
        if now >= self._next_sweep:
            self._next_sweep = Milliseconds(now + SWEEP_INTERVAL)
            self._views.expire(now)
            self._voter.expire(now)
            self._claimant.expire(now)
        outgoing = self._claimant.tick(now) + self._recovery.tick(now)
        return self._route(outgoing, now)

    def take_outcomes(self) -> tuple[ClaimOutcome, ...]:
        """Return each outcome once."""
        outcomes = tuple(self._claimant.outcomes)
        self._claimant.outcomes.clear()
        return outcomes

    def _route(self, outgoing: list[Outgoing], now: Milliseconds) -> list[Outgoing]:
        """Deliver what is for this VM itself and return the rest."""
        leaving: list[Outgoing] = []
        waiting = list(outgoing)
        while waiting:
            each = waiting.pop(0)
            if each.to == self._vm:
                waiting += self._take(each.message, self._vm, now)
            else:
                leaving.append(each)
        return leaving

    @singledispatchmethod
    def _take(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        raise TypeError(f"expected a claim message, got {type(message).__name__}")

    @_take.register
    def _(
        self, message: ClaimRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return [Outgoing(sender, self._voter.vote(message, now))]

    @_take.register
    def _(self, message: ClaimVote, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        return self._claimant.on_vote(sender, message, now)

    @_take.register
    def _(
        self, message: ClaimRelease, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._voter.release(message, now)
        return [Outgoing(sender, ClaimReleased(message.claim))]

    @_take.register
    def _(
        self, message: ClaimReleased, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._claimant.on_released(sender, message.claim)
        return []

    @_take.register
    def _(
        self, message: ClaimSettled, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._voter.settle(message, now)
        return []

    @_take.register
    def _(
        self, message: AnswerQuery, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return [Outgoing(sender, self._claimant.on_query(message))]

    @_take.register
    def _(
        self, message: AnswerReply, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return self._claimant.on_reply(message, now)

    @_take.register
    def _(
        self, message: ViewAnnounce, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        for record in message.views:
            self._views.learn(record, now)
        return []

    @_take.register
    def _(
        self, message: RecoveryRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        claims = self._voter.held_with(sender, message.after, PAGE_KEYS, now)
        page = RecoveryPage(
            message.incarnation,
            self._recovery.covered(message.views, now),
            self._views.records(now),
            claims,
            last=len({claim.key for claim in claims}) < PAGE_KEYS,
        )
        return [Outgoing(sender, page)]

    @_take.register
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
            self._recovery.note(sender, message)
            return []
        following = RecoveryRequest(
            message.incarnation, message.covered, message.claims[-1].key
        )
        return [Outgoing(sender, following)]
