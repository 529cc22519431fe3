"""``yuccafold settings check FILE``: checks a settings tree or process file."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from absl import flags
from result import Err

from yuccafold.cli._command import ExitCode
from yuccafold.settings import ProcessSettings
from yuccafold.settings import parse
from yuccafold.settings import parse_tree


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_enum(
        "type",
        "tree",
        ["tree", "process"],
        "What the file holds: the fleet's tree or one process's settings.",
        flag_values=values,
    )


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Check the file named in ``arguments`` and print every fault."""
    if len(arguments) != 2 or arguments[0] != "check":
        print("expected: yuccafold settings check FILE", file=sys.stderr)
        return ExitCode.BAD_INPUT
    try:
        text = Path(arguments[1]).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"cannot read {arguments[1]}: {error}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    if values["type"].value == "process":
        checked = parse(text, ProcessSettings)
    else:
        checked = parse_tree(text)
    if isinstance(checked, Err):
        for fault in checked.err_value:
            print(f"{arguments[1]}: {fault}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    print(f"{arguments[1]}: accepted")
    return ExitCode.OK
