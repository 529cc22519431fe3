"""What VMs report to each other for sharing: demand, work and figures of targets.

Services without sharing are in no report.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeVar
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import TargetLoad
from yuccafold.edge.reports import MAX_COUNT
from yuccafold.edge.reports import Topic
from yuccafold.edge.reports import VmReport
from yuccafold.edge.reports import parse_count
from yuccafold.edge.sharing._admission import AdmissionPolicy
from yuccafold.edge.sharing._capacity import LoadsByService
from yuccafold.edge.sharing._capacity import LoadsByTarget
from yuccafold.edge.sharing._capacity import ReportedLoad
from yuccafold.edge.sharing._capacity import newest_loads
from yuccafold.edge.sharing._demand import AccountDemand
from yuccafold.edge.sharing._demand import Demand
from yuccafold.edge.sharing._demand import DemandByService
from yuccafold.edge.sharing._demand import Work
from yuccafold.edge.sharing._demand import add_demand
from yuccafold.edge.sharing._demand import summarize_demand
from yuccafold.edge.sharing._work import ServiceWork
from yuccafold.edge.sharing._work import WorkByService
from yuccafold.edge.sharing._work import add_work

Part = TypeVar("Part")
Total = TypeVar("Total")

SEPARATORS = frozenset("|,")
"""Characters between the fields of a service and between services."""

WORK_FIGURES = 7
"""Figures of the work of a service; further ones of later builds are ignored."""


@final
class DemandTopic(Topic[DemandByService]):
    """The work that callers want done, by service, account and urgency."""

    name = "share_demand"

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy

    def empty(self) -> DemandByService:
        """Return no demand."""
        return {}

    def local(self, now: Milliseconds) -> DemandByService:
        """Return the demand at this VM."""
        return {
            service: summarize_demand(demand)
            for service, demand in self._policy.local_demand(now).items()
        }

    def merge(self, values: Sequence[DemandByService]) -> DemandByService:
        """Return the sum, of which the largest accounts are named."""
        return _merge(values, lambda parts: summarize_demand(add_demand(parts)))

    def format(self, value: DemandByService, now: Milliseconds) -> str:
        """Format as ``SERVICE|ACCOUNT:USUAL:LEVEL.NEW.RETURNED``, joined by commas."""
        return _join({s: _demand_fields(demand) for s, demand in value.items()})

    def parse(self, text: str, now: Milliseconds) -> DemandByService:
        """Parse the form of ``format``."""
        return {
            service: dict(map(_parse_demand, fields))
            for service, fields in _split(text)
        }

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the demand at other VMs."""
        self._policy.record_fleet_demand(
            self.of(total), self.of(local_part), total.vms, now
        )


@final
class WorkTopic(Topic[WorkByService]):
    """Calls in flight, and how long those that ended took."""

    name = "share_work"

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy

    def empty(self) -> WorkByService:
        """Return nothing seen."""
        return {}

    def local(self, now: Milliseconds) -> WorkByService:
        """Return what this VM sees."""
        return self._policy.local_work(now)

    def merge(self, values: Sequence[WorkByService]) -> WorkByService:
        """Return the sum."""
        return _merge(values, add_work)

    def format(self, value: WorkByService, now: Milliseconds) -> str:
        """Format as ``SERVICE|FIGURES|LEVEL:CALLS``, joined by commas."""
        return _join({s: _work_fields(work) for s, work in value.items()})

    def parse(self, text: str, now: Milliseconds) -> WorkByService:
        """Parse the form of ``format``."""
        return {service: _parse_work(fields) for service, fields in _split(text)}

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record what other VMs see."""
        self._policy.record_fleet_work(self.of(total), self.of(local_part), now)


@final
class LoadsTopic(Topic[LoadsByService]):
    """The figures that targets stated last."""

    name = "share_loads"

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy

    def empty(self) -> LoadsByService:
        """Return no figures."""
        return {}

    def local(self, now: Milliseconds) -> LoadsByService:
        """Return the figures that this VM received."""
        return self._policy.local_loads(now)

    def merge(self, values: Sequence[LoadsByService]) -> LoadsByService:
        """Return the newest figures of each target."""
        return _merge(values, newest_loads)

    def format(self, value: LoadsByService, now: Milliseconds) -> str:
        """Format as ``SERVICE|TARGET:RUNNING:WAITING:SLOTS:PERCENT:AGE_MS``."""
        return _join({s: _load_fields(loads, now) for s, loads in value.items()})

    def parse(self, text: str, now: Milliseconds) -> LoadsByService:
        """Parse the form of ``format``."""
        return {
            service: dict(_parse_load(field, now) for field in fields)
            for service, fields in _split(text)
        }

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the figures that other VMs received."""
        self._policy.record_fleet_loads(self.of(total), now)


def sharing_topics(
    policy: AdmissionPolicy,
) -> tuple[LoadsTopic, WorkTopic, DemandTopic]:
    """Return the topics of ``policy``, in the order in which they are recorded."""
    return LoadsTopic(policy), WorkTopic(policy), DemandTopic(policy)


def _merge(
    values: Sequence[Mapping[ServiceId, Part]],
    add: Callable[[list[Part]], Total],
) -> dict[ServiceId, Total]:
    services = {service for value in values for service in value}
    return {
        service: add([value[service] for value in values if service in value])
        for service in sorted(services)
    }


def _join(fields: Mapping[ServiceId, Sequence[str]]) -> str:
    return ",".join(
        "|".join((service, *parts))
        for service, parts in fields.items()
        if parts and not SEPARATORS & set(service)
    )


def _split(text: str) -> Iterator[tuple[ServiceId, list[str]]]:
    for row in filter(None, text.split(",")):
        service, *fields = row.split("|")
        yield ServiceId(service), fields


def _demand_fields(demand: Demand) -> list[str]:
    return [
        ":".join((account, str(round(part.usual)), *_levels(part)))
        for account, part in demand.items()
        if not (SEPARATORS | {":"}) & set(account)
    ]


def _levels(part: AccountDemand) -> Iterator[str]:
    for level, work in part.by_level.items():
        yield f"{level}.{round(work.new)}.{round(work.returned)}"


def _parse_demand(text: str) -> tuple[AccountId, AccountDemand]:
    account, usual, *levels = text.split(":")
    rows = (tuple(map(parse_count, level.split("."))) for level in levels)
    by_level = {level: Work(new, returned) for level, new, returned in rows}
    return AccountId(account), AccountDemand(by_level, float(parse_count(usual)))


def _work_fields(work: ServiceWork) -> list[str]:
    figures = (
        f"{work.admitted_ms:.0f}",
        f"{work.ended:.2f}",
        f"{work.cost_ms:.0f}",
        f"{work.held_ms:.0f}",
        f"{work.crowded_ms:.0f}",
        f"{work.begun:.2f}",
        f"{work.delayed:.2f}",
    )
    levels = (f"{level}:{calls}" for level, calls in work.in_flight.items())
    return [":".join(figures), *levels]


def _parse_work(fields: Sequence[str]) -> ServiceWork:
    if not fields:
        raise ValueError("expected figures of a service, got none")
    figures = [float(figure) for figure in fields[0].split(":")]
    if len(figures) < WORK_FIGURES or not all(0 <= f <= MAX_COUNT for f in figures):
        raise ValueError(f"expected {WORK_FIGURES} figures, got {fields[0]!r:.40}")
    rows = (field.split(":") for field in fields[1:])
    in_flight = {parse_count(level): parse_count(calls) for level, calls in rows}
    return ServiceWork(in_flight, *figures[:WORK_FIGURES])


def _load_fields(loads: LoadsByTarget, now: Milliseconds) -> list[str]:
    return [
        f"{target}:{reported.load.running}:{reported.load.waiting}"
        f":{reported.load.slots}:{round(100 * (reported.load.slowdown or 0))}"
        f":{max(0, now - reported.at)}"
        for target, reported in loads.items()
        if not SEPARATORS & set(target)
    ]


def _parse_load(text: str, now: Milliseconds) -> tuple[TargetId, ReportedLoad]:
    target, *figures = text.rsplit(":", 5)
    running, waiting, slots, percent, age = map(parse_count, figures)
    load = TargetLoad(running, waiting, slots, percent / 100 or None)
    return TargetId(target), ReportedLoad(load, Milliseconds(now - age))
