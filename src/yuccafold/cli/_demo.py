"""``yuccafold demo``: shows a small fleet under load and faults."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import trio
from absl import flags

from yuccafold.cli._command import ExitCode
from yuccafold.demo import DemoSettings
from yuccafold.demo import run_demo


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_integer("seed", 1, "Seed of every random choice.", flag_values=values)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run the demonstration; fail if a turn or call was lost, cut off or run twice."""
    if arguments:
        print(f"expected no arguments, got {arguments}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    settings = DemoSettings(seed=values["seed"].value)
    print(
        f"{settings.routers} routers, {settings.engines} engines and "
        f"{settings.plain_services} plain services; "
        f"{settings.chats * settings.turns} turns of {settings.chats} chats and "
        f"{settings.calls} non-idempotent calls",
        flush=True,
    )
    result = trio.run(run_demo, settings)
    for name, value in result.rows():
        print(f"{name:22} {value}")
    for problem in result.problems:
        print(f"problem: {problem}", file=sys.stderr)
    return ExitCode.FAILED if result.problems else ExitCode.OK
