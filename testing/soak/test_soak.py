from __future__ import annotations

import pytest
import trio

from yuccafold.soak import SoakSettings
from yuccafold.soak import run_soak
from yuccafold.soak._process import EdgeProcess
from yuccafold.soak._run import _Soak

CI_SEED = 100
"""A seed whose faults stop, kill and reload VMs and disconnect store and targets."""

FAILED_SEEDS = (
    # A router was not done within its grace; the machine held processes up for seconds.
    301,
    # A router that got SIGHUP while it was starting ended without a line.
    309,
    # Not served within the recovery timeout; the machine held processes up as well.
    403,
    408,
)
"""Seeds that broke a promise in the past, each with a line on the cause."""


@pytest.mark.parametrize("seed", [CI_SEED, *FAILED_SEEDS])
def test_real_processes_keep_their_promises_under_faults(seed, tmp_path):
    settings = SoakSettings(seed=seed, duration_s=8.0, vms=2, clients_per_vm=3)
    report = trio.run(run_soak, settings, tmp_path)
    assert report.violations == []
    assert report.attempts > 50
    assert sum(report.faults.values()) >= 5


def test_leaked_descriptors_are_detected(tmp_path, monkeypatch):
    monkeypatch.setattr("yuccafold.soak._run.IDLE_DESCRIPTORS", 0)
    monkeypatch.setattr("yuccafold.soak._run.DESCRIPTORS_PER_VM", 0)
    monkeypatch.setattr("yuccafold.soak._run.CLOSE_TIMEOUT_S", 0.3)
    settings = SoakSettings(seed=1, duration_s=0.5, vms=1, clients_per_vm=2)
    report = trio.run(run_soak, settings, tmp_path)
    assert [found.promise for found in report.violations] == ["nothing leaks"]
    assert report.violations[0].subject == "vm-0"


def test_process_that_ended_by_itself_is_detected(tmp_path, monkeypatch):
    def has_exited(vm):
        return vm.name == "vm-0" or exited(vm)

    exited = EdgeProcess.has_exited
    monkeypatch.setattr(EdgeProcess, "has_exited", has_exited)
    settings = SoakSettings(seed=1, duration_s=0.5, vms=2, clients_per_vm=1)
    report = trio.run(run_soak, settings, tmp_path)
    assert [(found.promise, found.subject) for found in report.violations] == [
        ("keeps running", "vm-0")
    ]


def test_target_that_another_fault_takes_away_is_not_replaced(tmp_path, monkeypatch):
    # The soak ended in a traceback, and lost the violations before it.
    async def add_while_the_other_is_taken_away(soak):
        soak._targets.clear()

    monkeypatch.setattr(_Soak, "_add_target", add_while_the_other_is_taken_away)
    soak = _Soak(SoakSettings(seed=1), tmp_path)
    soak._targets["t1"] = (None, None)
    trio.run(soak._replace_target, "t1")
    assert not soak._targets
