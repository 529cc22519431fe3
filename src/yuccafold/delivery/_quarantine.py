"""Keeps requests that kill targets from killing more of them."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from random import Random
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._clock import PauseDetector
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold._verdict import Refusal
from yuccafold.delivery import _refusals
from yuccafold.delivery._deaths import SentReport
from yuccafold.delivery._deaths import TargetDeath
from yuccafold.delivery._deaths import strikes_of
from yuccafold.delivery._keys import Fingerprint
from yuccafold.delivery._messages import Strike
from yuccafold.delivery._messages import StrikeAck
from yuccafold.delivery._messages import StrikeReport
from yuccafold.delivery._messages import StrikesCleared
from yuccafold.delivery._messages import StrikesReply
from yuccafold.delivery._messages import StrikesRequest
from yuccafold.delivery._messages import TrialAnswer
from yuccafold.delivery._messages import TrialEnded
from yuccafold.delivery._messages import TrialReply
from yuccafold.delivery._messages import TrialRequest
from yuccafold.delivery._outcomes import QuarantineOutcome
from yuccafold.delivery._outcomes import StrikesSpread
from yuccafold.delivery._outcomes import TrialGranted
from yuccafold.delivery._outcomes import TrialRefused
from yuccafold.delivery._reports import Reports
from yuccafold.delivery._strikes import Standing
from yuccafold.delivery._strikes import StrikeTable
from yuccafold.delivery._strikes import Suspect
from yuccafold.delivery._strikes import pieces
from yuccafold.delivery._trials import TrialArbiter
from yuccafold.delivery._views import View
from yuccafold.settings import Policy

TRIAL_RESEND = Milliseconds(250)
TRIAL_RENEWAL = Milliseconds(5_000)
SYNC_LIMIT = Milliseconds(2_000)
"""A VM that started grants no trial until it knows the strikes, or this long."""

COMPARE_INTERVAL = Milliseconds(2_000)
"""How often strikes are compared with one other VM."""

LISTED_LATELY = Milliseconds(60_000)


@final
@dataclass(slots=True)
class _Trial:
    """A trial that this VM asked for."""

    call: CallId
    request: TrialRequest
    wait_until: Milliseconds
    due: Milliseconds
    is_granted: bool = False
    was_busy: bool = False


@final
class Quarantine:
    """One VM's part in quarantine; ``tick`` is called about every 100 ms.

    A VM that started, or whose process paused for longer than ``pause_limit``,
    may not know the strikes: until it has compared them with another VM it
    takes every request for suspect, so that the arbiter decides.
    """

    def __init__(
        self, vm: VmId, pause_limit: Milliseconds, rng: Random, now: Milliseconds
    ) -> None:
        self._vm = vm
        self._rng = rng
        self._view = View(())
        self._listed: dict[VmId, Milliseconds] = {}
        self._strikes = StrikeTable()
        self._arbiter = TrialArbiter(self._strikes)
        self._reports = Reports()
        self._trials: dict[int, _Trial] = {}
        self._outcomes: list[QuarantineOutcome] = []
        self._pauses = PauseDetector(pause_limit, now)
        self._sync_number = 0
        self._forget_sync(now)

    def confirm_view(self, view: View, now: Milliseconds) -> None:
        """Take ``view`` as the present VM list."""
        self._observe_pause(now)
        self._view = view
        self._listed.update(dict.fromkeys(view.vms, now))
        oldest = now - LISTED_LATELY
        self._listed = {vm: at for vm, at in self._listed.items() if at >= oldest}

    def standing(self, fingerprint: Fingerprint, now: Milliseconds) -> Standing:
        """Return what this VM knows of a request.

        A ``SUSPECT`` request needs a granted trial before it is sent, and a
        ``QUARANTINED`` one is refused by ``refusal``. Asked again immediately
        before the first byte, as the process may have paused meanwhile.
        """
        self._observe_pause(now)
        standing = self._strikes.standing(fingerprint, now)
        if standing is Standing.CLEAR and not self._knows_strikes(now):
            return Standing.SUSPECT
        return standing

    def refusal(self, fingerprint: Fingerprint, now: Milliseconds) -> Refusal:
        """Return the refusal of a quarantined request."""
        return _refusals.quarantined(self._strikes.remaining(fingerprint, now))

    def suspects(self, now: Milliseconds) -> tuple[Suspect, ...]:
        """Return every request with strikes, for operators."""
        return self._strikes.suspects(now)

    def lift(self, fingerprint: Fingerprint, now: Milliseconds) -> list[Outgoing]:
        """Take back all strikes against a request, on an operator's word."""
        return self._clear(fingerprint, now)

    def succeeded(self, fingerprint: Fingerprint, now: Milliseconds) -> list[Outgoing]:
        """Note that a request got its whole answer, so that it kills no target."""
        if self._strikes.standing(fingerprint, now) is not Standing.SUSPECT:
            return []
        return self._clear(fingerprint, now)

    def target_died(
        self, death: TargetDeath, policy: Policy, now: Milliseconds
    ) -> SentReport:
        """Record a strike against each request in flight and tell the fleet.

        No retry and no failure answer of these requests goes out before the
        report's ``StrikesSpread``, so that a repeat finds every VM informed.
        """
        number = self._new_number()
        strikes = strikes_of(death, policy, self._vm, number, self._trial_of)
        for strike in strikes:
            self._strikes.add(strike, now)
        *earlier, last = pieces(strikes) or [()]
        outgoing = [
            each
            for piece in earlier
            for each in self._report(self._new_number(), piece, now)
        ]
        outgoing += self._report(number, last, now)
        self._note_spread(now)
        return SentReport(number, outgoing)

    def _report(
        self, number: int, strikes: tuple[Strike, ...], now: Milliseconds
    ) -> list[Outgoing]:
        return self._reports.send(StrikeReport(number, strikes), self._others(), now)

    def request_trial(
        self,
        call: CallId,
        service: ServiceId,
        fingerprint: Fingerprint,
        target: TargetId,
        wait_ms: int,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """Ask to send a suspect request to ``target``; the outcome comes later.

        The wait for the arbiter and for other trials ends after ``wait_ms``.
        """
        request = TrialRequest(self._new_number(), service, fingerprint, target)
        trial = _Trial(
            call,
            request,
            wait_until=Milliseconds(now + wait_ms),
            due=Milliseconds(now + TRIAL_RESEND),
        )
        self._trials[request.number] = trial
        return self._ask(trial, now)

    def trial_ended(
        self, call: CallId, survived: bool, now: Milliseconds
    ) -> list[Outgoing]:
        """End a trial; a target that answered clears the request's strikes.

        After a target's death ``target_died`` is called first. A call without
        a trial is ignored.
        """
        trial = self._find(call)
        if trial is None:
            return []
        del self._trials[trial.request.number]
        outgoing = self._to_arbiter(trial, TrialEnded(trial.request.number), now)
        if survived:
            outgoing += self.succeeded(trial.request.fingerprint, now)
        return outgoing

    def handle(
        self, sender: VmId, message: object, now: Milliseconds
    ) -> list[Outgoing]:
        """Take a message of another VM."""
        self._observe_pause(now)
        outgoing = self._take(message, sender, now)
        self._note_spread(now)
        return outgoing

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Do what is due."""
        self._observe_pause(now)
        self._strikes.expire(now)
        self._note_spread(now)
        outgoing = self._reports.tick(now) + self._sync(now)
        for trial in tuple(self._trials.values()):
            outgoing += self._tick_trial(trial, now)
        return outgoing

    def take_outcomes(self) -> tuple[QuarantineOutcome, ...]:
        """Return each outcome once."""
        outcomes = tuple(self._outcomes)
        self._outcomes.clear()
        return outcomes

    def _observe_pause(self, now: Milliseconds) -> None:
        if self._pauses.observe(now):
            self._forget_sync(now)

    def _forget_sync(self, now: Milliseconds) -> None:
        """Count the known strikes as outdated."""
        self._is_synced = False
        self._sync_until = Milliseconds(now + SYNC_LIMIT)
        self._next_sync = now
        # A late reply to an earlier question says nothing of the pause.
        self._sync_number = self._new_number()

    def _new_number(self) -> int:
        return self._rng.getrandbits(48) + 1

    def _others(self) -> tuple[VmId, ...]:
        """Return the other VMs listed lately; lists lag, so some still serve."""
        return tuple(sorted(self._listed.keys() - {self._vm}))

    def _find(self, call: CallId) -> _Trial | None:
        trials = self._trials.values()
        return next((each for each in trials if each.call == call), None)

    def _trial_of(self, call: CallId) -> int:
        trial = self._find(call)
        return 0 if trial is None else trial.request.number

    def _clear(self, fingerprint: Fingerprint, now: Milliseconds) -> list[Outgoing]:
        ids = self._strikes.ids(fingerprint, now)
        until = Milliseconds(now + self._strikes.remaining(fingerprint, now))
        self._strikes.clear(fingerprint, ids, until, now)
        cleared = StrikesCleared(fingerprint, ids, until - now)
        return [Outgoing(vm, cleared) for vm in self._others() if ids]

    def _note_spread(self, now: Milliseconds) -> None:
        self._outcomes += map(StrikesSpread, self._reports.take_spread(now))

    def _sync(self, now: Milliseconds) -> list[Outgoing]:
        """Compare strikes: at first with everyone, later with one VM at a time."""
        others = self._others()
        if now < self._next_sync or not others:
            return []
        asked = others if not self._is_synced else (self._rng.choice(others),)
        wait = COMPARE_INTERVAL if self._is_synced else TRIAL_RESEND
        self._next_sync = Milliseconds(now + wait)
        request = StrikesRequest(self._sync_number, self._strikes.digest(now))
        return [Outgoing(vm, request) for vm in asked]

    def _knows_strikes(self, now: Milliseconds) -> bool:
        """Return whether the strikes are compared, or nobody is there to ask.

        A VM without any list knows nobody and nothing.
        """
        if not self._listed:
            return False
        return self._is_synced or now >= self._sync_until or not self._others()

    def _tick_trial(self, trial: _Trial, now: Milliseconds) -> list[Outgoing]:
        if not trial.is_granted and now >= trial.wait_until:
            code = "trial-busy" if trial.was_busy else "trial-unreachable"
            return self._refuse(trial, _refusals.not_tried(code))
        if now < trial.due:
            return []
        renewal = TRIAL_RENEWAL if trial.is_granted else TRIAL_RESEND
        trial.due = Milliseconds(now + renewal)
        return self._ask(trial, now)

    def _ask(self, trial: _Trial, now: Milliseconds) -> list[Outgoing]:
        return self._to_arbiter(trial, trial.request, now)

    def _to_arbiter(
        self, trial: _Trial, message: object, now: Milliseconds
    ) -> list[Outgoing]:
        """Send ``message`` to the VM that arbitrates the service's trials."""
        arbiter = self._view.home(trial.request.service.encode())
        if arbiter is None:
            return []
        if arbiter != self._vm:
            return [Outgoing(arbiter, message)]
        for reply in self._take(message, self._vm, now):
            self._take(reply.message, self._vm, now)
        return []

    def _refuse(self, trial: _Trial, refusal: Refusal) -> list[Outgoing]:
        self._outcomes.append(TrialRefused(trial.call, refusal))
        del self._trials[trial.request.number]
        return []

    @singledispatchmethod
    def _take(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        raise TypeError(f"expected a quarantine message, got {type(message).__name__}")

    @_take.register
    def _(
        self, message: StrikeReport, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        for strike in message.strikes:
            self._strikes.add(strike, now)
        return [Outgoing(sender, StrikeAck(message.number))]

    @_take.register
    def _(
        self, message: StrikesReply, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        for strike in message.strikes:
            self._strikes.add(strike, now)
        self._is_synced = self._is_synced or message.number == self._sync_number
        return []

    @_take.register
    def _(self, message: StrikeAck, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._reports.acknowledge(message.number, sender)
        return []

    @_take.register
    def _(
        self, message: StrikesCleared, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        until = Milliseconds(now + message.remaining_ms)
        self._strikes.clear(message.fingerprint, message.ids, until, now)
        return []

    @_take.register
    def _(
        self, message: StrikesRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._is_synced and now < self._sync_until:
            return []
        strikes = self._strikes.strikes(now)
        if message.digest == self._strikes.digest(now):
            strikes, cleared = (), ()
        else:
            cleared = self._strikes.cleared(now)
        *earlier, last = pieces(strikes) or [()]
        # Only the last piece's number says that the strikes are known.
        answers = (
            *(StrikesReply(0, piece) for piece in earlier),
            StrikesReply(message.number, last),
            *cleared,
        )
        return [Outgoing(sender, each) for each in answers]

    @_take.register
    def _(
        self, message: TrialRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._knows_strikes(now):
            return []
        answer = self._arbiter.decide(sender, message, now)
        return [Outgoing(sender, TrialReply(message.number, answer))]

    @_take.register
    def _(self, message: TrialEnded, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._arbiter.end(sender, message.number)
        return []

    @_take.register
    def _(self, message: TrialReply, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        trial = self._trials.get(message.number)
        if trial is None:
            # A trial given up meanwhile must not block its target.
            ended = TrialEnded(message.number)
            return [] if sender == self._vm else [Outgoing(sender, ended)]
        if trial.is_granted:
            return []
        if message.answer is TrialAnswer.QUARANTINED:
            return self._refuse(trial, self.refusal(trial.request.fingerprint, now))
        trial.was_busy = message.answer is TrialAnswer.BUSY
        if message.answer is TrialAnswer.GRANTED:
            trial.is_granted = True
            trial.due = Milliseconds(now + TRIAL_RENEWAL)
            self._outcomes.append(TrialGranted(trial.call))
        return []
