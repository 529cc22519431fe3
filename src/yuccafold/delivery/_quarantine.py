"""Quarantine of requests that crash targets, to protect other targets."""

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
from yuccafold.delivery._crashes import SentReport
from yuccafold.delivery._crashes import TargetCrash
from yuccafold.delivery._crashes import strikes_for_crash
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
from yuccafold.delivery._reports import StrikeReports
from yuccafold.delivery._strikes import Standing
from yuccafold.delivery._strikes import StrikeTable
from yuccafold.delivery._strikes import Suspect
from yuccafold.delivery._strikes import split_for_messages
from yuccafold.delivery._trials import TrialArbiter
from yuccafold.delivery._views import View
from yuccafold.settings import Policy

TRIAL_RESEND = Milliseconds(250)
TRIAL_RENEWAL = Milliseconds(5_000)
SYNC_TIMEOUT = Milliseconds(2_000)
"""Longest time for which a VM grants no trials after its start or a pause.

It grants them earlier once it has compared its strikes with another VM.
"""

COMPARE_INTERVAL = Milliseconds(2_000)
"""Interval at which strikes are compared with one other VM."""

LISTED_RETENTION = Milliseconds(60_000)
"""How long a VM is sent reports after it was last in the VM list."""


@final
@dataclass(slots=True)
class _Trial:
    """A trial that this VM requested."""

    call: CallId
    request: TrialRequest
    wait_until: Milliseconds
    due_at: Milliseconds
    is_granted: bool = False
    was_busy: bool = False


@final
class Quarantine:
    """The strikes and trials of one VM; ``tick`` is called about every 100 ms.

    A VM that just started, or whose process paused for longer than
    ``pause_limit``, may lack strikes. Until it has compared its strikes with
    another VM, or ``SYNC_TIMEOUT`` has passed, it treats every request as suspect,
    so that the arbiter decides.
    """

    def __init__(
        self, vm: VmId, pause_limit: Milliseconds, rng: Random, now: Milliseconds
    ) -> None:
        self._vm = vm
        self._rng = rng
        self._view = View(())
        self._listed_at: dict[VmId, Milliseconds] = {}
        self._strikes = StrikeTable()
        self._arbiter = TrialArbiter(self._strikes)
        self._reports = StrikeReports()
        self._trials: dict[int, _Trial] = {}
        self._outcomes: list[QuarantineOutcome] = []
        self._pauses = PauseDetector(pause_limit, now)
        self._sync_number = 0
        self._mark_unsynced(now)

    def confirm_view(self, view: View, now: Milliseconds) -> None:
        """Record ``view`` as the present VM list."""
        self._observe_pause(now)
        self._view = view
        self._listed_at.update(dict.fromkeys(view.vms, now))
        oldest = now - LISTED_RETENTION
        self._listed_at = {
            vm: listed_at
            for vm, listed_at in self._listed_at.items()
            if listed_at >= oldest
        }

    def standing(self, fingerprint: Fingerprint, now: Milliseconds) -> Standing:
        """Return whether a request is clear, suspect or quarantined.

        A ``SUSPECT`` request needs a granted trial before it is sent, and a
        ``QUARANTINED`` one is refused with ``refusal``. Callers check again
        immediately before the first byte is sent, as the process may have
        paused in between.
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
        """Return every request with strikes, for display to operators."""
        return self._strikes.suspects(now)

    def lift(self, fingerprint: Fingerprint, now: Milliseconds) -> list[Outgoing]:
        """Clear all strikes against a request, at an operator's request."""
        return self._clear(fingerprint, now)

    def record_success(
        self, fingerprint: Fingerprint, now: Milliseconds
    ) -> list[Outgoing]:
        """Clear a suspect request that got a complete answer.

        The answer shows that the request doesn't crash targets.
        """
        if self._strikes.standing(fingerprint, now) is not Standing.SUSPECT:
            return []
        return self._clear(fingerprint, now)

    def report_target_crash(
        self, crash: TargetCrash, policy: Policy, now: Milliseconds
    ) -> SentReport:
        """Record a strike against each request in flight and report it to all VMs.

        Callers neither retry these requests nor answer them with a failure
        before the report's ``StrikesSpread``, so that every VM knows the strikes
        when the request is repeated.
        """
        number = self._new_number()
        strikes = strikes_for_crash(crash, policy, self._vm, number, self._trial_number)
        for strike in strikes:
            self._strikes.add(strike, now)
        *earlier, last = split_for_messages(strikes) or [()]
        outgoing = [
            message
            for piece in earlier
            for message in self._send_report(self._new_number(), piece, now)
        ]
        outgoing += self._send_report(number, last, now)
        self._record_spread_reports(now)
        return SentReport(number, outgoing)

    def _send_report(
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
        """Request a trial of a suspect request on ``target``.

        The outcome follows later. It is a refusal if the request is quarantined, or
        if no trial is granted within ``wait_ms``, as the arbiter doesn't answer or
        other trials are in progress.
        """
        request = TrialRequest(self._new_number(), service, fingerprint, target)
        trial = _Trial(
            call,
            request,
            wait_until=Milliseconds(now + wait_ms),
            due_at=Milliseconds(now + TRIAL_RESEND),
        )
        self._trials[request.number] = trial
        return self._send_trial_request(trial, now)

    def end_trial(
        self, call: CallId, survived: bool, now: Milliseconds
    ) -> list[Outgoing]:
        """End a trial; if the target survived, clear the request's strikes.

        After a target's crash, ``report_target_crash`` must be called first. A call
        without a trial is ignored.
        """
        trial = self._find_trial(call)
        if trial is None:
            return []
        del self._trials[trial.request.number]
        outgoing = self._send_to_arbiter(trial, TrialEnded(trial.request.number), now)
        if survived:
            outgoing += self.record_success(trial.request.fingerprint, now)
        return outgoing

    def handle(
        self, sender: VmId, message: object, now: Milliseconds
    ) -> list[Outgoing]:
        """Handle a message of another VM."""
        self._observe_pause(now)
        outgoing = self._dispatch(message, sender, now)
        self._record_spread_reports(now)
        return outgoing

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Resend due messages, compare strikes and drop expired state."""
        self._observe_pause(now)
        self._strikes.expire(now)
        self._record_spread_reports(now)
        outgoing = self._reports.tick(now) + self._sync(now)
        for trial in tuple(self._trials.values()):
            outgoing += self._tick_trial(trial, now)
        return outgoing

    def pop_outcomes(self) -> tuple[QuarantineOutcome, ...]:
        """Return and clear the outcomes since the last call."""
        outcomes = tuple(self._outcomes)
        self._outcomes.clear()
        return outcomes

    def _observe_pause(self, now: Milliseconds) -> None:
        if self._pauses.observe(now):
            self._mark_unsynced(now)

    def _mark_unsynced(self, now: Milliseconds) -> None:
        """Mark the known strikes as outdated, which starts a new comparison."""
        self._is_synced = False
        self._sync_deadline = Milliseconds(now + SYNC_TIMEOUT)
        self._next_sync = now
        # A late reply to an earlier request may lack strikes made in the pause.
        self._sync_number = self._new_number()

    def _new_number(self) -> int:
        return self._rng.getrandbits(48) + 1

    def _others(self) -> tuple[VmId, ...]:
        """Return the other VMs that were listed within ``LISTED_RETENTION``.

        VM lists lag, so a VM that left the list may still serve.
        """
        return tuple(sorted(self._listed_at.keys() - {self._vm}))

    def _find_trial(self, call: CallId) -> _Trial | None:
        trials = self._trials.values()
        return next((trial for trial in trials if trial.call == call), None)

    def _trial_number(self, call: CallId) -> int:
        trial = self._find_trial(call)
        return 0 if trial is None else trial.request.number

    def _clear(self, fingerprint: Fingerprint, now: Milliseconds) -> list[Outgoing]:
        ids = self._strikes.ids(fingerprint, now)
        until = Milliseconds(now + self._strikes.remaining(fingerprint, now))
        self._strikes.clear(fingerprint, ids, until, now)
        cleared = StrikesCleared(fingerprint, ids, until - now)
        return [Outgoing(vm, cleared) for vm in self._others() if ids]

    def _record_spread_reports(self, now: Milliseconds) -> None:
        self._outcomes += map(StrikesSpread, self._reports.take_spread(now))

    def _sync(self, now: Milliseconds) -> list[Outgoing]:
        """Compare strikes: with all VMs until synced, then with a random one."""
        others = self._others()
        if now < self._next_sync or not others:
            return []
        recipients = others if not self._is_synced else (self._rng.choice(others),)
        wait = COMPARE_INTERVAL if self._is_synced else TRIAL_RESEND
        self._next_sync = Milliseconds(now + wait)
        request = StrikesRequest(self._sync_number, self._strikes.digest(now))
        return [Outgoing(vm, request) for vm in recipients]

    def _knows_strikes(self, now: Milliseconds) -> bool:
        """Return whether this VM can rely on the strikes that it knows.

        That is so once they were compared with another VM, after
        ``SYNC_TIMEOUT``, or if there is no other VM. A VM that never had a VM
        list can't rely on them.
        """
        if not self._listed_at:
            return False
        return self._is_synced or now >= self._sync_deadline or not self._others()

    def _tick_trial(self, trial: _Trial, now: Milliseconds) -> list[Outgoing]:
        if not trial.is_granted and now >= trial.wait_until:
            code = "trial-busy" if trial.was_busy else "trial-unreachable"
            return self._refuse(trial, _refusals.not_tried(code))
        if now < trial.due_at:
            return []
        renewal = TRIAL_RENEWAL if trial.is_granted else TRIAL_RESEND
        trial.due_at = Milliseconds(now + renewal)
        return self._send_trial_request(trial, now)

    def _send_trial_request(self, trial: _Trial, now: Milliseconds) -> list[Outgoing]:
        return self._send_to_arbiter(trial, trial.request, now)

    def _send_to_arbiter(
        self, trial: _Trial, message: object, now: Milliseconds
    ) -> list[Outgoing]:
        """Send ``message`` to the arbiter of the service's trials.

        If this VM is the arbiter, the message is handled immediately.
        """
        arbiter = self._view.vm_for(trial.request.service.encode())
        if arbiter is None:
            return []
        if arbiter != self._vm:
            return [Outgoing(arbiter, message)]
        for reply in self._dispatch(message, self._vm, now):
            self._dispatch(reply.message, self._vm, now)
        return []

    def _refuse(self, trial: _Trial, refusal: Refusal) -> list[Outgoing]:
        self._outcomes.append(TrialRefused(trial.call, refusal))
        del self._trials[trial.request.number]
        return []

    @singledispatchmethod
    def _dispatch(
        self, message: Any, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        raise TypeError(f"expected a quarantine message, got {type(message).__name__}")

    @_dispatch.register
    def _(
        self, message: StrikeReport, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        for strike in message.strikes:
            self._strikes.add(strike, now)
        return [Outgoing(sender, StrikeAck(message.number))]

    @_dispatch.register
    def _(
        self, message: StrikesReply, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        for strike in message.strikes:
            self._strikes.add(strike, now)
        self._is_synced = self._is_synced or message.number == self._sync_number
        return []

    @_dispatch.register
    def _(self, message: StrikeAck, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._reports.acknowledge(message.number, sender)
        return []

    @_dispatch.register
    def _(
        self, message: StrikesCleared, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        until = Milliseconds(now + message.remaining_ms)
        self._strikes.clear(message.fingerprint, message.ids, until, now)
        return []

    @_dispatch.register
    def _(
        self, message: StrikesRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._is_synced and now < self._sync_deadline:
            return []
        strikes = self._strikes.strikes(now)
        if message.digest == self._strikes.digest(now):
            strikes, cleared = (), ()
        else:
            cleared = self._strikes.cleared(now)
        *earlier, last = split_for_messages(strikes) or [()]
        # Only the last part has the request's number, as the requester counts as
        # synced once it receives that.
        answers = (
            *(StrikesReply(0, piece) for piece in earlier),
            StrikesReply(message.number, last),
            *cleared,
        )
        return [Outgoing(sender, answer) for answer in answers]

    @_dispatch.register
    def _(
        self, message: TrialRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if not self._knows_strikes(now):
            return []
        answer = self._arbiter.decide(sender, message, now)
        return [Outgoing(sender, TrialReply(message.number, answer))]

    @_dispatch.register
    def _(self, message: TrialEnded, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        self._arbiter.end(sender, message.number)
        return []

    @_dispatch.register
    def _(self, message: TrialReply, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        trial = self._trials.get(message.number)
        if trial is None:
            # A trial that was given up in the meantime must not block its target.
            ended = TrialEnded(message.number)
            return [] if sender == self._vm else [Outgoing(sender, ended)]
        if trial.is_granted:
            return []
        if message.answer is TrialAnswer.QUARANTINED:
            return self._refuse(trial, self.refusal(trial.request.fingerprint, now))
        trial.was_busy = message.answer is TrialAnswer.BUSY
        if message.answer is TrialAnswer.GRANTED:
            trial.is_granted = True
            trial.due_at = Milliseconds(now + TRIAL_RENEWAL)
            self._outcomes.append(TrialGranted(trial.call))
        return []
