"""Tracks the requests on each target, so that a crash report can name them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from result import Err
from result import Ok

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import TargetId
from yuccafold._outgoing import Outgoing
from yuccafold.control._commands import EnterTarget
from yuccafold.control._commands import LeaveTarget
from yuccafold.control._commands import ReportCrash
from yuccafold.control._reply import Reply
from yuccafold.delivery import Fingerprint
from yuccafold.delivery import InFlightCall
from yuccafold.delivery import Quarantine
from yuccafold.delivery import Standing
from yuccafold.delivery import StrikesSpread
from yuccafold.delivery import TargetCrash
from yuccafold.delivery import TrialGranted


@final
@dataclass(slots=True)
class _RequestOnTarget:
    """A request on a target.

    ``report_replies`` are the replies of the crash report that named the request,
    ``None`` if no report has.
    """

    fingerprint: Fingerprint
    on_trial: bool
    report_replies: list[Reply[bool]] | None = None


@final
class TargetGuard:
    """Applies quarantine decisions to the calls of this VM."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._requests: dict[TargetId, dict[CallId, _RequestOnTarget]] = {}
        self._awaiting_trial: dict[CallId, EnterTarget] = {}
        self._report_replies: dict[int, list[Reply[bool]]] = {}

    @property
    def quarantine(self) -> Quarantine:
        """The quarantine decisions that this guard applies."""
        return self._quarantine

    def enter(self, command: EnterTarget, now: Milliseconds) -> list[Outgoing]:
        """Admit a request to a target; a suspect request needs a trial first."""
        standing = self._quarantine.standing(command.fingerprint, now)
        if standing is Standing.QUARANTINED:
            refusal = self._quarantine.refusal(command.fingerprint, now)
            command.reply.put(Err(refusal))
            return []
        if standing is not Standing.SUSPECT:
            self._admit(command, on_trial=False)
            return []
        self._awaiting_trial[command.call] = command
        return self._quarantine.request_trial(
            command.call,
            command.service,
            command.fingerprint,
            command.target,
            command.wait_ms,
            now,
        )

    def may_send(self, call: CallId, target: TargetId, now: Milliseconds) -> bool:
        """Return whether an admitted request may still be sent.

        It became suspect after its admission if another VM reported a crash with it.
        """
        entry = self._requests.get(target, {}).get(call)
        if entry is None or entry.on_trial:
            return True
        return self._quarantine.standing(entry.fingerprint, now) is Standing.CLEAR

    def leave(self, command: LeaveTarget, now: Milliseconds) -> list[Outgoing]:
        """Remove a request from its target."""
        self._awaiting_trial.pop(command.call, None)
        entry = self._requests.get(command.target, {}).pop(command.call, None)
        if entry is None:
            return []
        outgoing = self._quarantine.end_trial(command.call, command.answered, now)
        if command.answered:
            outgoing += self._quarantine.record_success(entry.fingerprint, now)
        return outgoing

    def report(self, command: ReportCrash, now: Milliseconds) -> list[Outgoing]:
        """Report a crash once for all requests that were on the target."""
        entries = self._requests.get(command.target, {})
        open_report = next(
            (
                request.report_replies
                for request in entries.values()
                if request.report_replies is not None
            ),
            None,
        )
        if open_report is not None and all(
            request.report_replies is not None for request in entries.values()
        ):
            open_report.append(command.reply)
            return []
        unreported = {
            call: request
            for call, request in entries.items()
            if request.report_replies is None
        }
        replies = [command.reply]
        for entry in unreported.values():
            entry.report_replies = replies
        crash = TargetCrash(
            command.service,
            command.target,
            tuple(
                InFlightCall(call, entry.fingerprint)
                for call, entry in unreported.items()
            ),
        )
        report = self._quarantine.report_target_crash(crash, command.policy, now)
        self._report_replies[report.number] = replies
        return report.outgoing

    def settle(self) -> None:
        """Answer the crash reports and trials that have an outcome."""
        for outcome in self._quarantine.pop_outcomes():
            if isinstance(outcome, StrikesSpread):
                for reply in self._report_replies.pop(outcome.report, []):
                    reply.put(True)
                continue
            command = self._awaiting_trial.pop(outcome.call, None)
            if command is None:
                continue
            if isinstance(outcome, TrialGranted):
                self._admit(command, on_trial=True)
            else:
                command.reply.put(Err(outcome.refusal))

    def _admit(self, command: EnterTarget, on_trial: bool) -> None:
        requests = self._requests.setdefault(command.target, {})
        requests[command.call] = _RequestOnTarget(command.fingerprint, on_trial)
        command.reply.put(Ok(None))
