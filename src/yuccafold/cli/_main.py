"""Runs the command named on the command line."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from yuccafold.cli._command import Command
from yuccafold.cli._command import ExitCode
from yuccafold.cli._command import PageCommand

COMMANDS = {
    command.name: command
    for command in (
        Command("router", "the daemon", "yuccafold.cli._router"),
        Command(
            "settings",
            "check and show settings files",
            "yuccafold.cli._settings",
        ),
        PageCommand("status", "whether and why a router refuses"),
        PageCommand("targets", "targets, state and owner"),
        PageCommand("peers", "VMs that a router knows"),
        PageCommand("orders", "engines that a router orders"),
        PageCommand("chats", "chats placed last"),
        Command(
            "explain",
            "where a call or chat would go now and why",
            "yuccafold.cli._explain",
        ),
        Command(
            "quarantine",
            "requests that killed targets",
            "yuccafold.cli._quarantine",
        ),
        Command("demo", "show a small fleet on loopback", "yuccafold.cli._demo"),
        Command("load", "send load and check every answer", "yuccafold.cli._load"),
        Command(
            "standin",
            "start a stand-in target or platform service",
            "yuccafold.cli._standin",
        ),
        Command(
            "chaos",
            "run the delivery decisions under seeded faults",
            "yuccafold.cli._chaos",
        ),
        Command(
            "soak",
            "run real routers under seeded faults from outside",
            "yuccafold.cli._soak",
        ),
        Command("bench", "measure on this machine", "yuccafold.cli._bench"),
    )
}


SETTINGS_VARIABLE = "YUCCAFOLD_SETTINGS"
"""The environment variable with the path of the platform's settings file."""


def usage() -> str:
    """Return the help text with all commands."""
    rows = (f"  {command.name:10} {command.summary}" for command in COMMANDS.values())
    return "\n".join(["usage: yuccafold COMMAND [--help] [flags]", "", *rows])


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(usage())
        return ExitCode.OK if arguments else ExitCode.BAD_INPUT
    if arguments == ["router"] and SETTINGS_VARIABLE in os.environ:
        # This daemon has no flags; not importing a flag parser saves memory.
        from yuccafold.cli import _edge_router

        return _edge_router.run(os.environ[SETTINGS_VARIABLE], os.environ)
    command = COMMANDS.get(arguments[0])
    if command is None:
        known = ", ".join(COMMANDS)
        print(f"expected a command of {known}, got {arguments[0]!r}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    return command.invoke(arguments[1:])
