"""The state of one engine's change, kept by the VM that owns the engine."""

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
from yuccafold.orders._messages import PermitRefusal
from yuccafold.orders._messages import PermitRequest
from yuccafold.orders._options import OrderOptions


@final
@dataclass(frozen=True, slots=True)
class EngineCommand:
    """A call to an engine: an order, or a read of its state if ``order`` is ``None``.

    An order is sent no later than ``send_by``, and only after ``may_send`` allowed it.
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

    ``observation`` is the result of a read. ``ended`` says that an order can have
    no effect after now: it was answered, refused or never sent.
    """

    ended: bool
    observation: Observation | None = None


@final
@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit as its holder knows it; it expires no later than at the issuer."""

    issuer: VmId
    fence: Fence
    granted_at: Milliseconds
    expires_at: Milliseconds


@final
@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A permit request that may still be answered."""

    request: PermitRequest
    issuer: VmId
    requested_at: Milliseconds


@final
class EngineJob:
    """What the owner knows of an engine, and the call to it that is in progress."""

    def __init__(self, desired: DesiredEngine, options: OrderOptions) -> None:
        self.desired = desired
        self.refused: PermitRefusal | None = None
        self.permit: HeldPermit | None = None
        self.command: EngineCommand | None = None
        self.request_due_at = Milliseconds(0)
        self._options = options
        self._pending: _PendingRequest | None = None
        self._seen: Observation | None = None
        self._seen_at = Milliseconds(0)
        self._stale_before = Milliseconds(0)
        self._order_effect_until = Milliseconds(0)
        self._load_slot_until: Milliseconds | None = None
        self._sent_at: Milliseconds | None = None
        self._draining_since: Milliseconds | None = None
        self._read_started_at = Milliseconds(0)

    @property
    def seen(self) -> Observation | None:
        """The state that the engine last reported."""
        return self._seen

    @property
    def is_changing(self) -> bool:
        """Whether the engine is not, or not known to be, in the desired state."""
        return self._seen is None or not self.desired.is_met_by(self._seen)

    @property
    def is_serving(self) -> bool:
        """Whether a read after this VM's last order found the engine serving."""
        if self._seen is None or self._seen_at < self._stale_before:
            return False
        return not self._seen.draining

    def has_no_pending_order(self, now: Milliseconds) -> bool:
        """Return whether no order of this VM can still have an effect."""
        order_in_flight = self.command is not None and self.command.order is not None
        return not order_in_flight and now >= self._order_effect_until

    def expire(self, now: Milliseconds) -> None:
        """Drop an expired permit, and a command whose answer is overdue."""
        if self.permit is not None and now >= self.permit.expires_at:
            self.permit = None
            self._load_slot_until = None
        command = self.command
        if (
            command is not None
            and now >= command.send_by + self._options.order_effect_ms
        ):
            self.record_answer(command, EngineAnswer(ended=False), now)

    def is_read_due(self, now: Milliseconds) -> bool:
        """Return whether the engine's state must be read before the next step."""
        if self._seen is None:
            # Limits how often an engine that does not answer is called.
            elapsed = now - self._read_started_at
            return (
                self._read_started_at == 0 or elapsed >= self._options.changing_read_ms
            )
        if self._seen_at < self._stale_before:
            return True
        interval = self._options.read_ms
        if self.is_changing and self.permit is not None:
            interval = self._options.changing_read_ms
        return now - self._seen_at >= interval

    def begin_read(self, command: EngineCommand, now: Milliseconds) -> None:
        """Record that the engine's state is being read."""
        self.command = command
        self._read_started_at = now

    def begin_order(self, command: EngineCommand) -> None:
        """Record that an order is being sent; a load uses up its slot."""
        self.command = command
        self._sent_at = None
        if command.order is not None and command.order.kind.loads_weights:
            self._load_slot_until = None

    def may_send(self, command: EngineCommand, now: Milliseconds) -> bool:
        """Return whether an order may be sent now; if so, record that it is sent."""
        if command != self.command or self.permit is None or now > command.send_by:
            return False
        self._sent_at = now
        return True

    def record_answer(
        self, command: EngineCommand, answer: EngineAnswer, now: Milliseconds
    ) -> None:
        """Record how a call to the engine ended."""
        if self.command is None or command.id != self.command.id:
            return
        self.command = None
        if command.order is None:
            self._record_observation(answer.observation)
            return
        self._stale_before = now
        if not answer.ended and self._sent_at is not None:
            end = self._sent_at + self._options.order_effect_ms
            self._order_effect_until = Milliseconds(end)
            self._stale_before = max(now, self._order_effect_until)

    def _record_observation(self, seen: Observation | None) -> None:
        """Store the state that was read; its age counts from the start of the read."""
        self._seen = seen
        self._seen_at = self._read_started_at
        if seen is None or not seen.draining:
            self._draining_since = None
        elif self._draining_since is None:
            self._draining_since = self._seen_at

    def next_order(self, now: Milliseconds) -> EngineOrder | None:
        """Return the next order, whether or not it may be sent yet."""
        if self._seen is None:
            return None
        return next_order(self.desired, self._seen, self._is_drained(now))

    def _is_drained(self, now: Milliseconds) -> bool:
        if self._seen is None or self._draining_since is None:
            return False
        waited = now - self._draining_since
        return self._seen.running == 0 or waited >= self.desired.drain_limit_ms

    def has_load_slot(self, now: Milliseconds) -> bool:
        """Return whether a load may start now."""
        return self._load_slot_until is not None and now < self._load_slot_until

    def has_time_for_order(self, now: Milliseconds) -> bool:
        """Return whether an order sent now would end before the permit expires."""
        return self.permit is not None and now < self._latest_send_time(self.permit)

    def send_by(self, order: EngineOrder) -> Milliseconds:
        """Return the latest time at which ``order`` may be sent."""
        assert self.permit is not None, f"an order to {self.desired.id} needs a permit"
        last = self._latest_send_time(self.permit)
        if order.kind.loads_weights and self._load_slot_until is not None:
            return min(last, self._load_slot_until)
        return last

    def _latest_send_time(self, permit: HeldPermit) -> Milliseconds:
        return Milliseconds(permit.expires_at - self._options.order_effect_ms)

    def needs_renewal(self, now: Milliseconds) -> bool:
        """Return whether half of the permit's time for sending orders has passed."""
        permit = self.permit
        if permit is None:
            return True
        return 2 * now >= permit.granted_at + self._latest_send_time(permit)

    def record_request(
        self, request: PermitRequest, issuer: VmId, now: Milliseconds
    ) -> None:
        """Record that a permit was requested."""
        self._pending = _PendingRequest(request, issuer, now)
        self.request_due_at = Milliseconds(now + self._options.request_retry_ms)

    def handle_answer(
        self, sender: VmId, answer: PermitAnswer, now: Milliseconds
    ) -> HeldPermit | None:
        """Handle the answer to the latest request and return the permit, if granted.

        The permit's time counts from the request, so that it expires here no later
        than at the issuer. Other answers are ignored.
        """
        pending = self._pending
        if pending is None or (sender, answer.request_number) != (
            pending.issuer,
            pending.request.number,
        ):
            return None
        self._pending = None
        self.refused = answer.refused
        expires_at = pending.requested_at + self._options.usable(
            self._options.permit_ms
        )
        if answer.refused is not None or now >= expires_at:
            return None
        fence = Fence.from_number(answer.fence)
        if self.permit is None or self.permit.fence != fence:
            self._stale_before = now
        self.permit = HeldPermit(
            sender, fence, pending.requested_at, Milliseconds(expires_at)
        )
        self.request_due_at = now
        if pending.request.load:
            slot_end = pending.requested_at + self._options.load_slot_ms
            self._load_slot_until = Milliseconds(slot_end)
        return self.permit

    def drop_permit(self) -> HeldPermit | None:
        """Drop the permit and return it."""
        permit, self.permit = self.permit, None
        self._load_slot_until = None
        self._pending = None
        return permit

    def forget_state(self) -> None:
        """Forget the engine's state after a pause, so that it is read again first."""
        self._seen = None
