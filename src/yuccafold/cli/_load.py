"""``yuccafold load``: sends load to routers or targets and checks the answers."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from functools import partial

import trio
from absl import flags

from yuccafold.cli._command import ExitCode
from yuccafold.load import CallerSettings
from yuccafold.load import ChatSettings
from yuccafold.load import LoadReport
from yuccafold.load import LoadSettings
from yuccafold.load import PlainCallerSettings
from yuccafold.load import run_load


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    define_list = partial(flags.DEFINE_list, flag_values=values)
    define_string = partial(flags.DEFINE_string, flag_values=values)
    define_integer = partial(flags.DEFINE_integer, flag_values=values)
    define_bool = partial(flags.DEFINE_bool, flag_values=values)
    define_list("addresses", [], "Where to send to: host:port, more after commas.")
    define_string("key", "", "Bearer key of the client account.")
    define_string("host", None, "Host header; the address when left out.")
    define_string("chat_path", "/v1/chat/completions", "Path of chat turns.")
    define_string("plain_path", "/reservations", "Path of plain calls.")
    define_string("model", "menu-large", "Model that the chats ask for.")
    define_integer("chats", 40, "Number of returning chats.", lower_bound=0)
    define_integer("turns", 5, "Turns of each chat.", lower_bound=0)
    define_bool("stream", True, "Ask for streamed answers.")
    define_integer("max_tokens", None, "Length of each answer.", lower_bound=1)
    define_integer("calls", 0, "Number of non-idempotent calls.", lower_bound=0)
    define_integer("lookups", 0, "Number of idempotent lookups.", lower_bound=0)
    define_integer("callers", 8, "Callers that share the calls.", lower_bound=1)
    define_integer("attempts", 5, "Attempts at one turn or call.", lower_bound=1)
    define_integer("timeout_ms", 60_000, "Time for one attempt.", lower_bound=1)
    define_integer("seed", 1, "Seed of every random choice.")
    define_bool("json", False, "Print JSON in place of a table.")
    flags.DEFINE_float(
        "rate",
        0.0,
        "Turns and calls begun in a second; 0 is without limit.",
        lower_bound=0.0,
        flag_values=values,
    )


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Send the load; fail if a turn or call didn't get its own complete answer."""
    addresses = tuple(values["addresses"].value)
    if arguments or not addresses:
        print("expected --addresses=HOST:PORT,... and no arguments", file=sys.stderr)
        return ExitCode.BAD_INPUT
    bad = [address for address in addresses if not _is_address(address)]
    if bad:
        print(f"expected HOST:PORT, got {', '.join(bad)}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    report = trio.run(run_load, _settings(values, addresses))
    if values["json"].value:
        print(json.dumps(report.as_json()))
    else:
        print_table(report)
    return ExitCode.OK if report.all_whole else ExitCode.FAILED


def print_table(report: LoadReport) -> None:
    """Print the totals, one per line."""
    for name, value in report.rows():
        print(f"{name:22} {value}")


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdecimal()


def _settings(values: flags.FlagValues, addresses: tuple[str, ...]) -> LoadSettings:
    caller = CallerSettings(
        addresses,
        key=values["key"].value,
        host=values["host"].value,
        attempts=values["attempts"].value,
        timeout_ms=values["timeout_ms"].value,
    )
    chat = ChatSettings(
        caller,
        path=values["chat_path"].value,
        model=values["model"].value,
        stream=values["stream"].value,
        max_tokens=values["max_tokens"].value,
    )
    names = ("chats", "turns", "calls", "lookups", "callers", "rate", "seed")
    amounts = {name: values[name].value for name in names}
    plain = PlainCallerSettings(caller, path=values["plain_path"].value)
    return LoadSettings(chat, plain, **amounts)
