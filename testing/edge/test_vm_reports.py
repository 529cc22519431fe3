from __future__ import annotations

import pytest

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._outcomes import OutcomeCounts
from yuccafold.edge._vm_reports import TOTAL_LIFETIME
from yuccafold.edge._vm_reports import VM_REPORT_LIFETIME
from yuccafold.edge._vm_reports import FleetReports
from yuccafold.edge._vm_reports import TargetEvidence
from yuccafold.edge._vm_reports import VmReport

T1, T2 = TargetId("t1"), TargetId("t2")


def at(now):
    return Milliseconds(now)


def test_reports_of_vms_and_seeds_add_up():
    fleet = FleetReports()
    fleet.record_vm_report("vm-2", VmReport({T1: 3}), at(0))
    fleet.record_vm_report("vm-2", VmReport({T1: 2, T2: 1}), at(10))
    fleet.record_seed_report("seed-2", VmReport({T2: 5}, vms=4), at(10))
    own = VmReport({T1: 1})
    assert fleet.seed_total(own, at(20)) == VmReport({T1: 3, T2: 1}, vms=2)
    assert fleet.total(own, at(20)) == VmReport({T1: 3, T2: 6}, vms=6)


def test_report_of_a_vm_that_stopped_reporting_expires():
    fleet = FleetReports()
    fleet.record_vm_report("vm-2", VmReport({T1: 3}), at(0))
    assert fleet.seed_total(VmReport(), at(VM_REPORT_LIFETIME)).vms == 2
    assert fleet.seed_total(VmReport(), at(VM_REPORT_LIFETIME + 1)).vms == 1


def test_cached_total_expires():
    fleet = FleetReports()
    assert fleet.total(VmReport(), at(0)).vms == 1
    fleet.record_vm_report("vm-2", VmReport(), at(1))
    assert fleet.total(VmReport(), at(TOTAL_LIFETIME - 1)).vms == 1
    assert fleet.total(VmReport(), at(TOTAL_LIFETIME)).vms == 2


def test_total_names_only_failing_targets():
    fleet = FleetReports()
    seen = {T1: OutcomeCounts(1.0, 3.0), T2: OutcomeCounts(8.0, 0.0)}
    fleet.record_vm_report("vm-2", VmReport({}, seen), at(0))
    reported = fleet.total(VmReport(), at(1)).outcomes
    assert reported == {
        T1: OutcomeCounts(1.0, 3.0),
        TargetId(""): OutcomeCounts(8.0, 0.0),
    }


def test_reading_fields_inverts_writing():
    report = VmReport({T1: 3}, {T1: OutcomeCounts(0.5, 2.0)}, 7)
    assert VmReport.from_fields(report.as_fields()) == report
    assert VmReport.from_fields({}) == VmReport()


@pytest.mark.parametrize(
    "fields",
    [{"loads": "t1"}, {"loads": "t1:x"}, {"outcomes": "t1:1"}, {"vms": "many"}],
)
def test_malformed_report_is_an_error(fields):
    with pytest.raises(ValueError, match="."):
        VmReport.from_fields(fields)


def test_local_calls_are_subtracted_from_the_fleet_report():
    evidence = TargetEvidence()
    evidence.loads.start(T1)
    own = evidence.local_report(at(0))
    evidence.record_fleet_report(VmReport({T1: 4, T2: 2}, vms=9), own, at(0))
    assert evidence.loads.fleet_calls([T1, T2], at(0)) == [4, 2]
    evidence.loads.finish(T1)
    assert evidence.loads.fleet_calls([T1, T2], at(0)) == [3, 2]
    assert evidence.loads.vm_count == 9
