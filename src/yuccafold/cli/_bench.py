"""``yuccafold bench``: runs measurements and prints one line per figure."""

from __future__ import annotations

import importlib
import json
import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from absl import flags

from yuccafold.bench import BenchOptions
from yuccafold.bench import Part
from yuccafold.cli._command import ExitCode

PARTS: dict[str, str] = {
    "router": "yuccafold.bench._router",
    "edge": "yuccafold.bench._edge",
    "silence": "yuccafold.bench._silence",
    "placement": "yuccafold.bench._placement",
    "settings": "yuccafold.bench._settings",
    "orders": "yuccafold.bench._orders",
    "admission": "yuccafold.bench._admission",
    "fleet": "yuccafold.bench._fleet",
    "dist": "yuccafold.bench._dist",
    "delivery": "yuccafold.bench._delivery",
}
"""The module of each part, which defines ``figures(options)``."""


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_list("parts", list(PARTS), "The parts to measure.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of every random choice.", flag_values=values)
    flags.DEFINE_bool("quick", False, "Measure smaller sizes.", flag_values=values)
    flags.DEFINE_string("output", None, "Also write JSON here.", flag_values=values)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Measure the chosen parts."""
    unknown = [name for name in values["parts"].value if name not in PARTS]
    if unknown or arguments:
        known = ", ".join(PARTS)
        print(f"expected parts of {known}, got {unknown or arguments}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    options = BenchOptions(values["seed"].value, values["quick"].value)
    measured = []
    for name in values["parts"].value:
        part: Part = importlib.import_module(PARTS[name]).figures
        for figure in part(options):
            print(figure, flush=True)
            measured.append({"part": name, **asdict(figure)})
    if values["output"].value is not None:
        Path(values["output"].value).write_text(json.dumps(measured, indent=1) + "\n")
    return ExitCode.OK
