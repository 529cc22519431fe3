"""The changing of one engine by its owner, step by step."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.orders._desired import DesiredEngine
from yuccafold.orders._desired import EngineOrder
from yuccafold.orders._desired import Observation
from yuccafold.orders._desired import next_order
from yuccafold.orders._fence import Fence
from yuccafold.orders._messages import PermitAnswer
from yuccafold.orders._messages import PermitAsk
from yuccafold.orders._messages import Refused
from yuccafold.orders._options import OrderOptions


@final
@dataclass(frozen=True, slots=True)
class EngineCommand:
    """A call to an engine: an order, or a reading of its state without one.

    An order is written no later than ``send_by``, after ``may_send`` allowed it.
    """

    id: int
    engine: TargetId
    address: str
    order: EngineOrder | None
    fence: int
    send_by: Milliseconds


@final
@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """How a call to an engine ended.

    ``observation`` is what a reading returned. ``ended`` says of an order that
    it has no effect later than now: it was answered, refused or never sent.
    """

    ended: bool
    observation: Observation | None = None


@final
@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit as its holder knows it; it lapses no later than at the issuer."""

    issuer: VmId
    fence: Fence
    granted_at: Milliseconds
    until: Milliseconds


@final
@dataclass(frozen=True, slots=True)
class _Pending:
    """A request for a permit that may still be answered."""

    ask: PermitAsk
    issuer: VmId
    asked_at: Milliseconds


@final
class EngineJob:
    """What the owner knows of one engine and is doing to it."""

    def __init__(self, desired: DesiredEngine, options: OrderOptions) -> None:
        self.desired = desired
        self.refused: Refused | None = None
        self.permit: HeldPermit | None = None
        self.command: EngineCommand | None = None
        self.ask_due = Milliseconds(0)
        self._options = options
        self._pending: _Pending | None = None
        self._seen: Observation | None = None
        self._seen_at = Milliseconds(0)
        self._fresh_after = Milliseconds(0)
        self._hold_until = Milliseconds(0)
        self._slot_until: Milliseconds | None = None
        self._sent_at: Milliseconds | None = None
        self._draining_since: Milliseconds | None = None
        self._reading_at = Milliseconds(0)

    @property
    def seen(self) -> Observation | None:
        """What the engine last reported."""
        return self._seen

    @property
    def is_changing(self) -> bool:
        """Whether the engine is not yet what the settings want."""
        return self._seen is None or not self.desired.is_met_by(self._seen)

    @property
    def is_serving(self) -> bool:
        """Whether the engine was seen to serve after this VM's last order."""
        if self._seen is None or self._seen_at < self._fresh_after:
            return False
        return not self._seen.draining

    def is_quiet(self, now: Milliseconds) -> bool:
        """Return whether no order of this VM can have an effect from now on."""
        sending = self.command is not None and self.command.order is not None
        return not sending and now >= self._hold_until

    def expire(self, now: Milliseconds) -> None:
        """Drop what time has ended."""
        if self.permit is not None and now >= self.permit.until:
            self.permit = None
            self._slot_until = None
        command = self.command
        if command is not None and now >= command.send_by + self._options.order_ms:
            self.answered(command, EngineAnswer(ended=False), now)

    def is_read_due(self, now: Milliseconds) -> bool:
        """Return whether the engine's state is to be read before anything else."""
        if self._seen is None:
            # An engine that does not answer is not called without end.
            since = now - self._reading_at
            return self._reading_at == 0 or since >= self._options.changing_read_ms
        if self._seen_at < self._fresh_after:
            return True
        interval = self._options.read_ms
        if self.is_changing and self.permit is not None:
            interval = self._options.changing_read_ms
        return now - self._seen_at >= interval

    def begin_read(self, command: EngineCommand, now: Milliseconds) -> None:
        """Note that the state is being read."""
        self.command = command
        self._reading_at = now

    def begin_order(self, command: EngineCommand) -> None:
        """Note that an order is being sent; it uses up a load's slot."""
        self.command = command
        self._sent_at = None
        if command.order is not None and command.order.kind.loads_weights:
            self._slot_until = None

    def may_send(self, command: EngineCommand, now: Milliseconds) -> bool:
        """Return whether an order may be written now, and note that it is."""
        if command != self.command or self.permit is None or now > command.send_by:
            return False
        self._sent_at = now
        return True

    def answered(
        self, command: EngineCommand, answer: EngineAnswer, now: Milliseconds
    ) -> None:
        """Take the end of a call."""
        if self.command is None or command.id != self.command.id:
            return
        self.command = None
        if command.order is None:
            self._observed(answer.observation)
            return
        self._fresh_after = now
        if not answer.ended and self._sent_at is not None:
            end = self._sent_at + self._options.order_ms
            self._hold_until = Milliseconds(end)
            self._fresh_after = max(now, self._hold_until)

    def _observed(self, seen: Observation | None) -> None:
        """Keep what was read; it is as old as the beginning of the reading."""
        self._seen = seen
        self._seen_at = self._reading_at
        if seen is None or not seen.draining:
            self._draining_since = None
        elif self._draining_since is None:
            self._draining_since = self._seen_at

    def next_order(self, now: Milliseconds) -> EngineOrder | None:
        """Return the order that comes next, whether or not it may be sent yet."""
        if self._seen is None:
            return None
        return next_order(self.desired, self._seen, self._is_drained(now))

    def _is_drained(self, now: Milliseconds) -> bool:
        if self._seen is None or self._draining_since is None:
            return False
        waited = now - self._draining_since
        return self._seen.running == 0 or waited >= self.desired.drain_limit_ms

    def has_slot(self, now: Milliseconds) -> bool:
        """Return whether a load may be begun now."""
        return self._slot_until is not None and now < self._slot_until

    def has_time(self, now: Milliseconds) -> bool:
        """Return whether an order sent now would end within the permit."""
        return self.permit is not None and now < self._last_send(self.permit)

    def send_by(self, order: EngineOrder) -> Milliseconds:
        """Return the last instant at which ``order`` may be written."""
        assert self.permit is not None, f"an order to {self.desired.id} needs a permit"
        last = self._last_send(self.permit)
        if order.kind.loads_weights and self._slot_until is not None:
            return min(last, self._slot_until)
        return last

    def _last_send(self, permit: HeldPermit) -> Milliseconds:
        return Milliseconds(permit.until - self._options.order_ms)

    def needs_renewal(self, now: Milliseconds) -> bool:
        """Return whether half of the time for sending orders is used up."""
        permit = self.permit
        if permit is None:
            return True
        return 2 * now >= permit.granted_at + self._last_send(permit)

    def ask(self, ask: PermitAsk, issuer: VmId, now: Milliseconds) -> None:
        """Note that a permit was asked for."""
        self._pending = _Pending(ask, issuer, now)
        self.ask_due = Milliseconds(now + self._options.ask_ms)

    def take(
        self, sender: VmId, answer: PermitAnswer, now: Milliseconds
    ) -> HeldPermit | None:
        """Take the answer to the latest request; its time counts from asking."""
        pending = self._pending
        if pending is None or (sender, answer.ask) != (pending.issuer, pending.ask.ask):
            return None
        self._pending = None
        self.refused = answer.refused
        until = pending.asked_at + self._options.usable(self._options.permit_ms)
        if answer.refused is not None or now >= until:
            return None
        fence = Fence.of(answer.fence)
        if self.permit is None or self.permit.fence != fence:
            self._fresh_after = now
        self.permit = HeldPermit(sender, fence, pending.asked_at, Milliseconds(until))
        self.ask_due = now
        if pending.ask.load:
            slot = pending.asked_at + self._options.slot_ms
            self._slot_until = Milliseconds(slot)
        return self.permit

    def drop_permit(self) -> HeldPermit | None:
        """Give up the permit and return it."""
        permit, self.permit = self.permit, None
        self._slot_until = None
        self._pending = None
        return permit

    def forget(self) -> None:
        """Read the state again before anything else; the process had paused."""
        self._seen = None
