"""Admission, claims and quarantine, implemented by the control task."""

from __future__ import annotations

from typing import final

import trio
from result import Err
from result import Ok
from result import Result

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.control._commands import CancelPlace
from yuccafold.control._commands import ClaimCall
from yuccafold.control._commands import EnterTarget
from yuccafold.control._commands import FinishClaim
from yuccafold.control._commands import LeaveTarget
from yuccafold.control._commands import ObserveTarget
from yuccafold.control._commands import PlaceCall
from yuccafold.control._commands import ReleaseSlot
from yuccafold.control._commands import ReportCrash
from yuccafold.control._task import ControlOverloadedError
from yuccafold.control._task import ControlTask
from yuccafold.delivery import Fingerprint
from yuccafold.delivery import Granted
from yuccafold.delivery import HeaderField
from yuccafold.delivery import Replay
from yuccafold.delivery import StoredAnswer as HeldAnswer
from yuccafold.delivery import body_digest
from yuccafold.delivery import claim_key
from yuccafold.delivery import fingerprint
from yuccafold.fleet import TargetEvidence
from yuccafold.router._call import Call
from yuccafold.router._interfaces import Placement
from yuccafold.router._interfaces import StoredAnswer
from yuccafold.settings import Target

TRIAL_WAIT_MS = 2_000
CRASH_REPORT_WAIT_MS = 2_000
PROBE_TIMEOUT_MS = 500

OVERLOADED = Refusal(
    503, "overloaded", "this VM has too much waiting", Verdict.NOT_RUN, 1_000
)


@final
class FleetAdmission:
    """Places calls within the fleet-wide load bound of each target."""

    def __init__(self, control: ControlTask) -> None:
        self._control = control

    async def admit(
        self, call: Call, excluded: frozenset[TargetId]
    ) -> Result[Placement, Refusal]:
        """Return a target with a slot held for the call, or the refusal."""
        turn = call.turn
        traits = call.settings.traits
        command = PlaceCall(
            call.id,
            call.account,
            call.service,
            None if turn is None else turn.chat,
            () if turn is None else turn.hints,
            turn is not None and (bool(turn.hints) or traits.callers_carry_hints),
            excluded,
            call.policy,
            call.deadline,
            1 if turn is None else max(1, turn.prompt_tokens + turn.answer_tokens),
        )
        try:
            self._control.post(command)
            placed = await command.reply.wait()
        except ControlOverloadedError:
            return Err(OVERLOADED)
        except trio.Cancelled:
            self._control.post(CancelPlace(command))
            raise
        if isinstance(placed, Err):
            return placed
        decision = placed.ok_value
        targets = {target.id: target for target in call.settings.targets}
        if decision.target is None or decision.number is None:
            raise AssertionError("expected a target and a slot in a placement")
        if decision.target not in targets:
            self._control.post(ReleaseSlot(decision.number))
            return Err(_target_gone(decision.target))
        return Ok(
            Placement(
                targets[decision.target],
                decision.explain(),
                len(targets),
                decision.number,
            )
        )

    def release(self, call: Call, placement: Placement) -> None:
        """Release the slot of a placement."""
        self._control.post(ReleaseSlot(placement.slot))

    def observe(self, target: Target, evidence: TargetEvidence) -> None:
        """Report evidence on the health of a target to the control task."""
        self._control.post(ObserveTarget(TargetId(target.id), evidence))


def _target_gone(target: TargetId) -> Refusal:
    reason = f"target {target!r} left the settings meanwhile"
    return Refusal(503, "target_gone", reason, Verdict.NOT_RUN, 500)


@final
class FleetOnce:
    """Claims idempotency keys from a majority of their voters."""

    def __init__(self, control: ControlTask, clock: Clock) -> None:
        self._control = control
        self._clock = clock

    async def claim(self, call: Call) -> Result[StoredAnswer | None, Refusal]:
        """Return ``None`` if the call may run, or the answer of an earlier run."""
        if call.key is None or call.body is None:
            raise AssertionError("expected a key and a whole body")
        command = ClaimCall(
            call.id,
            claim_key(call.account, call.key),
            body_digest(call.method, call.path, call.body),
        )
        try:
            self._control.post(command)
        except ControlOverloadedError:
            return Err(OVERLOADED)
        try:
            outcome = await command.reply.wait()
        except trio.Cancelled:
            self._control.post(FinishClaim(call.id, Verdict.NOT_RUN, None))
            raise
        if isinstance(outcome, Granted):
            return Ok(None)
        if isinstance(outcome, Replay):
            return Ok(_to_answer(outcome.answer))
        return Err(outcome.refusal)

    def may_send(self, call: Call) -> Refusal | None:
        """Allow the call to be sent once, right now, or return the refusal."""
        return self._control.plane.once.authorize_send(call.id, self._clock.now())

    def record_not_run(self, call: Call) -> None:
        """Allow another send, since the last attempt certainly did not run."""
        self._control.plane.once.rearm(call.id)

    def finish(self, call: Call, verdict: Verdict, answer: StoredAnswer | None) -> None:
        """End the claim with the verdict of the call and its answer, if stored."""
        held = None if answer is None else _to_held(answer)
        self._control.post(FinishClaim(call.id, verdict, held))


def _to_held(answer: StoredAnswer) -> HeldAnswer:
    headers = tuple(HeaderField(name, value) for name, value in answer.headers)
    return HeldAnswer(answer.status, headers, answer.body)


def _to_answer(answer: HeldAnswer) -> StoredAnswer:
    headers = tuple((field.name, field.value) for field in answer.headers)
    return StoredAnswer(answer.status, headers, answer.body)


@final
class FleetGuard:
    """Keeps requests that crash targets away from further targets."""

    def __init__(self, control: ControlTask, clock: Clock) -> None:
        self._control = control
        self._clock = clock

    def may_send(self, call: Call, target: Target) -> bool:
        """Return whether the first byte may be sent to ``target`` now."""
        guard = self._control.plane.target_guard
        return guard.may_send(call.id, TargetId(target.id), self._clock.now())

    async def enter(self, call: Call, target: Target) -> Refusal | None:
        """Return the refusal if the request may not be sent to ``target``."""
        if call.body is None:
            return None
        command = EnterTarget(
            call.id,
            call.service,
            _fingerprint(call),
            TargetId(target.id),
            TRIAL_WAIT_MS,
        )
        self._control.post(command)
        try:
            entered = await command.reply.wait()
        except trio.Cancelled:
            self.leave(call, target, answered=False)
            raise
        return entered.err_value if isinstance(entered, Err) else None

    def leave(self, call: Call, target: Target, answered: bool) -> None:
        """Record that the request is no longer at ``target``."""
        self._control.post(LeaveTarget(call.id, TargetId(target.id), answered))

    async def report_if_crashed(self, call: Call, target: Target) -> bool:
        """Report a crash and return ``True`` if ``target`` accepts no connection.

        Waits until other VMs have the report, up to ``CRASH_REPORT_WAIT_MS``.
        """
        if await _accepts_connections(target.address):
            return False
        self._control.post(
            ObserveTarget(TargetId(target.id), TargetEvidence.UNREACHABLE)
        )
        command = ReportCrash(call.service, TargetId(target.id), call.policy)
        self._control.post(command)
        with trio.move_on_after(CRASH_REPORT_WAIT_MS / MS_PER_SECOND):
            await command.reply.wait()
        return True


def _fingerprint(call: Call) -> Fingerprint:
    return fingerprint(call.path, call.body or b"")


async def _accepts_connections(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    try:
        with trio.fail_after(PROBE_TIMEOUT_MS / MS_PER_SECOND):
            stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
    except (OSError, trio.TooSlowError):
        return False
    await trio.aclose_forcefully(stream)
    return True
