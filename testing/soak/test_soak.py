from __future__ import annotations

import pytest
import trio

from yuccafold.soak import SoakSettings
from yuccafold.soak import run_soak

CI_SEED = 100
"""A seed whose faults stop, kill and reload VMs and cut stores and targets."""

FAILED_SEEDS = ()
"""Seeds that ever broke a promise, with a line on the cause."""


@pytest.mark.parametrize("seed", [CI_SEED, *FAILED_SEEDS])
def test_real_processes_keep_their_promises_under_faults(seed, tmp_path):
    settings = SoakSettings(seed=seed, duration_s=8.0, vms=2, clients_per_vm=3)
    report = trio.run(run_soak, settings, tmp_path)
    assert report.violations == []
    assert report.checked > 50
    assert sum(report.faults.values()) >= 5


def test_descriptors_that_stay_open_are_seen(tmp_path, monkeypatch):
    monkeypatch.setattr("yuccafold.soak._run.FILES_AT_REST", 0)
    monkeypatch.setattr("yuccafold.soak._run.FILES_FOR_EACH_VM", 0)
    monkeypatch.setattr("yuccafold.soak._run.AT_REST_WITHIN_S", 0.3)
    settings = SoakSettings(seed=1, duration_s=0.5, vms=1, clients_per_vm=2)
    report = trio.run(run_soak, settings, tmp_path)
    assert [found.promise for found in report.violations] == ["nothing leaks"]
    assert report.violations[0].attempt == "vm-0"
