"""``yuccafold router``: the daemon.

With ``--settings`` it is a member of a fleet that decides claims. Without flags,
on a platform, ``yuccafold.cli._main`` runs the edge router instead.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from absl import flags

from yuccafold.cli._command import ExitCode
from yuccafold.cli._fleet_router import run_fleet


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_string(
        "settings", None, "YAML file of this process's settings.", flag_values=values
    )


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run the daemon until a signal to stop."""
    path = values["settings"].value
    if path is None or arguments:
        print(
            "expected: yuccafold router --settings=FILE, or YUCCAFOLD_SETTINGS",
            file=sys.stderr,
        )
        return ExitCode.BAD_INPUT
    return run_fleet(path)
