"""Benchmark of the delivery decisions.

Measures refused calls, the latency of claims, engines lost to lethal requests and
the amplification of retries.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from random import Random
from typing import final

from hdrh.histogram import HdrHistogram

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._outgoing import Outgoing
from yuccafold._verdict import Verdict
from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.chaos import PROTECTIONS
from yuccafold.chaos import ChaosRun
from yuccafold.chaos import Fault
from yuccafold.chaos import Load
from yuccafold.chaos import Scenario
from yuccafold.delivery import AttemptEnd
from yuccafold.delivery import BodyDigest
from yuccafold.delivery import ClaimKey
from yuccafold.delivery import Granted
from yuccafold.delivery import Member
from yuccafold.delivery import OnceLedger
from yuccafold.delivery import RetryAfter
from yuccafold.delivery import RetryBudget
from yuccafold.delivery import View
from yuccafold.delivery import decide_retry
from yuccafold.settings import ClaimSettings
from yuccafold.settings import Policy

VM_COUNT = 8
ZONE_COUNT = 4
SAME_ZONE_US = 100
OTHER_ZONE_US = 500
"""Modelled one-way latency of a message between two zones."""

PAUSE_LIMIT = Milliseconds(1_000)
CLOCK_STEP = Milliseconds(500)
MAX_CLAIM_US = 1_000_000
UNHEALTHY_SERVICE_REQUESTS = 2_000


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of the delivery decisions."""
    seeds = range(options.seed, options.seed + (1 if options.quick else 3))
    yield from _refusals(seeds)
    yield from _claim_latency(200 if options.quick else 2_000, options.seed)
    yield from _engine_losses(
        range(options.seed, options.seed + (3 if options.quick else 20))
    )
    yield _amplification(options.seed)


def _refusals(seeds: range) -> Iterator[Figure]:
    """Yield the share of non-idempotent calls refused as not run, by fault.

    The baseline is the share without any fault.
    """
    without_fault = _refused_share(seeds)
    yield Figure("delivery_refused_share_no_fault", without_fault, "share")
    for fault in Fault:
        name = f"delivery_refused_share_{fault.name.lower()}"
        yield Figure(name, _refused_share(seeds, fault), "share", without_fault)


def _refused_share(seeds: range, *faults: Fault) -> float:
    load = Load(unkeyed=0, lookups=0, chats=0, lethal=0)
    runs = [ChaosRun(seed, Scenario(load, faults)).run() for seed in seeds]
    refused = sum(run.booking_refused for run in runs)
    return refused / sum(run.booking_calls for run in runs)


@final
class _ModelledFleet:
    """Claim ledgers of several VMs, connected by a modelled network.

    Latencies of messages are modelled, the run time of handlers is measured.
    """

    def __init__(self, seed: int) -> None:
        self._zones = {
            VmId(f"vm-{number}"): ZoneId(f"zone-{number % ZONE_COUNT}")
            for number in range(VM_COUNT)
        }
        self._view = View(Member(vm, zone) for vm, zone in self._zones.items())
        self.now = Milliseconds(0)
        self.vms = tuple(self._zones)
        self._ledgers = {
            vm: OnceLedger(
                vm,
                Incarnation(1),
                ClaimSettings(),
                PAUSE_LIMIT,
                Random(f"{seed} {vm}"),
                self.now,
            )
            for vm in self.vms
        }

    def wait_for_voters(self) -> None:
        """Advance the clock until every voter votes."""
        hold = self._ledgers[self.vms[0]].timing.hold
        while self.now <= hold:
            self.step()

    def step(self) -> None:
        """Advance the clock by one step and tick every ledger."""
        self.now = Milliseconds(self.now + CLOCK_STEP)
        for ledger in self._ledgers.values():
            ledger.confirm_view(self._view, self.now)
            ledger.tick(self.now)

    def claim_us(self, vm: VmId, number: int) -> float:
        """Return the microseconds from the start of a claim to its grant."""
        call = CallId(f"call-{number}")
        key = ClaimKey(b"key %d" % number)
        ledger = self._ledgers[vm]
        started_ns = time.perf_counter_ns()
        outgoing = ledger.start(call, key, BodyDigest(b""), self.now)
        start_us = _us_since(started_ns)
        votes = sorted(
            timed_vote
            for request in outgoing
            for timed_vote in self._votes(vm, request, start_us)
        )
        granted_at = 0.0
        for received_at, sender, vote in votes:
            started_ns = time.perf_counter_ns()
            ledger.handle(sender, vote, self.now)
            # Votes are handled one at a time, so a vote waits for those before it.
            granted_at = max(granted_at, received_at) + _us_since(started_ns)
            if any(isinstance(outcome, Granted) for outcome in ledger.pop_outcomes()):
                ledger.authorize_send(call, self.now)
                ledger.finish(call, Verdict.MAY_HAVE_RUN, None, self.now)
                return granted_at
        raise AssertionError(f"{call} was not granted")

    def _votes(
        self, claimant: VmId, request: Outgoing, sent_us: float
    ) -> Iterator[tuple[float, VmId, object]]:
        """Yield the arrival time, the sender and the message of a voter's replies."""
        voter = self._ledgers[request.to]
        started_ns = time.perf_counter_ns()
        replies = voter.handle(claimant, request.message, self.now)
        handling_us = _us_since(started_ns)
        same_zone = self._zones[claimant] == self._zones[request.to]
        one_way_us = SAME_ZONE_US if same_zone else OTHER_ZONE_US
        for reply in replies:
            yield sent_us + handling_us + 2 * one_way_us, request.to, reply.message


def _us_since(started_ns: int) -> float:
    return (time.perf_counter_ns() - started_ns) / 1_000


def _claim_latency(claims: int, seed: int) -> Iterator[Figure]:
    """Yield the latency that a claim adds before a call is sent.

    The latency of messages is modelled, the run time of handlers is measured.
    The baseline is one modelled round trip between zones.
    """
    fleet = _ModelledFleet(seed)
    fleet.wait_for_voters()
    rng = Random(seed)
    histogram = HdrHistogram(1, MAX_CLAIM_US, 3)
    for number in range(claims):
        histogram.record_value(round(fleet.claim_us(rng.choice(fleet.vms), number)))
    round_trip_ms = 2 * OTHER_ZONE_US / 1_000
    for percentile in (50, 99):
        value = histogram.get_value_at_percentile(percentile) / 1_000
        name = f"delivery_claim_added_p{percentile}_modelled_network"
        yield Figure(name, value, "ms", round_trip_ms)


def _engine_losses(seeds: range) -> Iterator[Figure]:
    """Yield the number of engines that crash from one lethal request.

    Its caller repeats the request 20 times. The baseline is the number of
    crashed engines without quarantine.
    """
    for callers in (1, VM_COUNT):
        with PROTECTIONS["quarantine"].disabled():
            without_quarantine = [_engines_lost(seed, callers) for seed in seeds]
        with_quarantine = [_engines_lost(seed, callers) for seed in seeds]
        name = f"delivery_engines_lost_max_{callers}_callers"
        yield Figure(name, max(with_quarantine), "engines", max(without_quarantine))


def _engines_lost(seed: int, callers: int) -> int:
    load = Load(0, 0, 0, chats=40, lethal=1, lethal_callers=callers)
    return ChaosRun(seed, Scenario(load, ())).run().engines_lost


def _amplification(seed: int) -> Figure:
    """Return the attempts per request while every target fails.

    The baseline is the number of attempts without a retry budget.
    """
    limited = _count_attempts(RetryBudget(), seed)
    unlimited = _count_attempts(None, seed)
    return Figure(
        "delivery_retry_amplification",
        limited / UNHEALTHY_SERVICE_REQUESTS,
        "attempts_per_request",
        unlimited / UNHEALTHY_SERVICE_REQUESTS,
    )


def _count_attempts(budget: RetryBudget | None, seed: int) -> int:
    policy, rng = Policy(), Random(seed)
    attempts = 0
    for _ in range(UNHEALTHY_SERVICE_REQUESTS):
        if budget is not None:
            budget.record_request(policy.retry_share)
        attempt = 1
        while isinstance(_decide_next(policy, attempt, budget, rng), RetryAfter):
            if budget is not None:
                budget.spend()
            attempt += 1
        attempts += attempt
    return attempts


def _decide_next(
    policy: Policy, attempt: int, budget: RetryBudget | None, rng: Random
) -> object:
    end = AttemptEnd(Verdict.NOT_RUN, True, attempt, policy.request_timeout_ms)
    return decide_retry(policy, end, budget is None or budget.has_token(), rng)
