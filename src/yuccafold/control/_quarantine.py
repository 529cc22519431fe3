"""Requests on targets, so that a death names those that were in flight."""

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
from yuccafold.control._commands import ReportDeath
from yuccafold.control._reply import Reply
from yuccafold.delivery import Fingerprint
from yuccafold.delivery import InFlight
from yuccafold.delivery import Quarantine
from yuccafold.delivery import Standing
from yuccafold.delivery import StrikesSpread
from yuccafold.delivery import TargetDeath
from yuccafold.delivery import TrialGranted


@final
@dataclass(slots=True)
class _OnTarget:
    """One request on a target, and the death report that named it."""

    fingerprint: Fingerprint
    on_trial: bool
    report: list[Reply[bool]] | None = None


@final
class TargetGuard:
    """Carries quarantine's questions and answers for the calls of this VM."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._on_target: dict[TargetId, dict[CallId, _OnTarget]] = {}
        self._trials: dict[CallId, EnterTarget] = {}
        self._reports: dict[int, list[Reply[bool]]] = {}

    @property
    def quarantine(self) -> Quarantine:
        """The decisions behind."""
        return self._quarantine

    def enter(self, command: EnterTarget, now: Milliseconds) -> list[Outgoing]:
        """Let a request onto a target, after a trial if it is suspect."""
        standing = self._quarantine.standing(command.fingerprint, now)
        if standing is Standing.QUARANTINED:
            refusal = self._quarantine.refusal(command.fingerprint, now)
            command.reply.put(Err(refusal))
            return []
        if standing is not Standing.SUSPECT:
            self._admit(command, on_trial=False)
            return []
        self._trials[command.call] = command
        return self._quarantine.request_trial(
            command.call,
            command.service,
            command.fingerprint,
            command.target,
            command.wait_ms,
            now,
        )

    def may_send(self, call: CallId, target: TargetId, now: Milliseconds) -> bool:
        """Return whether a request that entered may still be written.

        It became suspect meanwhile if another VM reported a death with it.
        """
        entry = self._on_target.get(target, {}).get(call)
        if entry is None or entry.on_trial:
            return True
        return self._quarantine.standing(entry.fingerprint, now) is Standing.CLEAR

    def leave(self, command: LeaveTarget, now: Milliseconds) -> list[Outgoing]:
        """Take a request off its target."""
        self._trials.pop(command.call, None)
        entry = self._on_target.get(command.target, {}).pop(command.call, None)
        if entry is None:
            return []
        outgoing = self._quarantine.trial_ended(command.call, command.answered, now)
        if command.answered:
            outgoing += self._quarantine.succeeded(entry.fingerprint, now)
        return outgoing

    def report(self, command: ReportDeath, now: Milliseconds) -> list[Outgoing]:
        """Report a death once for all requests that were on the target."""
        entries = self._on_target.get(command.target, {})
        known = next((e.report for e in entries.values() if e.report is not None), None)
        if known is not None and all(e.report is not None for e in entries.values()):
            known.append(command.reply)
            return []
        fresh = {call: e for call, e in entries.items() if e.report is None}
        waiting = [command.reply]
        for entry in fresh.values():
            entry.report = waiting
        death = TargetDeath(
            command.service,
            command.target,
            tuple(InFlight(call, entry.fingerprint) for call, entry in fresh.items()),
        )
        sent = self._quarantine.target_died(death, command.policy, now)
        self._reports[sent.number] = waiting
        return sent.outgoing

    def settle(self) -> None:
        """Answer the calls that wait for quarantine."""
        for outcome in self._quarantine.take_outcomes():
            if isinstance(outcome, StrikesSpread):
                for reply in self._reports.pop(outcome.report, []):
                    reply.put(True)
                continue
            command = self._trials.pop(outcome.call, None)
            if command is None:
                continue
            if isinstance(outcome, TrialGranted):
                self._admit(command, on_trial=True)
            else:
                command.reply.put(Err(outcome.refusal))

    def _admit(self, command: EnterTarget, on_trial: bool) -> None:
        calls = self._on_target.setdefault(command.target, {})
        calls[command.call] = _OnTarget(command.fingerprint, on_trial)
        command.reply.put(Ok(None))
