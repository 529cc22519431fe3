"""``yuccafold chaos``: runs the delivery decisions under seeded faults."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from yuccafold.chaos import PROTECTIONS
from yuccafold.chaos import ChaosResult
from yuccafold.chaos import prove
from yuccafold.chaos import run_without
from yuccafold.cli._command import ExitCode

TRACE_FOLDER = Path("chaos-traces")


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_integer("seed", 1, "Seed of every random choice.", flag_values=values)
    flags.DEFINE_enum(
        "disable",
        None,
        sorted(PROTECTIONS),
        "Take one protection away, which the run should notice.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "prove",
        False,
        "Take each protection away in turn, with a seed that notices it.",
        flag_values=values,
    )


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run one seed, or prove that runs without a protection fail."""
    if arguments:
        print(f"expected no arguments, got {list(arguments)}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    if values["prove"].value:
        return _prove_protections()
    result = run_without(values["disable"].value, values["seed"].value)
    _print_result(result, _write_trace(result))
    return ExitCode.FAILED if result.violations else ExitCode.OK


def _prove_protections() -> int:
    """Print the first violation of a run without each protection.

    The command fails if a run without a protection shows no violation.
    """
    uncaught = 0
    for name, protection in PROTECTIONS.items():
        if protection.seed is None:
            print(f"{name:22} no seed found; shown by tests alone")
            continue
        result = prove(protection)
        uncaught += not result.violations
        found = result.violations[0] if result.violations else "NOT CAUGHT"
        print(f"{name:22} seed={protection.seed:<4} {found}", flush=True)
    seeds = sum(1 for entry in PROTECTIONS.values() if entry.seed is not None)
    without = len(PROTECTIONS) - seeds
    print(f"{seeds - uncaught} caught, {uncaught} not caught, {without} without a seed")
    return ExitCode.FAILED if uncaught else ExitCode.OK


def _write_trace(result: ChaosResult) -> Path:
    TRACE_FOLDER.mkdir(exist_ok=True)
    path = TRACE_FOLDER / f"{result.seed}.txt"
    lines = [*result.trace, *(f"violation: {entry}" for entry in result.violations)]
    path.write_text("\n".join(lines) + "\n")
    return path


def _print_result(result: ChaosResult, trace: Path) -> None:
    rows = (
        ("seed", result.seed),
        ("trace", trace),
        ("calls", result.calls),
        ("answered", result.answered),
        ("refused as not run", result.refused_not_run),
        ("may have run", result.may_have_run),
        ("without a response", result.unanswered),
        ("runs of more than one", result.runs_of_more_than_one),
        ("false not-run", result.false_not_run),
        ("partial taken as whole", result.partial_as_whole),
        ("another call's answer", result.wrong_answers),
        ("engines lost to one request", result.engines_lost),
    )
    for name, value in rows:
        print(f"{name:28} {value}")
    for violation in result.violations:
        print(f"violation: {violation}")
