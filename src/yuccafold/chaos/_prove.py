"""Runs a seed with one protection taken away."""

from __future__ import annotations

from contextlib import nullcontext

from yuccafold.chaos._protections import PROTECTIONS
from yuccafold.chaos._run import ChaosResult
from yuccafold.chaos._run import ChaosRun


def run_without(protection: str | None, seed: int) -> ChaosResult:
    """Return the result of ``seed``; with None every protection is in place.

    A failed assertion of the program ends the run as a violation.
    """
    disabled = (
        nullcontext() if protection is None else PROTECTIONS[protection].disabled()
    )
    with disabled:
        run = ChaosRun(seed)
        try:
            return run.run()
        except AssertionError as error:
            return run.result(f"the program's assertion failed: {error}")
