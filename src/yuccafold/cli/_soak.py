"""``yuccafold soak``: runs real routers under seeded faults and checks them."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from pathlib import Path

import trio
from absl import flags

from yuccafold.cli._command import ExitCode
from yuccafold.soak import SoakSettings
from yuccafold.soak import run_soak

SECONDS_PER_MINUTE = 60

MAX_VMS = 200
"""The router processes all run on one host, which holds a few hundred at most."""


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_integer("seed", 1, "First seed.", flag_values=values)
    flags.DEFINE_integer("seeds", 1, "How many seeds to play.", flag_values=values)
    flags.DEFINE_float("minutes", 0.3, "Minutes of faults a seed.", flag_values=values)
    flags.DEFINE_integer("vms", 3, "Router processes.", flag_values=values)
    flags.DEFINE_string(
        "logs", None, "Folder for the routers' logs.", flag_values=values
    )


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run the seeds; the command fails if any run has a violation."""
    first, count = values["seed"].value, values["seeds"].value
    minutes, vms = values["minutes"].value, values["vms"].value
    if arguments or count < 1 or minutes <= 0 or not 1 <= vms <= MAX_VMS:
        print(f"expected seeds, minutes above 0 and 1 to {MAX_VMS} VMs")
        return ExitCode.BAD_INPUT
    violation_count = 0
    for seed in range(first, first + count):
        settings = SoakSettings(
            seed=seed, duration_s=minutes * SECONDS_PER_MINUTE, vms=vms
        )
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(values["logs"].value or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            report = trio.run(run_soak, settings, folder)
        print("\n".join(report.lines()), flush=True)
        violation_count += len(report.violations)
    return ExitCode.FAILED if violation_count else ExitCode.OK
