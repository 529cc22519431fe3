"""``yuccafold quarantine [lift FINGERPRINT]``: lists suspect requests."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence

from absl import flags

from yuccafold.cli._command import ExitCode
from yuccafold.cli._operator import Page
from yuccafold.cli._operator import ask
from yuccafold.cli._operator import define_operator
from yuccafold.cli._operator import render_pairs
from yuccafold.cli._operator import render_rows
from yuccafold.cli._operator import show
from yuccafold.readers import HttpRequest

PAGE = Page("/quarantine", render_rows)
LIFT_ARGUMENT_COUNT = 2


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    define_operator(values)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the suspect requests, or lift the quarantine of one."""
    if not arguments:
        return show(PAGE, values, arguments)
    if len(arguments) != LIFT_ARGUMENT_COUNT or arguments[0] != "lift":
        print("expected: yuccafold quarantine [lift FINGERPRINT]", file=sys.stderr)
        return ExitCode.BAD_INPUT
    body = json.dumps({"fingerprint": arguments[1]}).encode()
    address = values["operator"].value
    request = HttpRequest(address, "/quarantine/lift", method="POST", body=body)
    return ask(request, render_pairs, values["json"].value)
