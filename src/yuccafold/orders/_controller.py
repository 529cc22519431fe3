"""Orders the engines that one VM owns, under permits of the fleet's issuer."""

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
from yuccafold.orders._messages import LeaseAsk
from yuccafold.orders._messages import PermitAnswer
from yuccafold.orders._messages import PermitAsk
from yuccafold.orders._messages import PermitRelease
from yuccafold.orders._messages import Refused
from yuccafold.orders._options import OrderOptions
from yuccafold.orders._permits import PermitIssuer
from yuccafold.settings import SettingsTree

ISSUER = "issuer"


@final
@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What operators are shown of one engine that this VM owns."""

    engine: TargetId
    done: bool
    has_permit: bool
    refused: Refused | None


@final
class OrderController:
    """One VM's part in ordering engines: voter, issuer and owner.

    The carrier sends what ``handle`` and ``tick`` return, carries out
    ``commands`` and reports each with ``answered``.
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
        """The part that issues permits while this VM holds the lease."""
        return self._issuer

    @property
    def lease(self) -> LeaseHolder:
        """The part that holds the lease."""
        return self._lease

    def status(self) -> tuple[EngineStatus, ...]:
        """Return the engines that this VM owns or still orders."""
        return tuple(
            EngineStatus(
                engine, not job.is_changing, job.permit is not None, job.refused
            )
            for engine, job in sorted(self._jobs.items())
        )

    def set_tree(self, tree: SettingsTree) -> None:
        """Take the settings in force, once this VM may serve under them."""
        self._tree = tree
        self._issuer.set_tree(tree)
        self._assign()

    def set_list(self, vms: Iterable[VmId], now: Milliseconds) -> None:
        """Take the live VMs of the platform's list."""
        self._lease.set_list(vms, now)

    def set_reachable(self, vms: Iterable[VmId]) -> None:
        """Take the VMs that are believed alive and reachable."""
        self._reachable = frozenset(vms) | {self._vm}
        self._assign()

    def set_leaving(self, engines: Iterable[TargetId]) -> None:
        """Take the engines that leave; they are given no orders."""
        self._leaving = frozenset(engines)

    def set_serving(self, serving: Mapping[TargetId, bool], now: Milliseconds) -> None:
        """Take which engines are known to serve or not to; called every second."""
        self._issuer.set_serving(serving, now)

    def paused(self) -> None:
        """Note that the process did not run for a while."""
        for job in self._jobs.values():
            job.forget()

    def _assign(self) -> None:
        """Take up the engines that this VM owns; end the other jobs in time."""
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
        return ranked(ISSUER, self._reachable)[0]

    def handle(self, sender: VmId, message: Any, now: Milliseconds) -> list[Outgoing]:
        """Take a peer's message; return the answers."""
        return self._take(message, sender, now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return what is due; called several times a second."""
        asks = self._tree is not None and self._issuer_vm == self._vm
        outgoing = self._lease.tick(asks, self._revision, now)
        for engine, job in list(self._jobs.items()):
            outgoing += self._step(engine, job, now)
        return self._deliver_own(outgoing, now)

    def _deliver_own(
        self, outgoing: list[Outgoing], now: Milliseconds
    ) -> list[Outgoing]:
        """Hand over what this VM sends to itself; return the rest."""
        others = []
        while outgoing:
            entry = outgoing.pop(0)
            if entry.to == self._vm:
                outgoing += self._take(entry.message, self._vm, now)
            else:
                others.append(entry)
        return others

    def commands(self) -> list[EngineCommand]:
        """Return the calls to make, once each."""
        commands, self._commands = self._commands, []
        return commands

    def may_send(self, command: EngineCommand, now: Milliseconds) -> bool:
        """Return whether ``command`` may be written now; asked right before it."""
        if command.order is None:
            return True
        job = self._jobs.get(command.engine)
        return (
            job is not None
            and job.permit is not None
            and job.permit.fence.revision == self._revision
            and job.may_send(command, now)
        )

    def answered(
        self, command: EngineCommand, answer: EngineAnswer, now: Milliseconds
    ) -> None:
        """Take the end of a call."""
        job = self._jobs.get(command.engine)
        if job is not None:
            job.answered(command, answer, now)

    def _step(
        self, engine: TargetId, job: EngineJob, now: Milliseconds
    ) -> Iterator[Outgoing]:
        """Do what comes next for one engine."""
        job.expire(now)
        if not job.is_quiet(now):
            return
        if not self._is_wanted(engine, job):
            yield from self._release(engine, job)
            if engine not in self._owned and job.command is None:
                del self._jobs[engine]
            return
        if job.command is not None:
            return
        if job.is_read_due(now):
            self._read(engine, job, now)
        elif job.seen is None:
            return
        elif not job.is_changing:
            yield from self._release(engine, job)
        else:
            yield from self._change(engine, job, now)

    def _is_wanted(self, engine: TargetId, job: EngineJob) -> bool:
        """Return whether to go on with ``job`` under the present view."""
        permit = job.permit
        current = permit is None or permit.fence.revision == self._revision
        return engine in self._owned and engine not in self._leaving and current

    def _change(
        self, engine: TargetId, job: EngineJob, now: Milliseconds
    ) -> Iterator[Outgoing]:
        order = job.next_order(now)
        if job.permit is None or not job.has_time(now):
            yield from self._ask(engine, job, False, now)
        elif order is not None and order.kind.loads_weights and not job.has_slot(now):
            yield from self._ask(engine, job, True, now)
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
            yield from self._ask(engine, job, False, now)

    def _read(self, engine: TargetId, job: EngineJob, now: Milliseconds) -> None:
        number = next(self._numbers)
        send_by = Milliseconds(now + self._options.read_ms)
        command = EngineCommand(number, engine, job.desired.address, None, 0, send_by)
        job.begin_read(command, now)
        self._commands.append(command)

    def _ask(
        self, engine: TargetId, job: EngineJob, load: bool, now: Milliseconds
    ) -> Iterator[Outgoing]:
        if now < job.ask_due:
            return
        seen = 0 if job.seen is None else job.seen.fence
        ask = PermitAsk(
            self._incarnation, next(self._numbers), engine, self._revision, load, seen
        )
        job.ask(ask, self._issuer_vm, now)
        yield Outgoing(self._issuer_vm, ask)

    def _release(self, engine: TargetId, job: EngineJob) -> Iterator[Outgoing]:
        permit = job.drop_permit()
        if permit is not None:
            number = next(self._numbers)
            release = PermitRelease(self._incarnation, engine, number, job.is_serving)
            yield Outgoing(permit.issuer, release)

    @singledispatchmethod
    def _take(self, message: Any, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        return []

    @_take.register
    def _(self, message: LeaseAsk, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        if self._tree is None:
            return []
        answer = self._voter.vote(sender, message, self._revision, now)
        return [Outgoing(sender, answer)]

    @_take.register
    def _(
        self, message: LeaseAnswer, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._lease.take(sender, message, now)
        return []

    @_take.register
    def _(self, message: PermitAsk, sender: VmId, now: Milliseconds) -> list[Outgoing]:
        return [Outgoing(sender, self._issuer.answer(sender, message, now))]

    @_take.register
    def _(
        self, message: PermitAnswer, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        job = self._jobs.get(message.engine)
        if job is not None:
            job.take(sender, message, now)
        return []

    @_take.register
    def _(
        self, message: PermitRelease, sender: VmId, now: Milliseconds
    ) -> list[Outgoing]:
        self._issuer.release(sender, message, now)
        return []
