"""The fleet's decisions behind the interfaces that the router asks."""

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
from yuccafold.control._commands import ReportDeath
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
SPREAD_WAIT_MS = 2_000
PROBE_TIMEOUT_MS = 500

OVERLOADED = Refusal(
    503, "overloaded", "this VM has too much waiting", Verdict.NOT_RUN, 1_000
)


@final
class FleetAdmission:
    """Places calls under the load bound that the fleet keeps."""

    def __init__(self, control: ControlTask) -> None:
        self._control = control

    async def admit(
        self, call: Call, excluded: frozenset[TargetId]
    ) -> Result[Placement, Refusal]:
        """Return a target on which a slot is held, or why there is none."""
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
        found = placed.ok_value
        listed = {target.id: target for target in call.settings.targets}
        if found.target is None or found.number is None:
            raise AssertionError("expected a target and a slot in a placement")
        if found.target not in listed:
            self._control.post(ReleaseSlot(found.number))
            return Err(_gone(found.target))
        return Ok(
            Placement(listed[found.target], found.explain(), len(listed), found.number)
        )

    def finish(self, call: Call, placement: Placement) -> None:
        """Give the slot back."""
        self._control.post(ReleaseSlot(placement.slot))

    def observe(self, target: Target, evidence: TargetEvidence) -> None:
        """Tell the fleet what this VM saw of a target."""
        self._control.post(ObserveTarget(TargetId(target.id), evidence))


def _gone(target: TargetId) -> Refusal:
    reason = f"target {target!r} left the settings meanwhile"
    return Refusal(503, "target_gone", reason, Verdict.NOT_RUN, 500)


@final
class FleetOnce:
    """Claims idempotency keys at a majority of their seats."""

    def __init__(self, control: ControlTask, clock: Clock) -> None:
        self._control = control
        self._clock = clock

    async def claim(self, call: Call) -> Result[StoredAnswer | None, Refusal]:
        """Return ``None`` when the call may run now, or the answer of its run."""
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
        """Return why the first byte may not be written now, if so."""
        return self._control.plane.once.authorize_send(call.id, self._clock.now())

    def not_sent(self, call: Call) -> None:
        """Note that the last send certainly did not run, before another one."""
        self._control.plane.once.rearm(call.id)

    def finish(self, call: Call, verdict: Verdict, answer: StoredAnswer | None) -> None:
        """Tell the fleet how the call ended."""
        held = None if answer is None else _to_held(answer)
        self._control.post(FinishClaim(call.id, verdict, held))


def _to_held(answer: StoredAnswer) -> HeldAnswer:
    headers = tuple(HeaderField(name, value) for name, value in answer.headers)
    return HeldAnswer(answer.status, headers, answer.body)


def _to_answer(held: HeldAnswer) -> StoredAnswer:
    headers = tuple((field.name, field.value) for field in held.headers)
    return StoredAnswer(held.status, headers, held.body)


@final
class FleetGuard:
    """Keeps requests that kill targets from reaching more of them."""

    def __init__(self, control: ControlTask, clock: Clock) -> None:
        self._control = control
        self._clock = clock

    def may_send(self, call: Call, target: Target) -> bool:
        """Return whether the first byte may be written to ``target`` now."""
        guard = self._control.plane.guard
        return guard.may_send(call.id, TargetId(target.id), self._clock.now())

    async def enter(self, call: Call, target: Target) -> Refusal | None:
        """Return why the request may not go to ``target``, if so."""
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
        """Record that the request left ``target``."""
        self._control.post(LeaveTarget(call.id, TargetId(target.id), answered))

    async def connection_lost(self, call: Call, target: Target) -> bool:
        """Report a death when ``target`` takes no connection; return whether so."""
        if await _accepts_connections(target.address):
            return False
        self._control.post(
            ObserveTarget(TargetId(target.id), TargetEvidence.UNREACHABLE)
        )
        command = ReportDeath(call.service, TargetId(target.id), call.policy)
        self._control.post(command)
        with trio.move_on_after(SPREAD_WAIT_MS / MS_PER_SECOND):
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
