"""Orders to the engines that a VM owns, under permits of the fleet's issuer."""

from __future__ import annotations

import random
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import count
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.orders._desired import desired_engines
from yuccafold.orders._job import EngineAnswer
from yuccafold.orders._job import EngineCommand
from yuccafold.orders._job import EngineJob
from yuccafold.orders._lease import LeaseHolder
from yuccafold.orders._lease import LeaseVoter
from yuccafold.orders._lease import ranked
from yuccafold.orders._messages import LeaseAnswer
from yuccafold.orders._messages import LeaseRequest
from yuccafold.orders._messages import PermitAnswer
from yuccafold.orders._messages import PermitRefusal
from yuccafold.orders._messages import PermitRelease
from yuccafold.orders._messages import PermitRequest
from yuccafold.orders._options import OrderOptions
from yuccafold.orders._permits import PermitIssuer
from yuccafold.settings import SettingsTree

ISSUER_RANK_KEY = "issuer"


@final
@dataclass(frozen=True, slots=True)
class EngineStatus:
    """The status of an engine that this VM owns, as shown to operators."""

    engine: TargetId
    done: bool
    has_permit: bool
    refused: PermitRefusal | None


@final
class OrderController:
    """This VM's part in sending orders to engines: as voter, issuer and owner.

    The carrier sends the messages that ``handle`` and ``tick`` return, makes the
    calls of ``commands`` and reports the end of each to ``answered``.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        options: OrderOptions,
        rng: random.Random,
        now: Milliseconds,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._options = options
        self._rng = rng
        self._tree: SettingsTree | None = None
        self._reachable = frozenset({vm})
        self._leaving: frozenset[TargetId] = frozenset()
        self._voter = LeaseVoter(options, now)
        self._lease = LeaseHolder(vm, incarnation, options, now)
        self._issuer = PermitIssuer(self._lease, options)
        self._jobs: dict[TargetId, EngineJob] = {}
        self._owned: frozenset[TargetId] = frozenset()
        self._commands: list[EngineCommand] = []
        self._numbers = count(1)

    @property
    def issuer(self) -> PermitIssuer:
        """Issues permits while this VM holds the lease."""
        return self._issuer

    @property
    def lease(self) -> LeaseHolder:
        """Requests the lease and knows whether this VM holds it."""
        return self._lease

    def status(self) -> tuple[EngineStatus, ...]:
        """Return the status of the engines that this VM owns or still has a job for."""
        return tuple(
            EngineStatus(
                engine, not job.is_changing, job.permit is not None, job.refused
            )
            for engine, job in sorted(self._jobs.items())
        )

    def set_tree(self, tree: SettingsTree) -> None:
        """Apply the settings in force; called once this VM may serve under them."""
        self._tree = tree
        self._issuer.set_tree(tree)
        self._assign_engines()

    def set_list(self, vms: Iterable[VmId], now: Milliseconds) -> None:
        """Set the live VMs of the platform's list."""
        self._lease.set_list(vms, now)

    def set_reachable(self, vms: Iterable[VmId]) -> None:
        """Set the VMs that are believed to be alive and reachable."""
        self._reachable = frozenset(vms) | {self._vm}
        self._assign_engines()

    def set_leaving(self, engines: Iterable[TargetId]) -> None:
        """Set the engines that are leaving; they get no orders."""
        self._leaving = frozenset(engines)

    def set_serving(self, serving: Mapping[TargetId, bool], now: Milliseconds) -> None:
        """Set which engines are known to serve or not to; called every second."""
        self._issuer.set_serving(serving, now)

    def record_pause(self) -> None:
        """Record that the process was paused; engine states are then read again."""
        for job in self._jobs.values():
            job.forget_state()

    def _assign_engines(self) -> None:
        """Create or update the jobs of owned engines; ``tick`` ends the other jobs."""
        desired = {} if self._tree is None else desired_engines(self._tree)
        owned = (engine for engine in desired if self._owns(engine))
        self._owned = frozenset(owned)
        for engine in sorted(self._owned):
            job = self._jobs.get(engine)
            if job is None:
                self._jobs[engine] = EngineJob(desired[engine], self._options)
            else:
                job.desired = desired[engine]

    def _owns(self, engine: TargetId) -> bool:
        return ranked(engine, self._reachable)[0] == self._vm

    @property
    def _revision(self) -> RevisionNumber:
        return RevisionNumber(0 if self._tree is None else self._tree.revision)

    @property
    def _issuer_vm(self) -> VmId:
        return ranked(ISSUER_RANK_KEY, self._reachable)[0]

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Handle a peer's message and return the answers."""
        return self._handle(message, sender, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Advance every job and return the messages that are due.

        Called several times a second.
        """
        should_hold_lease = self._tree is not None and self._issuer_vm == self._vm
        outgoing = self._lease.tick(should_hold_lease, self._revision, now)
        for engine, job in list(self._jobs.items()):
            outgoing += self._advance_job(engine, job, now)
        return self._deliver_local(outgoing, now)

    def _deliver_local(
        self, outgoing: list[Outgoing], now: Milliseconds
    ) -> list[Outgoing]:
        """Handle the messages that this VM sends to itself; return the others."""
        others = []
        while outgoing:
            entry = outgoing.pop(0)
            if entry.to == self._vm:
                outgoing += self._handle(entry.message, self._vm, now)
            else:
                others.append(entry)
        return others

    def commands(self) -> list[EngineCommand]:
        """Return the calls to make; each is returned once."""
        commands, self._commands = self._commands, []
        return commands

    def may_send(self, command: EngineCommand, now: Milliseconds) -> bool:
        """Return whether ``command`` may be sent now; called right before sending."""
        if command.order is None:
            return True
        job = self._jobs.get(command.engine)
        return (
            job is not None
            and job.permit is not None
            and job.permit.fence.revision == self._revision
            and job.may_send(command, now)
        )

    def record_answer(
        self, command: EngineCommand, answer: EngineAnswer, now: Milliseconds
    ) -> None:
        """Record how a call to an engine ended."""
        job = self._jobs.get(command.engine)
        if job is not None:
            job.record_answer(command, answer, now)

    def _advance_job(
        self, engine: TargetId, job: EngineJob, now: Milliseconds
    ) -> Iterator[Outgoing]:
        """Do the next step for one engine."""
        job.expire(now)
        if not job.has_no_pending_order(now):
            return
        if not self._may_continue(engine, job):
            yield from self._release(engine, job)
            if engine not in self._owned and job.command is None:
                del self._jobs[engine]
            return
        if job.command is not None:
            return
        if job.is_read_due(now):
            self._begin_read(engine, job, now)
        elif job.seen is None:
            return
        elif not job.is_changing:
            yield from self._release(engine, job)
        else:
            yield from self._advance_change(engine, job, now)

    def _may_continue(self, engine: TargetId, job: EngineJob) -> bool:
        """Return whether ``job`` may continue.

        This VM must own the engine, which must not be leaving, and a permit must
        be for the revision in force.
        """
        permit = job.permit
        has_current_revision = permit is None or permit.fence.revision == self._revision
        return (
            engine in self._owned
            and engine not in self._leaving
            and has_current_revision
        )

    def _advance_change(
        self, engine: TargetId, job: EngineJob, now: Milliseconds
    ) -> Iterator[Outgoing]:
        order = job.next_order(now)
        if job.permit is None or not job.has_time_for_order(now):
            yield from self._request_permit(engine, job, False, now)
        elif (
            order is not None
            and order.kind.loads_weights
            and not job.has_load_slot(now)
        ):
            yield from self._request_permit(engine, job, True, now)
        elif order is not None:
            number = next(self._numbers)
            fence = job.permit.fence.number
            send_by = job.send_by(order)
            command = EngineCommand(
                number, engine, job.desired.address, order, fence, send_by
            )
            job.begin_order(command)
            self._commands.append(command)
        elif job.needs_renewal(now):
            yield from self._request_permit(engine, job, False, now)

    def _begin_read(self, engine: TargetId, job: EngineJob, now: Milliseconds) -> None:
        number = next(self._numbers)
        send_by = Milliseconds(now + self._options.read_ms)
        command = EngineCommand(number, engine, job.desired.address, None, 0, send_by)
        job.begin_read(command, now)
        self._commands.append(command)

    def _request_permit(
        self, engine: TargetId, job: EngineJob, load: bool, now: Milliseconds
    ) -> Iterator[Outgoing]:
        if now < job.request_due_at:
            return
        engine_fence = 0 if job.seen is None else job.seen.fence
        request = PermitRequest(
            self._incarnation,
            next(self._numbers),
            engine,
            self._revision,
            load,
            engine_fence,
        )
        job.record_request(request, self._issuer_vm, now)
        yield Outgoing(self._issuer_vm, request)

    def _release(self, engine: TargetId, job: EngineJob) -> Iterator[Outgoing]:
        permit = job.drop_permit()
        if permit is not None:
            number = next(self._numbers)
            release = PermitRelease(self._incarnation, engine, number, job.is_serving)
            yield Outgoing(permit.issuer, release)

    @singledispatchmethod
    def _handle(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        return []

    @_handle.register
    def _(
        self, message: LeaseRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        if self._tree is None:
            return []
        answer = self._voter.vote(sender, message, self._revision, now)
        return [Outgoing(sender, answer)]

    @_handle.register
    def _(
        self, message: LeaseAnswer, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._lease.handle_answer(sender, message, now)
        return []

    @_handle.register
    def _(
        self, message: PermitRequest, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        return [Outgoing(sender, self._issuer.answer(sender, message, now))]

    @_handle.register
    def _(
        self, message: PermitAnswer, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        job = self._jobs.get(message.engine)
        if job is not None:
            job.handle_answer(sender, message, now)
        return []

    @_handle.register
    def _(
        self, message: PermitRelease, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._issuer.release(sender, message, now)
        return []
