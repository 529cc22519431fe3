"""The operators' client: calls a router's operator port and prints the answer."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import final
from urllib.parse import urlencode

import trio
from absl import flags
from result import Err

from yuccafold.cli._command import ExitCode
from yuccafold.cli._table import table
from yuccafold.readers import HttpLimits
from yuccafold.readers import HttpRequest
from yuccafold.readers import call

DEFAULT_ADDRESS = "127.0.0.1:8081"
STATUS_OK = 200

Render = Callable[[Any], str]


@final
@dataclass(frozen=True, slots=True)
class Page:
    """One page of the operator port, its query parameters and how it is printed."""

    path: str
    render: Render
    parameters: tuple[str, ...] = ()


def define_operator(values: flags.FlagValues) -> None:
    """Define the flags that all operator commands have."""
    flags.DEFINE_string(
        "operator",
        DEFAULT_ADDRESS,
        "Address of a router's operator port.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print JSON for programs.", flag_values=values)


def define_parameters(values: flags.FlagValues, page: Page) -> None:
    """Define a flag for each parameter of ``page``."""
    for name in page.parameters:
        flags.DEFINE_string(name, None, f"The {name} to ask about.", flag_values=values)


def show(page: Page, values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Request ``page`` and print it; return the exit code."""
    if arguments:
        print(f"expected no arguments, got {list(arguments)}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    query = {
        name: values[name].value
        for name in page.parameters
        if values[name].value is not None
    }
    target = f"{page.path}?{urlencode(query)}" if query else page.path
    request = HttpRequest(values["operator"].value, target)
    return ask(request, page.render, values["json"].value)


def ask(request: HttpRequest, render: Render, as_json: bool) -> int:
    """Send ``request`` and print its answer; return the exit code."""
    called = trio.run(call, request, HttpLimits(), 0)
    if isinstance(called, Err):
        reason = called.err_value.reason
        print(f"{request.address}: {reason}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    value = json.loads(called.ok_value.body)
    if called.ok_value.status != STATUS_OK:
        print(f"{request.address}: {value.get('error', value)}", file=sys.stderr)
        return ExitCode.FAILED
    print(json.dumps(value, indent=1) if as_json else render(value))
    return ExitCode.OK


def render_rows(rows: list[dict[str, Any]]) -> str:
    """Return rows that have the same keys as a table."""
    if not rows:
        return "none"
    return table(list(rows[0]), [[_cell(v) for v in row.values()] for row in rows])


def render_pairs(value: dict[str, Any]) -> str:
    """Return the values, one per line, followed by a table for each list of rows."""
    plain = {k: v for k, v in value.items() if not _is_rows(v)}
    nested = {k: v for k, v in value.items() if _is_rows(v)}
    width = max(map(len, value))
    lines = [f"{name:{width}}  {_cell(entry)}" for name, entry in plain.items()]
    for name, rows in nested.items():
        lines += ["", f"{name}:", render_rows(rows)]
    return "\n".join(lines)


def _is_rows(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict | list):
        return json.dumps(value)
    return str(value)
