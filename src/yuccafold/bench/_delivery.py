"""Measures the delivery decisions: refusals, claim latency, kills and retries."""

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

ROUTERS = 8
ZONES = 4
SAME_ZONE_US = 100
OTHER_ZONE_US = 500
"""Modelled time of one message, one way."""

PAUSE_LIMIT = Milliseconds(1_000)
STEP = Milliseconds(500)
LONGEST_US = 1_000_000
REQUESTS_OF_A_SICK_SERVICE = 2_000


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Yield the figures of the delivery decisions."""
    seeds = range(options.seed, options.seed + (1 if options.quick else 3))
    yield from _refusals(seeds)
    yield from _claim_latency(200 if options.quick else 2_000, options.seed)
    yield from _kills(range(options.seed, options.seed + (3 if options.quick else 20)))
    yield _amplification(options.seed)


def _refusals(seeds: range) -> Iterator[Figure]:
    """Yield the share of non-idempotent calls refused as not run, per fault.

    The baseline is the share without any fault.
    """
    calm = _refused_share(seeds)
    yield Figure("delivery_refused_share_no_fault", calm, "share")
    for fault in Fault:
        name = f"delivery_refused_share_{fault.name.lower()}"
        yield Figure(name, _refused_share(seeds, fault), "share", calm)


def _refused_share(seeds: range, *faults: Fault) -> float:
    load = Load(unkeyed=0, lookups=0, chats=0, lethal=0)
    runs = [ChaosRun(seed, Scenario(load, faults)).run() for seed in seeds]
    refused = sum(run.booking_refused for run in runs)
    return refused / sum(run.booking_calls for run in runs)


@final
class _ModelledFleet:
    """Ledgers whose messages take a modelled time, and handlers a measured one."""

    def __init__(self, seed: int) -> None:
        self._zones = {
            VmId(f"vm-{number}"): ZoneId(f"zone-{number % ZONES}")
            for number in range(ROUTERS)
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

    def warm(self) -> None:
        """Let time pass until every seat votes."""
        hold = self._ledgers[self.vms[0]].timing.hold
        while self.now <= hold:
            self.step()

    def step(self) -> None:
        """Let a little time pass."""
        self.now = Milliseconds(self.now + STEP)
        for ledger in self._ledgers.values():
            ledger.confirm_view(self._view, self.now)
            ledger.tick(self.now)

    def claim_us(self, vm: VmId, number: int) -> float:
        """Return the microseconds from the start of a claim to its grant."""
        call = CallId(f"call-{number}")
        key = ClaimKey(b"key %d" % number)
        ledger = self._ledgers[vm]
        begun = time.perf_counter_ns()
        outgoing = ledger.start(call, key, BodyDigest(b""), self.now)
        spent = _us_since(begun)
        arrivals = sorted(
            arrival for each in outgoing for arrival in self._votes(vm, each, spent)
        )
        granted_at = 0.0
        for at, sender, vote in arrivals:
            begun = time.perf_counter_ns()
            ledger.handle(sender, vote, self.now)
            # Votes that are handled one after the other wait for each other.
            granted_at = max(granted_at, at) + _us_since(begun)
            if any(isinstance(each, Granted) for each in ledger.take_outcomes()):
                ledger.authorize_send(call, self.now)
                ledger.finish(call, Verdict.MAY_HAVE_RUN, None, self.now)
                return granted_at
        raise AssertionError(f"{call} was not granted")

    def _votes(
        self, claimant: VmId, request: Outgoing, sent_us: float
    ) -> Iterator[tuple[float, VmId, object]]:
        """Yield a seat's replies with the instants at which they arrive."""
        seat = self._ledgers[request.to]
        begun = time.perf_counter_ns()
        replies = seat.handle(claimant, request.message, self.now)
        spent = _us_since(begun)
        same = self._zones[claimant] == self._zones[request.to]
        one_way = SAME_ZONE_US if same else OTHER_ZONE_US
        for reply in replies:
            yield sent_us + spent + 2 * one_way, request.to, reply.message


def _us_since(begun_ns: int) -> float:
    return (time.perf_counter_ns() - begun_ns) / 1_000


def _claim_latency(claims: int, seed: int) -> Iterator[Figure]:
    """Yield the time that a claim adds before a call is sent.

    Messages take the modelled time; the handlers' time is measured. The
    baseline is one modelled round trip between zones.
    """
    fleet = _ModelledFleet(seed)
    fleet.warm()
    rng = Random(seed)
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for number in range(claims):
        histogram.record_value(round(fleet.claim_us(rng.choice(fleet.vms), number)))
    round_trip = 2 * OTHER_ZONE_US / 1_000
    for percentile in (50, 99):
        value = histogram.get_value_at_percentile(percentile) / 1_000
        name = f"delivery_claim_added_p{percentile}_modelled_network"
        yield Figure(name, value, "ms", round_trip)


def _kills(seeds: range) -> Iterator[Figure]:
    """Yield the engines that one lethal request ends, its caller repeating 20 times.

    The baseline is the number without quarantine.
    """
    for callers in (1, ROUTERS):
        with PROTECTIONS["quarantine"].disabled():
            bare = [_engines_lost(seed, callers) for seed in seeds]
        held = [_engines_lost(seed, callers) for seed in seeds]
        name = f"delivery_engines_lost_max_{callers}_callers"
        yield Figure(name, max(held), "engines", max(bare))


def _engines_lost(seed: int, callers: int) -> int:
    load = Load(0, 0, 0, chats=40, lethal=1, lethal_callers=callers)
    return ChaosRun(seed, Scenario(load, ())).run().engines_lost


def _amplification(seed: int) -> Figure:
    """Return attempts per request while every target fails.

    The baseline is the number without a retry budget.
    """
    limited = _attempts(RetryBudget(), seed)
    unlimited = _attempts(None, seed)
    return Figure(
        "delivery_retry_amplification",
        limited / REQUESTS_OF_A_SICK_SERVICE,
        "attempts_per_request",
        unlimited / REQUESTS_OF_A_SICK_SERVICE,
    )


def _attempts(budget: RetryBudget | None, seed: int) -> int:
    policy, rng = Policy(), Random(seed)
    attempts = 0
    for _ in range(REQUESTS_OF_A_SICK_SERVICE):
        if budget is not None:
            budget.note_request(policy.retry_share)
        attempt = 1
        while isinstance(_next(policy, attempt, budget, rng), RetryAfter):
            if budget is not None:
                budget.spend()
            attempt += 1
        attempts += attempt
    return attempts


def _next(
    policy: Policy, attempt: int, budget: RetryBudget | None, rng: Random
) -> object:
    end = AttemptEnd(Verdict.NOT_RUN, True, attempt, policy.request_timeout_ms)
    return decide_retry(policy, end, budget is None or budget.has_token(), rng)
