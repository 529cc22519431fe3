"""``yuccafold settings``: checks, shows and compares settings files."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from absl import flags
from result import Err
from result import Result

from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.cli._command import ExitCode
from yuccafold.cli._operator import Page
from yuccafold.cli._operator import define_operator
from yuccafold.cli._operator import render_pairs
from yuccafold.cli._operator import show
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsTree
from yuccafold.settings import explain_policy
from yuccafold.settings import parse
from yuccafold.settings import parse_tree
from yuccafold.settings import tree_differences

USAGE = """\
expected: yuccafold settings check FILE
          yuccafold settings show FILE --service=NAME --account=NAME
          yuccafold settings diff OLD NEW
          yuccafold settings status [--operator=ADDRESS]"""
STATUS_PAGE = Page("/settings/status", render_pairs)


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_enum(
        "type",
        "tree",
        ["tree", "process"],
        "What the checked file holds: the fleet's tree or one process's settings.",
        flag_values=values,
    )
    flags.DEFINE_string("service", None, "The service to show.", flag_values=values)
    flags.DEFINE_string("account", None, "The account to show.", flag_values=values)
    define_operator(values)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run the sub-command that ``arguments`` names."""
    commands: dict[tuple[str, int], Callable[..., int]] = {
        ("check", 1): _check,
        ("show", 1): _show,
        ("diff", 2): _diff,
        ("status", 0): _status,
    }
    command = commands.get((arguments[0], len(arguments) - 1)) if arguments else None
    if command is None:
        print(USAGE, file=sys.stderr)
        return ExitCode.BAD_INPUT
    return command(values, *arguments[1:])


def _check(values: flags.FlagValues, name: str) -> int:
    """Check a file; the exit code is 0 if it is valid, 2 if it has faults."""
    model = ProcessSettings if values["type"].value == "process" else None
    checked = _read(name, model)
    if isinstance(checked, Err):
        return _print_faults(values, name, checked.err_value)
    if values["json"].value:
        _print_json({"file": name, "accepted": True, "faults": []})
    else:
        print(f"{name}: accepted")
    return ExitCode.OK


def _status(values: flags.FlagValues) -> int:
    """Print which revision each VM holds, as one router knows it."""
    return show(STATUS_PAGE, values, ())


def _show(values: flags.FlagValues, name: str) -> int:
    """Print the policy in force and the level that set each value."""
    checked = _read(name)
    if isinstance(checked, Err):
        return _print_faults(values, name, checked.err_value)
    tree: SettingsTree = checked.ok_value
    service = values["service"].value
    account = values["account"].value
    for known, chosen, flag in (
        (tree.services, service, "service"),
        (tree.accounts, account, "account"),
    ):
        if chosen not in known:
            names = ", ".join(sorted(known)[:20]) or "none"
            print(f"expected --{flag} of {names}; got {chosen}", file=sys.stderr)
            return ExitCode.BAD_INPUT
    origins = explain_policy(tree, ServiceId(service), AccountId(account))
    if values["json"].value:
        _print_json([asdict(origin) for origin in origins])
    else:
        rows = [(origin.name, str(origin.value), origin.level) for origin in origins]
        _print_table(("SETTING", "VALUE", "LEVEL"), rows)
    return ExitCode.OK


def _diff(values: flags.FlagValues, old: str, new: str) -> int:
    """Compare two files; the exit code is 0 if they are the same, 1 if not."""
    trees = []
    for name in (old, new):
        checked = _read(name)
        if isinstance(checked, Err):
            return _print_faults(values, name, checked.err_value)
        trees.append(checked.ok_value)
    differences = list(tree_differences(*trees))
    if values["json"].value:
        _print_json([asdict(entry) for entry in differences])
    elif differences:
        rows = [
            (entry.path, _brief(entry.old), _brief(entry.new)) for entry in differences
        ]
        _print_table(("PATH", "OLD", "NEW"), rows)
    return ExitCode.FAILED if differences else ExitCode.OK


def _read(name: str, model: type[ProcessSettings] | None = None) -> Result[Any, Any]:
    """Return the settings in a file, or its faults; ``-`` is standard input."""
    try:
        if name == "-":
            text = sys.stdin.read()
        else:
            text = Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"cannot read {name}: {error}")
    return parse_tree(text) if model is None else parse(text, model)


def _print_faults(values: flags.FlagValues, name: str, faults: Any) -> int:
    if isinstance(faults, str):
        print(faults, file=sys.stderr)
    elif values["json"].value:
        found = [asdict(fault) for fault in faults]
        _print_json({"file": name, "accepted": False, "faults": found})
    else:
        for fault in faults:
            print(f"{name}: {fault}", file=sys.stderr)
    return ExitCode.BAD_INPUT


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=1))


def _print_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    table = [headings, *rows]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def _brief(value: Any) -> str:
    """Return the start of ``value`` as JSON for a table; ``-`` stands for none."""
    return "-" if value is None else f"{json.dumps(value):.60}"
