"""``yuccafold explain``: where a call or chat would go now and why, without sending it.

``--path`` asks a router on a platform about a call, ``--chat`` a router of a fleet with
its own settings.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import trio
from absl import flags
from result import Err

from yuccafold.cli._command import ExitCode
from yuccafold.cli._operator import STATUS_OK
from yuccafold.cli._operator import Page
from yuccafold.cli._operator import define_operator
from yuccafold.cli._operator import render_pairs
from yuccafold.cli._operator import show
from yuccafold.cli._table import table
from yuccafold.readers import HttpLimits
from yuccafold.readers import HttpRequest
from yuccafold.readers import call

CHAT_PAGE = Page("/explain", render_pairs, ("service", "chat", "hint"))
STATUS_BAD_REQUEST = 400

CALL_FLAGS = {
    "host": "Host header of the call.",
    "path": "Path of the call.",
    "account": "Client account by name; its API key is neither needed nor shown.",
    "prompt": "Parts of the prompt: ID:TOKENS, further ones after commas.",
    "output_tokens": "Most tokens to generate.",
    "length_hint": "The caller's estimate of the tokens to generate.",
    "deadline_ms": "How long the caller waits; the route's timeout when left out.",
    "method": "Method of the call, POST when left out.",
    "call": "Id of the call.",
    "resumes": "Call whose stream this one takes up.",
    "resume_after": "Last event that the caller of the stream has.",
}
CHAT_FLAGS = {"chat": "The chat to ask about.", "hint": "The hint to ask about."}
SERVICE_HELP = "The service to ask about, if a route has several."

COLUMNS: dict[str, Callable[[Mapping[str, Any]], Any]] = {
    "target": lambda row: f"{row['id']}{' *' if row['chosen'] else ''}",
    "zone": lambda row: row["zone"],
    "software": lambda row: row["software"] or None,
    "choice": lambda row: row["choice"],
    "rank": lambda row: row["rank"],
    "held": lambda row: row["held_tokens"],
    "first": lambda row: _estimate(row, "first_ms"),
    "wait": lambda row: _estimate(row, "waiting_ms"),
    "read": lambda row: _estimate(row, "reading_ms"),
    "write": lambda row: _estimate(row, "writing_ms"),
    "slowdown": lambda row: _estimate(row, "slowdown"),
    "work": lambda row: _work(row),
    "own/bound": lambda row: _bounded(row["load"], "local", "local_bound"),
    "all/bound": lambda row: _bounded(row["load"], "reported", "bound"),
    "ruled out": lambda row: ", ".join(row["ruled_out"]) or None,
}
"""The columns of the table of targets; those without a value are left out."""


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    define_operator(values)
    texts = {**CALL_FLAGS, **CHAT_FLAGS, "service": SERVICE_HELP}
    for name, text in texts.items():
        flags.DEFINE_string(name, None, text, flag_values=values)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the explanation of a call or a chat."""
    given = [name for name in CALL_FLAGS if values[name].value is not None]
    about_chat = any(values[name].value is not None for name in CHAT_FLAGS)
    if about_chat and not given:
        return show(CHAT_PAGE, values, arguments)
    if arguments or about_chat or not {"host", "path"} <= set(given):
        print(
            "expected: yuccafold explain --host=HOST --path=PATH [flags of the call]\n"
            "      or: yuccafold explain --service=NAME --chat=ID [--hint=TARGET]",
            file=sys.stderr,
        )
        return ExitCode.BAD_INPUT
    if values["service"].value is not None:
        given.append("service")
    query = urlencode({name: values[name].value for name in given})
    request = HttpRequest(values["operator"].value, f"/explain?{query}")
    return _ask(request, values["json"].value)


def _ask(request: HttpRequest, as_json: bool) -> int:
    called = trio.run(call, request, HttpLimits(), 0)
    if isinstance(called, Err):
        print(f"{request.address}: {called.err_value.reason}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    answer = called.ok_value
    value = _parse(answer.body)
    if answer.status != STATUS_OK and "error" in value:
        print(f"{request.address}: {value['error']}", file=sys.stderr)
        is_bad_input = answer.status == STATUS_BAD_REQUEST
        return ExitCode.BAD_INPUT if is_bad_input else ExitCode.FAILED
    if answer.status != STATUS_OK or "fate" not in value:
        # Builds without the page answer with their metrics.
        reason = "no page that explains calls: an older build, or not a router"
        print(f"{request.address}: {reason} (status {answer.status})", file=sys.stderr)
        return ExitCode.FAILED
    print(json.dumps(value, indent=1) if as_json else render(value))
    return ExitCode.OK


def _parse(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def render(value: Mapping[str, Any]) -> str:
    """Return an explanation as text: the outcome, what it rests on, the targets."""
    pairs = [*_outcome(value), *_basis(value)]
    width = max(len(name) for name, _ in pairs)
    lines = [f"{name:{width}}  {text}" for name, text in pairs]
    rows = [[read(row) for read in COLUMNS.values()] for row in value["targets"]]
    filled = [
        column
        for column in range(len(COLUMNS))
        if any(row[column] is not None for row in rows)
    ]
    if rows:
        head = [name for column, name in enumerate(COLUMNS) if column in filled]
        cells = [[_cell(row[column]) for column in filled] for row in rows]
        lines += ["", table(head, cells)]
    return "\n".join(lines)


def _outcome(value: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    refusal = value["refusal"]
    if value["fate"] == "placed":
        yield "placed at", f"{value['target']} ({value['reason']})"
        if value["fetch"] is not None:
            yield "prompt from", value["fetch"]
    elif refusal is not None:
        wait = refusal["retry_after_ms"]
        after = f"Retry-After {wait} ms" if wait else "no Retry-After"
        text = f"{refusal['status']} {refusal['code']}, {after}: {refusal['reason']}"
        yield value["fate"], text
    else:
        yield value["fate"], f"through {value['via']}"
    for note in value["notes"]:
        yield "note", note


def _basis(value: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    for name in ("call", "sharing", "view"):
        fields = value[name].items()
        shown = [f"{key}={_cell(entry)}" for key, entry in fields if entry is not None]
        if shown:
            yield name, " ".join(shown)


def _estimate(row: Mapping[str, Any], name: str) -> Any:
    return None if row["estimate"] is None else row["estimate"][name]


def _work(row: Mapping[str, Any]) -> str | None:
    read = _estimate(row, "outstanding_read_ms")
    write = _estimate(row, "outstanding_write_ms")
    return None if read is None else f"{read}+{write}"


def _bounded(load: Mapping[str, Any], calls: str, bound: str) -> str | None:
    if load[calls] is None:
        return None
    return str(load[calls]) if load[bound] is None else f"{load[calls]}/{load[bound]}"


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    return json.dumps(value) if isinstance(value, dict | list) else str(value)
