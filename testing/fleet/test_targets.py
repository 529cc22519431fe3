from __future__ import annotations

import pytest

from yuccafold import fleet
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.fleet import TargetEvidence
from yuccafold.fleet import TargetState
from yuccafold.fleet._messages import TargetReport

TARGET = TargetId("engine-1")
NOW = Milliseconds(100_000)
REPORT_TTL_MS = fleet.MembershipSettings().target_report_ttl_ms


@pytest.fixture
def health():
    return fleet.TargetHealth(fleet.MembershipSettings())


def later(duration):
    return Milliseconds(NOW + duration)


def vm_list(version, state):
    targets = (fleet.TargetListEntry(TARGET, state),)
    return fleet.VmListSnapshot(version, (), targets)


@pytest.mark.parametrize(
    ("evidence", "state"),
    [
        (TargetEvidence.DRAINING, TargetState.DRAINING),
        (TargetEvidence.UNREACHABLE, TargetState.GONE),
        (TargetEvidence.PLATFORM_LEAVING, TargetState.DRAINING),
        (TargetEvidence.ACCEPTING, TargetState.LIVE),
        (TargetEvidence.ANSWERED, TargetState.LIVE),
    ],
)
def test_report_is_in_effect_until_it_expires(health, evidence, state):
    health.handle_report(TargetReport(TARGET, evidence, 1_000, 1), NOW)
    assert health.state(TARGET, NOW) is state
    assert health.state(TARGET, later(REPORT_TTL_MS - 1_000)) is TargetState.LIVE


@pytest.mark.parametrize(
    ("report", "own", "state"),
    [
        (TargetEvidence.UNREACHABLE, TargetEvidence.ANSWERED, TargetState.LIVE),
        (TargetEvidence.DRAINING, TargetEvidence.ANSWERED, TargetState.DRAINING),
        (TargetEvidence.DRAINING, TargetEvidence.ACCEPTING, TargetState.LIVE),
    ],
)
def test_later_local_evidence_overrides_a_report(health, report, own, state):
    health.observe(TARGET, own, NOW)
    health.handle_report(TargetReport(TARGET, report, 1_000, 0), NOW)
    assert health.state(TARGET, NOW) is state
    health.handle_report(TargetReport(TARGET, report, 0, 0), later(20_000))
    assert health.state(TARGET, later(20_000)) is not TargetState.LIVE


def test_newer_list_overrides_reports_of_an_older_one(health):
    report = TargetReport(TARGET, TargetEvidence.PLATFORM_LEAVING, 0, 7)
    health.apply_list(vm_list(6, fleet.ListedState.LIVE), NOW)
    health.handle_report(report, NOW)
    assert health.state(TARGET, NOW) is TargetState.DRAINING
    health.apply_list(vm_list(8, fleet.ListedState.LIVE), NOW)
    assert health.state(TARGET, NOW) is TargetState.LIVE


def test_target_listed_as_leaving_is_reported_and_stays_draining(health):
    health.apply_list(vm_list(3, fleet.ListedState.LEAVING), NOW)
    expected = TargetReport(TARGET, TargetEvidence.PLATFORM_LEAVING, 0, 3)
    assert health.reports_to_send(4, 8, NOW) == (expected,)
    assert health.not_live(later(60_000)) == {TARGET: TargetState.DRAINING}


def test_same_report_of_many_observers_is_sent_few_times(health):
    report = TargetReport(TARGET, TargetEvidence.UNREACHABLE, 0, 0)
    sent = 0
    for step in range(400):
        health.handle_report(report, later(step))
        sent += len(health.reports_to_send(4, 380, later(step)))
    assert sent < 40


def test_report_exchanged_between_vms_expires(health):
    other = fleet.TargetHealth(fleet.MembershipSettings())
    health.observe(TARGET, TargetEvidence.UNREACHABLE, NOW)
    for step in range(0, 3 * REPORT_TTL_MS, 100):
        now = later(step)
        for one, peer in ((health, other), (other, health)):
            for report in one.reports_to_send(4, 380, now):
                peer.handle_report(report, now)
    assert health.not_live(later(REPORT_TTL_MS)) == {}
    assert other.not_live(later(REPORT_TTL_MS)) == {}
