"""``yuccafold router``: the daemon, of a fleet or alone at the edge of a platform."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from absl import flags

from yuccafold.cli._command import ExitCode

PLATFORM_SETTINGS = "YUCCAFOLD_SETTINGS"
"""Variable with the path of settings that a platform wrote."""


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_string(
        "settings", None, "YAML file of this process's settings.", flag_values=values
    )
    flags.DEFINE_integer(
        "metrics_port",
        0,
        "Port of the metrics page of a router on a platform; 0 for none.",
        lower_bound=0,
        upper_bound=65_535,
        flag_values=values,
    )


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run the daemon until it is told to stop.

    Each form is imported only when it runs: a process at the edge of a
    platform loads nothing of the fleet's agreement.
    """
    path = values["settings"].value
    platform_path = os.environ.get(PLATFORM_SETTINGS)
    if arguments or (path is None and not platform_path):
        print(
            f"expected: yuccafold router --settings=FILE, or {PLATFORM_SETTINGS}",
            file=sys.stderr,
        )
        return ExitCode.BAD_INPUT
    if path is not None:
        from yuccafold.cli import _fleet_router

        return _fleet_router.run(path)
    from yuccafold.cli import _edge_router

    return _edge_router.run(str(platform_path), values["metrics_port"].value)
