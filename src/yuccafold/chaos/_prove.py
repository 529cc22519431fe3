"""Runs a seed with one protection disabled."""

from __future__ import annotations

from contextlib import nullcontext

from yuccafold.chaos._protections import PROTECTIONS
from yuccafold.chaos._protections import Protection
from yuccafold.chaos._run import MIXED
from yuccafold.chaos._run import ChaosResult
from yuccafold.chaos._run import ChaosRun
from yuccafold.chaos._run import Scenario


def run_without(
    protection: str | None, seed: int, scenario: Scenario = MIXED
) -> ChaosResult:
    """Return the result of ``seed`` without ``protection``; ``None`` disables none.

    A failed assertion of the program ends the run and is reported as a violation.
    """
    disabled = PROTECTIONS[protection].disabled() if protection else nullcontext()
    with disabled:
        run = ChaosRun(seed, scenario)
        try:
            return run.run()
        except AssertionError as error:
            return run.result(f"the program's assertion failed: {error}")


def prove(protection: Protection) -> ChaosResult:
    """Return the result of the protection's seed with the protection disabled.

    Raises ``AssertionError`` if the seed also fails with the protection.
    """
    assert protection.seed is not None, f"{protection.name} has no seed"
    intact = ChaosRun(protection.seed, protection.scenario).run()
    assert not intact.violations, f"seed {protection.seed}: {intact.violations}"
    return run_without(protection.name, protection.seed, protection.scenario)
