"""What VMs report to each other of targets, topic by topic.

A topic only connects a table of this VM to messages; what is decided by the table
stands there.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._log import log_event
from yuccafold._parsing import parse_whole
from yuccafold.edge._helpers import HelperServices
from yuccafold.edge._helpers import HelperTable
from yuccafold.edge._helpers import format_helpers
from yuccafold.edge._helpers import parse_helpers
from yuccafold.edge._leaving import LeavingNotices
from yuccafold.edge._leaving import LeavingTargets
from yuccafold.edge._leaving import format_leaving
from yuccafold.edge._leaving import latest_notices
from yuccafold.edge._leaving import parse_leaving
from yuccafold.edge._outcomes import OutcomeTable
from yuccafold.edge._outcomes import RecentOutcomes
from yuccafold.edge._outcomes import add_outcomes
from yuccafold.edge._outcomes import format_outcomes
from yuccafold.edge._outcomes import parse_outcomes
from yuccafold.edge._outcomes import summarize_failing
from yuccafold.edge._placement import HolderMemory
from yuccafold.edge._placement import LoadTable
from yuccafold.edge._quarantine import Quarantine
from yuccafold.edge._reach import Reach
from yuccafold.edge._stream_versions import StreamVersions
from yuccafold.edge._stream_versions import VersionChoiceTopic
from yuccafold.edge._stream_versions import ViewAgeTopic
from yuccafold.edge._target_history import TargetHistory
from yuccafold.edge._target_limits import LimitDemand
from yuccafold.edge._target_limits import LimitNotices
from yuccafold.edge._target_limits import TargetLimits
from yuccafold.edge._target_limits import add_demand
from yuccafold.edge._target_limits import format_demand
from yuccafold.edge._target_limits import format_notices
from yuccafold.edge._target_limits import newest_notices
from yuccafold.edge._target_limits import parse_demand
from yuccafold.edge._target_limits import parse_notices
from yuccafold.edge.plain import AnswerPaces
from yuccafold.edge.plain import AnswerPacesTopic
from yuccafold.edge.plain import SlotShares
from yuccafold.edge.plain import SlotSharesTopic
from yuccafold.edge.reports import ProtocolTopic
from yuccafold.edge.reports import Topic
from yuccafold.edge.reports import Topics
from yuccafold.edge.reports import VmReport
from yuccafold.edge.sharing import AdmissionPolicy
from yuccafold.edge.sharing import sharing_topics
from yuccafold.edge.split import RouteServices
from yuccafold.edge.split import ServiceChoiceTopic
from yuccafold.edge.work import MovesTopic
from yuccafold.edge.work import WorkBalance

MAX_REPORTED_TARGETS = 200
"""Targets whose running calls a VM reports; it has calls at a few dozen."""

RunningCalls = Mapping[TargetId, int]
"""Running calls by target."""


@final
class RunningCallsTopic(Topic[RunningCalls]):
    """Running calls by target, of which a message holds the busiest targets."""

    name = "loads"
    is_essential = True

    def __init__(self, loads: LoadTable) -> None:
        self._loads = loads

    def empty(self) -> RunningCalls:
        """Return no calls."""
        return {}

    def local(self, now: Milliseconds) -> RunningCalls:
        """Return the running calls of this VM."""
        return self._loads.local_calls()

    def merge(self, values: Sequence[RunningCalls]) -> RunningCalls:
        """Return the sum by target."""
        total: Counter[TargetId] = Counter()
        for calls in values:
            total.update(calls)
        return total

    def format(self, value: RunningCalls, now: Milliseconds) -> str:
        """Format as ``TARGET:CALLS``, joined by commas."""
        busiest = sorted(value.items(), key=lambda item: -item[1])
        return ",".join(
            f"{target}:{calls}" for target, calls in busiest[:MAX_REPORTED_TARGETS]
        )

    def parse(self, text: str, now: Milliseconds) -> RunningCalls:
        """Parse the form of ``format``."""
        pairs = (part.rpartition(":") for part in text.split(",") if part)
        return {TargetId(target): parse_whole(calls) for target, _, calls in pairs}

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the calls of other VMs, and how many VMs there are."""
        self._loads.record_fleet_report(
            self.of(total), self.of(local_part), total.vms, now
        )


@final
class OutcomesTopic(Topic[OutcomeTable]):
    """How calls ended lately, by target."""

    name = "outcomes"
    is_essential = True

    def __init__(self, outcomes: RecentOutcomes) -> None:
        self._outcomes = outcomes

    def empty(self) -> OutcomeTable:
        """Return no outcomes."""
        return {}

    def local(self, now: Milliseconds) -> OutcomeTable:
        """Return the outcomes of this VM's calls."""
        return self._outcomes.local_outcomes(now)

    def merge(self, values: Sequence[OutcomeTable]) -> OutcomeTable:
        """Return the sum by target."""
        return add_outcomes(values)

    def summarize(self, total: OutcomeTable) -> OutcomeTable:
        """Return failing targets, and all others summed up."""
        return summarize_failing(total)

    def format(self, value: OutcomeTable, now: Milliseconds) -> str:
        """Format as ``TARGET:GOOD:FAILED``, joined by commas."""
        return format_outcomes(value)

    def parse(self, text: str, now: Milliseconds) -> OutcomeTable:
        """Parse the form of ``format``."""
        return parse_outcomes(text)

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the outcomes at other VMs, and log targets that newly fail."""
        outcomes = self.of(total)
        for target in sorted(self._outcomes.newly_failing(outcomes)):
            counts = outcomes[target]
            log_event(
                "target_told_failing",
                target=target,
                good=round(counts.good, 1),
                failed=round(counts.failed, 1),
                vms=total.vms,
            )
        self._outcomes.record_fleet_report(outcomes, self.of(local_part), now)


@final
class LimitsTopic(Topic[LimitNotices]):
    """The limits that targets last stated."""

    name = "limits"
    is_essential = True

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits

    def empty(self) -> LimitNotices:
        """Return no notices."""
        return {}

    def local(self, now: Milliseconds) -> LimitNotices:
        """Return the notices that this VM received."""
        return self._limits.local_notices(now)

    def merge(self, values: Sequence[LimitNotices]) -> LimitNotices:
        """Return the newest notice of each target."""
        return newest_notices(values)

    def format(self, value: LimitNotices, now: Milliseconds) -> str:
        """Format as ``TARGET:LIMIT:AGE_MS``, joined by commas."""
        return format_notices(value, now)

    def parse(self, text: str, now: Milliseconds) -> LimitNotices:
        """Parse the form of ``format``."""
        return parse_notices(text, now)


@final
class LimitDemandTopic(Topic[LimitDemand]):
    """The calls a second that VMs want to send to limited targets."""

    name = "demand"
    is_essential = True

    def __init__(self, limits: TargetLimits, notices: LimitsTopic) -> None:
        self._limits = limits
        self._notices = notices

    def empty(self) -> LimitDemand:
        """Return no demand."""
        return {}

    def local(self, now: Milliseconds) -> LimitDemand:
        """Return the demand of this VM."""
        return self._limits.local_demand(now)

    def merge(self, values: Sequence[LimitDemand]) -> LimitDemand:
        """Return the sum."""
        return add_demand(values)

    def format(self, value: LimitDemand, now: Milliseconds) -> str:
        """Format as ``TARGET:URGENCY:RATE``, joined by commas."""
        return format_demand(value)

    def parse(self, text: str, now: Milliseconds) -> LimitDemand:
        """Parse the form of ``format``."""
        return parse_demand(text)

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record notices and demand together: demand belongs to a known limit."""
        self._limits.record_fleet_report(
            self._notices.of(total),
            self.of(total),
            self.of(local_part),
            total.vms,
            now,
        )


@final
class LeavingTopic(Topic[LeavingNotices]):
    """The targets that recently announced that they are about to stop."""

    name = "leaving"
    is_essential = True

    def __init__(self, leaving: LeavingTargets) -> None:
        self._leaving = leaving

    def empty(self) -> LeavingNotices:
        """Return no notices."""
        return {}

    def local(self, now: Milliseconds) -> LeavingNotices:
        """Return the notices that this VM received."""
        return self._leaving.local_notices(now)

    def merge(self, values: Sequence[LeavingNotices]) -> LeavingNotices:
        """Return the first notice of each target's latest start."""
        return latest_notices(values)

    def format(self, value: LeavingNotices, now: Milliseconds) -> str:
        """Format as ``TARGET:BORN_MS:AGE_MS``, joined by commas."""
        return format_leaving(value, now)

    def parse(self, text: str, now: Milliseconds) -> LeavingNotices:
        """Parse the form of ``format``."""
        return parse_leaving(text, now)

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the notices of other VMs."""
        self._leaving.record_reported(self.of(total), now)


@final
class HelpersTopic(Topic[HelperServices]):
    """VMs that take calls for those that are cut off from a service."""

    name = "helpers"
    is_essential = True

    def __init__(self, helpers: HelperTable, reach: Reach) -> None:
        self._helpers = helpers
        self._reach = reach

    def empty(self) -> HelperServices:
        """Return no helpers."""
        return {}

    def local(self, now: Milliseconds) -> HelperServices:
        """Return what this VM reaches for others, once it takes calls."""
        services = frozenset(self._reach.services_in_reach(now))
        address = self._helpers.address
        return {address: services} if address and services else {}

    def merge(self, values: Sequence[HelperServices]) -> HelperServices:
        """Return the helpers of all reports."""
        return {
            address: services
            for helpers in values
            for address, services in helpers.items()
        }

    def format(self, value: HelperServices, now: Milliseconds) -> str:
        """Format a sample as ``ADDRESS=SERVICE;SERVICE``, joined by commas."""
        return format_helpers(value)

    def parse(self, text: str, now: Milliseconds) -> HelperServices:
        """Parse the form of ``format``."""
        return parse_helpers(text)

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record the helpers among other VMs."""
        self._helpers.record_reported(self.of(total), now)


@final
@dataclass(frozen=True, slots=True)
class TargetEvidence:
    """What VMs report to each other of targets and of suspect calls."""

    loads: LoadTable = field(default_factory=LoadTable)
    outcomes: RecentOutcomes = field(default_factory=RecentOutcomes)
    limits: TargetLimits = field(default_factory=lambda: TargetLimits(random.Random(0)))
    quarantine: Quarantine = field(default_factory=Quarantine)
    leaving: LeavingTargets = field(default_factory=LeavingTargets)
    streams: StreamVersions = field(default_factory=StreamVersions)
    history: TargetHistory = field(default_factory=TargetHistory)
    reach: Reach = field(default_factory=Reach)
    helpers: HelperTable = field(default_factory=lambda: HelperTable(random.Random(0)))
    work: WorkBalance = field(
        default_factory=lambda: WorkBalance(
            LoadTable(), HolderMemory(), random.Random(0)
        )
    )
    slot_shares: SlotShares = field(default_factory=lambda: SlotShares(VmId("")))
    answer_paces: AnswerPaces = field(default_factory=AnswerPaces)
    sharing: AdmissionPolicy = field(
        default_factory=lambda: AdmissionPolicy(random.Random(0))
    )
    route_services: RouteServices = field(default_factory=RouteServices)
    topics: Topics = field(init=False)

    def __post_init__(self) -> None:
        limits, protocol = LimitsTopic(self.limits), ProtocolTopic()
        topics = Topics(
            [
                protocol,
                RunningCallsTopic(self.loads),
                OutcomesTopic(self.outcomes),
                limits,
                LimitDemandTopic(self.limits, limits),
                LeavingTopic(self.leaving),
                HelpersTopic(self.helpers, self.reach),
                *self.work.topics(),
                SlotSharesTopic(self.slot_shares, protocol),
                AnswerPacesTopic(self.answer_paces),
                *sharing_topics(self.sharing),
                MovesTopic(self.work.moved),
                ServiceChoiceTopic(self.route_services),
                VersionChoiceTopic(self.streams),
                ViewAgeTopic(self.history),
            ]
        )
        object.__setattr__(self, "topics", topics)

    def record_fleet_report(
        self, total: VmReport, local_part: VmReport, now: Milliseconds
    ) -> None:
        """Use the report of all VMs, of which this VM reported ``local_part``."""
        self.topics.record(total, local_part, now)
        self.quarantine.record_vm_count(total.vms)
